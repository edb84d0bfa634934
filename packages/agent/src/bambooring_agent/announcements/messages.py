"""Name the messages that announce a target."""

from bambooring_core.membership import messages as membership

Announcement = membership.Announcement
