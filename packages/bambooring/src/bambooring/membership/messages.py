"""Name the messages that membership handles."""

from bambooring_core.membership import messages as membership

Announcement = membership.Announcement
Presence = membership.Presence
Gossip = membership.Gossip
