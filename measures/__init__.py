"""Measure algorithms and processes against thresholds and baselines."""
