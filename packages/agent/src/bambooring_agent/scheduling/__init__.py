"""Scheduling of attempts on one target, and the record of what ran."""
