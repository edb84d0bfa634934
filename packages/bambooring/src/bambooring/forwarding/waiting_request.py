"""Keep what the dispatcher decides by about a caller's request."""

from bambooring.forwarding import arrivals
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import forwarder as forwarder_module
from bambooring.forwarding import messages
from bambooring.forwarding import ordering
from bambooring.forwarding import suspicions


class WaitingRequest:
    """The times, the standing and the progress of a caller's request.

    Points in time are in the reactor's seconds.
    """

    def __init__(
        self,
        *,
        forwarder: forwarder_module.Forwarder,
        request: messages.CallerRequest,
        received_s: float,
        admission: decisions.Admission,
        service: str,
        urgency: int | None,
        traits: arrivals.Traits,
    ) -> None:
        self._forwarder = forwarder
        self.request = request
        self.route = admission.route
        self.account = admission.account
        self.allowed_domains = admission.allowed_domains
        self.service = service
        # The keys under which the result is counted.
        self._fairness_keys = [
            f'account {self.account.name if self.account else ""}',
            f'route {self.route.name}',
        ]
        self.progress = decisions.Progress()
        self.suspicion = suspicions.RequestSuspicion(
            forwarder.crash_guard,
            request,
            self.account.name if self.account else '',
        )
        self.tried_targets: set[str] = set()
        self.received_s = received_s
        self.admitted_s = forwarder.reactor.now()
        self.deadline_s = self.received_s + decisions.get_total_timeout_s(
            request, self.route
        )
        self.queue_deadline_s = self.deadline_s
        self.first_received_s = self.received_s - traits.elapsed_s
        self.standing: ordering.Standing | None = None
        if urgency is not None:
            self.standing = ordering.make_standing(
                urgency=urgency,
                request=request,
                route=self.route,
                account=self.account,
                traits=traits,
                first_received_s=self.first_received_s,
                deadline_s=self.deadline_s,
            )

    def get_queue_key(self, now_s: float) -> tuple[float, ...]:
        """Return the sort key in the queue; the lowest is served first.

        :param now_s: the current time in seconds
        """
        if self.standing is not None:
            return self._forwarder.dispatcher.order.compute_key(
                self.standing, self, now_s
            )
        return decisions.compute_queue_key(
            self.route,
            self.account,
            received_s=self.received_s,
            is_response_started=self.progress.is_response_started,
            now_s=now_s,
            is_underserved=self._forwarder.fairness.is_underserved(
                self._fairness_keys
            ),
        )

    @property
    def objective_s(self) -> float:
        """Return the time to the first byte that the caller expects."""
        return self.route.first_byte_objective_s

    @property
    def max_wait_s(self) -> float:
        """Return the longest time from its receipt to its dispatch.

        For a stream it is a share of the time after which its caller gives up
        a stream that sends nothing.
        """
        if self.route.kind != 'stream':
            return self.deadline_s - self.received_s
        idle_s = decisions.get_stream_idle_s(self.route)
        return idle_s * const.STREAM_WAIT_SHARE

    @property
    def should_retry_later(self) -> bool:
        """Return whether the caller should retry later rather than wait."""
        return decisions.should_retry_later(
            self.route, self.progress, self.get_time_left_s()
        )

    def get_time_left_s(self) -> float:
        """Return the time until the request's deadline, in seconds."""
        return self.deadline_s - self._forwarder.reactor.now()

    @property
    def silence_timeout_s(self) -> float | None:
        """Return how long an attempt may be silent before it is repeated.

        None if it isn't repeated for that reason.
        """
        if self.is_stream or not self.route.is_retryable:
            return None
        return (
            self.route.first_byte_objective_s
            * const.SILENCE_TIMEOUT_OBJECTIVES
        )

    @property
    def is_stream(self) -> bool:
        """Return whether the request is answered by a stream of events."""
        return self.route.kind == 'stream'
