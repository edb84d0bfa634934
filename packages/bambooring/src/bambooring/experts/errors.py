"""Define the errors of expert maps."""

from bambooring import errors


class ExpertError(errors.ServerError):
    """Report an expert map that can't be planned or switched."""
