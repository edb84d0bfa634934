"""Plan expert maps and bring each into force on all ranks at one step."""
