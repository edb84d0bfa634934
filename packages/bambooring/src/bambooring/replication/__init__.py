"""Replicate one log across the control replicas with Raft."""
