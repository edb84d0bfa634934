"""Define the errors of quarantine."""

from bambooring import errors


class QuarantineError(errors.ServerError):
    """Report a request that is not to run."""
