"""Test the memory of an entry instance whose targets send bytes without end.

Pattern: 200 streams whose targets send one event that never ends. The
forwarder runs in a process of its own, so that its resident memory can be
read.
"""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import threading

STREAMS = 200
LIMIT_BYTES = 60 * 1024 * 1024
# What each target sends, in parts, before it waits to be cut off.
SENT_BYTES = 4 * 1024 * 1024
PART = b'x' * 32768

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
        harness.send_request(b'/talk/1', time_left=b'4')
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


def _send_endlessly(sock):
    """Answer a request with a stream of one event that does not end."""
    with sock, contextlib.suppress(OSError):
        sock.settimeout(10.0)
        head = sock.recv(65536)
        attempt_id = head.split(b'Id: ')[1].split(b'\r\n')[0]
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nId: %b\r\nSigned: 1\r\nStream: 1\r\n\r\n'
            b'id: 1\ndata: x\n\ndata: ' % attempt_id
        )
        for _ in range(SENT_BYTES // len(PART)):
            sock.sendall(PART)
        sock.recv(1)


def _accept(listener):
    with contextlib.suppress(OSError):
        while True:
            sock, _ = listener.accept()
            threading.Thread(
                target=_send_endlessly, args=(sock,), daemon=True
            ).start()


def test_endless_events_of_many_streams():
    """The forwarder needs less than 60 MB, and all streams end."""
    root = pathlib.Path(__file__).parent.parent
    tests = root / 'packages/bambooring/src/bambooring/forwarding/tests'
    with socket.create_server(('127.0.0.1', 0), backlog=1024) as listener:
        threading.Thread(target=_accept, args=(listener,), daemon=True).start()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        result = subprocess.run(
            [sys.executable, '-c', ENTRY, str(tests), address, str(STREAMS)],
            capture_output=True,
            check=True,
            timeout=120,
            env=dict(os.environ),
        )
    assert int(result.stdout.split()[-1]) < LIMIT_BYTES
