"""Serve operators: the control replicas' API and the command line."""
