"""Serve HTTP/1.1; a request is handled after its body was received."""

import collections.abc
import socket
import types
import typing

from bambooring_core import accepting
from bambooring_core.http1 import connection as connection_module
from bambooring_core.http1 import const
from bambooring_core.http1 import exchange as exchange_module
from bambooring_core.http1 import messages
from bambooring_core import links
from bambooring_core import reactor as reactor_module

# Handlers name the type by the module of the server that calls them.
Exchange = exchange_module.Exchange

RequestHandler = collections.abc.Callable[[Exchange], None]
CountRefused = collections.abc.Callable[[str], None]


class Server:
    """Accept callers' connections at one address.

    While ``is_closing`` is set, each connection closes after its response.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        limits: messages.Limits,
        handle: RequestHandler,
        count_refused: CountRefused,
    ) -> None:
        self.reactor = reactor
        self.limits = limits
        self.handle = handle
        self.count_refused = count_refused
        self.is_closing = False
        self._address = address
        self._acceptor: accepting.Acceptor | None = None
        self._connections: set[connection_module.Connection] = set()

    def __enter__(self) -> typing.Self:
        listener = socket.create_server(
            links.split_address(self._address), backlog=const.LISTEN_BACKLOG
        )
        self._acceptor = accepting.Acceptor(
            self.reactor, listener, self._add_connection
        )
        self.reactor.call_every(const.SWEEP_INTERVAL_S, self._sweep)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self._connections):
            connection.close()

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        assert self._acceptor is not None
        return self._acceptor.port

    @property
    def active_request_count(self) -> int:
        """The number of requests being handled."""
        return sum(
            connection.has_active_request for connection in self._connections
        )

    @property
    def has_connections(self) -> bool:
        """Whether any connection is open."""
        return bool(self._connections)

    @property
    def has_unsent_output(self) -> bool:
        """Whether a part of a response is not sent yet."""
        return any(
            connection.has_unsent_output for connection in self._connections
        )

    def close_idle(self, idle_s: float = 0.0) -> None:
        """Close the idle connections whose responses are sent.

        :param idle_s: the minimum time since their last activity, in seconds
        """
        for connection in self._list_idle(idle_s):
            if not connection.has_unsent_output:
                connection.close()

    def _list_idle(self, idle_s: float) -> list[connection_module.Connection]:
        now = self.reactor.now()
        return [
            connection
            for connection in self._connections
            if connection.is_idle and now - connection.last_active_s >= idle_s
        ]

    def stop_accepting(self) -> bool:
        """Stop listening, unless a connection is open or waits in the backlog.

        Callers in the backlog may have sent a request already.

        :returns: whether the server has stopped listening
        """
        assert self._acceptor is not None
        self._acceptor.accept_waiting()
        if self.has_connections:
            return False
        self._acceptor.close()
        return True

    def remove_connection(
        self, connection: connection_module.Connection
    ) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _add_connection(self, sock: socket.socket) -> None:
        connection = connection_module.Connection(self, sock)
        self._connections.add(connection)
        connection.open()

    def _sweep(self) -> None:
        now = self.reactor.now()
        # A caller that reads nothing for so long is given up too.
        for connection in self._list_idle(self.limits.idle_timeout_s):
            connection.close()
        for connection in list(self._connections):
            reading_since_s = connection.reading_since_s
            if reading_since_s is None or connection.has_active_request:
                continue
            if now - reading_since_s > self.limits.header_timeout_s:
                connection.refuse_slow_request()
