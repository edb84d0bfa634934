"""Define the errors of routing."""

from bambooring import errors


class RoutingError(errors.ServerError):
    """A target can't be routed to."""
