"""Test that a lack of descriptors pauses a server, and doesn't end it."""

import errno
import socket
import typing

from bambooring_core import accepting
from bambooring_core import clock as clock_module
from bambooring_core import reactor as reactor_module


class _Listener(socket.socket):
    """A listening socket that fails to accept while it is exhausted."""

    is_exhausted = True
    attempts = 0

    def accept(self):
        """Accept a connection unless no descriptor is left."""
        self.attempts += 1
        if self.is_exhausted:
            raise OSError(errno.EMFILE, 'Too many open files')
        return super().accept()


def test_connections_wait_until_descriptors_are_free():
    """The server pauses, doesn't spin, and accepts when it can again."""
    clock = clock_module.ManualClock()
    accepted: list[socket.socket] = []
    listener: typing.Any = _Listener()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    with reactor_module.Reactor(clock) as reactor:
        acceptor = accepting.Acceptor(reactor, listener, accepted.append)
        caller = socket.create_connection(('127.0.0.1', acceptor.port))
        for _ in range(3):
            reactor.post(lambda: None)
            reactor.run_once()
        assert listener.attempts == 1
        listener.is_exhausted = False
        clock.advance(accepting.PAUSE_S)
        for _ in range(3):
            reactor.post(lambda: None)
            reactor.run_once()
        assert len(accepted) == 1
        acceptor.close()
        accepted[0].close()
        caller.close()


def test_closed_during_the_pause():
    """A server that is closed while it pauses doesn't accept again."""
    clock = clock_module.ManualClock()
    listener: typing.Any = _Listener()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    with reactor_module.Reactor(clock) as reactor:
        acceptor = accepting.Acceptor(reactor, listener, lambda sock: None)
        caller = socket.create_connection(('127.0.0.1', acceptor.port))
        reactor.post(lambda: None)
        reactor.run_once()
        acceptor.close()
        clock.advance(accepting.PAUSE_S)
        reactor.post(lambda: None)
        reactor.run_once()
        assert listener.attempts == 1
        caller.close()
