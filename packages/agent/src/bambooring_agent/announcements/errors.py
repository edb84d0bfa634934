"""Define the errors of announcements."""

from bambooring_agent import errors


class AnnouncementError(errors.AgentError):
    """A target can't be announced."""
