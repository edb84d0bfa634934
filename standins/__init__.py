"""Simulate the external systems that bambooring communicates with."""
