"""Decide what runs on the target, and remember what ran."""
