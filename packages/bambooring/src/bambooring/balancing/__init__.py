"""Choose targets by the load that every entry instance puts on them."""
