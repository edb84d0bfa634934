"""The agent of one rank of a model group."""
