"""Define the errors of quarantine."""

from bambooring import errors


class QuarantineError(errors.ServerError):
    """A request must not run because targets crashed while running it."""
