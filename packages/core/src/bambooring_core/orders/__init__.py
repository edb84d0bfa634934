"""Define the orders of control replicas to the ranks of a model group."""
