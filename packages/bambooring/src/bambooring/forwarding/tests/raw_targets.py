"""Targets that write bytes of a test's choice, and what callers read."""

import contextlib
import selectors
import socket
import struct

from bambooring.targets import messages as targets

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
FRAMINGS = ['length', 'chunks', 'none']


class RawTarget:
    """A target that sends some bytes and ends the connection."""

    def __init__(self, answer=b'', is_reset=False):
        self.answer = answer
        self.is_reset = is_reset
        self.requests = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'

    def open(self, reactor):
        """Accept connections."""
        self._reactor = reactor
        reactor.watch(self._listener, selectors.EVENT_READ, self._accept)

    def close(self):
        """Refuse further connections."""
        self._reactor.unwatch(self._listener)
        self._listener.close()

    def is_due(self, request):
        """Return whether enough of a request was read to answer it."""
        return request.endswith(b'\r\n\r\nhi')

    def make_answer(self, request):
        """Return the parts to send and whether a reset follows them."""
        return [self.answer], self.is_reset

    def _accept(self, events):
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = bytearray()
        self._reactor.watch(
            sock,
            selectors.EVENT_READ,
            lambda events: self._receive(sock, request),
        )

    def _receive(self, sock, request):
        try:
            received = sock.recv(65536)
        except ConnectionResetError:
            received = b''
        request += received
        if not received:
            self._end(sock)
        elif self.is_due(request):
            self.requests.append(bytes(request))
            parts, is_reset = self.make_answer(bytes(request))
            unsent = [bytearray(part) for part in parts]
            self._reactor.watch(
                sock,
                selectors.EVENT_WRITE,
                lambda events: self._send(sock, unsent, is_reset),
            )

    def _send(self, sock, unsent, is_reset):
        """Send of one part what the socket takes, once a turn."""
        with contextlib.suppress(OSError):
            if unsent:
                del unsent[0][: sock.send(unsent[0])]
                if not unsent[0]:
                    del unsent[0]
                return
            if is_reset:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self._end(sock)

    def _end(self, sock):
        self._reactor.unwatch(sock)
        sock.close()


class CrashingTarget(RawTarget):
    """A target that ends with its first answer."""

    def __init__(self, answer):
        super().__init__(answer)
        self.is_open = True

    def close(self):
        """Refuse further connections."""
        if self.is_open:
            self.is_open = False
            super().close()

    def _end(self, sock):
        self.close()
        super()._end(sock)


def make_head(status, *headers):
    """Return the head of a target's own answer to the request with id 7."""
    lines = [b'HTTP/1.1 %d X' % status, b'Id: 7', b'Signed: 1', *headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def frame(parts, framing, *headers, status=200):
    """Return an answer whose body has some parts."""
    body = b''.join(parts)
    if framing == 'length':
        length = b'Content-Length: %d' % len(body)
        return make_head(status, length, *headers) + body
    if framing == 'chunks':
        chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
        head = make_head(status, b'Transfer-Encoding: chunked', *headers)
        return head + b''.join(chunks) + b'0\r\n\r\n'
    return make_head(status, *headers) + body


def open_targets(harness, stack, raw_targets):
    """Let a harness send requests to raw targets, to the first one first."""
    for target in raw_targets:
        target.open(harness.reactor)
        stack.callback(target.close)
    harness.balancer.set_targets(
        targets.Target(
            id=f't{index}',
            service='app',
            address=target.address,
            failure_domain='a' if index == 0 else 'b',
            slots=4,
            state=targets.State.READY,
            born_ms=1,
            sequence=1,
        )
        for index, target in enumerate(raw_targets)
    )
