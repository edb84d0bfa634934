"""Test that crowds of callers don't exhaust a native entry instance.

Each test starts the processes of a cluster. It checks that the entry instance
lives, that its memory and descriptors stay under the limits of its machine,
and that one ordinary request is answered; no times and no share of served
requests.
"""

import contextlib
import http.server
import json
import threading
import time

import pytest

from bambooring_platform.tests import crowds
from standins import caller
from standins import cluster as cluster_module

API_KEY = 'demo-key-rota-desk'
SERVICE = 'rota-llm'
HTTP_SERVICE = 'rota-app'
DOMAIN = 'rajkot'
ENTRY = 'entry-rajkot-1'
# The memory and descriptors of an instance of the first deployment.
MEMORY_MB, MAX_DESCRIPTORS = 152, 1535
# The account's limit is 60 requests at a time.
CROWD_SIZE = 40
FIRST_CROWD_SIZE = 200
FULL_BYTES = 4 * crowds.BYTES_PER_MB
# The account may have 60 requests at a time.
READERS = 50
READERS_INTERVAL_S = 0.4
UNREAD_BYTES = FULL_BYTES - 64 * 1024
# Callers stop this much before the end of their bodies.
MISSING_BYTES = 1000
PIECE_BYTES = 48 * 1024
# The limit on bodies applies to the framing of chunks too.
FRAMING_BYTES = 64 * 1024
HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer '
    + API_KEY.encode()
    + b'\r\n'
)


def _make_body():
    body = {
        'model': SERVICE,
        'max_tokens': 5,
        'messages': [{'role': 'user', 'content': ''}],
    }
    missing = FULL_BYTES - len(json.dumps(body))
    body['messages'][0]['content'] = 'x' * missing
    return json.dumps(body).encode()


BODY = memoryview(_make_body())


def _make_whole(missing):
    """Return a request with a length, up to some bytes before its end."""
    head = HEAD + b'Content-Length: %d\r\n\r\n' % len(BODY)
    return [head, BODY[: len(BODY) - missing]]


def _make_pieces(missing, piece_bytes=PIECE_BYTES):
    """Return a request in chunks, up to some bytes before its end."""
    body = BODY[: len(BODY) - FRAMING_BYTES]
    parts = [HEAD + b'Transfer-Encoding: chunked\r\n\r\n']
    for start in range(0, len(body), piece_bytes):
        piece = body[start : start + piece_bytes]
        parts += [b'%x\r\n' % len(piece), piece, b'\r\n']
    del parts[-1]
    parts[-1] = parts[-1][: len(parts[-1]) - missing]
    return parts


def _make_one_chunk(missing):
    """Return a request in a single large chunk."""
    return _make_pieces(missing, len(BODY))


FRAMINGS = [_make_whole, _make_pieces, _make_one_chunk]


@contextlib.contextmanager
def _run_cluster(folder):
    with cluster_module.Cluster(
        folder, domains=(DOMAIN,), memory_mb=MEMORY_MB
    ) as cluster:
        cluster.add_control_instances(1)
        cluster.add_entry_instances()
        cluster.wait_leader()
        cluster.add_target(
            SERVICE, service=SERVICE, domain=DOMAIN, protocol='chat'
        )
        done = cluster.run_command('apply', 'examples/mandal')
        assert done.returncode == 0, done.stderr
        cluster.wait_ready(ENTRY)
        assert crowds.wait_until(lambda: _is_serving(cluster))
        yield cluster


def _call(cluster, body):
    address = cluster.processes[ENTRY].address
    return caller.call(f'http://{address}/v1/chat/completions', API_KEY, body)


def _is_serving(cluster):
    """Return whether an ordinary request is served."""
    body = caller.make_chat_body(SERVICE, max_tokens=1)
    return _call(cluster, body).is_successful


def _open_crowd(cluster, requests, **options):
    host, _, port = cluster.processes[ENTRY].address.partition(':')
    return crowds.Crowd((host, int(port)), requests, **options)


def _check_limits(cluster):
    popen = cluster.processes[ENTRY].handle
    assert popen.poll() is None
    peak_bytes = crowds.read_peak_bytes(popen)
    print('peak MB', peak_bytes // crowds.BYTES_PER_MB)
    assert peak_bytes < MEMORY_MB * crowds.BYTES_PER_MB
    assert crowds.count_descriptors(popen) < MAX_DESCRIPTORS


def _check_refusals(crowd):
    """Check that a refusal says that nothing has run, and when to retry."""
    for member in crowd.callers:
        if member.answer.startswith(b'HTTP/1.1 503'):
            head = member.answer.lower()
            assert b'retry-after:' in head
            assert b'x-bambooring-outcome: not_run' in head


@pytest.mark.parametrize('count', [CROWD_SIZE, FIRST_CROWD_SIZE])
@pytest.mark.parametrize('make_request', FRAMINGS)
def test_bodies_that_stop_short(tmp_path, make_request, count):
    """Callers send large bodies up to their end and stay.

    Each was kept by its thread until the time for reading it was over.
    """
    requests = [make_request(MISSING_BYTES) for _ in range(count)]
    with _run_cluster(tmp_path) as cluster:
        with _open_crowd(cluster, requests) as crowd:
            assert crowd.wait_sent()
            assert crowds.wait_until(lambda: _is_serving(cluster))
            _check_limits(cluster)
            _check_refusals(crowd)
        assert crowds.wait_until(lambda: _is_serving(cluster))
        _check_limits(cluster)


def test_bodies_that_are_whole(tmp_path):
    """Callers send whole large bodies.

    All of them were kept and copied, and parsed at the same time.
    """
    requests = [_make_whole(0) for _ in range(CROWD_SIZE)]
    with _run_cluster(tmp_path) as cluster:
        with _open_crowd(cluster, requests) as crowd:
            assert crowd.wait_answered()
            _check_limits(cluster)
            _check_refusals(crowd)
        assert crowds.wait_until(lambda: _is_serving(cluster))
        _check_limits(cluster)


def test_crowds_that_come_again(tmp_path):
    """Crowds follow each other.

    Memory that the bodies of one crowd had used was kept by the allocator,
    and the next crowd took more.
    """
    with _run_cluster(tmp_path) as cluster:
        for make_request in 2 * FRAMINGS:
            crowd_requests = [
                make_request(MISSING_BYTES) for _ in range(FIRST_CROWD_SIZE)
            ]
            with _open_crowd(cluster, crowd_requests) as crowd:
                assert crowd.wait_sent()
                assert crowds.wait_until(lambda: _is_serving(cluster))
            requests = [_make_whole(0) for _ in range(CROWD_SIZE)]
            with _open_crowd(cluster, requests) as crowd:
                assert crowd.wait_answered()
                _check_refusals(crowd)
        assert crowds.wait_until(lambda: _is_serving(cluster))
        _check_limits(cluster)


class _LargeAnswers(http.server.BaseHTTPRequestHandler):
    """Target whose answers are large, but not too large for one caller."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        """Answer the health check, or a request."""
        size = 2 if self.path == '/health' else UNREAD_BYTES
        self.send_response(200)
        self.send_header('Content-Length', str(size))
        self.end_headers()
        self.wfile.write(bytes(size))

    def log_message(self, *arguments):
        """Log nothing."""


@contextlib.contextmanager
def _run_large_target(cluster):
    with http.server.ThreadingHTTPServer(
        ('127.0.0.1', 0), _LargeAnswers
    ) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            cluster.add_target(
                HTTP_SERVICE,
                service=HTTP_SERVICE,
                domain=DOMAIN,
                protocol='http',
                url=f'http://127.0.0.1:{server.server_port}',
            )
            cluster.wait_targets(2)
            yield
        finally:
            server.shutdown()


def test_callers_that_read_nothing(tmp_path):
    """Callers ask for large answers, don't read them, and stay.

    The thread of each, and what waited to be sent, were lost until its caller
    left.
    """
    request = HEAD.replace(
        b'POST /v1/chat/completions', b'GET /services/rota-app/slots'
    )
    pair = [[request + b'\r\n'] for _ in range(2)]
    with _run_cluster(tmp_path) as cluster, _run_large_target(cluster):
        address = cluster.processes[ENTRY].address
        url = f'http://{address}/services/rota-app/slots'
        assert crowds.wait_until(
            lambda: len(caller.call(url, API_KEY).body) == UNREAD_BYTES
        )
        with contextlib.ExitStack() as stack:
            # All at once, their answers keep the agent from its heartbeats.
            for _ in range(READERS // 2):
                crowd = _open_crowd(cluster, pair, is_reading=False)
                stack.enter_context(crowd)
                time.sleep(READERS_INTERVAL_S)
            assert crowds.wait_until(lambda: _is_serving(cluster))
            assert crowds.wait_until(lambda: _count_running(cluster) == 0)
            _check_limits(cluster)
        assert crowds.wait_until(lambda: _is_serving(cluster))
        _check_limits(cluster)


def _count_running(cluster):
    """Return the number of requests that the entry instance serves."""
    instances = cluster.get_client().get_status().get('instances', [])
    return sum(instance['running'] for instance in instances)


def test_large_request_alone(tmp_path):
    """A request of the full legal size is served when load is calm."""
    with _run_cluster(tmp_path) as cluster:
        response = _call(cluster, bytes(BODY))
        assert response.is_successful
        assert len(response.extract_text().split()) == 5
        _check_limits(cluster)


def test_refusals_reach_callers(tmp_path):
    """A caller that is still sending reads why it is refused.

    A socket that is closed with unread input resets the connection.
    """
    requests = [_make_whole(0) for _ in range(CROWD_SIZE)]
    with _run_cluster(tmp_path) as cluster:
        with _open_crowd(cluster, requests) as crowd:
            assert crowd.wait_answered()
            unanswered = [
                member for member in crowd.callers if not member.answer
            ]
        assert not unanswered
