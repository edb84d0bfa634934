"""Track the targets and the entry instances by their announcements."""
