"""Test the memory of an entry instance whose targets send bytes without end.

Pattern: 200 requests whose targets send one event, events, a body or a head
that never ends, to callers that read nothing. The forwarder runs in a process
of its own, so that its resident memory can be read.
"""

import contextlib
import functools
import os
import pathlib
import socket
import subprocess
import sys
import threading

import pytest

STREAMS = 200
LIMIT_BYTES = 60 * 1024 * 1024
# Half of what the smallest instances have. Each plain body is kept up to 128
# KiB for a retry, and as much waits for a caller that doesn't read.
BODY_LIMIT_BYTES = 100 * 1024 * 1024
# What each target sends, in parts, before it waits to be cut off.
SENT_BYTES = 4 * 1024 * 1024
PART = b'x' * 32768
STREAM_HEAD = b'HTTP/1.1 200 OK\r\nId: %b\r\nSigned: 1\r\nStream: 1\r\n'
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nId: %b\r\nSigned: 1\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'

# The path, what a target sends first, and what it goes on with.
ENDLESS = {
    'one event': (
        '/talk/1',
        STREAM_HEAD + b'\r\nid: 1\ndata: x\n\ndata: ',
        PART,
    ),
    'events': ('/talk/1', STREAM_HEAD + b'\r\n', b'data: xxxxxxx\n\n' * 2048),
    'comments': ('/talk/1', STREAM_HEAD + b'\r\n', b': xxxxxxx\n\n' * 2048),
    'body': ('/read/1', PLAIN_HEAD + b'\r\n', PART),
    'starts of heads': (
        '/read/1',
        PLAIN_HEAD + b'\r\n',
        b'HTTP/1.1 200 OK\r\n' * 2048,
    ),
    'head': ('/read/1', PLAIN_HEAD + b'X: ', PART),
    'chunk extension': (
        '/read/1',
        PLAIN_HEAD + CHUNKED + b'5;',
        PART,
    ),
    'trailers': (
        '/read/1',
        PLAIN_HEAD + CHUNKED + b'0\r\n',
        b'X: xxxxxxx\r\n' * 2048,
    ),
}

# Prints the peak of its resident memory, in bytes, when all streams ended.
ENTRY = """
import contextlib, pathlib, sys
sys.path.insert(0, sys.argv[1])
import harness as harness_module
from bambooring.targets import messages as targets

with contextlib.ExitStack() as stack:
    harness = harness_module.Harness(stack)
    harness.balancer.set_targets([
        targets.Target(
            id=f't{index}', service='app', address=sys.argv[2],
            failure_domain='a', slots=1, state=targets.State.READY,
            born_ms=1, sequence=1,
        )
        for index in range(int(sys.argv[3]))
    ])
    callers = [
        harness.send_request(sys.argv[4].encode(), time_left=b'4')
        for _ in range(int(sys.argv[3]))
    ]
    harness.turn_until(lambda: harness.forwarder.pending_count)
    harness_module.MAX_TURNS = 100000
    harness.turn_until(lambda: not harness.forwarder.pending_count)
    # The maximum that getrusage() tells includes that of the parent process.
    status = pathlib.Path('/proc/self/status').read_text()
    (peak,) = [line for line in status.splitlines() if 'VmHWM' in line]
    print(1024 * int(peak.split()[1]))
"""


def _send_endlessly(start, part, sock):
    """Answer a request with something that does not end.

    :param start: what comes first, with room for the request's id
    :param part: what goes on
    :param sock: the connection
    """
    with sock, contextlib.suppress(OSError):
        sock.settimeout(10.0)
        head = sock.recv(65536)
        if not head:
            # It was only checked whether the target still runs.
            return
        attempt_id = head.split(b'Id: ')[1].split(b'\r\n')[0]
        sock.sendall(start % attempt_id)
        for _ in range(SENT_BYTES // len(part)):
            sock.sendall(part)
        sock.recv(1)


def _accept(listener, answer):
    with contextlib.suppress(OSError):
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=answer, args=(sock,), daemon=True).start()


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_answers_of_many_targets(kind):
    """The forwarder needs less than its limit, and all requests end."""
    path, start, part = ENDLESS[kind]
    answer = functools.partial(_send_endlessly, start, part)
    root = pathlib.Path(__file__).parent.parent
    tests = root / 'packages/bambooring/src/bambooring/forwarding/tests'
    with socket.create_server(('127.0.0.1', 0), backlog=1024) as listener:
        threading.Thread(
            target=_accept, args=(listener, answer), daemon=True
        ).start()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        result = subprocess.run(
            [
                sys.executable,
                '-c',
                ENTRY,
                str(tests),
                address,
                str(STREAMS),
                path,
            ],
            capture_output=True,
            check=True,
            timeout=120,
            env=dict(os.environ),
        )
    peak_bytes = int(result.stdout.split()[-1])
    is_body = kind in ('body', 'starts of heads')
    assert peak_bytes < (BODY_LIMIT_BYTES if is_body else LIMIT_BYTES)
