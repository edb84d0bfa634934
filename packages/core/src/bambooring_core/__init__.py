"""Provide the modules that all bambooring processes share."""
