"""Stand in for targets that announce themselves and run requests."""

import contextlib
import dataclasses
import hashlib
import http.client
import http.server
import json
import random
import threading
import time
import types
import typing

from soak import ledger as ledger_module

HEARTBEAT_S = 0.4
_CALL_TIMEOUT_S = 1.0
_WORK_S = 0.03
_EVENT_S = 0.03


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answer as the target that owns the server."""

    protocol_version = 'HTTP/1.1'
    server: '_Server'

    def log_message(self, *parts: typing.Any) -> None:
        """Keep quiet."""

    def do_GET(self) -> None:
        """Run a request without a body."""
        self.server.target.run(self, b'')

    def do_POST(self) -> None:
        """Run a request with a body."""
        length = int(self.headers.get('Content-Length', 0))
        self.server.target.run(self, self.rfile.read(length))


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], target: 'Target') -> None:
        self.target = target
        super().__init__(address, _Handler)

    def handle_error(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Let callers go away in the middle of an answer."""


class Target:
    """Own one target's server and the thread of its heartbeats."""

    def __init__(
        self,
        *,
        service: str,
        address: tuple[str, int],
        told_address: str,
        domain: str,
        controls: list[str],
        ledger: ledger_module.Ledger,
        rng: random.Random,
    ) -> None:
        self.id = f'i-{rng.randrange(16**8):08x}'
        self.service = service
        self.address = address
        self.told_address = told_address
        self.domain = domain
        self._controls = controls
        self._ledger = ledger
        self._rng = rng
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = 'ready'
        self._is_over = threading.Event()
        self._server = _Server(address, self)
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]
        # The share of requests that end badly in some way.
        self.trouble = 0.0

    def __enter__(self) -> typing.Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._is_over.set()
        self._server.shutdown()
        self._server.server_close()

    def drain(self) -> None:
        """Say that this target leaves, until somebody confirms it."""
        self._state = 'draining'

    def _beat(self) -> None:
        while not self._is_over.wait(HEARTBEAT_S):
            self._sequence += 1
            if self._announce() and self._state == 'draining':
                self._ledger.left_s.setdefault(self.id, time.monotonic())

    def _announce(self) -> bool:
        state = self._state
        value = {
            'service': self.service,
            'address': self.told_address,
            'zone': self.domain,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._born_ms,
        }
        controls = self._rng.sample(self._controls, len(self._controls))
        for control in controls:
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = call(
                    control,
                    'PUT',
                    f'/-/instances/{self.id}',
                    json.dumps(value).encode(),
                ).status
                if 200 <= status < 300:
                    return state == self._state
        return False

    def run(self, handler: _Handler, body: bytes) -> None:
        """Run a request, or spoil it in one of the ways that targets have."""
        attempt = handler.headers.get('Attempt-Id', '')
        expected = handler.headers.get('Expect-Instance')
        if expected and expected != self.id:
            self._respond(handler, 421, b'', {'Not-Executed': '1'})
            return
        fate = self._rng.random()
        if fate < self.trouble / 4:
            self._respond(handler, 503, b'', {'Not-Executed': '1'})
            return
        answer = hashlib.sha256(attempt.encode() + self.id.encode() + body)
        run = ledger_module.Run(
            attempt=attempt,
            target=self.id,
            service=self.service,
            account=handler.headers.get('Tenant', ''),
            body=body,
            is_key_shown='Authorization' in handler.headers,
            at_s=time.monotonic(),
            answer=answer.hexdigest().encode() * 20,
        )
        self._ledger.add_run(run)
        time.sleep(_WORK_S)
        if fate < self.trouble / 2:
            handler.close_connection = True
            return
        if fate < self.trouble * 3 / 4:
            self._respond(handler, 500, b'failed', {})
            return
        if self.service == 'llm':
            self._stream(handler, attempt, is_cut=fate < self.trouble)
        else:
            self._respond(handler, 200, run.answer, {})

    def _sign(self, handler: _Handler) -> dict[str, str]:
        return {
            'Attempt-Id': handler.headers.get('Attempt-Id', ''),
            'Server-Signature': self.id,
        }

    def _respond(
        self,
        handler: _Handler,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        handler.send_response(status)
        for name, value in (self._sign(handler) | headers).items():
            handler.send_header(name, value)
        handler.send_header('Content-Length', str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _stream(
        self, handler: _Handler, attempt: str, *, is_cut: bool
    ) -> None:
        first = int(handler.headers.get('Last-Event-Id') or 0) + 1
        handler.send_response(200)
        for name, value in self._sign(handler).items():
            handler.send_header(name, value)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        for number in range(first, ledger_module.EVENTS + 1):
            event = ledger_module.make_event(attempt, number)
            if is_cut and number == ledger_module.EVENTS // 2:
                handler.wfile.write(b'%x\r\n%b' % (len(event), event[:5]))
                handler.close_connection = True
                return
            handler.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
            time.sleep(_EVENT_S)
        handler.wfile.write(b'0\r\n\r\n')


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Hold a whole answer to a call."""

    status: int
    body: bytes


def call(address: str, method: str, path: str, body: bytes = b'') -> Answer:
    """Make one call on a connection of its own.

    :param address: 'IP:PORT'
    :param method: the HTTP method
    :param path: the path
    :param body: the body
    :returns: the answer
    :raises OSError: if no connection comes about, or it breaks
    :raises HTTPException: if what comes is no whole answer
    """
    channel = http.client.HTTPConnection(address, timeout=_CALL_TIMEOUT_S)
    with contextlib.closing(channel):
        channel.request(
            method, path, body, {'Content-Type': 'application/json'}
        )
        response = channel.getresponse()
        return Answer(status=response.status, body=response.read())
