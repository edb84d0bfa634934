"""Receive responses of servers that didn't read the whole request."""

import socket

from bambooring_core import clock as clock_module
from bambooring_core.http1 import client
from bambooring_core import reactor as reactor_module

BODY = b'x' * 8_000_000


class _Listener:
    """Note what a call reports."""

    def __init__(self):
        self.statuses = []
        self.failures = []

    def handle_response_head(self, head):
        self.statuses.append(head.status)

    def handle_response_data(self, data):
        """Ignore the body."""

    def handle_response_end(self):
        """Ignore the end."""

    def handle_call_failure(self, failure):
        self.failures.append(failure.value)


# A refusal with a rest was lost, and the target taken for one that crashed.
def test_response_of_a_server_that_stopped_reading_is_received():
    """It was sent before the connection was reset."""
    listener = _Listener()
    with (
        socket.create_server(('127.0.0.1', 0)) as server,
        reactor_module.Reactor(clock_module.MonotonicClock()) as reactor,
    ):
        call = client.Call(
            reactor=reactor,
            address='127.0.0.1:%d' % server.getsockname()[1],
            listener=listener,
            connect_timeout_s=1.0,
        )
        headers = [(b'Host', b'h'), (b'Content-Length', b'%d' % len(BODY))]
        call.send('POST', '/book', headers, BODY)
        connection, _ = server.accept()
        while not call.may_have_sent:
            reactor.run_once()
        connection.sendall(b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n')
        connection.close()
        while not (listener.statuses or listener.failures):
            reactor.run_once()
        call.abort()
    assert (listener.statuses, listener.failures) == ([503], [])
