"""Define the message that announces a target."""

from bambooring_core.membership import messages as membership

Announcement = membership.Announcement
