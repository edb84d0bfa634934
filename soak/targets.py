"""Simulate targets that announce themselves and execute requests."""

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

from soak import history as history_module

HEARTBEAT_S = 0.4
_CALL_TIMEOUT_S = 1.0
_PROCESSING_S = 0.03
_EVENT_INTERVAL_S = 0.03


class _Handler(http.server.BaseHTTPRequestHandler):
    """Pass HTTP requests to the target that owns the server."""

    protocol_version = 'HTTP/1.1'
    server: '_Server'

    def log_message(self, *args: typing.Any) -> None:
        """Suppress the access log of the standard library."""

    def do_GET(self) -> None:
        """Handle a request without a body."""
        self.server.target.handle_request(self, b'')

    def do_POST(self) -> None:
        """Handle a request with a body."""
        length = int(self.headers.get('Content-Length', 0))
        self.server.target.handle_request(self, self.rfile.read(length))


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], target: 'Target') -> None:
        self.target = target
        super().__init__(address, _Handler)

    def handle_error(
        self, request: typing.Any, client_address: typing.Any
    ) -> None:
        """Ignore clients that disconnect in the middle of a response."""


class Target:
    """A simulated target: an HTTP server and a thread for its heartbeats."""

    def __init__(
        self,
        *,
        service: str,
        address: tuple[str, int],
        announced_address: str,
        failure_domain: str,
        control_addresses: list[str],
        history: history_module.History,
        rng: random.Random,
    ) -> None:
        self.id = f'i-{rng.randrange(16**8):08x}'
        self.service = service
        self.address = address
        self.announced_address = announced_address
        self.failure_domain = failure_domain
        self._control_addresses = control_addresses
        self._history = history
        self._rng = rng
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._state = 'ready'
        self._is_stopping = threading.Event()
        self._server = _Server(address, self)
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._send_heartbeats, daemon=True),
        ]
        # The probability that a request fails, in equal parts for each kind of
        # failure.
        self.failure_probability = 0.0

    def __enter__(self) -> typing.Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._is_stopping.set()
        self._server.shutdown()
        self._server.server_close()

    def drain(self) -> None:
        """Announce the state draining from the next heartbeat on."""
        self._state = 'draining'

    def _send_heartbeats(self) -> None:
        while not self._is_stopping.wait(HEARTBEAT_S):
            self._sequence += 1
            if self._announce() and self._state == 'draining':
                self._history.drain_confirmed_s.setdefault(
                    self.id, time.monotonic()
                )

    def _announce(self) -> bool:
        state = self._state
        announcement = {
            'service': self.service,
            'address': self.announced_address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self._sequence,
            'born': self._started_ms,
        }
        control_addresses = self._rng.sample(
            self._control_addresses, len(self._control_addresses)
        )
        for control_address in control_addresses:
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = send_request(
                    control_address,
                    'PUT',
                    f'/-/instances/{self.id}',
                    json.dumps(announcement).encode(),
                ).status
                if 200 <= status < 300:
                    return state == self._state
        return False

    def handle_request(self, handler: _Handler, body: bytes) -> None:
        """Execute a request, or fail as real targets do.

        With :attr:`failure_probability`, the target refuses the request
        without executing it, closes the connection without a response,
        responds with status 500 or truncates a stream.
        """
        attempt_id = handler.headers.get('Attempt-Id', '')
        expected = handler.headers.get('Expect-Instance')
        if expected and expected != self.id:
            self._respond(handler, 421, b'', {'Not-Executed': '1'})
            return
        outcome_draw = self._rng.random()
        if outcome_draw < self.failure_probability / 4:
            self._respond(handler, 503, b'', {'Not-Executed': '1'})
            return
        digest = hashlib.sha256(attempt_id.encode() + self.id.encode() + body)
        execution = history_module.Execution(
            attempt_id=attempt_id,
            target=self.id,
            service=self.service,
            account=handler.headers.get('Tenant', ''),
            body=body,
            has_authorization='Authorization' in handler.headers,
            started_s=time.monotonic(),
            response_body=digest.hexdigest().encode() * 20,
            failure_domain=self.failure_domain,
        )
        self._history.add_execution(execution)
        time.sleep(_PROCESSING_S)
        if outcome_draw < self.failure_probability / 2:
            handler.close_connection = True
            return
        if outcome_draw < self.failure_probability * 3 / 4:
            self._respond(handler, 500, b'failed', {})
            return
        if self.service == 'llm':
            self._respond_with_stream(
                handler,
                attempt_id,
                is_truncated=outcome_draw < self.failure_probability,
            )
        else:
            self._respond(handler, 200, execution.response_body, {})

    def _make_signature_headers(self, handler: _Handler) -> dict[str, str]:
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
        for name, value in (
            self._make_signature_headers(handler) | headers
        ).items():
            handler.send_header(name, value)
        handler.send_header('Content-Length', str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _respond_with_stream(
        self, handler: _Handler, attempt_id: str, *, is_truncated: bool
    ) -> None:
        first_number = int(handler.headers.get('Last-Event-Id') or 0) + 1
        handler.send_response(200)
        for name, value in self._make_signature_headers(handler).items():
            handler.send_header(name, value)
        handler.send_header('Content-Type', 'text/event-stream')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        for number in range(first_number, history_module.EVENT_COUNT + 1):
            event = history_module.make_event(attempt_id, number)
            if is_truncated and number == history_module.EVENT_COUNT // 2:
                handler.wfile.write(b'%x\r\n%b' % (len(event), event[:5]))
                handler.close_connection = True
                return
            handler.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
            time.sleep(_EVENT_INTERVAL_S)
        handler.wfile.write(b'0\r\n\r\n')


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """A complete response to :func:`send_request`."""

    status: int
    body: bytes


def send_request(
    address: str, method: str, path: str, body: bytes = b''
) -> Response:
    """Send one HTTP request on a new connection.

    :param address: the address as ``IP:PORT``
    :returns: the complete response
    :raises OSError: if the connection can't be opened, fails or times out
    :raises HTTPException: if the response is malformed or incomplete
    """
    connection = http.client.HTTPConnection(address, timeout=_CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(
            method, path, body, {'Content-Type': 'application/json'}
        )
        response = connection.getresponse()
        return Response(status=response.status, body=response.read())
