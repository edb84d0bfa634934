"""Define the errors of calls to the engine."""

from bambooring_agent import errors


class EngineError(errors.AgentError):
    """The HTTP library refused a call."""
