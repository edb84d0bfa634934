"""HTTP client of the target's engine."""
