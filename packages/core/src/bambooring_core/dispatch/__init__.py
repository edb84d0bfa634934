"""Hold what an entry instance and an agent say to each other."""
