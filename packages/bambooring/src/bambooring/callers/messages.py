"""Define how threads that serve callers use the entry instance."""

import queue
import socket
import typing

from bambooring.configuration import local_store
from bambooring.dispatch import messages as dispatch

EventQueue = queue.SimpleQueue[dispatch.Event]


class Backend(typing.Protocol):
    """Entry instance as the threads that serve callers use it.

    Every method is callable from any thread; calls are carried out in the
    thread of the instance's reactor.
    """

    def get_view(self) -> local_store.View:
        """Return the configuration in force."""

    def get_refusal_reason(self) -> str | None:
        """Return the reason why no calls are accepted, None if they are."""

    def is_leaving(self) -> bool:
        """Return whether the instance has been told to leave."""

    def begin_request(self) -> None:
        """Add a request to the requests in progress."""

    def end_request(self) -> None:
        """Remove a request from the requests in progress."""

    def submit(self, call: dispatch.Call, events: EventQueue) -> None:
        """Admit and dispatch a call; its events are put into ``events``."""

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose caller has left."""

    def lend_socket(
        self,
        call: dispatch.Call,
        sock: socket.socket,
        is_event_stream: bool,
        end_queue: EventQueue,
    ) -> None:
        """Let the instance's thread write the response body to a socket.

        :param call: the call
        :param sock: its caller's socket; the response head has been sent
        :param is_event_stream: whether to send a failure as an event
        :param end_queue: gets the call's last event, after which the
            instance does not use the socket any more
        """

    def release_call(self, call: dispatch.Call) -> None:
        """Release what is held for a call: its event sink and admission."""
