"""Permits for the target in the agent's slot."""
