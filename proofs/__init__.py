"""Check invariants of the real state code in seeded simulation runs."""
