"""Prove what must always hold by seeded runs of the real state code."""
