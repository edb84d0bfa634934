"""Define the errors of admission."""

from bambooring import errors


class AdmissionError(errors.ServerError):
    """Report a request that was not admitted."""
