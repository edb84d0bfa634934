"""Exchange the load of targets between the entry instances."""
