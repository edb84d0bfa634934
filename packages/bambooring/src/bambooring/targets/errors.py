"""Define the errors of announcements."""

from bambooring import errors


class AnnouncementError(errors.ServerError):
    """An announcement doesn't describe a usable target."""
