"""Shared parts of the bambooring processes."""
