"""Define the errors of policies."""

from bambooring import errors


class PolicyError(errors.ServerError):
    """A policy is invalid.

    ``reason`` is a short label for metrics.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
