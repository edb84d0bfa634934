"""Define what the engine reports."""

import typing

from bambooring_core.dispatch import messages as dispatch


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
