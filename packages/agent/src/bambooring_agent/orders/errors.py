"""Define the errors of orders."""

from bambooring_agent import errors


class OrderError(errors.AgentError):
    """An order can't be carried out."""
