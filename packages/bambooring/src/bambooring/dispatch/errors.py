"""Define the errors of dispatch."""

from bambooring import errors


class DispatchError(errors.ServerError):
    """Base class of the errors of dispatch."""
