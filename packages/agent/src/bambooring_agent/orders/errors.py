"""Define the errors of orders."""

from bambooring_agent import errors


class OrderError(errors.AgentError):
    """Report an order that can't be carried out."""
