"""Define the messages that instances exchange about suspected requests."""

from bambooring_core.membership import messages as membership

Suspicion = membership.Suspicion
