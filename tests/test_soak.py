"""Test the checks and the relay of the soak, and run short soaks."""

import contextlib
import math
import random
import signal
import socket
import time
from unittest import mock

import pytest

from soak import __main__ as soak_main
from soak import cluster as cluster_module
from soak import faults as faults_module
from soak import history as history_module
from soak import operator as operator_module
from soak import relay as relay_module
from soak import route_checks
from soak import routes as routes_module

SHORT_DURATION_S = 6.0


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


def test_valid_request_is_no_violation():
    """A request executed once that got its own response is no violation."""
    assert _check_history(_make_request(), [_make_execution()]) == []


@pytest.mark.parametrize(
    ('request_changes', 'execution_changes', 'expected_text'),
    [
        ({}, {'account': 'forged'}, 'account'),
        ({}, {'has_authorization': True}, 'key forwarded'),
        ({}, {'body': b'else'}, 'body'),
        ({}, {'service': 'llm'}, 'service'),
        ({}, {'attempt_id': 'a2'}, 'without a request'),
        ({'response_body': b'part'}, {}, 'not the response'),
        ({'signature': 'i-2'}, {}, 'signed by no target'),
        ({'status': 503, 'response_body': b''}, {}, 'but executed'),
    ],
)
def test_violations_are_reported(
    request_changes, execution_changes, expected_text
):
    """Each violation of a guarantee to callers is reported."""
    violations = _check_history(
        _make_request(**request_changes),
        [_make_execution(**execution_changes)],
    )
    assert any(expected_text in line for line in violations), violations


def test_booking_executed_twice_is_reported():
    """A booking executed twice is reported; a read may execute twice."""
    executions = [_make_execution(), _make_execution(target='i-2')]
    assert any(
        '2 times' in line
        for line in _check_history(_make_request(), executions)
    )
    assert _check_history(_make_request(kind='read'), executions) == []


def test_late_executions_are_reported():
    """Executions with a revoked key or at a leaving target are reported."""
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


def test_older_policy_is_reported():
    """Reading a version older than one confirmed before is reported."""
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


def test_request_interrupted_by_planned_stop_is_reported():
    """It is reported unless another fault was active at the time."""
    interrupted_request = _make_request(
        status=0, is_complete=False, failure='lost', response_body=b''
    )
    planned_stops = [
        history_module.PlannedStop(
            entry='entry-0', started_s=10.2, ended_s=13.0
        )
    ]
    violations = _check_history(
        interrupted_request, [_make_execution()], planned_stops=planned_stops
    )
    assert any('planned stop' in line for line in violations)
    disturbed_periods = [(11.0, 12.0)]
    assert (
        _check_history(
            interrupted_request,
            [_make_execution()],
            planned_stops=planned_stops,
            disturbed_periods=disturbed_periods,
        )
        == []
    )


@contextlib.contextmanager
def _open_relay():
    """Yield a relay and the client and server ends of a connection."""
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


def test_relay_forwards_both_ways():
    """The relay forwards data in both directions, and the end of a stream."""
    with _open_relay() as (_, client, server):
        client.sendall(b'ask')
        assert server.recv(9) == b'ask'
        server.sendall(b'answer')
        assert client.recv(9) == b'answer'
        server.close()
        assert client.recv(9) == b''


def test_relay_blocks_one_direction():
    """One direction works; data of the other arrive after the repair."""
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


def test_relay_resets_connections():
    """The client sees its connection reset."""
    with _open_relay() as (relay, client, server):
        client.sendall(b'ask')
        assert server.recv(9) == b'ask'
        relay.reset_connections()
        with pytest.raises(ConnectionResetError):
            client.recv(9)


def test_stalled_connection_stays_silent():
    """A stalled connection forwards nothing more."""
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


def test_recovery_is_checked_while_callers_send():
    """A request that is added during the check causes no error.

    The check iterated over the live dictionary of requests, so that a caller
    that sent a request at that time ended the run with an error.
    """
    history = history_module.History()
    request = mock.Mock(
        spec=history_module.SentRequest, attempt_id='a1', status=200
    )
    sent_s = mock.PropertyMock(
        side_effect=lambda: (
            history.add_request(_make_request(attempt_id='a2')) or 20.0
        )
    )
    type(request).sent_s = sent_s
    history.add_request(request)
    assert soak_main.check_recovery(history, 19.0) == []
    assert len(history.list_requests()) == 2


class _SlowCluster:
    """A cluster on an injected clock, whose processes take time to exit.

    It records what goes wrong in ``errors``: the start of a process that runs
    already, a planned stop of one that is paused, and a control replica that
    is made unavailable before another one has had time to catch up.
    """

    KILL_S = 1.0
    STOP_S = 4.5

    def __init__(self):
        self.now_s = 0.0
        self.history = history_module.History()
        self.errors = []
        self.paused = set()
        self.caught_up_s = {}
        self.processes = {
            name: cluster_module.Process(
                name=name,
                host_number=host_number,
                failure_domain='rajkot',
                role='control' if name.startswith('control') else 'edge',
                folder=mock.MagicMock(),
            )
            for host_number, name in enumerate(
                ('control-0', 'control-1', 'control-2', 'entry-0', 'entry-1')
            )
        }
        self.relays = {'entry-0': mock.MagicMock()}
        self.targets = [mock.MagicMock()]

    def monotonic(self):
        return self.now_s

    def sleep(self, duration_s):
        self.now_s += duration_s

    def start(self, process):
        if process.is_expected_to_run:
            self.errors.append(f'{process.name} started twice')
        process.is_expected_to_run = True
        self._restore(process)

    def _restore(self, process):
        if process.role == 'control':
            self.caught_up_s[process.name] = (
                self.now_s + faults_module.CATCH_UP_S
            )

    def _lose(self, process):
        """Check that the other control replicas are available."""
        if process.role != 'control':
            return
        for name, caught_up_s in self.caught_up_s.items():
            if name != process.name and caught_up_s > self.now_s:
                self.errors.append(f'{process.name} lost with {name}')
        self.caught_up_s[process.name] = math.inf

    def kill(self, process):
        self._lose(process)
        process.is_expected_to_run = False
        self.paused.discard(process.name)
        self.now_s += self.KILL_S

    def stop(self, process):
        if process.name in self.paused:
            self.errors.append(f'{process.name} stopped while paused')
        self._lose(process)
        process.is_expected_to_run = False
        self.now_s += self.STOP_S

    def signal(self, process, signal_number):
        if signal_number == signal.SIGSTOP:
            self._lose(process)
            self.paused.add(process.name)
        if signal_number == signal.SIGCONT and process.name in self.paused:
            self.paused.discard(process.name)
            self._restore(process)

    def restart_exited_processes(self):
        pass

    def delete_data(self, process):
        pass

    def set_clock_offset(self, process, offset_s):
        pass

    def replace_target(self, target_index):
        pass


@pytest.mark.parametrize('seed', range(20))
def test_late_repair_precedes_next_fault(seed, monkeypatch):
    """A process gets no further fault before the repair of its last one.

    A fault that waits for a process to exit delays the repairs that are due
    meanwhile. The next fault could then hit a process that was still down: it
    was started twice, the second start found its addresses in use, and the
    first process ran on unwatched.
    """
    cluster = _SlowCluster()
    monkeypatch.setattr(faults_module, 'time', cluster)
    injector = faults_module.FaultInjector(cluster, random.Random(seed))
    injector.run(300.0)
    assert cluster.errors == []
    assert not cluster.paused
    assert all(
        process.is_expected_to_run for process in cluster.processes.values()
    )


def test_running_process_is_not_started_again(tmp_path):
    """A second start would leave the first process unwatched."""
    cluster = cluster_module.Cluster(tmp_path, seed=1)
    process = cluster_module.Process(
        name='entry-0',
        host_number=10,
        failure_domain='rajkot',
        role='edge',
        folder=tmp_path,
        popen=mock.Mock(poll=lambda: None),
    )
    with pytest.raises(cluster_module.AlreadyRunningError):
        cluster.start(process)


# Seeds that run at each change. A seed that has failed stays here with a line
# on the cause.
# 146: a reload signal that arrived while a process was still importing modules
# ended it; in the same run a process was started twice (docs/PROOFS.md).
# 507: a replica that was frozen carried out the withdrawal of an evacuation
# that its operator had given up, after the next evacuation.
# 508: on a machine with a load of 31, all processes stood still for 2 to 3 s
# at a time during the recovery; it passed when it was run again.
SEEDS = (1, 146, 507, 508)


@pytest.mark.parametrize('seed', SEEDS)
def test_short_soak(seed, tmp_path):
    """The real processes keep their guarantees under a few faults."""
    assert soak_main.run_seed(seed, SHORT_DURATION_S, tmp_path) == []


# The soak took a key of one account for that of another (seed 9006).
def test_rotated_key_is_no_key_that_callers_have(monkeypatch):
    """Whatever the version is, also that of the second policy."""
    cluster = mock.Mock()
    cluster.history.revoked_s = {}
    monkeypatch.setattr(operator_module.time, 'sleep', lambda seconds: None)
    for version in range(1, 6):
        operator = operator_module.Operator(cluster, random.Random(version))
        draft = operator._draft
        draft.version = version
        before = dict(draft.accounts_by_key)
        monkeypatch.setattr(
            operator, '_publish_policy', lambda policy, deadline_s: True
        )
        operator._rotate_key()
        kept = before.keys() & draft.accounts_by_key.keys()
        assert routes_module.API_KEY in kept
        assert len(kept) == 2
        assert all(draft.accounts_by_key[key] == before[key] for key in kept)
        assert len(draft.accounts_by_key) == 3


def _check_routes(*requests, policies, disturbed_periods=()):
    """Return the violations of requests on changing routes.

    :param requests: for each, when it was sent and its outcome: a service, or
        an empty text if the route is unknown
    :param policies: for each, when it was confirmed and the route's service
    """
    history = history_module.History()
    history.disturbed_periods = list(disturbed_periods)
    for version, (confirmed_s, service) in enumerate(policies, start=1):
        history.published_policies[version] = history_module.PublishedPolicy(
            version=version,
            content='',
            sent_s=confirmed_s - 0.1,
            routes={'route-0': service} if service else {},
            confirmed_s=confirmed_s,
        )
    for service in ('app', 'llm'):
        history.add_execution(_make_execution(target=service, service=service))
    for number, (sent_s, outcome) in enumerate(requests):
        history.add_request(
            _make_request(
                attempt_id=f'r-{number}',
                kind=history_module.ROUTE_KIND,
                route='route-0',
                sent_s=sent_s,
                ended_s=sent_s + 0.1,
                status=200 if outcome else 404,
                signature=outcome,
                process_id=1,
            )
        )
    return list(route_checks.check(history))


@pytest.mark.parametrize(
    ('requests', 'policies', 'expected_text'),
    [
        ([(13.0, '')], [(10.0, 'app')], 'no policy allows'),
        ([(13.0, '')], [(5.0, ''), (10.0, 'app')], 'not in force in time'),
        ([(13.0, 'app')], [(5.0, 'app'), (10.0, '')], 'not in force in time'),
        ([(13.0, 'app')], [(5.0, 'app'), (10.0, 'llm')], 'not in force'),
        (
            [(10.5, 'llm'), (13.0, 'app')],
            [(5.0, 'app'), (10.0, 'llm')],
            'older than policy 2',
        ),
    ],
)
def test_stale_routes_are_reported(requests, policies, expected_text):
    """A route that is missing, dropped or moved is handled as before."""
    violations = _check_routes(*requests, policies=policies)
    assert any(expected_text in line for line in violations)


def test_current_routes_are_no_violation():
    """Either policy may be in force until the newer one has to be."""
    policies = [(5.0, 'app'), (10.0, 'llm')]
    assert not _check_routes((11.0, 'app'), (13.0, 'llm'), policies=policies)
    late = _check_routes(
        (13.0, 'app'), policies=policies, disturbed_periods=[(9.0, 9.5)]
    )
    assert not late
