"""Test how a caller's going is noticed."""

import socket
import time

from bambooring_core import http


def test_quiet_caller_is_not_gone():
    """A caller that waits for a long answer is not taken for gone."""
    near, far = socket.socketpair()
    with near, far:
        near.settimeout(5.0)
        start = time.monotonic()
        assert not http.is_closed(near)
        assert time.monotonic() - start < 1.0


def test_closed_caller_is_gone():
    """The end of a caller's input is seen."""
    near, far = socket.socketpair()
    with near:
        near.settimeout(5.0)
        far.close()
        assert http.is_closed(near)


def test_early_next_request_is_not_gone():
    """A caller that has sent its next request is still there."""
    near, far = socket.socketpair()
    with near, far:
        far.sendall(b'GET / HTTP/1.1\r\n')
        assert not http.is_closed(near)
        assert near.recv(3) == b'GET'
