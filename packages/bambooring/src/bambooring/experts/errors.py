"""Define the errors of expert maps."""

from bambooring import errors


class ExpertError(errors.ServerError):
    """Indicate that an expert map can't be planned or switched."""
