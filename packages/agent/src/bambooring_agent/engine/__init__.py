"""Call the target over HTTP."""
