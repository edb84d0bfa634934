"""Claim each non-idempotent request (booking) by its idempotency key.

A booking with a key is claimed in the control replicas' log before it may
run, and its response is recorded there for repeated requests.
"""
