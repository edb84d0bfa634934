"""Keep track of the targets that announce themselves."""
