"""Grant leases to entry instances.

A lease proves that an entry instance has the newest version of the policy.
Requests that arrive within a short time are answered from the result of one
command in the replicated log.
"""

import collections.abc
import typing

import structlog

from bambooring.gateway import const
from bambooring.policy import messages as policy
from bambooring_core import codec
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

SubmitCommand = collections.abc.Callable[..., None]


class LeaseGranter:
    """Collect lease requests and answer them through the log."""

    def __init__(
        self, reactor: reactor_module.Reactor, submit: SubmitCommand
    ) -> None:
        self._reactor = reactor
        self._submit = submit
        self._pending_requests: dict[links.Link, policy.LeaseRequest] = {}
        self._in_flight_count = 0
        self._is_scheduled = False

    def add_request(
        self, link: links.Link, request: policy.LeaseRequest
    ) -> None:
        """Queue a request; it replaces an earlier one of the same link."""
        self._pending_requests[link] = request
        self._schedule_submission()

    def _schedule_submission(self) -> None:
        if self._pending_requests and not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.call_later(
                const.LEASE_BATCH_DELAY_S, self.submit_requests
            )

    def submit_requests(self) -> None:
        """Submit one command for all queued requests."""
        self._is_scheduled = False
        if (
            not self._pending_requests
            or self._in_flight_count >= _MAX_IN_FLIGHT
        ):
            return
        requests, self._pending_requests = self._pending_requests, {}
        self._in_flight_count += 1
        self._submit(
            policy.Consult(is_whole=False),
            const.CONSULT_TIMEOUT_S,
            lambda reply: self._send_grants(requests, reply),
        )

    def _send_grants(
        self,
        requests: dict[links.Link, policy.LeaseRequest],
        reply: bytes | None,
    ) -> None:
        self._in_flight_count -= 1
        # Requests may have been left waiting while too many were in flight.
        self._schedule_submission()
        if reply is None:
            LOG.info('lease requests not granted in time', asked=len(requests))
            return
        document: typing.Any = codec.unpack(reply)
        for link, request in requests.items():
            if link.is_up:
                link.send(
                    policy.LeaseGrant(
                        lease=request.lease,
                        version=document.version,
                        evacuation_revision=document.evacuation_revision,
                    )
                )


# Commands that may be in flight at once. More than one, because a command
# without a result must not delay those after it.
_MAX_IN_FLIGHT: typing.Final = 8
