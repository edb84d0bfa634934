"""Test failures of real processes that communicate over real sockets.

Every wait is for an event, with a generous time limit.
"""

import concurrent.futures
import contextlib
import json
import pathlib
import random
import selectors
import shutil
import signal
import socket
import threading

import psutil
import pytest

from bambooring.replication import storage
from standins import caller
from standins import cluster as cluster_module

API_KEY = 'demo-key-rota-desk'
CHAT_SERVICE = 'rota-llm'
HTTP_SERVICE = 'rota-app'
DOMAINS = ('rajkot', 'amreli', 'junagadh')
TOKENS_PER_STREAM = 40
MALFORMED_REQUEST_COUNT = 1000


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Yield a cluster of three domains that runs the Mandal example."""
    folder = tmp_path_factory.mktemp('cluster')
    new_cluster = cluster_module.Cluster(
        folder, domains=DOMAINS, token_interval_ms=20
    )
    with new_cluster:
        new_cluster.add_control_instances()
        new_cluster.add_entry_instances()
        new_cluster.wait_leader()
        for domain in DOMAINS:
            new_cluster.add_target(
                f'{CHAT_SERVICE}-{domain}',
                service=CHAT_SERVICE,
                domain=domain,
                protocol='chat',
            )
            new_cluster.add_target(
                f'{HTTP_SERVICE}-{domain}',
                service=HTTP_SERVICE,
                domain=domain,
                protocol='http',
            )
        done = new_cluster.run_command('apply', 'examples/mandal')
        assert done.returncode == 0, done.stderr
        for name in _list_entry_names(new_cluster):
            new_cluster.wait_ready(name)
        _restore_cluster(new_cluster)
        yield new_cluster


def _list_entry_names(cluster):
    return [name for name in cluster.processes if name.startswith('entry-')]


def _restore_cluster(cluster):
    """Restart the processes that a test ended and wait until all serve."""
    for name, process in cluster.processes.items():
        if process.handle.poll() is not None:
            cluster.start(name)
    cluster.wait_leader()
    cluster.wait_targets(2 * len(DOMAINS))
    for name in _list_entry_names(cluster):
        cluster.wait_ready(name)
        cluster_module.wait_for(
            lambda name=name: (
                _stream_chat(cluster, name, tokens=1).is_successful
            ),
            f'{name} to serve chat requests',
        )
        cluster_module.wait_for(
            lambda name=name: _list_bookings(cluster, name).is_successful,
            f'{name} to reach the HTTP targets',
        )


def _stream_chat(cluster, entry, tokens=TOKENS_PER_STREAM):
    address = cluster.processes[entry].address
    body = caller.make_chat_body(CHAT_SERVICE, stream=True, max_tokens=tokens)
    return caller.call(f'http://{address}/v1/chat/completions', API_KEY, body)


def _list_bookings(cluster, entry):
    address = cluster.processes[entry].address
    return caller.call(
        f'http://{address}/services/{HTTP_SERVICE}/slots', API_KEY
    )


def _book(cluster, entry, key, **body):
    address = cluster.processes[entry].address
    return caller.call(
        f'http://{address}/services/{HTTP_SERVICE}/slots',
        API_KEY,
        json.dumps(body | {'slot': key}).encode(),
        {'Idempotency-Key': key},
    )


def _count_bookings(cluster, key):
    lines = [
        line
        for path in pathlib.Path(cluster.folder).glob('*.journal')
        for line in path.read_text().splitlines()
    ]
    return sum(json.loads(line)['body'].get('slot') == key for line in lines)


def _count_running(cluster, name):
    """Return the number of requests that a simulated engine runs."""
    address = cluster.processes[name].address
    response = caller.call(f'http://{address}/counts', API_KEY)
    return json.loads(response.body)['running']


def _check_complete_or_failed(response):
    """Check that a response is complete or can be seen to have failed."""
    if response.is_successful:
        words = response.extract_text().split()
        assert words == [f'word{index}' for index in range(TOKENS_PER_STREAM)]
        return
    assert response.curl_error or response.status >= 400


@contextlib.contextmanager
def _run_streams(cluster, count):
    """Start streams through all entry instances; wait until they run."""
    entries = _list_entry_names(cluster)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(_stream_chat, cluster, entries[index % len(entries)])
            for index in range(count)
        ]
        cluster_module.wait_for(
            lambda: (
                sum(
                    _count_running(cluster, f'{CHAT_SERVICE}-{domain}-engine')
                    for domain in DOMAINS
                )
                >= count
            ),
            'the streams to start',
        )
        yield futures


def test_malformed_requests_leave_no_resources(cluster):
    """Malformed requests are refused or closed and reach no target.

    They leave neither threads nor connections behind.
    """
    name = _list_entry_names(cluster)[0]
    process = psutil.Process(cluster.processes[name].handle.pid)
    engines = [f'{CHAT_SERVICE}-{domain}-engine' for domain in DOMAINS]

    def count_started():
        return sum(
            json.loads(
                caller.call(
                    f'http://{cluster.processes[engine].address}/counts',
                    API_KEY,
                ).body
            )['started']
            for engine in engines
        )

    counts_before = count_started(), process.num_threads()
    address = cluster.processes[name].address
    rng = random.Random(7)
    for _ in range(MALFORMED_REQUEST_COUNT):
        _send_malformed(address, rng)
    assert (count_started(), process.num_threads()) == counts_before
    cluster_module.wait_for(
        lambda: len(process.net_connections()) < 200,
        'the connections to close',
    )
    assert _stream_chat(cluster, name, tokens=2).is_successful


def _send_malformed(address, rng):
    """Send a malformed request, half-close, and read until the end."""
    data = _make_malformed(rng)
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        response = b''
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
            # If the peer has already refused the request and reset the
            # connection, there is nothing to half-close; its response is
            # read nonetheless.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(65536):
                response += chunk
    if response:
        status = int(response.split(b' ', 2)[1])
        assert status >= 400, (data[:200], response[:200])


def _make_malformed(rng):
    """Return bytes that are not a valid request to any target."""
    valid_body = caller.make_chat_body(CHAT_SERVICE, stream=True)
    head = (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer ' + API_KEY.encode() + b'\r\n'
    )
    truncated_size = rng.randrange(1, len(valid_body) - 1)
    return rng.choice(
        [
            rng.randbytes(rng.randrange(1, 400)),
            head
            + b'Content-Length: %d\r\n\r\n' % len(valid_body)
            + valid_body[:truncated_size],
            head + b'Content-Length: -5\r\n\r\n' + valid_body,
            head + b'Content-Length: x\r\n\r\n' + valid_body,
            head + b'Content-Length: 99999999999\r\n\r\n' + valid_body,
            head
            + b'Content-Length: %d\r\n\r\n' % truncated_size
            + valid_body[:truncated_size],
            head + b'Transfer-Encoding: chunked\r\n\r\nZZ\r\n' + valid_body,
            head
            + b'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n'
            + b'%x\r\n%b\r\n0\r\n\r\n' % (len(valid_body), valid_body),
            head + b'X: ' + b'y' * rng.randrange(40_000, 80_000),
            b'GET /' + b'a' * 70_000 + b' HTTP/1.1\r\n\r\n',
            head[: rng.randrange(1, len(head) - 1)],
            head + b'Content-Length: 2\r\n\r\n{}',
            head + b'Content-Length: 4\r\n\r\nnull',
            b'POST /v1/chat/completions HTTP/9.9\r\n\r\n',
            head.replace(API_KEY.encode(), b'wrong') + b'\r\n',
            head.replace(b'POST', b'DELETE') + b'\r\n',
        ]
    )


def test_leader_killed_during_apply(cluster, tmp_path):
    """A change in progress when the leader is killed is applied once."""
    declaration = {
        'kind': 'client_account',
        'name': 'new-mill',
        'schema': 1,
        'key_digest': 'a' * 64,
    }
    (tmp_path / 'new.json5').write_text(json.dumps(declaration))
    leader = cluster.wait_leader()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        apply_future = pool.submit(
            cluster.run_command, 'apply', str(tmp_path), '--wait', '25'
        )
        cluster.kill(leader)
        completed = apply_future.result()
    assert completed.returncode == 0, completed.stdout + completed.stderr
    records = cluster.get_client().list_records()['records']
    numbers = [
        record['number'] for record in records if record['name'] == 'new-mill'
    ]
    assert numbers == [1]
    _restore_cluster(cluster)


@pytest.mark.parametrize('suffix', ['', '-engine'])
def test_kill_in_mid_stream(cluster, suffix):
    """A stream truncated by a kill never looks like a complete response."""
    with _run_streams(cluster, 9) as futures:
        cluster.kill(f'{CHAT_SERVICE}-rajkot{suffix}')
        responses = [future.result() for future in futures]
    for response in responses:
        _check_complete_or_failed(response)
    assert any(response.is_successful for response in responses)
    _restore_cluster(cluster)


@pytest.mark.parametrize('suffix', ['', '-engine'])
def test_kill_in_mid_booking(cluster, suffix):
    """A booking whose target or agent is killed runs at most once."""
    key = f'killed{suffix}'
    entries = _list_entry_names(cluster)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        booking_future = pool.submit(
            _book, cluster, entries[0], key, delay_s=3
        )
        cluster_module.wait_for(
            lambda: _count_bookings(cluster, key), 'the booking to run'
        )
        target = next(
            path.stem
            for path in pathlib.Path(cluster.folder).glob('*.journal')
            if f'"{key}"' in path.read_text()
        )
        cluster.kill(f'{target}{suffix}')
        first_response = booking_future.result()
    assert first_response.headers.get('x-bambooring-outcome') == 'unknown', (
        first_response
    )
    _restore_cluster(cluster)
    for entry in entries:
        repeated_response = _book(cluster, entry, key, delay_s=3)
        assert repeated_response.status == 409
        assert repeated_response.headers['x-bambooring-outcome'] == 'unknown'
    assert _count_bookings(cluster, key) == 1


def test_leader_stopped_past_its_lease(cluster):
    """A leader paused past its lease accepts nothing after it resumes."""
    leader = cluster.wait_leader()
    cluster.send_signal(leader, signal.SIGSTOP)
    try:
        new_leader = cluster.wait_leader(other_than=leader)
        booking_response = _book(
            cluster, _list_entry_names(cluster)[0], 'while-stopped'
        )
        assert booking_response.status == 201
    finally:
        cluster.send_signal(leader, signal.SIGCONT)
    assert new_leader != leader
    for entry in _list_entry_names(cluster):
        repeated_response = _book(cluster, entry, 'while-stopped')
        assert repeated_response.body == booking_response.body
    assert _count_bookings(cluster, 'while-stopped') == 1


def test_replacing_two_lost_disks_loses_no_record(cluster):
    """Losing two data folders in succession loses no accepted record."""
    records_before = cluster.get_client().list_records()
    for name in ('control-1', 'control-2'):
        old_id = _read_id(cluster, name)
        cluster.kill(name)
        shutil.rmtree(cluster.folder / name)
        cluster.start(name)
        cluster_module.wait_for(
            lambda name=name, old_id=old_id: _is_replaced(
                cluster, name, old_id
            ),
            f'{name} to be a voter again',
        )
    records_after = cluster.get_client().list_records()
    assert records_after == records_before
    _restore_cluster(cluster)


def _read_id(cluster, name):
    """Return the identity stored in a replica's folder, None if absent."""
    disk = storage.FolderDisk(cluster.folder / name)
    content = disk.read('identity')
    return str(storage.read_identity(content)) if content else None


def _is_replaced(cluster, name, old_id):
    """Return whether a replica is a voter under a new identity.

    All three replicas must be voters.
    """
    new_id = _read_id(cluster, name)
    ids_by_name = cluster.get_client().get_status()['member_ids']
    return (
        new_id not in (None, old_id)
        and ids_by_name.get(name) == new_id
        and len(ids_by_name) == 3
    )


@pytest.mark.parametrize('role', ['agent', 'control', 'entry'])
def test_planned_stop_truncates_no_stream(cluster, role):
    """SIGTERM to an instance of any role under load truncates no stream."""
    name = {
        'agent': f'{CHAT_SERVICE}-amreli',
        'control': cluster.wait_leader(),
        'entry': 'entry-junagadh-1',
    }[role]
    with _run_streams(cluster, 9) as futures:
        cluster.send_signal(name, signal.SIGTERM)
        responses = [future.result() for future in futures]
    assert [response.is_successful for response in responses] == [True] * 9
    assert cluster.wait_exit(name) == 0
    _restore_cluster(cluster)


def test_majority_of_control_gone(cluster):
    """Without a majority of control replicas, bookings are refused.

    A refused booking doesn't run, and can be repeated when a majority is back.
    All entry instances still serve chat requests.
    """
    names = ['control-1', 'control-2']
    for name in names:
        cluster.kill(name)
    for entry in _list_entry_names(cluster):
        assert _stream_chat(cluster, entry, tokens=3).is_successful
        key = f'no-majority-{entry}'
        refusal = _book(cluster, entry, key)
        assert refusal.status == 503
        assert refusal.headers['x-bambooring-outcome'] == 'not_run'
        assert int(refusal.headers['retry-after']) >= 1
        assert not _count_bookings(cluster, key)
    _restore_cluster(cluster)
    for entry in _list_entry_names(cluster):
        key = f'no-majority-{entry}'
        cluster_module.wait_for(
            lambda entry=entry, key=key: (
                _book(cluster, entry, key).status == 201
            ),
            'the refused booking to be accepted',
        )
        assert _count_bookings(cluster, key) == 1


class _Relay:
    """TCP relay whose open connections can be made to drop all data.

    Silenced connections stay open; later ones are relayed.
    """

    def __init__(self, upstream_address):
        self._upstream_address = upstream_address
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._client_sockets = []
        self._silenced_sockets = set()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.accepted_count = 0

    def start(self):
        """Start relaying connections."""
        self._thread.start()

    def silence(self):
        """Drop all further data on the connections that are open now."""
        self._silenced_sockets = set(self._client_sockets)

    def _run(self):
        while True:
            for key, _ in self._selector.select():
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._forward(key.fileobj, key.data)

    def _accept(self):
        client, _ = self._listener.accept()
        host, _, port = self._upstream_address.partition(':')
        server = socket.create_connection((host, int(port)))
        self.accepted_count += 1
        self._client_sockets.append(client)
        for sock, peer in ((client, server), (server, client)):
            self._selector.register(sock, selectors.EVENT_READ, (peer, client))

    def _forward(self, sock, peer_and_client):
        peer, client = peer_and_client
        try:
            data = sock.recv(65536)
        except OSError:
            data = b''
        if not data:
            self._selector.unregister(sock)
            return
        if client not in self._silenced_sockets:
            with contextlib.suppress(OSError):
                peer.sendall(data)


def test_silent_connection_is_replaced(cluster, tmp_path):
    """An entry instance replaces silent connections to control replicas.

    It accepts bookings again over the new connections.
    """
    control_settings = json.loads(
        (cluster.folder / 'control-1.json5').read_text()
    )
    relays = [
        _Relay(address) for address in control_settings['replicas'].values()
    ]
    for relay in relays:
        relay.start()
    name = 'entry-rajkot-1'
    path = cluster.folder / f'{name}.json5'
    original_settings = path.read_text()
    relay_settings = json.loads(original_settings) | {
        'control': [relay.address for relay in relays]
    }
    path.write_text(json.dumps(relay_settings))
    try:
        cluster.kill(name)
        _restore_cluster(cluster)
        assert _book(cluster, name, 'before-silence').status == 201
        accepted_counts_before = [relay.accepted_count for relay in relays]
        for relay in relays:
            relay.silence()
        cluster_module.wait_for(
            lambda: _book(cluster, name, 'after-silence').status == 201,
            'a booking over new connections',
        )
        assert _count_bookings(cluster, 'after-silence') == 1
        assert all(
            relay.accepted_count > count_before
            for relay, count_before in zip(relays, accepted_counts_before)
        )
    finally:
        path.write_text(original_settings)
        cluster.kill(name)
    _restore_cluster(cluster)
