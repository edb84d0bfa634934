"""Import the messages of membership from the core package."""

from bambooring_core.membership import messages as membership

Announcement = membership.Announcement
Presence = membership.Presence
Gossip = membership.Gossip
