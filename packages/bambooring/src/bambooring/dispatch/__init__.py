"""Run each call on targets until one attempt gives a complete response."""
