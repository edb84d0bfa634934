"""Ask the agents of cold targets for permits by datagrams."""

import collections.abc
import random
import selectors
import socket
import typing

import structlog

from bambooring.balancing import permits as permits_module
from bambooring.forwarding import dispatcher as dispatcher_module
from bambooring.gateway import const
from bambooring.gateway import messages as gateway
from bambooring import metrics
from bambooring.policy import messages as policy
from bambooring.targets import messages as targets
from bambooring_core import datagrams
from bambooring_core import errors as core_errors
from bambooring_core import links
from bambooring_core.permits import messages
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class PermitRequester:
    """Own the datagram socket, and request the permits that are needed.

    Without an agents' port in the settings it has no socket, and cold targets
    with a limit get no requests.
    """

    def __init__(
        self,
        *,
        settings: gateway.Settings,
        reactor: reactor_module.Reactor,
        cold: permits_module.ColdTargets,
        incarnation: int,
        rng: random.Random,
        dispatcher: dispatcher_module.Dispatcher,
    ) -> None:
        self._settings = settings
        self._key = settings.link_key
        self._reactor = reactor
        self._cold = cold
        self._incarnation = incarnation
        self._rng = rng
        self._dispatcher = dispatcher
        self._is_scheduled = False
        self._socket: socket.socket | None = None

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exception: object) -> None:
        if self._socket is not None:
            self._reactor.unwatch(self._socket)
            self._socket.close()

    def set_up(self) -> None:
        """Open the socket if cold targets have a limit, and start the log."""
        if not self._settings.cold_overrun:
            return
        self._reactor.call_every(const.PERMIT_LOG_INTERVAL_S, self._log)
        if not self._settings.agent_port:
            return
        host, _ = links.split_address(self._settings.link_address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, 0))
        self._reactor.watch(self._socket, selectors.EVENT_READ, self._receive)
        self._cold.on_demand = self._schedule

    def set_services(
        self, services: collections.abc.Iterable[policy.Service]
    ) -> None:
        """Apply the limits of a policy's services."""
        self._cold.set_limits(
            {
                service.name: permits_module.compute_limit(
                    service,
                    self._settings.cold_overrun,
                    self._settings.cold_slack,
                )
                for service in services
            }
        )

    def _schedule(self) -> None:
        """Send the requests after all that is being decided now."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.call_soon(self._send_requests)

    def _send_requests(self) -> None:
        self._is_scheduled = False
        requests = self._cold.make_requests(
            sender=self._settings.link_address,
            incarnation=self._incarnation,
            queued=self._dispatcher.count_queued(),
            now_s=self._reactor.now(),
        )
        for target, request in requests:
            self._send(target, request)

    def _send(
        self, target: targets.Target, request: messages.PermitRequest
    ) -> None:
        assert self._socket is not None
        try:
            host, _ = links.split_address(target.address)
            self._socket.sendto(
                datagrams.seal(self._key, request),
                (host, self._settings.agent_port),
            )
        except OSError as error:
            metrics.UNSENT_PERMIT_REQUESTS.labels(
                reason=str(error.errno)
            ).inc()

    def _receive(self, events: int) -> None:
        assert self._socket is not None
        has_permits = False
        while True:
            try:
                data = self._socket.recv(datagrams.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError as error:
                LOG.warning('permit grant not received', error=str(error))
                break
            has_permits = self._handle_datagram(data) or has_permits
        if has_permits:
            self._dispatcher.dispatch_queued()

    def _handle_datagram(self, data: bytes) -> bool:
        """Handle a datagram; return whether it brought permits."""
        try:
            message = datagrams.unseal(self._key, data)
        except core_errors.DatagramError as error:
            metrics.PERMITS.labels(outcome=str(error)).inc()
            return False
        if (
            not isinstance(message, messages.PermitGrant)
            or message.sender != self._settings.link_address
            or message.incarnation != self._incarnation
        ):
            metrics.PERMITS.labels(outcome='foreign').inc()
            return False
        return self._cold.apply_grant(message, self._reactor.now(), self._rng)

    def _log(self) -> None:
        """Log the targets that became cold or warm, and count the permits."""
        self._cold.update(self._reactor.now())
        for outcome, count in self._cold.outcomes.items():
            metrics.PERMITS.labels(outcome=outcome).inc(count)
        if self._cold.outcomes:
            LOG.info('permits counted', **self._cold.outcomes)
        self._cold.outcomes.clear()
        for change in self._cold.take_changes():
            LOG.info(
                'target cold' if change.is_cold else 'target warm',
                target=change.target.id,
                service=change.target.service,
                target_born=change.target.born_ms,
                for_ms=round(change.remaining_s * 1000),
            )
