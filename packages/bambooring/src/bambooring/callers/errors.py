"""Define the errors of serving callers."""

from bambooring import errors
from bambooring_core.dispatch import messages as wire


class RequestRefusedError(errors.ServerError):
    """Request that is refused before it has run anywhere."""

    def __init__(
        self, status: int, reason: str, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.outcome = wire.Outcome.NOT_RUN
