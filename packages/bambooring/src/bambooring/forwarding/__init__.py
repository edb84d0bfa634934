"""Forward callers' requests to targets and return the responses."""
