"""Define the errors of membership."""

from bambooring import errors


class MembershipError(errors.ServerError):
    """Base class of the membership errors."""
