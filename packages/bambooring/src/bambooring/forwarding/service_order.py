"""Keep what the order of service depends on, by service.

It is the state that the pure modules ``ordering`` and ``admission`` decide by.
Callers pass the current time.
"""

import collections.abc
import dataclasses
import random

import structlog

from bambooring.balancing import state as balancing
from bambooring.forwarding import admission
from bambooring.forwarding import backlog
from bambooring.forwarding import const
from bambooring.forwarding import fairness
from bambooring.forwarding import ordering
from bambooring.forwarding import protocols
from bambooring import metrics
from bambooring.policy import urgency

LOG = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True, kw_only=True)
class _HeldSlots:
    """Slots that this instance has left free for others since ``since_s``."""

    since_s: float
    free: int


class _ServiceState:
    """The state of one service whose routes differ in priority."""

    __slots__ = (
        'dispatch_shares',
        'fairness',
        'held',
        'next_draw_s',
        'released',
        'released_s',
    )

    def __init__(self) -> None:
        self.fairness = fairness.FairnessTracker(const.ORDERED_HALF_LIFE_S)
        # The share of the requests sent, by urgency and lateness.
        self.dispatch_shares = [0.0] * (2 * urgency.CLASS_COUNT)
        self.held: _HeldSlots | None = None
        self.next_draw_s = 0.0
        # How many slots requests of this instance have left without another
        # one of it being sent, and when the last one was left.
        self.released = 0
        self.released_s = 0.0


class ServiceOrder:
    """Decide which requests may have a slot, and which may wait for one.

    ``report_load`` tells the other entry instances of a changed load.
    """

    def __init__(
        self,
        balancer: balancing.Balancer,
        report_load: collections.abc.Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._balancer = balancer
        self._rng = rng
        self._report_load = report_load
        self._states: dict[str, _ServiceState] = {}
        self._rooms: dict[str, balancing.Room] = {}
        self._rooms_valid_until_s = 0.0
        self.backlog = backlog.Backlog(balancer)

    def _get_state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = self._states[service] = _ServiceState()
        return state

    def compute_key(
        self,
        standing: ordering.Standing,
        request: protocols.OrderedRequest,
        now_s: float,
    ) -> ordering.OrderedKey:
        """Return the sort key of a request in its queue."""
        self._update_shares(standing, request.service, now_s)
        if self._is_held_back(request, standing, now_s):
            return ordering.compute_backlog_key(standing)
        return ordering.compute_ordered_key(
            standing,
            is_response_started=request.progress.is_response_started,
            now_s=now_s,
        )

    def _is_held_back(
        self,
        request: protocols.OrderedRequest,
        standing: ordering.Standing,
        now_s: float,
    ) -> bool:
        """Return whether a late request lets all go first that can be on time.

        So it does after an outage: the backlog of the more urgent ones alone
        would make the new less urgent ones late.
        """
        return (
            not request.progress.is_response_started
            and standing.is_late(now_s)
            and self.backlog.is_due(request.service, now_s)
        )

    def _update_shares(
        self, standing: ordering.Standing, service: str, now_s: float
    ) -> None:
        """Check whether a request's keys are starved, if that is due.

        A queue is sorted at every event; the shares change far more slowly.
        """
        if now_s < standing.shares_valid_until_s:
            return
        standing.shares_valid_until_s = now_s + const.SHARES_VALID_S
        tracker = self._get_state(service).fairness
        standing.is_size_underserved = bool(
            standing.size_key
        ) and tracker.is_starved(
            standing.size_key, const.STARVED_SIZE_SHARE, standing.route_key
        )
        standing.is_underserved = any(
            tracker.is_starved(key, const.STARVED_SHARE)
            for key in (
                standing.route_key,
                standing.account_key,
                standing.subject_key,
            )
            if key
        )

    def record_refusal(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> None:
        """Count a request that ends without having been sent to a target.

        Others were counted when they were sent.
        """
        standing = request.standing
        if standing is None or request.progress.attempt_count:
            return
        metrics.UNSERVED.labels(urgency=standing.urgency).inc()
        self._record_share(standing, request.service, False, now_s)

    def record_dispatch(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> None:
        """Count a request that is about to be sent to a target.

        It counts as served from now on: if that was known only seconds later,
        in the meantime more slots than needed would make up for its share.
        """
        self._rooms.clear()
        standing = request.standing
        if standing is None or request.progress.attempt_count:
            return
        self._record_share(standing, request.service, True, now_s)
        state = self._get_state(request.service)
        state.released = max(0, state.released - 1)
        shares = state.dispatch_shares
        weight = const.DISPATCH_EWMA_WEIGHT
        for index, share in enumerate(shares):
            shares[index] = share * (1 - weight)
        exchange_urgency = self.get_exchange_urgency(request, now_s)
        shares[2 * exchange_urgency + standing.is_late(now_s)] += weight
        metrics.DISPATCH_WAIT_S.labels(urgency=standing.urgency).observe(
            now_s - request.admitted_s
        )

    def _record_share(
        self,
        standing: ordering.Standing,
        service: str,
        is_served: bool,
        now_s: float,
    ) -> None:
        keys = (
            standing.route_key,
            standing.account_key,
            standing.size_key,
            standing.subject_key,
        )
        self._get_state(service).fairness.record_result(
            filter(None, keys), is_served=is_served, now_s=now_s
        )

    def get_exchange_urgency(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> int:
        """Return the urgency that is reported to other instances.

        They leave slots for it. A starved request is reported as most urgent:
        otherwise it would get no slot while any more urgent request waits at
        another instance.
        """
        standing = request.standing
        if standing is None:
            return urgency.LEAST_URGENT
        if request.progress.is_response_started or standing.is_underserved:
            return 0
        if self._is_held_back(request, standing, now_s):
            return min(
                standing.urgency + const.BACKLOG_URGENCY_STEP,
                urgency.LEAST_URGENT,
            )
        return standing.urgency

    def count_by_urgency(
        self,
        requests: collections.abc.Iterable[protocols.OrderedRequest],
        now_s: float,
    ) -> list[int]:
        """Return how many waiting requests there are of each urgency."""
        counts = [0] * urgency.CLASS_COUNT
        for request in requests:
            counts[self.get_exchange_urgency(request, now_s)] += 1
        return counts

    def may_take_slot(
        self,
        request: protocols.OrderedRequest,
        queue: collections.abc.Collection[protocols.OrderedRequest],
        now_s: float,
    ) -> bool:
        """Return whether a request may have a free slot, if there is one.

        A less urgent request leaves as many slots as more urgent ones wait at
        other instances. If these don't take any for a while, they can't.

        :param request: the request
        :param queue: what waits here for the same service
        :param now_s: the current time in seconds
        """
        if request.progress.is_response_started:
            return True
        if not self._may_take_slot_after_outage(request, now_s):
            return False
        if request.standing is None:
            return True
        state = self._get_state(request.service)
        counts = self._balancer.loads.count_waiting_by_urgency(request.service)
        own_urgency = self.get_exchange_urgency(request, now_s)
        # How many more urgent requests wait at other instances.
        before = sum(counts[:own_urgency])
        if not before:
            state.held = None
        room = self._measure_room(request.service, now_s)
        free = room.free
        if self.is_near_only(request, now_s):
            free = room.near_free
        if not free:
            state.held = None
            # For a retry that has tried all healthy targets the balancer
            # falls back on ejected ones, which the room doesn't include.
            return bool(request.progress.attempt_count)
        if free <= before and self._should_leave_slots(
            request.standing, state, free, before, now_s
        ):
            return False
        return self._wins_slot(
            state,
            free=max(1, free - before),
            own=sum(
                self.get_exchange_urgency(queued, now_s) == own_urgency
                for queued in queue
                if queued is not request
            )
            + 1,
            elsewhere=counts[own_urgency],
            now_s=now_s,
        )

    def is_near_only(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> bool:
        """Return whether to leave the slots of other failure domains alone.

        While as urgent requests wait there, their instances hear of a freed
        slot and of who took it long before this one does.
        """
        standing = request.standing
        if standing is None or request.progress.attempt_count:
            return False
        far_counts = self._balancer.loads.count_waiting_far(request.service)
        if far_counts is None:
            return False
        far_waiting = sum(
            far_counts[: self.get_exchange_urgency(request, now_s) + 1]
        )
        room = self._measure_room(request.service, now_s)
        return (
            room.has_near
            and far_waiting > 0
            and room.free - room.near_free <= far_waiting
        )

    def _should_leave_slots(
        self,
        standing: ordering.Standing,
        state: _ServiceState,
        free: int,
        before: int,
        now_s: float,
    ) -> bool:
        """Return whether to leave free slots to more urgent ones elsewhere."""
        if state.held is None or free < state.held.free:
            state.held = _HeldSlots(since_s=now_s, free=free)
            metrics.SLOTS_LEFT.inc()
            self._report_load()
        state.held.free = free
        if now_s - state.held.since_s < const.HOLD_BACK_MAX_S:
            return True
        LOG.info(
            'slot not taken elsewhere',
            urgency=standing.urgency,
            ahead_elsewhere=before,
            free=free,
            report_age_ms=round(
                self._balancer.loads.get_oldest_age_s(now_s) * 1000
            ),
        )
        state.held = None
        return False

    def _wins_slot(
        self,
        state: _ServiceState,
        *,
        free: int,
        own: int,
        elsewhere: int,
        now_s: float,
    ) -> bool:
        """Return whether a request may have one of too few free slots.

        All instances learn of a free slot at the same time. If each sent a
        request there, all but one would wait in the target's own queue while
        other slots become free. So the instance that had the slot may have it
        at once, and the others draw, such that one of them takes it on
        average.
        """
        if free >= own + elsewhere:
            return True
        if state.released and now_s - state.released_s < const.OWN_SLOT_S:
            return True
        if now_s < state.next_draw_s:
            return False
        if self._rng.random() * (own + elsewhere) < free * own:
            return True
        state.next_draw_s = now_s + const.SLOT_DRAW_INTERVAL_S
        return False

    def record_release(self, service: str, now_s: float) -> None:
        """Record that a request of this instance has left its slot."""
        self._rooms.clear()
        state = self._states.get(service)
        if state is not None:
            if now_s - state.released_s >= const.OWN_SLOT_S:
                state.released = 0
            state.released += 1
            state.released_s = now_s

    def is_contended(self, service: str) -> bool:
        """Return whether others wait for the slots of an ordered service."""
        return service in self._states and any(
            self._balancer.loads.count_waiting_by_urgency(service)
        )

    def _may_take_slot_after_outage(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> bool:
        """Return whether a request leaves enough room after an outage.

        All that waited come at once and will be late. If they took all slots,
        those that arrive in the next seconds would be late too.
        """
        share = self._get_on_time_share(request, now_s)
        if not share:
            return True
        room = self._measure_room(request.service, now_s)
        return room.free > share * room.slots

    def _get_on_time_share(
        self, request: protocols.OrderedRequest, now_s: float
    ) -> float:
        """Return the share of the slots that a request leaves to others."""
        if not is_late(request, now_s):
            return 0.0
        if self._balancer.is_recovering(request.service):
            return const.RECOVERY_ON_TIME_SHARE
        if request.standing is not None and self.backlog.is_due(
            request.service, now_s
        ):
            return const.BACKLOG_ON_TIME_SHARE
        return 0.0

    def _measure_room(self, service: str, now_s: float) -> balancing.Room:
        """Return the room at the targets, measured a moment ago at most.

        It only decides who may ask for a slot: the balancer looks again.
        """
        if now_s >= self._rooms_valid_until_s:
            self._rooms.clear()
            self._rooms_valid_until_s = now_s + const.ROOM_VALID_S
        if service not in self._rooms:
            self._rooms[service] = self._balancer.measure_room(service, now_s)
        return self._rooms[service]

    def decide(
        self,
        request: protocols.OrderedRequest,
        standing: ordering.Standing,
        *,
        ahead: int,
        waiting: int,
        now_s: float,
        queue_limit_s: float | None = None,
    ) -> admission.Verdict:
        """Decide whether a request should wait for a slot.

        :param request: the request
        :param standing: its standing
        :param ahead: how many requests that wait here go before it
        :param waiting: how many requests wait here
        :param now_s: the current time in seconds
        :param queue_limit_s: how much longer one that waits may do so
        """
        service = request.service
        counts = self._balancer.loads.count_waiting_by_urgency(service)
        exchange_urgency = self.get_exchange_urgency(request, now_s)
        # Of those that are equal about half came first.
        ahead_elsewhere = (
            sum(counts[:exchange_urgency]) + counts[exchange_urgency] / 2
        )
        room = self._measure_room(service, now_s)
        slots = room.slots * (1 - self._get_on_time_share(request, now_s))
        shares = self._get_state(service).dispatch_shares
        verdict = admission.decide(
            admission.Outlook(
                slots=slots,
                running=room.running,
                waiting=waiting + sum(counts),
                ahead=ahead + ahead_elsewhere,
                preferred_share=sum(shares[: 2 * exchange_urgency]),
                late_preferred_share=sum(shares[: 2 * exchange_urgency + 1]),
                mean_duration_s=self._balancer.get_mean_duration_s(service),
                time_left_s=request.get_time_left_s(),
                on_time_left_s=standing.on_time_until_s - now_s,
                queue_limit_s=queue_limit_s,
            )
        )
        if not verdict.is_admitted:
            LOG.info(
                'wait not worthwhile',
                request=request.request.attempt_id,
                service=service,
                urgency=standing.urgency,
                is_returning=standing.is_returning,
                ahead=ahead,
                ahead_elsewhere=round(ahead_elsewhere, 1),
                slots=round(slots, 1),
                running=room.running,
                wait_ms=round(verdict.wait_s * 1000),
                limit_ms=round(verdict.limit_s * 1000),
                is_queued=queue_limit_s is not None,
                report_age_ms=round(
                    self._balancer.loads.get_oldest_age_s(now_s) * 1000
                ),
            )
        return verdict

    def compute_retry_after_s(
        self,
        request: protocols.OrderedRequest,
        standing: ordering.Standing,
        *,
        waiting: int,
        draw: float,
        now_s: float,
    ) -> float:
        """Return after how long a refused caller should retry, in seconds.

        :param request: the request
        :param standing: its standing
        :param waiting: how many requests wait here
        :param draw: a random number from 0 to 1
        :param now_s: the current time in seconds
        """
        service = request.service
        counts = self._balancer.loads.count_waiting_by_urgency(service)
        waiting += sum(counts[: standing.urgency + 1])
        mean_duration_s = self._balancer.get_mean_duration_s(service)
        room = self._measure_room(service, now_s)
        shares = self._get_state(service).dispatch_shares
        # It will be late when it comes back.
        left_share = max(
            1 - sum(shares[: 2 * standing.urgency + 1]), const.MIN_LEFT_SHARE
        )
        wait_s = (1 + waiting / max(room.slots, 1.0)) * mean_duration_s
        return admission.compute_retry_after_s(
            wait_s=wait_s / left_share,
            mean_duration_s=mean_duration_s,
            time_left_s=request.get_time_left_s(),
            draw=draw,
        )


def is_late(request: protocols.OrderedRequest, now_s: float) -> bool:
    """Return whether a request's first byte can't be in time any more."""
    return (
        now_s - request.first_received_s
        > request.objective_s * const.LATE_OBJECTIVE_SHARE
    )
