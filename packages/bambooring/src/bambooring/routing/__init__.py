"""Choose the target of each attempt."""
