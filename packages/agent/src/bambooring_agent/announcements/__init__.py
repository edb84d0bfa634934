"""Announcements of a target to entry instances."""
