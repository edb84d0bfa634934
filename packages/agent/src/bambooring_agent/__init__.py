"""Agents: processes that run requests on the engine of one target."""
