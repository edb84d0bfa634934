"""Define the announcements' errors."""

from bambooring_agent import errors


class AnnouncementError(errors.AgentError):
    """Report a target that can't be announced."""
