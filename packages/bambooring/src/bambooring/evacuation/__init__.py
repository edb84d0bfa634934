"""Evacuate failure domains: stop sending requests to their targets."""
