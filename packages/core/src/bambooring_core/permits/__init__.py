"""Permits to send requests to a cold target."""
