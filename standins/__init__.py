"""Stand in for the outside systems that bambooring meets."""
