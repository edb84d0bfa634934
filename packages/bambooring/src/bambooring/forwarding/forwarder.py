"""Describe what pending requests use of the forwarder that owns them."""

import typing

from bambooring.balancing import state as balancing
from bambooring.crashes import task as crashes
from bambooring.forwarding import attempt as attempt_module
from bambooring.forwarding import dispatcher as dispatcher_module
from bambooring.forwarding import events
from bambooring.forwarding import fairness as fairness_module
from bambooring.forwarding import messages
from bambooring.forwarding import ordering
from bambooring.forwarding import stalls
from bambooring_core.http1 import messages as http1
from bambooring_core import reactor as reactor_module


class PendingRequest(attempt_module.AttemptListener, typing.Protocol):
    """What the forwarder uses of a request without a final response."""

    request: messages.CallerRequest
    standing: ordering.Standing | None

    @property
    def is_stream(self) -> bool:
        """Return whether the request is answered by a stream of events."""

    @property
    def silence_timeout_s(self) -> float | None:
        """Return how long an attempt may be silent before it is repeated."""

    def make_attempt_metadata(
        self, target_id: str
    ) -> messages.AttemptMetadata:
        """Return what an attempt tells its target besides the request."""

    def recheck_suspicion(self) -> None:
        """End the request if it has become suspect and isn't answered yet."""

    def stop(self) -> None:
        """End the request because the process stops."""


class Forwarder(typing.Protocol):
    """The part of the forwarder that pending requests use."""

    reactor: reactor_module.Reactor
    balancer: balancing.Balancer
    crash_guard: crashes.CrashGuard
    fairness: fairness_module.FairnessTracker
    dispatcher: dispatcher_module.Dispatcher
    event_log: stalls.EventLog
    event_format: events.EventFormat

    def start_attempt(
        self,
        pending: PendingRequest,
        choice: balancing.Choice,
    ) -> attempt_module.Attempt:
        """Send a request to a target."""

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""

    def record_statements(self, attempt: attempt_module.Attempt) -> None:
        """Record what the head of a response says of its target."""

    def spend_retry(self, reason: str) -> bool:
        """Take a retry from the retry budget.

        :param reason: why the request is retried, as a metric label
        :returns: whether the budget allows it
        """

    def release_attempt(self, attempt: attempt_module.Attempt) -> None:
        """Remove an ended attempt from its target's load."""

    def eject_target(self, target_id: str, reason: str) -> None:
        """Exclude a failed target from new requests for a while."""

    def record_prompt_read(self, attempt: attempt_module.Attempt) -> None:
        """Record that a target has read an attempt's prompt."""

    def remove_request(self, pending: PendingRequest) -> None:
        """Forget a request that has ended."""
