"""Name the messages of quarantine."""

from bambooring_core.membership import messages as membership

Suspicion = membership.Suspicion
