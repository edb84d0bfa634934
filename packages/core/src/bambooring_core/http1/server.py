"""Serve HTTP/1.1; a request is handled after its body was received."""

import collections.abc
import socket
import types
import typing

import structlog

from bambooring_core import accepting
from bambooring_core.http1 import client
from bambooring_core.http1 import connection as connection_module
from bambooring_core.http1 import const
from bambooring_core.http1 import errors
from bambooring_core.http1 import exchange as exchange_module
from bambooring_core.http1 import memory
from bambooring_core.http1 import messages
from bambooring_core.http1 import relief
from bambooring_core import links
from bambooring_core import metrics
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

# Modules with request handlers refer to the type as ``server.Exchange``.
Exchange = exchange_module.Exchange

RequestHandler = collections.abc.Callable[[Exchange], None]
CountRefused = collections.abc.Callable[[str], None]


class Server:
    """Accept callers' connections at one address.

    While ``is_closing`` is set, each connection closes after its response.
    ``budget`` is shared by all servers of a process. The connections and the
    requests that are being handled, for each of which a call may be made, use
    up to ``max_descriptors``; 0 sets no limit.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        limits: messages.Limits,
        handle: RequestHandler,
        count_refused: CountRefused,
        budget: memory.MemoryBudget | None = None,
        max_descriptors: int = 0,
    ) -> None:
        self.reactor = reactor
        self.limits = limits
        self.handle = handle
        self.count_refused = count_refused
        self.budget = budget or memory.MemoryBudget()
        self.is_closing = False
        self._max_descriptors = max_descriptors
        self._active_count = 0
        self._refusal_count = 0
        self._is_relief_due = False
        self._next_search_s = 0.0
        self._address = address
        self._acceptor: accepting.Acceptor | None = None
        self._connections: set[connection_module.Connection] = set()

    def __enter__(self) -> typing.Self:
        listener = socket.create_server(
            links.split_address(self._address), backlog=const.LISTEN_BACKLOG
        )
        if self.budget.is_limited:
            client.bound_buffers(listener)
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
        return self._active_count

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

    def count_active(self, change: int) -> None:
        """Count a request whose handling begins or ends."""
        self._active_count += change
        if change > 0:
            self._free_descriptors()

    def make_refusal(self, reason: str) -> errors.RequestError:
        """Return the refusal of a request that has not run.

        The times after which callers are to come back are spread evenly.
        """
        self._refusal_count += 1
        share = self._refusal_count % const.REFUSAL_RETRY_STEPS
        spread_s = const.REFUSAL_RETRY_SPREAD_S / const.REFUSAL_RETRY_STEPS
        return errors.RequestError(
            503, reason, const.REFUSAL_RETRY_AFTER_S + share * spread_s
        )

    def record_closed(
        self, connection: connection_module.Connection, reason: str
    ) -> None:
        """Record a connection that is closed because a limit is near."""
        metrics.CALLER_CONNECTIONS_CLOSED.labels(reason=reason).inc()
        holder = connection.describe(self.reactor.now())
        LOG.info(
            'caller connection closed',
            reason=reason,
            held_bytes=holder.held_bytes,
            stalled_ms=round(holder.stalled_s * 1000),
            has_request=holder.has_request,
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.total_bytes,
            connections=len(self._connections),
        )

    def _list_holders(
        self, excluded: connection_module.Connection | None = None
    ) -> list[relief.Holder[connection_module.Connection]]:
        now_s = self.reactor.now()
        return [
            connection.describe(now_s)
            for connection in self._connections
            if connection is not excluded
        ]

    def close_stalled(
        self, needed_bytes: int, excluded: connection_module.Connection
    ) -> None:
        """Close stalled connections, so that a large body has room.

        :param needed_bytes: what the body lacks
        :param excluded: the connection that receives it
        """
        now_s = self.reactor.now()
        if now_s < self._next_search_s:
            return
        for holder in relief.choose_stalled(
            self._list_holders(excluded), needed_bytes
        ):
            holder.connection.give_up('memory_stalled')
        if not self.budget.has_room(needed_bytes):
            self._next_search_s = now_s + const.RELIEF_INTERVAL_S

    def schedule_relief(self) -> None:
        """Close connections soon if more is held than the budget allows.

        Not at once: the caller of this method may be one of them.
        """
        if self.budget.is_exceeded and not self._is_relief_due:
            self._is_relief_due = True
            self.reactor.call_soon(self._relieve)

    def _relieve(self) -> None:
        excess_bytes = self.budget.used_bytes - self.budget.total_bytes
        for holder in relief.choose_largest(
            self._list_holders(), excess_bytes
        ):
            holder.connection.give_up('memory_exceeded')
        if self.budget.is_exceeded:
            self.reactor.call_later(
                const.RELIEF_INTERVAL_S, self._finish_relief
            )
        else:
            self._is_relief_due = False

    def _finish_relief(self) -> None:
        self._is_relief_due = False
        self.schedule_relief()

    def _free_descriptors(
        self, new: connection_module.Connection | None = None
    ) -> None:
        """Close connections without a request if descriptors get scarce.

        :param new: a connection that has just been accepted; it is closed if
            all others have requests
        """
        limit = self._max_descriptors
        excess = len(self._connections) + self._active_count - limit
        if not limit or excess <= 0:
            return
        count = max(excess, int(limit * const.DESCRIPTORS_FREED_SHARE))
        idle = relief.choose_idle(self._list_holders(new), count)
        for holder in idle:
            holder.connection.give_up('descriptors')
        if not idle and new is not None:
            new.give_up('descriptors')

    def remove_connection(
        self, connection: connection_module.Connection
    ) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _add_connection(self, sock: socket.socket) -> None:
        connection = connection_module.Connection(self, sock)
        self._connections.add(connection)
        connection.open()
        self._free_descriptors(connection)

    def _sweep(self) -> None:
        now = self.reactor.now()
        # Also closes those whose callers have read nothing for this long.
        for connection in self._list_idle(self.limits.idle_timeout_s):
            connection.close()
        for connection in list(self._connections):
            reading_since_s = connection.reading_since_s
            if reading_since_s is None or connection.has_active_request:
                continue
            if now - reading_since_s > self.limits.header_timeout_s:
                connection.refuse_slow_request()
        if self.budget.is_limited:
            self._close_unread()
            metrics.HELD_BYTES.set(self.budget.used_bytes)
            metrics.HELD_BYTES_LIMIT.set(self.budget.total_bytes)

    def _close_unread(self) -> None:
        """Break off responses whose callers have stopped reading."""
        for holder in self._list_holders():
            if holder.has_output and holder.stalled_s > const.UNREAD_TIMEOUT_S:
                holder.connection.give_up('unread')
