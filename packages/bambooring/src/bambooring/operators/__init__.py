"""HTTP API of the control replicas for operators, and command line."""
