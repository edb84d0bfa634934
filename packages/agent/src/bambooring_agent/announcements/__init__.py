"""Announce the target to entry instances."""
