"""Define the messages between entry instances and agents."""
