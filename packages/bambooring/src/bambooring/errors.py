"""Define the base of the errors of entry instances and control replicas."""

from bambooring_core import errors


class ServerError(errors.BambooringError):
    """Be the base of the errors of this package."""
