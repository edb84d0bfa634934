"""Keep one log on several control replicas, by Raft's rules."""
