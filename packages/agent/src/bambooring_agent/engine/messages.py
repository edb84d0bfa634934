"""Define the interfaces between the engine client and its user."""

import types
import typing

from bambooring_core.dispatch import messages as dispatch


class EngineClient(typing.Protocol):
    """An HTTP client of one engine.

    Call it in the reactor's thread, between entering and leaving it. It
    reports to an :class:`EngineListener`.
    """

    def __enter__(self) -> typing.Self:
        """Start the health checks."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Abort all calls."""

    def call(self, start: dispatch.Start) -> None:
        """Send an attempt's request to the engine."""

    def abort(self, attempt_id: int) -> None:
        """Abort an attempt's call without reporting its end."""


class EngineListener(typing.Protocol):
    """The receiver of responses and health changes of an engine."""

    def handle_response_head(
        self, attempt_id: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Handle a response's status and headers."""

    def handle_response_data(self, attempt_id: int, data: bytes) -> bool:
        """Handle a part of the body; return False to abort the call."""

    def handle_call_end(
        self, attempt_id: int, outcome: dispatch.Outcome, reason: str
    ) -> None:
        """Handle the end of a call that was not aborted."""

    def handle_health_change(self, is_ready: bool) -> None:
        """Handle the engine's readiness after a conclusive health check."""
