"""Test calls to an engine over curl, with a scripted engine."""

import contextlib
import selectors
import socket

import pytest

from bambooring_agent.engine import task
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import reactor as reactor_module

MAX_ITERATIONS = 2000


class _StutteringEngine:
    """Send each response once more, before the next on its connection."""

    def __init__(self, reactor):
        self._reactor = reactor
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        self._sockets = []
        reactor.watch(self._listener, selectors.EVENT_READ, self._accept)

    def _accept(self, events):
        sock, _ = self._listener.accept()
        self._sockets.append(sock)
        copies: list[bytes] = []
        self._reactor.watch(
            sock,
            selectors.EVENT_READ,
            lambda events: self._answer(sock, copies),
        )

    def _answer(self, sock, copies):
        with contextlib.suppress(OSError):
            request = sock.recv(65536)
            if request:
                path = request.split(b' ')[1]
                answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
                    len(path),
                    path,
                )
                sock.sendall(b''.join(copies) + answer)
                copies[:] = [answer]
                return
        self._reactor.unwatch(sock)

    def close(self):
        """Close all connections."""
        for sock in [*self._sockets, self._listener]:
            self._reactor.unwatch(sock)
            sock.close()


class _Listener:
    """Record the bodies and the outcomes of attempts."""

    def __init__(self):
        self.bodies: dict[int, bytes] = {}
        self.outcomes: dict[int, dispatch.Outcome] = {}

    def handle_response_head(self, attempt_id, status, headers):
        """Take no note of the head."""

    def handle_response_data(self, attempt_id, data):
        """Record a part of the body."""
        self.bodies[attempt_id] = self.bodies.get(attempt_id, b'') + data
        return True

    def handle_call_end(self, attempt_id, outcome, reason):
        """Record how a call ended."""
        self.outcomes[attempt_id] = outcome

    def handle_health_change(self, is_ready):
        """Take no note of the engine's health."""


# A caller got the response to another caller's request: the engine had sent
# that a second time on a kept connection.
@pytest.mark.parametrize('kind', list(dispatch.Kind))
def test_late_copy_is_no_other_attempts_response(kind):
    """Each attempt gets its own response, or fails."""
    with reactor_module.Reactor() as reactor:
        engine = _StutteringEngine(reactor)
        listener = _Listener()
        client = task.CurlEngineClient(
            reactor=reactor,
            url=engine.url,
            health_path=None,
            listener=listener,
        )
        with client, contextlib.closing(engine):
            for attempt in range(1, 4):
                _call(reactor, client, listener, attempt, kind)
        for attempt, outcome in listener.outcomes.items():
            if outcome is dispatch.Outcome.COMPLETE:
                assert listener.bodies[attempt] == b'/%d' % attempt


def _call(reactor, client, listener, attempt, kind):
    client.call(
        dispatch.Start(
            attempt=attempt,
            incarnation=1,
            request_id=str(attempt),
            service='app',
            account='',
            kind=kind,
            path=f'/{attempt}',
        )
    )
    for _ in range(MAX_ITERATIONS):
        if attempt in listener.outcomes:
            return
        reactor.call_later(0.001, lambda: None)
        reactor.run_once()
    raise AssertionError('the call did not end in time')
