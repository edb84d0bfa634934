"""Test which lost connections count as crashes, over loopback sockets."""

import contextlib
import socket

import pytest

from bambooring.crashes import causes as causes_module
from bambooring.crashes import const
from bambooring.crashes import messages
from bambooring.crashes import state
from bambooring.crashes import task
from bambooring.forwarding import suspicions
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core import reactor as reactor_module

CAUSES = causes_module.compute_causes(
    prompt_parts=('deadly', 'own'),
    method='POST',
    request_target='/a',
    account='',
    body=b'',
)


def _make_target(port):
    return targets.Target(
        id='t0',
        service='app',
        address=f'127.0.0.1:{port}',
        failure_domain='a',
        slots=4,
        state=targets.State.READY,
        born_ms=1,
        sequence=1,
    )


@pytest.fixture
def listener():
    """Return a listening socket."""
    with contextlib.closing(socket.create_server(('127.0.0.1', 0))) as sock:
        yield sock


def _check(port, count=1):
    """Check a target some times at once; return the decision and the news."""
    news: list[messages.CrashNews] = []
    results: list[bool] = []
    with reactor_module.Reactor() as reactor:
        guard = task.CrashGuard(reactor=reactor, send_news=news.append)
        for number in range(count):
            guard.check_target(
                _make_target(port),
                CAUSES,
                str(number),
                lambda result: results.append(True),
            )
        while len(results) < count:
            reactor.run_once()
        return guard.decide(CAUSES).status, news


def test_target_that_refuses_connections_has_crashed(listener):
    """All requests that it dropped share one check and make one crash."""
    port = listener.getsockname()[1]
    listener.close()
    decision, news = _check(port, count=3)
    assert decision is state.Status.QUARANTINED
    assert len(news) == 1


def test_target_that_accepts_connections_has_not(listener):
    """Connections were reset, or the target drops some of its requests."""
    decision, news = _check(listener.getsockname()[1])
    assert decision is state.Status.CLEAR
    assert not news


def test_target_that_does_not_answer_is_not_blamed():
    """The network may be cut: a full backlog leaves connections pending."""
    with socket.socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        address = full.getsockname()
        waiting = []
        for _ in range(8):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            waiting.append(sock)
        decision, news = _check(address[1])
        for sock in waiting:
            sock.close()
    assert decision is state.Status.CLEAR
    assert not news


# Two suspect requests were sent at once.
def test_probe_that_ends_late_does_not_end_the_next_one():
    """A probe outlives its time-out if its target is silent for long."""
    clock = clock_module.ManualClock()
    with reactor_module.Reactor(clock) as reactor:
        guard = task.CrashGuard(reactor=reactor, send_news=lambda news: None)
        decision = state.Decision(status=state.Status.PROBE, key=5)
        probes = []
        for _ in range(2):
            clock.advance(const.PROBE_TIMEOUT_S + 1.0)
            until_s = guard.begin_probe(decision, 'r')
            probes.append(
                suspicions.AttemptProbe(guard, decision.key, until_s)
            )
        probes[0].end()
        assert guard.list_all().trials
        probes[1].end()
        assert not guard.list_all().trials
