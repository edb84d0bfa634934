"""Orders of control replicas to the rank of this agent."""
