"""Define what the engine reports."""

import types
import typing

from bambooring_core.dispatch import messages as dispatch


class Engine(typing.Protocol):
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

    def abort(self, attempt: int) -> None:
        """End a call."""


class Sink(typing.Protocol):
    """Receive what calls to the target bring."""

    def call_opened(
        self, attempt: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Take a response's status and headers."""

    def call_output(self, attempt: int, data: bytes) -> bool:
        """Take a part of the body; False ends the call."""

    def call_ended(
        self, attempt: int, outcome: dispatch.Outcome, reason: str
    ) -> None:
        """Take the end of a call."""

    def health_changed(self, is_ready: bool) -> None:
        """Take note that the target came or went."""
