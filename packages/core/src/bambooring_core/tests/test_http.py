"""Test the detection of a caller's disconnect."""

import socket
import time

from bambooring_core import http


def test_quiet_caller_is_connected():
    """The check returns at once for a caller that waits for a response."""
    near, far = socket.socketpair()
    with near, far:
        near.settimeout(5.0)
        start = time.monotonic()
        assert not http.is_closed(near)
        assert time.monotonic() - start < 1.0


def test_closed_caller_is_detected():
    """The end of a caller's input counts as a disconnect."""
    near, far = socket.socketpair()
    with near:
        near.settimeout(5.0)
        far.close()
        assert http.is_closed(near)


def test_caller_with_pipelined_request_is_connected():
    """The check doesn't consume the input of a connected caller."""
    near, far = socket.socketpair()
    with near, far:
        far.sendall(b'GET / HTTP/1.1\r\n')
        assert not http.is_closed(near)
        assert near.recv(3) == b'GET'
