"""Provide an HTTP/1.1 server and client that run in the reactor."""
