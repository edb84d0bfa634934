"""Define what the callers' side passes to the instance's thread."""

import queue
import socket
import typing

from bambooring.configuration import local_store
from bambooring.dispatch import messages as dispatch

EventQueue = queue.SimpleQueue[dispatch.Event]


class Backend(typing.Protocol):
    """Take calls in the instance's thread; callable from any thread."""

    def get_view(self) -> local_store.View:
        """Return the configuration in force."""

    def get_refusal_reason(self) -> str | None:
        """Return why no call is taken at all, or None."""

    def is_leaving(self) -> bool:
        """Tell whether the instance is leaving."""

    def begin_request(self) -> None:
        """Count a request that has arrived."""

    def end_request(self) -> None:
        """Count a request that is done with."""

    def submit(self, call: dispatch.Call, events: EventQueue) -> None:
        """Admit and dispatch a call; its events go to the queue."""

    def cancel(self, call_id: int) -> None:
        """End a call whose caller is gone."""

    def lend_socket(
        self,
        call: dispatch.Call,
        sock: socket.socket,
        is_event_stream: bool,
        end_queue: EventQueue,
    ) -> None:
        """Lend a caller's socket for the call's body; its end is told."""

    def release_call(self, call: dispatch.Call) -> None:
        """Take note that a call's caller is done with."""
