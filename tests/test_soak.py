"""Check the soak itself, and play a short seeded run of it."""

import contextlib
import socket
import time

import pytest

from soak import __main__ as soak_main
from soak import ledger as ledger_module
from soak import relay as relay_module

SHORT_SECONDS = 6.0


def _make_sent(**changes):
    values = {
        'attempt': 'a1',
        'kind': 'book',
        'entry': 'entry-0',
        'key': 'k-1',
        'account': 't-1',
        'sent_s': 10.0,
        'ended_s': 10.5,
        'status': 200,
        'answer': b'done',
        'signature': 'i-1',
        'is_whole': True,
    }
    return ledger_module.Sent(**(values | changes))


def _make_run(**changes):
    values = {
        'attempt': 'a1',
        'target': 'i-1',
        'service': 'app',
        'account': 't-1',
        'body': b'',
        'is_key_shown': False,
        'at_s': 10.1,
        'answer': b'done',
    }
    return ledger_module.Run(**(values | changes))


def _check(sent, runs, **more):
    ledger = ledger_module.Ledger()
    ledger.add_sent(sent)
    for run in runs:
        ledger.add_run(run)
    for name, value in more.items():
        setattr(ledger, name, value)
    return list(ledger.check())


def test_good_request_breaks_nothing():
    """A request that ran once and got its own answer is fine."""
    assert _check(_make_sent(), [_make_run()]) == []


@pytest.mark.parametrize(
    ('sent', 'run', 'word'),
    [
        ({}, {'account': 'forged'}, 'account'),
        ({}, {'is_key_shown': True}, 'key shown'),
        ({}, {'body': b'else'}, 'body'),
        ({}, {'service': 'llm'}, 'service'),
        ({}, {'attempt': 'a2'}, 'nobody asked'),
        ({'answer': b'part'}, {}, 'not the answer'),
        ({'signature': 'i-2'}, {}, 'signed by no target'),
        ({'status': 503, 'answer': b''}, {}, 'but ran'),
    ],
)
def test_broken_promises_are_seen(sent, run, word):
    """Each way to break a promise to a caller is found."""
    broken = _check(_make_sent(**sent), [_make_run(**run)])
    assert any(word in line for line in broken), broken


def test_two_runs_of_a_booking():
    """A booking that ran twice is found; a read may run twice."""
    runs = [_make_run(), _make_run(target='i-2')]
    assert any('2 times' in line for line in _check(_make_sent(), runs))
    assert _check(_make_sent(kind='read'), runs) == []


def test_late_runs_are_seen():
    """Runs with a revoked key or at a leaving target are found."""
    late = {'sent_s': 20.0, 'ended_s': 20.5}
    run = _make_run(at_s=20.1)
    broken = _check(_make_sent(**late), [run], revoked_s={'k-1': 10.0})
    assert any('revoked' in line for line in broken)
    broken = _check(_make_sent(**late), [run], left_s={'i-1': 10.0})
    assert any('leaving' in line for line in broken)


def test_older_policy_is_seen():
    """Reading less than what was confirmed before is found."""
    published = {
        version: ledger_module.Published(
            version=version, content=str(version), confirmed_s=float(version)
        )
        for version in (1, 2)
    }
    read = ledger_module.Read(
        version=1, content='1', asked_s=3.0, replica='control-0'
    )
    broken = _check(
        _make_sent(), [_make_run()], published=published, reads=[read]
    )
    assert any('older' in line for line in broken)


def test_request_cut_by_a_planned_stop():
    """A cut counts unless something else was wrong at the time."""
    cut = _make_sent(status=0, is_whole=False, failure='cut', answer=b'')
    stops = [ledger_module.Stop(entry='entry-0', began_s=10.2, ended_s=13.0)]
    broken = _check(cut, [_make_run()], stops=stops)
    assert any('planned stop' in line for line in broken)
    disturbed = [(11.0, 12.0)]
    assert _check(cut, [_make_run()], stops=stops, disturbed=disturbed) == []


@contextlib.contextmanager
def _open_relay():
    """Yield a relay, its dialling end and its far end."""
    with socket.create_server(('127.0.0.1', 0)) as far:
        probe = socket.create_server(('127.0.0.1', 0))
        listen = probe.getsockname()
        probe.close()
        with relay_module.Relay(listen, far.getsockname()) as relay:
            near = socket.create_connection(listen)
            other, _ = far.accept()
            with near, other:
                near.settimeout(5.0)
                other.settimeout(5.0)
                yield relay, near, other


def test_relay_passes_both_ways():
    """Bytes come through, and so does the end."""
    with _open_relay() as (_, near, other):
        near.sendall(b'ask')
        assert other.recv(9) == b'ask'
        other.sendall(b'answer')
        assert near.recv(9) == b'answer'
        other.close()
        assert near.recv(9) == b''


def test_relay_cuts_one_way():
    """One direction goes on; the other one is held until it is mended."""
    with _open_relay() as (relay, near, other):
        relay.mode = relay_module.Mode.BACKWARD_ONLY
        near.sendall(b'ask')
        other.sendall(b'news')
        assert near.recv(9) == b'news'
        other.settimeout(0.1)
        with pytest.raises(TimeoutError):
            other.recv(9)
        relay.mode = relay_module.Mode.PASS
        other.settimeout(5.0)
        assert other.recv(9) == b'ask'


def test_relay_resets():
    """Both ends see the connection reset."""
    with _open_relay() as (relay, near, other):
        near.sendall(b'ask')
        assert other.recv(9) == b'ask'
        relay.reset()
        with pytest.raises(ConnectionResetError):
            near.recv(9)


def test_stuck_connection_stays_silent():
    """What is stuck stays so, while a new connection works."""
    with _open_relay() as (relay, near, other):
        near.sendall(b'ask')
        assert other.recv(9) == b'ask'
        relay.stick()
        time_end_s = time.monotonic() + 5.0
        while not all(pipe.is_stuck for pipe in relay._pipes.values()):
            assert time.monotonic() < time_end_s
        other.sendall(b'lost')
        near.settimeout(0.1)
        with pytest.raises(TimeoutError):
            near.recv(9)


# Seeds that are played at each change; those that failed once stay here
# with a line on the cause.
# 146: a reload while a process loads its modules ended it; another end of the
# same run is open (docs/PROOFS.md).
SEEDS = (1, 146)


@pytest.mark.parametrize('seed', SEEDS)
def test_short_soak(seed, tmp_path):
    """The real processes keep their promises under a few faults."""
    assert soak_main.soak(seed, SHORT_SECONDS, tmp_path) == []
