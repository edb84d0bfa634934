"""Test the calls to an engine over loopback sockets."""

import selectors
import socket

import pytest

from bambooring_agent.engine import task
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import reactor as reactor_module

MAX_ITERATIONS = 2000


class _RepeatingEngine:
    """Send each response once more, when the next request has come."""

    def __init__(self, reactor, status=b'200'):
        self._reactor = reactor
        self._status = status
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        reactor.watch(self._listener, selectors.EVENT_READ, self._accept)

    def close(self):
        self._reactor.unwatch(self._listener)
        self._listener.close()

    def _accept(self, events):
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        sent: list[bytes] = []
        self._reactor.watch(
            sock, selectors.EVENT_READ, lambda events: self._answer(sock, sent)
        )

    def _answer(self, sock, sent):
        data = sock.recv(65536)
        if not data:
            self._reactor.unwatch(sock)
            sock.close()
            return
        path = data.split(b' ')[1]
        sent.append(
            b'HTTP/1.1 %b OK\r\nContent-Length: %d\r\n\r\n%b'
            % (self._status, len(path), path)
        )
        sock.sendall(b''.join(sent[-2:]))


class _Listener:
    """Record the bodies of attempts that have ended."""

    def __init__(self):
        self.bodies: dict[int, bytes] = {}
        self.ended: dict[int, dispatch.Outcome] = {}

    def handle_response_head(self, attempt_id, status, headers):
        self.bodies[attempt_id] = b''

    def handle_response_data(self, attempt_id, data):
        self.bodies[attempt_id] += data
        return True

    def handle_call_end(self, attempt_id, outcome, reason):
        self.ended[attempt_id] = outcome

    def handle_health_change(self, is_healthy):
        pass


def _make_start(attempt_id, kind):
    return dispatch.Start(
        attempt=attempt_id,
        incarnation=1,
        request_id=f'r{attempt_id}',
        service='s',
        account='a',
        weight=1,
        priority=0,
        kind=kind,
        lane=dispatch.Lane.SHORT,
        cost=1.0,
        method='POST',
        path=f'/{attempt_id}',
        headers=[],
        body=b'x',
        start_within_s=5.0,
        end_within_s=5.0,
        is_chat=False,
        prefix=0,
    )


# Callers got the answer to the request before theirs.
@pytest.mark.parametrize('kind', dispatch.Kind)
def test_late_copy_of_an_answer_is_not_that_of_the_next_request(kind):
    """A copy that comes on the connection belongs to no request."""
    listener = _Listener()
    with reactor_module.Reactor() as reactor:
        engine = _RepeatingEngine(reactor)
        with task.CurlEngineClient(
            reactor=reactor,
            url=engine.url,
            health_path=None,
            listener=listener,
        ) as engine_client:
            for attempt_id in (1, 2, 3):
                engine_client.call(_make_start(attempt_id, kind))
                for _ in range(MAX_ITERATIONS):
                    if attempt_id in listener.ended:
                        break
                    reactor.call_later(0.001, lambda: None)
                    reactor.run_once()
        engine.close()
    assert listener.bodies == {1: b'/1', 2: b'/2', 3: b'/3'}


# Callers got answers with statuses that HTTP doesn't have.
@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
def test_answer_with_an_invalid_status_is_a_failure(status):
    """An engine in trouble has not answered; nothing of it is passed on."""
    listener = _Listener()
    with reactor_module.Reactor() as reactor:
        engine = _RepeatingEngine(reactor, status)
        with task.CurlEngineClient(
            reactor=reactor,
            url=engine.url,
            health_path=None,
            listener=listener,
        ) as engine_client:
            engine_client.call(_make_start(1, dispatch.Kind.IDEMPOTENT))
            for _ in range(MAX_ITERATIONS):
                if listener.ended:
                    break
                reactor.call_later(0.001, lambda: None)
                reactor.run_once()
        engine.close()
    assert not listener.bodies
    assert listener.ended == {1: dispatch.Outcome.UNKNOWN}
