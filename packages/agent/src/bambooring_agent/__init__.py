"""Run the process in a target's slot."""
