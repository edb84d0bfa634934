"""Accept the connections of a listening socket."""

import collections.abc
import selectors
import socket
import typing

import structlog

from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

# After a failure, connections wait in the backlog for this long.
PAUSE_S: typing.Final = 0.1


class Acceptor:
    """Accept connections until closed.

    A process that has no descriptor left for another connection must not end,
    nor spin while the connection waits: it pauses, and accepts again when some
    of its connections may have ended.
    """

    def __init__(
        self,
        reactor: reactor_module.Reactor,
        listener: socket.socket,
        handle: collections.abc.Callable[[socket.socket], None],
    ) -> None:
        """Start to accept connections.

        :param reactor: the reactor that watches the listening socket
        :param listener: the listening socket, which the acceptor closes
        :param handle: is called with the socket of each connection
        """
        self._reactor = reactor
        self._listener = listener
        self._handle = handle
        self._is_closed = False
        listener.setblocking(False)
        self._watch()

    @property
    def port(self) -> int:
        """The port on which the socket listens."""
        return self._listener.getsockname()[1]

    def _watch(self) -> None:
        if not self._is_closed:
            self._reactor.watch(
                self._listener, selectors.EVENT_READ, self._accept
            )

    def accept_waiting(self) -> None:
        """Accept the connections that wait in the backlog."""
        self._accept(selectors.EVENT_READ)

    def _accept(self, events: int) -> None:
        while not self._is_closed:
            try:
                sock, _ = self._listener.accept()
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except (BlockingIOError, ConnectionError):
                return
            except OSError as error:
                LOG.warning('cannot accept a connection', error=str(error))
                self._reactor.unwatch(self._listener)
                self._reactor.call_later(PAUSE_S, self._watch)
                return
            self._handle(sock)

    def close(self) -> None:
        """Stop accepting connections and close the listening socket."""
        self._is_closed = True
        self._reactor.unwatch(self._listener)
        self._listener.close()
