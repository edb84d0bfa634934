"""Relay TCP connections on loopback and inject network faults."""

import contextlib
import dataclasses
import enum
import selectors
import socket
import struct
import threading
import time
import types
import typing

_READ_SIZE_BYTES = 65536
_POLL_INTERVAL_S = 0.02
# SO_LINGER enabled with a timeout of zero: close() resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How a relay treats the bytes of its connections.

    SILENT accepts connections and data but forwards nothing in either
    direction. FORWARD_ONLY forwards only from the end that opened the
    connection, BACKWARD_ONLY only to it.
    """

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    FORWARD_ONLY = 'forward_only'
    BACKWARD_ONLY = 'backward_only'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pipe:
    """One direction of a connection.

    ``buffered`` holds chunks of data with the time at which each is due; an
    empty chunk is the end of the stream. A stalled pipe stays stalled, as
    behind a middlebox that has permanently lost the state of a
    connection.
    """

    source: socket.socket
    sink: socket.socket
    is_forward: bool
    buffered: list[tuple[float, bytes]] = dataclasses.field(
        default_factory=list
    )
    is_stalled: bool = False


class Relay:
    """A listening socket and a thread that forwards its connections."""

    def __init__(
        self,
        listen_address: tuple[str, int],
        upstream_address: tuple[str, int],
    ) -> None:
        self._upstream_address = upstream_address
        self._listener = socket.create_server(listen_address, backlog=256)
        self._listener.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._pipes: dict[socket.socket, _Pipe] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._is_stopping = False
        self._must_reset = False
        self._must_stall = False
        self.mode = Mode.PASS
        self.delay_s = 0.0

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._is_stopping = True
        self._thread.join()

    def reset_connections(self) -> None:
        """Close every open connection with a TCP reset."""
        self._must_reset = True

    def stall_connections(self) -> None:
        """Stop forwarding on the open connections permanently.

        New connections work as usual.
        """
        self._must_stall = True

    def _run(self) -> None:
        while not self._is_stopping:
            for selector_key, _ in self._selector.select(_POLL_INTERVAL_S):
                if selector_key.fileobj is self._listener:
                    self._accept()
                elif selector_key.fileobj in self._pipes:
                    self._read(self._pipes[selector_key.fileobj])
            self._apply_requested_faults()
            self._forward_due()
        for sock in [self._listener, *self._pipes]:
            sock.close()
        self._selector.close()

    def _apply_requested_faults(self) -> None:
        if self._must_reset:
            self._must_reset = False
            for pipe in list(self._pipes.values()):
                self._close(pipe, is_reset=True)
        if self._must_stall:
            self._must_stall = False
            for pipe in self._pipes.values():
                pipe.is_stalled = True

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            client, _ = self._listener.accept()
            server = socket.socket()
            try:
                server.connect(self._upstream_address)
            except OSError:
                server.close()
                client.close()
                return
            for source, sink, is_forward in (
                (client, server, True),
                (server, client, False),
            ):
                source.setblocking(False)
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._pipes[source] = _Pipe(
                    source=source, sink=sink, is_forward=is_forward
                )
                self._selector.register(source, selectors.EVENT_READ)

    def _read(self, pipe: _Pipe) -> None:
        try:
            data = pipe.source.recv(_READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(pipe, is_reset=True)
            return
        if not data:
            self._selector.unregister(pipe.source)
        delay_s = self.delay_s if self.mode is Mode.DELAY else 0.0
        pipe.buffered.append((time.monotonic() + delay_s, data))

    def _may_forward(self, pipe: _Pipe) -> bool:
        if pipe.is_stalled or self.mode is Mode.SILENT:
            return False
        if self.mode is Mode.FORWARD_ONLY:
            return pipe.is_forward
        if self.mode is Mode.BACKWARD_ONLY:
            return not pipe.is_forward
        return True

    def _forward_due(self) -> None:
        now_s = time.monotonic()
        for pipe in list(self._pipes.values()):
            while (
                pipe.buffered
                and pipe.buffered[0][0] <= now_s
                and self._may_forward(pipe)
            ):
                _, data = pipe.buffered.pop(0)
                if not self._write(pipe, data):
                    break

    def _write(self, pipe: _Pipe, data: bytes) -> bool:
        """Write to the sink and buffer what it doesn't accept.

        :returns: False if nothing more can be written for now
        """
        if not data:
            self._close(pipe, is_reset=False)
            return False
        try:
            sent = pipe.sink.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(pipe, is_reset=True)
            return False
        if sent < len(data):
            pipe.buffered.insert(0, (0.0, data[sent:]))
            return False
        return True

    def _close(self, pipe: _Pipe, *, is_reset: bool) -> None:
        for sock in (pipe.source, pipe.sink):
            if self._pipes.pop(sock, None) is None:
                continue
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
            if is_reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            sock.close()
