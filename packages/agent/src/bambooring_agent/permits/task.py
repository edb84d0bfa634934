"""Answer requests for permits on the datagram port of an agent."""

import selectors
import socket
import typing

import structlog

from bambooring_agent import metrics
from bambooring_agent.permits import const
from bambooring_agent.permits import state
from bambooring_core import clock as clock_module
from bambooring_core import datagrams
from bambooring_core import errors
from bambooring_core import links
from bambooring_core.permits import messages
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class PermitIssuer:
    """Own the datagram socket, and answer entry instances.

    The ledger is made once the socket is bound: an earlier agent at the
    address can't have granted anything since.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        key: bytes,
        boot_clock: clock_module.Clock | None = None,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._key = key
        self._boot_clock = boot_clock or clock_module.BootClock()
        self._ledger: state.PermitLedger | None = None
        self._has_logged_busy_port = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._reactor.unwatch(self._socket)
        self._socket.close()

    @property
    def port(self) -> int:
        """Return the port of the socket."""
        port: int = self._socket.getsockname()[1]
        return port

    def set_up(self) -> None:
        """Open the port, as soon as no other process has it."""
        try:
            self._socket.bind(links.split_address(self._address))
        except OSError as error:
            if not self._has_logged_busy_port:
                self._has_logged_busy_port = True
                LOG.warning('permit port not open', error=str(error))
            self._reactor.call_later(const.BIND_RETRY_INTERVAL_S, self.set_up)
            return
        self._ledger = state.PermitLedger(self._boot_clock.now())
        self._reactor.watch(self._socket, selectors.EVENT_READ, self._receive)
        LOG.info('permit port open', address=self._address)

    def _receive(self, events: int) -> None:
        while True:
            try:
                data, source = self._socket.recvfrom(
                    datagrams.MAX_DATAGRAM_BYTES + 1
                )
            except BlockingIOError:
                return
            except OSError as error:
                LOG.warning('permit request not received', error=str(error))
                return
            self._handle_datagram(data, source)

    def _handle_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        assert self._ledger is not None
        try:
            message = datagrams.unseal(self._key, data)
        except errors.DatagramError as error:
            metrics.PERMIT_REQUESTS.labels(outcome=str(error)).inc()
            return
        if not isinstance(message, messages.PermitRequest):
            metrics.PERMIT_REQUESTS.labels(outcome='foreign').inc()
            return
        grant = self._ledger.handle(message, self._boot_clock.now())
        if grant is None:
            metrics.PERMIT_REQUESTS.labels(outcome='repeated').inc()
            return
        outcome = 'granted' if grant.count else 'refused'
        metrics.PERMIT_REQUESTS.labels(outcome=outcome).inc()
        metrics.PERMITS_GRANTED.inc(grant.count)
        try:
            self._socket.sendto(datagrams.seal(self._key, grant), source)
        except OSError as error:
            metrics.UNSENT_GRANTS.labels(reason=str(error.errno)).inc()
