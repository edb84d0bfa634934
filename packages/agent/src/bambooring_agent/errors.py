"""Define the base class of the errors of this package."""

from bambooring_core import errors


class AgentError(errors.BambooringError):
    """Base class of the errors of agents."""
