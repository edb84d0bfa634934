"""Hold the announcements that targets and entry instances spread."""
