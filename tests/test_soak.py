"""Check the soak itself, and play a short seeded run of it."""

import contextlib
import socket
import time

import pytest

from soak import __main__ as soak_main
from soak import history as history_module
from soak import relay as relay_module

SHORT_SECONDS = 6.0


def _make_request(**changes):
    values = {
        'attempt_id': 'a1',
        'kind': 'book',
        'entry': 'entry-0',
        'api_key': 'k-1',
        'account': 't-1',
        'sent_s': 10.0,
        'ended_s': 10.5,
        'status': 200,
        'response_body': b'done',
        'signature': 'i-1',
        'is_complete': True,
    }
    return history_module.SentRequest(**(values | changes))


def _make_execution(**changes):
    values = {
        'attempt_id': 'a1',
        'target': 'i-1',
        'service': 'app',
        'account': 't-1',
        'body': b'',
        'has_authorization': False,
        'started_s': 10.1,
        'response_body': b'done',
    }
    return history_module.Execution(**(values | changes))


def _check_history(request, executions, **observations):
    history = history_module.History()
    history.add_request(request)
    for execution in executions:
        history.add_execution(execution)
    for name, value in observations.items():
        setattr(history, name, value)
    return list(history.check())


def test_good_request_breaks_nothing():
    """A request that ran once and got its own answer is fine."""
    assert _check_history(_make_request(), [_make_execution()]) == []


@pytest.mark.parametrize(
    ('request_changes', 'execution_changes', 'expected_text'),
    [
        ({}, {'account': 'forged'}, 'account'),
        ({}, {'has_authorization': True}, 'key shown'),
        ({}, {'body': b'else'}, 'body'),
        ({}, {'service': 'llm'}, 'service'),
        ({}, {'attempt_id': 'a2'}, 'nobody asked'),
        ({'response_body': b'part'}, {}, 'not the answer'),
        ({'signature': 'i-2'}, {}, 'signed by no target'),
        ({'status': 503, 'response_body': b''}, {}, 'but ran'),
    ],
)
def test_broken_promises_are_seen(
    request_changes, execution_changes, expected_text
):
    """Each way to break a promise to a caller is found."""
    violations = _check_history(
        _make_request(**request_changes),
        [_make_execution(**execution_changes)],
    )
    assert any(expected_text in line for line in violations), violations


def test_two_runs_of_a_booking():
    """A booking that ran twice is found; a read may run twice."""
    executions = [_make_execution(), _make_execution(target='i-2')]
    assert any(
        '2 times' in line
        for line in _check_history(_make_request(), executions)
    )
    assert _check_history(_make_request(kind='read'), executions) == []


def test_late_runs_are_seen():
    """Runs with a revoked key or at a leaving target are found."""
    late = {'sent_s': 20.0, 'ended_s': 20.5}
    execution = _make_execution(started_s=20.1)
    violations = _check_history(
        _make_request(**late), [execution], revoked_s={'k-1': 10.0}
    )
    assert any('revoked' in line for line in violations)
    violations = _check_history(
        _make_request(**late), [execution], drain_confirmed_s={'i-1': 10.0}
    )
    assert any('leaving' in line for line in violations)


def test_older_policy_is_seen():
    """Reading less than what was confirmed before is found."""
    published_policies = {
        version: history_module.PublishedPolicy(
            version=version, content=str(version), confirmed_s=float(version)
        )
        for version in (1, 2)
    }
    read = history_module.PolicyRead(
        version=1, content='1', requested_s=3.0, replica_address='control-0'
    )
    violations = _check_history(
        _make_request(),
        [_make_execution()],
        published_policies=published_policies,
        policy_reads=[read],
    )
    assert any('older' in line for line in violations)


def test_request_cut_by_a_planned_stop():
    """A cut counts unless something else was wrong at the time."""
    cut = _make_request(
        status=0, is_complete=False, failure='cut', response_body=b''
    )
    planned_stops = [
        history_module.PlannedStop(
            entry='entry-0', started_s=10.2, ended_s=13.0
        )
    ]
    violations = _check_history(
        cut, [_make_execution()], planned_stops=planned_stops
    )
    assert any('planned stop' in line for line in violations)
    disturbed_periods = [(11.0, 12.0)]
    assert (
        _check_history(
            cut,
            [_make_execution()],
            planned_stops=planned_stops,
            disturbed_periods=disturbed_periods,
        )
        == []
    )


@contextlib.contextmanager
def _open_relay():
    """Yield a relay, its dialling end and its far end."""
    with socket.create_server(('127.0.0.1', 0)) as upstream:
        port_holder = socket.create_server(('127.0.0.1', 0))
        listen_address = port_holder.getsockname()
        port_holder.close()
        with relay_module.Relay(
            listen_address, upstream.getsockname()
        ) as relay:
            client = socket.create_connection(listen_address)
            server, _ = upstream.accept()
            with client, server:
                client.settimeout(5.0)
                server.settimeout(5.0)
                yield relay, client, server


def test_relay_passes_both_ways():
    """Bytes come through, and so does the end."""
    with _open_relay() as (_, client, server):
        client.sendall(b'ask')
        assert server.recv(9) == b'ask'
        server.sendall(b'answer')
        assert client.recv(9) == b'answer'
        server.close()
        assert client.recv(9) == b''


def test_relay_cuts_one_way():
    """One direction goes on; the other one is held until it is mended."""
    with _open_relay() as (relay, client, server):
        relay.mode = relay_module.Mode.BACKWARD_ONLY
        client.sendall(b'ask')
        server.sendall(b'news')
        assert client.recv(9) == b'news'
        server.settimeout(0.1)
        with pytest.raises(TimeoutError):
            server.recv(9)
        relay.mode = relay_module.Mode.PASS
        server.settimeout(5.0)
        assert server.recv(9) == b'ask'


def test_relay_resets():
    """Both ends see the connection reset."""
    with _open_relay() as (relay, client, server):
        client.sendall(b'ask')
        assert server.recv(9) == b'ask'
        relay.reset_connections()
        with pytest.raises(ConnectionResetError):
            client.recv(9)


def test_stuck_connection_stays_silent():
    """What is stuck stays so, while a new connection works."""
    with _open_relay() as (relay, client, server):
        client.sendall(b'ask')
        assert server.recv(9) == b'ask'
        relay.stall_connections()
        deadline_s = time.monotonic() + 5.0
        while not all(pipe.is_stalled for pipe in relay._pipes.values()):
            assert time.monotonic() < deadline_s
        server.sendall(b'lost')
        client.settimeout(0.1)
        with pytest.raises(TimeoutError):
            client.recv(9)


# Seeds that are played at each change; those that failed once stay here
# with a line on the cause.
# 146: a reload while a process loads its modules ended it; another end of the
# same run is open (docs/PROOFS.md).
SEEDS = (1, 146)


@pytest.mark.parametrize('seed', SEEDS)
def test_short_soak(seed, tmp_path):
    """The real processes keep their promises under a few faults."""
    assert soak_main.run_seed(seed, SHORT_SECONDS, tmp_path) == []
