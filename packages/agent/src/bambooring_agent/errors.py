"""Define the agent's errors."""

from bambooring_core import errors


class AgentError(errors.BambooringError):
    """Be the base of the agent's errors."""
