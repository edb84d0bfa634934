"""Define the errors of routing."""

from bambooring import errors


class RoutingError(errors.ServerError):
    """Report a target that can't be routed to."""
