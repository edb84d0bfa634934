"""Run whole processes over real sockets under failure.

Every wait is for an event, with a generous limit.
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

KEY = 'demo-key-rota-desk'
CHAT = 'rota-llm'
PLAIN = 'rota-app'
DOMAINS = ('rajkot', 'amreli', 'junagadh')
TOKENS = 40
MALFORMED = 1000


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Return a cluster with three domains and the Mandal's records."""
    folder = tmp_path_factory.mktemp('cluster')
    made = cluster_module.Cluster(
        folder, domains=DOMAINS, token_interval_ms=20
    )
    with made:
        made.add_control_instances()
        made.add_entry_instances()
        made.wait_leader()
        for domain in DOMAINS:
            made.add_target(
                f'{CHAT}-{domain}',
                service=CHAT,
                domain=domain,
                protocol='chat',
            )
            made.add_target(
                f'{PLAIN}-{domain}',
                service=PLAIN,
                domain=domain,
                protocol='http',
            )
        done = made.run_command('apply', 'examples/mandal')
        assert done.returncode == 0, done.stderr
        for name in _get_entries(made):
            made.wait_ready(name)
        _wait_whole(made)
        yield made


def _get_entries(cluster):
    return [name for name in cluster.processes if name.startswith('entry-')]


def _wait_whole(cluster):
    """Wait until everything that a test ended is back."""
    for name, process in cluster.processes.items():
        if process.handle.poll() is not None:
            cluster.start(name)
    cluster.wait_leader()
    cluster.wait_targets(2 * len(DOMAINS))
    for name in _get_entries(cluster):
        cluster.wait_ready(name)
        cluster_module.wait_for(
            lambda name=name: _ask(cluster, name, tokens=1).is_successful,
            f'{name} to answer',
        )
        cluster_module.wait_for(
            lambda name=name: _list(cluster, name).is_successful,
            f'{name} to reach plain targets',
        )


def _ask(cluster, entry, tokens=TOKENS):
    address = cluster.processes[entry].address
    body = caller.make_chat_body(CHAT, stream=True, max_tokens=tokens)
    return caller.call(f'http://{address}/v1/chat/completions', KEY, body)


def _list(cluster, entry):
    address = cluster.processes[entry].address
    return caller.call(f'http://{address}/services/{PLAIN}/slots', KEY)


def _book(cluster, entry, key, **body):
    address = cluster.processes[entry].address
    return caller.call(
        f'http://{address}/services/{PLAIN}/slots',
        KEY,
        json.dumps(body | {'slot': key}).encode(),
        {'Idempotency-Key': key},
    )


def _count_effects(cluster, key):
    lines = [
        line
        for path in pathlib.Path(cluster.folder).glob('*.journal')
        for line in path.read_text().splitlines()
    ]
    return sum(json.loads(line)['body'].get('slot') == key for line in lines)


def _count_running(cluster, name):
    """Return how many streams a stand-in runs now."""
    address = cluster.processes[name].address
    answer = caller.call(f'http://{address}/counts', KEY)
    return json.loads(answer.body)['running']


def _check_explicit(answer):
    """Check that an answer is whole, or plainly is not."""
    if answer.is_successful:
        words = answer.extract_text().split()
        assert words == [f'word{index}' for index in range(TOKENS)]
        return
    assert answer.curl_error or answer.status >= 400


@contextlib.contextmanager
def _streams(cluster, count):
    """Run streams through every entry and wait until they flow."""
    entries = _get_entries(cluster)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        started = [
            pool.submit(_ask, cluster, entries[index % len(entries)])
            for index in range(count)
        ]
        cluster_module.wait_for(
            lambda: (
                sum(
                    _count_running(cluster, f'{CHAT}-{domain}-engine')
                    for domain in DOMAINS
                )
                >= count
            ),
            'the streams to run',
        )
        yield started


def test_malformed_requests_hold_nothing(cluster):
    """Malformed requests are answered or closed and reach no target."""
    name = _get_entries(cluster)[0]
    process = psutil.Process(cluster.processes[name].handle.pid)
    engines = [f'{CHAT}-{domain}-engine' for domain in DOMAINS]

    def count_started():
        return sum(
            json.loads(
                caller.call(
                    f'http://{cluster.processes[engine].address}/counts',
                    KEY,
                ).body
            )['started']
            for engine in engines
        )

    before = count_started(), process.num_threads()
    address = cluster.processes[name].address
    rng = random.Random(7)
    for _ in range(MALFORMED):
        _send_malformed(address, rng)
    assert (count_started(), process.num_threads()) == before
    cluster_module.wait_for(
        lambda: len(process.net_connections()) < 200,
        'the connections to be closed',
    )
    assert _ask(cluster, name, tokens=2).is_successful


def _send_malformed(address, rng):
    """Send one malformed request, half-closed, and read to the end."""
    data = _make_malformed(rng)
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        answer = b''
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
            # A peer that has refused and reset by now leaves no connection
            # to half-close; what it answered is read all the same.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65536):
                answer += part
    if answer:
        status = int(answer.split(b' ', 2)[1])
        assert status >= 400, (data[:200], answer[:200])


def _make_malformed(rng):
    """Return bytes that are no valid request for any target."""
    good = caller.make_chat_body(CHAT, stream=True)
    head = (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer ' + KEY.encode() + b'\r\n'
    )
    cut = rng.randrange(1, len(good) - 1)
    return rng.choice(
        [
            rng.randbytes(rng.randrange(1, 400)),
            head + b'Content-Length: %d\r\n\r\n' % len(good) + good[:cut],
            head + b'Content-Length: -5\r\n\r\n' + good,
            head + b'Content-Length: x\r\n\r\n' + good,
            head + b'Content-Length: 99999999999\r\n\r\n' + good,
            head + b'Content-Length: %d\r\n\r\n' % cut + good[:cut],
            head + b'Transfer-Encoding: chunked\r\n\r\nZZ\r\n' + good,
            head
            + b'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n'
            + b'%x\r\n%b\r\n0\r\n\r\n' % (len(good), good),
            head + b'X: ' + b'y' * rng.randrange(40_000, 80_000),
            b'GET /' + b'a' * 70_000 + b' HTTP/1.1\r\n\r\n',
            head[: rng.randrange(1, len(head) - 1)],
            head + b'Content-Length: 2\r\n\r\n{}',
            head + b'Content-Length: 4\r\n\r\nnull',
            b'POST /v1/chat/completions HTTP/9.9\r\n\r\n',
            head.replace(KEY.encode(), b'wrong') + b'\r\n',
            head.replace(b'POST', b'DELETE') + b'\r\n',
        ]
    )


def test_leader_killed_during_apply(cluster, tmp_path):
    """A change that is under way when the leader dies takes effect once."""
    declared = {
        'kind': 'client_account',
        'name': 'new-mill',
        'schema': 1,
        'key_digest': 'a' * 64,
    }
    (tmp_path / 'new.json5').write_text(json.dumps(declared))
    leader = cluster.wait_leader()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        applied = pool.submit(
            cluster.run_command, 'apply', str(tmp_path), '--wait', '25'
        )
        cluster.kill(leader)
        done = applied.result()
    assert done.returncode == 0, done.stdout + done.stderr
    records = cluster.get_client().list_records()['records']
    numbers = [
        item['number'] for item in records if item['name'] == 'new-mill'
    ]
    assert numbers == [1]
    _wait_whole(cluster)


@pytest.mark.parametrize('suffix', ['', '-engine'])
def test_kill_in_mid_stream(cluster, suffix):
    """Streams cut by a kill are never taken for whole answers."""
    with _streams(cluster, 9) as started:
        cluster.kill(f'{CHAT}-rajkot{suffix}')
        answers = [future.result() for future in started]
    for answer in answers:
        _check_explicit(answer)
    assert any(answer.is_successful for answer in answers)
    _wait_whole(cluster)


@pytest.mark.parametrize('suffix', ['', '-engine'])
def test_kill_in_mid_booking(cluster, suffix):
    """A booking whose target or agent dies runs once at most."""
    key = f'killed{suffix}'
    entries = _get_entries(cluster)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        booked = pool.submit(_book, cluster, entries[0], key, delay_s=3)
        cluster_module.wait_for(
            lambda: _count_effects(cluster, key), 'the booking to run'
        )
        target = next(
            path.stem
            for path in pathlib.Path(cluster.folder).glob('*.journal')
            if f'"{key}"' in path.read_text()
        )
        cluster.kill(f'{target}{suffix}')
        first = booked.result()
    assert first.headers.get('x-bambooring-outcome') == 'unknown', first
    _wait_whole(cluster)
    for entry in entries:
        again = _book(cluster, entry, key, delay_s=3)
        assert again.status == 409
        assert again.headers['x-bambooring-outcome'] == 'unknown'
    assert _count_effects(cluster, key) == 1


def test_leader_stopped_past_its_lease(cluster):
    """A leader that stood still accepts nothing when it goes on."""
    leader = cluster.wait_leader()
    cluster.send_signal(leader, signal.SIGSTOP)
    try:
        other = cluster.wait_leader(other_than=leader)
        booked = _book(cluster, _get_entries(cluster)[0], 'while-stopped')
        assert booked.status == 201
    finally:
        cluster.send_signal(leader, signal.SIGCONT)
    assert other != leader
    for entry in _get_entries(cluster):
        again = _book(cluster, entry, 'while-stopped')
        assert again.body == booked.body
    assert _count_effects(cluster, 'while-stopped') == 1


def test_lost_disk_is_repaired_and_another_lost(cluster):
    """Two data folders lost one after the other lose nothing accepted."""
    before = cluster.get_client().list_records()
    for name in ('control-1', 'control-2'):
        old = _read_id(cluster, name)
        cluster.kill(name)
        shutil.rmtree(cluster.folder / name)
        cluster.start(name)
        cluster_module.wait_for(
            lambda name=name, old=old: _is_replaced(cluster, name, old),
            f'{name} to be a voter again',
        )
    after = cluster.get_client().list_records()
    assert after == before
    _wait_whole(cluster)


def _read_id(cluster, name):
    """Return the identity in a replica's folder, None if there is none."""
    disk = storage.FolderDisk(cluster.folder / name)
    data = disk.read('identity')
    return str(storage.read_identity(data)) if data else None


def _is_replaced(cluster, name, old):
    """Tell whether a replica votes under its new identity, and all do."""
    new = _read_id(cluster, name)
    ids = cluster.get_client().get_status()['member_ids']
    return new not in (None, old) and ids.get(name) == new and len(ids) == 3


@pytest.mark.parametrize('role', ['agent', 'control', 'entry'])
def test_planned_stop_cuts_nothing_off(cluster, role):
    """SIGTERM of each role under load leaves every stream whole."""
    name = {
        'agent': f'{CHAT}-amreli',
        'control': cluster.wait_leader(),
        'entry': 'entry-junagadh-1',
    }[role]
    with _streams(cluster, 9) as started:
        cluster.send_signal(name, signal.SIGTERM)
        answers = [future.result() for future in started]
    assert [answer.is_successful for answer in answers] == [True] * 9
    assert cluster.wait_exit(name) == 0
    _wait_whole(cluster)


def test_majority_of_control_gone(cluster):
    """Assistants are served everywhere; bookings are refused, not run."""
    names = ['control-1', 'control-2']
    for name in names:
        cluster.kill(name)
    for entry in _get_entries(cluster):
        assert _ask(cluster, entry, tokens=3).is_successful
        key = f'no-majority-{entry}'
        refused = _book(cluster, entry, key)
        assert refused.status == 503
        assert refused.headers['x-bambooring-outcome'] == 'not_run'
        assert int(refused.headers['retry-after']) >= 1
        assert not _count_effects(cluster, key)
    _wait_whole(cluster)
    for entry in _get_entries(cluster):
        key = f'no-majority-{entry}'
        cluster_module.wait_for(
            lambda entry=entry, key=key: (
                _book(cluster, entry, key).status == 201
            ),
            'the refused booking to be taken',
        )
        assert _count_effects(cluster, key) == 1


class _Relay:
    """Pass connections on, until those that are open go silent."""

    def __init__(self, to):
        self._to = to
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._pairs = []
        self._silent = set()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.accepted = 0

    def start(self):
        """Begin to pass connections on."""
        self._thread.start()

    def silence(self):
        """Let the connections that are open go silent for good."""
        self._silent = set(self._pairs)

    def _run(self):
        while True:
            for key, _ in self._selector.select():
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._pass_on(key.fileobj, key.data)

    def _accept(self):
        near, _ = self._listener.accept()
        host, _, port = self._to.partition(':')
        far = socket.create_connection((host, int(port)))
        self.accepted += 1
        self._pairs.append(near)
        for sock, other in ((near, far), (far, near)):
            self._selector.register(sock, selectors.EVENT_READ, (other, near))

    def _pass_on(self, sock, pair):
        other, near = pair
        try:
            data = sock.recv(65536)
        except OSError:
            data = b''
        if not data:
            self._selector.unregister(sock)
            return
        if near not in self._silent:
            with contextlib.suppress(OSError):
                other.sendall(data)


def test_silent_connection_is_replaced(cluster, tmp_path):
    """A connection that goes silent is replaced and the calls go on."""
    control = json.loads((cluster.folder / 'control-1.json5').read_text())
    relays = [_Relay(address) for address in control['replicas'].values()]
    for relay in relays:
        relay.start()
    name = 'entry-rajkot-1'
    path = cluster.folder / f'{name}.json5'
    kept = path.read_text()
    value = json.loads(kept) | {'control': [relay.address for relay in relays]}
    path.write_text(json.dumps(value))
    try:
        cluster.kill(name)
        _wait_whole(cluster)
        assert _book(cluster, name, 'before-silence').status == 201
        accepted = [relay.accepted for relay in relays]
        for relay in relays:
            relay.silence()
        cluster_module.wait_for(
            lambda: _book(cluster, name, 'after-silence').status == 201,
            'a booking over new connections',
        )
        assert _count_effects(cluster, 'after-silence') == 1
        assert all(
            relay.accepted > count for relay, count in zip(relays, accepted)
        )
    finally:
        path.write_text(kept)
        cluster.kill(name)
    _wait_whole(cluster)
