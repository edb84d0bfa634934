"""Define the errors of admission."""

from bambooring import errors


class AdmissionError(errors.ServerError):
    """A request was not admitted."""
