"""Balance load over expert-parallel model groups and plain services."""
