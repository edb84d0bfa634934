"""Hold the orders that control gives to the ranks of a model group."""
