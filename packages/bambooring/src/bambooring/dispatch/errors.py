"""Define the errors of dispatch."""

from bambooring import errors


class DispatchError(errors.ServerError):
    """Be the base of the errors of dispatch."""
