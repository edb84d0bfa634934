"""Define the errors of membership."""

from bambooring import errors


class MembershipError(errors.ServerError):
    """Be the base of the errors of membership."""
