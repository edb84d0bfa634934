"""Describe what the parts of forwarding use of one another.

Others implement them without being imported by those that use them, so
that no two modules import each other.
"""

import typing

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import events
from bambooring.forwarding import messages
from bambooring.forwarding import ordering
from bambooring.forwarding import regions
from bambooring.forwarding import suspicions
from bambooring.policy import messages as policy


class EventStream(typing.Protocol):
    """What an attempt and its listener use of the attempt's stream."""

    @property
    def has_broken_off(self) -> bool:
        """Return whether a stream that has ended can't be whole."""

    @property
    def counts(self) -> events.EventCounts:
        """Return what the target has sent so far."""

    @property
    def partial_bytes(self) -> int:
        """Return how much is kept of an event that isn't complete."""

    def forward(self, data: bytes) -> None:
        """Pass on the events that a part of the body completes."""

    def close(self) -> None:
        """Stop watching the stream, because its attempt has ended."""


class OrderedRequest(typing.Protocol):
    """What the order of service needs to know of a pending request."""

    service: str
    request: messages.CallerRequest
    standing: ordering.Standing | None
    progress: decisions.Progress
    first_received_s: float
    admitted_s: float
    deadline_s: float

    @property
    def objective_s(self) -> float:
        """Return the time to the first byte that the caller expects."""

    def get_time_left_s(self) -> float:
        """Return the time until the request's deadline, in seconds."""


class QueuedRequest(OrderedRequest, typing.Protocol):
    """What the dispatcher uses of a pending request."""

    route: policy.Route
    allowed_domains: regions.Domains
    suspicion: suspicions.RequestSuspicion
    tried_targets: set[str]
    received_s: float
    queue_deadline_s: float

    @property
    def max_wait_s(self) -> float:
        """Return the longest time from its receipt to its dispatch."""

    @property
    def should_retry_later(self) -> bool:
        """Return whether the caller should retry later rather than wait."""

    def get_queue_key(self, now_s: float) -> tuple[float, ...]:
        """Return the sort key in the queue; the lowest is served first."""

    def send_to_target(self, choice: balancing.Choice) -> None:
        """Start an attempt at a target that the balancer has chosen."""

    def give_up(self, reason: const.Reason) -> None:
        """End a request that no target will answer successfully."""
