"""Carry each call through its attempts to one whole answer."""
