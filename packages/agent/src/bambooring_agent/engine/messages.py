"""Define what the engine reports."""

import types
import typing

from bambooring_core.dispatch import messages as dispatch


class EngineClient(typing.Protocol):
    """Call the target."""

    def __enter__(self) -> typing.Self:
        """Begin to watch the target."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End every call."""

    def call(self, start: dispatch.Start) -> None:
        """Send an attempt's request to the target."""

    def abort(self, attempt_id: int) -> None:
        """End a call."""


class EngineListener(typing.Protocol):
    """Receive what calls to the target bring."""

    def handle_response_head(
        self, attempt_id: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Take a response's status and headers."""

    def handle_response_data(self, attempt_id: int, data: bytes) -> bool:
        """Take a part of the body; False ends the call."""

    def handle_call_end(
        self, attempt_id: int, outcome: dispatch.Outcome, reason: str
    ) -> None:
        """Take the end of a call."""

    def handle_health_change(self, is_ready: bool) -> None:
        """Take note that the target came or went."""
