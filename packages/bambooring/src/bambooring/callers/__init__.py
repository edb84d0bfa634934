"""Serve the HTTP requests of client accounts."""
