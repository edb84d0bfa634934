"""Test the detection of a caller's disconnect."""

import socket
import time

from bambooring_core import http


def test_quiet_caller_is_connected():
    """The check doesn't block while a caller waits for its response."""
    server_end, caller_end = socket.socketpair()
    with server_end, caller_end:
        server_end.settimeout(5.0)
        start = time.monotonic()
        assert not http.is_closed(server_end)
        assert time.monotonic() - start < 1.0


def test_closed_caller_is_detected():
    """The end of a caller's input counts as a disconnect."""
    server_end, caller_end = socket.socketpair()
    with server_end:
        server_end.settimeout(5.0)
        caller_end.close()
        assert http.is_closed(server_end)


def test_caller_with_pipelined_request_is_connected():
    """The check doesn't consume the input of a connected caller."""
    server_end, caller_end = socket.socketpair()
    with server_end, caller_end:
        caller_end.sendall(b'GET / HTTP/1.1\r\n')
        assert not http.is_closed(server_end)
        assert server_end.recv(3) == b'GET'
