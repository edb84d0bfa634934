"""Define the engine's errors."""

from bambooring_agent import errors


class EngineError(errors.AgentError):
    """Report a call that the HTTP library did not take."""
