"""Check a configuration before it is sent, and compare it."""
