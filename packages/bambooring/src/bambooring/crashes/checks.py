"""Check whether a target has ended, by opening a connection to it.

A connection that is reset says little: a target may have crashed, or it or the
network dropped one connection. If the target has ended, its machine refuses
the next connection.
"""

import collections.abc
import enum
import errno
import selectors
import socket
import typing

from bambooring.crashes import const
from bambooring_core.http1 import client
from bambooring_core import links
from bambooring_core import reactor as reactor_module


class CheckResult(enum.StrEnum):
    """Whether a target has ended; UNKNOWN if nothing answers."""

    ENDED = 'ended'
    RUNS = 'runs'
    UNKNOWN = 'unknown'


ResultCallback = collections.abc.Callable[[CheckResult], None]


class TargetCheck:
    """One check of a target. The callback is called once."""

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        callback: ResultCallback,
    ) -> None:
        self._reactor = reactor
        self._callback = callback
        self._is_done = False
        self._socket = client.open_socket()
        self._timer = reactor.call_later(
            const.CHECK_TIMEOUT_S, lambda: self._finish(CheckResult.UNKNOWN)
        )
        if self._socket is not None:
            self._connect(self._socket, address)

    def _connect(self, sock: socket.socket, address: str) -> None:
        error_number = sock.connect_ex(links.split_address(address))
        if error_number == errno.EINPROGRESS:
            self._reactor.watch(sock, selectors.EVENT_WRITE, self._on_ready)
        else:
            self._reactor.call_soon(
                lambda: self._finish(_classify(error_number))
            )

    def _on_ready(self, events: int) -> None:
        if self._socket is not None:
            error_number = self._socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR
            )
            self._finish(_classify(error_number))

    def _finish(self, result: CheckResult) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._timer.cancel()
        if self._socket is not None:
            self._reactor.unwatch(self._socket)
            self._socket.close()
        self._callback(result)


def _classify(error_number: int) -> CheckResult:
    if not error_number:
        return CheckResult.RUNS
    if error_number == errno.ECONNREFUSED:
        return CheckResult.ENDED
    return CheckResult.UNKNOWN


CheckFactory: typing.TypeAlias = collections.abc.Callable[..., TargetCheck]
