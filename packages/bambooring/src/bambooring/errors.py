"""Define the base class of the errors of this package."""

from bambooring_core import errors


class ServerError(errors.BambooringError):
    """Base class of the errors of entry instances and control replicas."""
