"""Define the messages about the ranks of a model group."""
