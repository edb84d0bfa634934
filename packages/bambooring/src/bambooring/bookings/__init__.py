"""Claim each non-idempotent booking before it may run."""
