"""Measure decisions and processes against targets and baselines."""
