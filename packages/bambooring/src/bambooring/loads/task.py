"""Send and receive the datagrams by which entry instances exchange load."""

import collections.abc
import selectors
import socket
import typing

import structlog

from bambooring.loads import const
from bambooring.loads import exchange as exchange_module
from bambooring import metrics
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core import datagrams
from bambooring_core import errors as core_errors
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class LoadReporter:
    """Own the datagram socket, and report this instance's load in time.

    ``make_report`` returns the own load report, ``is_busy`` whether there is
    any request here, and ``handle_news`` is called after others' load changed.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        boot_clock: clock_module.Clock,
        exchange: exchange_module.LoadExchange,
        address: str,
        key: bytes,
        make_report: collections.abc.Callable[[], targets.Load],
        is_busy: collections.abc.Callable[[], bool],
        handle_news: collections.abc.Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._boot_clock = boot_clock
        self._exchange = exchange
        self._address = address
        self._key = key
        self._make_report = make_report
        self._is_busy = is_busy
        self._handle_news = handle_news
        self._timer: reactor_module.Timer | None = None
        self._sent_s = 0.0
        self._was_relay = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._socket.close()

    def set_up(self) -> None:
        """Open the socket and start the timers."""
        self._socket.setblocking(False)
        self._socket.bind(links.split_address(self._address))
        self._reactor.watch(self._socket, selectors.EVENT_READ, self._receive)
        self._reactor.call_every(
            const.LOAD_REPORT_MAX_INTERVAL_S, self._repeat_report
        )
        self._reactor.call_every(const.RELAY_INTERVAL_S, self._tick)

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the known entry instances.

        :param domains_by_address: the failure domain of each link address
        """
        self._exchange.set_instances(domains_by_address)
        # New instances learn this one's load, and others that it restarted.
        self.schedule_report(0.0)

    def schedule_report(self, delay_s: float) -> None:
        """Schedule one load report for all changes until it is sent.

        :param delay_s: how long the report may wait for further changes
        """
        now_s = self._reactor.now()
        due_s = self._sent_s + const.LOAD_REPORT_MIN_INTERVAL_S
        due_s = max(due_s, now_s + delay_s)
        if self._timer is not None:
            if self._timer.due_s <= due_s:
                return
            self._timer.cancel()
        self._timer = self._reactor.call_later(
            due_s - now_s, self._send_report
        )

    def _repeat_report(self) -> None:
        elapsed_s = self._reactor.now() - self._sent_s
        is_due = elapsed_s >= const.LOAD_REPORT_MAX_INTERVAL_S
        if is_due and self._is_busy():
            self._send_report()

    def _send_report(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._sent_s = self._reactor.now()
        addresses = self._exchange.near_addresses
        if addresses:
            self._send(
                exchange_module.Send(
                    addresses=addresses, message=self._make_report()
                )
            )

    def _tick(self) -> None:
        sends = self._exchange.tick(
            self._make_report, self._reactor.now(), self._boot_clock.now()
        )
        if self._exchange.is_relay != self._was_relay:
            self._was_relay = self._exchange.is_relay
            LOG.info('load relay changed', is_relay=self._was_relay)
        for send in sends:
            self._send(send)

    def _send(self, send: exchange_module.Send) -> None:
        kind = type(send.message).__name__
        try:
            data = datagrams.seal(self._key, send.message)
        except core_errors.DatagramError as error:
            metrics.UNSENT_LOAD_REPORTS.labels(reason=str(error)).inc()
            return
        metrics.LOAD_DATAGRAM_BYTES.labels(kind=kind).inc(
            len(data) * len(send.addresses)
        )
        for address in send.addresses:
            try:
                self._socket.sendto(data, links.split_address(address))
            except OSError as error:
                metrics.UNSENT_LOAD_REPORTS.labels(
                    reason=str(error.errno)
                ).inc()

    def _receive(self, events: int) -> None:
        has_news = False
        while True:
            try:
                data = self._socket.recv(datagrams.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError as error:
                LOG.warning('load report not received', error=str(error))
                break
            has_news = self._handle_datagram(data) or has_news
        if has_news:
            self._handle_news()

    def _handle_datagram(self, data: bytes) -> bool:
        """Handle a datagram; return whether it had news."""
        try:
            message = datagrams.unseal(self._key, data)
        except core_errors.DatagramError as error:
            metrics.LOAD_DATAGRAMS.labels(outcome=str(error)).inc()
            return False
        outcome, sends = self._exchange.handle(
            message, self._reactor.now(), self._boot_clock.now()
        )
        metrics.LOAD_DATAGRAMS.labels(outcome=outcome.value).inc()
        for send in sends:
            self._send(send)
        return outcome is exchange_module.Outcome.ACCEPTED
