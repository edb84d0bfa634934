"""Define the announcements and gossip of targets and entry instances."""
