"""Send requests to targets, or queue them until one has room.

Each service has a queue. What waits too long, or for nothing, is given up at
once.
"""

import collections.abc
import random

import structlog

from bambooring.balancing import const as balancing_const
from bambooring.balancing import messages as balancing_messages
from bambooring.balancing import state as balancing
from bambooring.crashes import state as crashes
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import messages
from bambooring.forwarding import ordering
from bambooring.forwarding import protocols
from bambooring.forwarding import regions
from bambooring.forwarding import service_order
from bambooring.forwarding import slot_shares
from bambooring.routing import budget as budget_module
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class Dispatcher:
    """Decide when and where the requests of this instance are sent.

    ``report_load`` tells the other entry instances of a changed load.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        balancer: balancing.Balancer,
        budget: budget_module.RetryBudget,
        rng: random.Random,
        report_load: collections.abc.Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._balancer = balancer
        self._budget = budget
        self._rng = rng
        self._report_load = report_load
        self.order = service_order.ServiceOrder(balancer, report_load, rng)
        self.slot_shares = slot_shares.SlotShares(balancer, rng)
        self._queues: dict[str, list[protocols.QueuedRequest]] = {}
        self._poll_timer: reactor_module.Timer | None = None
        self._planned_stop: messages.PlannedStop | None = None

    def count_queued(self) -> dict[str, int]:
        """Return how many requests are queued, by service."""
        return {
            name: len(queue) for name, queue in self._queues.items() if queue
        }

    def count_queued_by_urgency(self) -> dict[str, list[int]]:
        """Return how many requests of each urgency are queued, by service."""
        now_s = self._reactor.now()
        return {
            name: self.order.count_by_urgency(queue, now_s)
            for name, queue in self._queues.items()
            if any(pending.standing is not None for pending in queue)
        }

    def dispatch_or_queue(self, pending: protocols.QueuedRequest) -> None:
        """Send a request to a target, or queue it until a slot is free.

        If the wait would be too long, the request is given up.

        :param pending: the request
        """
        if not self._may_start(pending):
            pending.give_up(const.Reason.STOPPING)
            return
        decision = pending.suspicion.decide()
        if decision.is_forbidden:
            pending.give_up(const.Reason.SUSPECT)
            return
        queue = self._queues.setdefault(pending.service, [])
        now_s = self._reactor.now()
        queue_key = pending.get_queue_key(now_s)
        ahead = [
            other
            for other in queue
            if other.get_queue_key(now_s) < queue_key
            and regions.may_compete(
                other.allowed_domains, pending.allowed_domains
            )
        ]
        is_held_up = self._is_held_up(ahead, now_s)
        if not is_held_up and self._try_dispatch(pending, now_s):
            return
        if decision.status is crashes.Status.PROBE:
            # Probes that waited would all be sent at once.
            pending.give_up(const.Reason.SUSPECT)
            return
        if (
            self._balancer.is_group_broken(pending.service)
            and pending.should_retry_later
        ):
            pending.give_up(const.Reason.GROUP_BROKEN)
            return
        if self._is_evacuated(pending):
            pending.give_up(const.Reason.NO_TARGET)
            return
        if self.refuse_for_rests(pending):
            return
        if self._wait_for_rests(pending, now_s):
            return
        if pending.standing is not None and self._may_refuse_by_order(pending):
            self._queue_by_order(pending, pending.standing, len(ahead))
            return
        estimate = self._estimate_wait(len(ahead), pending)
        if not estimate.is_worthwhile:
            LOG.info(
                'no place in the queue',
                request=pending.request.attempt_id,
                service=pending.service,
                ahead=len(ahead),
                wait_ms=round(estimate.wait_s * 1000),
                limit_ms=round(estimate.limit_s * 1000),
            )
            pending.give_up(self._get_reject_reason(pending, now_s))
            return
        self._append_to_queue(
            pending,
            min(
                now_s + max(0.0, estimate.limit_s),
                pending.received_s + pending.max_wait_s,
            ),
        )

    def _may_refuse_by_order(self, pending: protocols.QueuedRequest) -> bool:
        """Return whether the order of service decides if a request waits."""
        return (
            pending.progress.may_be_refused
            and not self._balancer.is_group_broken(pending.service)
        )

    def _queue_by_order(
        self,
        pending: protocols.QueuedRequest,
        standing: ordering.Standing,
        ahead: int,
    ) -> None:
        """Queue a request where routes differ in priority, or give it up."""
        now_s = self._reactor.now()
        verdict = self.order.decide(
            pending,
            standing,
            ahead=ahead,
            waiting=len(self._queues[pending.service]),
            now_s=now_s,
        )
        if not verdict.is_admitted:
            pending.give_up(self._get_reject_reason(pending, now_s))
            return
        self._append_to_queue(
            pending,
            min(
                now_s + verdict.limit_s,
                pending.received_s + pending.max_wait_s,
            ),
        )

    def _give_up_hopeless(self, queue: list[protocols.QueuedRequest]) -> None:
        """Give up the last ones of a queue if their wait has become too long.

        The queue is sorted, so the least urgent ones are given up for a more
        urgent request that has arrived.
        """
        now_s = self._reactor.now()
        for ahead, pending in reversed(list(enumerate(queue))):
            if pending.standing is None or not self._may_refuse_by_order(
                pending
            ):
                return
            verdict = self.order.decide(
                pending,
                pending.standing,
                ahead=ahead,
                waiting=len(queue),
                now_s=now_s,
                queue_limit_s=pending.queue_deadline_s - now_s,
            )
            if verdict.is_admitted:
                return
            pending.give_up(self._get_reject_reason(pending, now_s))

    def _is_held_up(
        self, ahead: list[protocols.QueuedRequest], now_s: float
    ) -> bool:
        """Return whether a request waits for others that are queued.

        It goes before one that no untried target may take yet, and before one
        bound to failure domains that have no room.
        """
        full_domains: set[regions.Domains] = set()
        for queued in ahead:
            if not self._may_take_slot(queued, now_s):
                continue
            if self._may_use_any_target(queued):
                if queued.allowed_domains is None:
                    return True
                if queued.allowed_domains in full_domains:
                    continue
                full_domains.add(queued.allowed_domains)
            if self.may_dispatch(queued):
                return True
        return False

    def _is_evacuated(self, pending: protocols.QueuedRequest) -> bool:
        return self._balancer.is_evacuated(
            pending.service, pending.allowed_domains
        )

    def _get_capacity(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> balancing.ServiceCapacity:
        """Return the capacity of the targets that may serve a request."""
        return self._balancer.get_capacity(
            pending.service, now_s, pending.allowed_domains
        )

    def _append_to_queue(
        self, pending: protocols.QueuedRequest, deadline_s: float
    ) -> None:
        pending.queue_deadline_s = deadline_s
        self._queues[pending.service].append(pending)
        self._report_load()
        self._schedule_poll()

    def _may_start(self, pending: protocols.QueuedRequest) -> bool:
        """Return whether a planned stop leaves time to start a request.

        One that may have run goes on: its caller can't be told to retry.
        """
        if self._planned_stop is None or not pending.progress.may_be_refused:
            return True
        return decisions.may_start_before_stop(
            self._planned_stop,
            admitted_s=pending.admitted_s,
            now_s=self._reactor.now(),
            deadline_s=pending.deadline_s,
            mean_duration_s=self._balancer.get_mean_duration_s(
                pending.service
            ),
        )

    def _get_rest_wait_s(
        self, pending: protocols.QueuedRequest
    ) -> float | None:
        return self._balancer.get_rest_wait_s(
            pending.service,
            self._reactor.now(),
            pending.tried_targets,
            pending.allowed_domains,
        )

    def refuse_for_rests(self, pending: protocols.QueuedRequest) -> bool:
        """Refuse a request if all targets rest for longer than it waits.

        :param pending: the request, which isn't queued
        :returns: whether it has been refused
        """
        wait_s = self._get_rest_wait_s(pending)
        if wait_s is None or not pending.progress.may_be_refused:
            return False
        estimate = self._estimate_wait(0, pending)
        latest_wait_s = min(
            estimate.limit_s,
            pending.received_s + pending.max_wait_s - self._reactor.now(),
        )
        if wait_s <= latest_wait_s:
            return False
        pending.give_up(const.Reason.TARGETS_REST)
        return True

    def _wait_for_rests(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> bool:
        """Queue a request that can't be refused until a target is back.

        If it would have to wait for longer than its caller does, it is given
        up at once: its caller may still try at another instance.

        :returns: whether all targets rest
        """
        wait_s = self._get_rest_wait_s(pending)
        if wait_s is None or pending.progress.may_be_refused:
            return False
        latest_start_s = self._get_latest_start_s(pending)
        if now_s + wait_s > latest_start_s:
            pending.give_up(const.Reason.TARGETS_REST)
        else:
            self._append_to_queue(pending, latest_start_s)
        return True

    def _get_latest_start_s(self, pending: protocols.QueuedRequest) -> float:
        """Return until when a request waits that can't be refused.

        The caller of a stream that has begun counts from its last event.
        """
        if not pending.progress.is_response_started:
            return pending.received_s + pending.max_wait_s
        idle_s = decisions.get_stream_idle_s(pending.route)
        return min(
            pending.deadline_s,
            self._reactor.now() + idle_s * const.STREAM_WAIT_SHARE,
        )

    def _get_reject_reason(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> const.Reason:
        service = pending.service
        if self._get_rest_wait_s(pending) is not None:
            return const.Reason.TARGETS_REST
        if not self._get_capacity(pending, now_s).usable_target_count:
            return const.Reason.NO_TARGET
        if self._balancer.is_group_broken(service):
            return const.Reason.GROUP_BROKEN
        if self._balancer.is_unavailable(service, now_s):
            return const.Reason.TARGET_REFUSED
        return const.Reason.OVERLOAD

    def _estimate_wait(
        self, queued_ahead: int, pending: protocols.QueuedRequest
    ) -> decisions.WaitEstimate:
        now_s = self._reactor.now()
        service = pending.service
        return decisions.estimate_wait(
            self._get_capacity(pending, now_s),
            queued_ahead=queued_ahead,
            mean_duration_s=self._balancer.get_mean_duration_s(service),
            time_left_s=pending.get_time_left_s(),
            is_group_broken=self._balancer.is_group_broken(service),
        )

    def _try_dispatch(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> bool:
        if not self._may_take_slot(pending, now_s):
            return False
        choice = self._choose(pending, now_s)
        if choice is None:
            return False
        self._send(pending, choice, now_s)
        return True

    def _may_take_slot(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> bool:
        return self.order.may_take_slot(
            pending, self._queues[pending.service], now_s
        )

    def _send(
        self,
        pending: protocols.QueuedRequest,
        choice: balancing.Choice,
        now_s: float,
    ) -> None:
        self.order.record_dispatch(pending, now_s)
        pending.send_to_target(choice)

    def _choose(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> balancing.Choice | None:
        """Choose a target; one that rested is probed by new requests.

        A request that was sent before has lost time already, and one that is
        refused as a probe costs a retry that others may need more. A target
        that refuses everything has the least load of all, so a request that
        was refused by such a target prefers targets that run requests. Where
        the routes of a service differ in priority, no target gets more
        requests than it has slots: one in its own queue would get its next
        slot, though a more urgent one waits elsewhere.
        """
        query = balancing_messages.TargetQuery(
            service=pending.service,
            excluded_ids=pending.tried_targets
            | self._list_full_targets(pending),
            may_probe=not pending.progress.attempt_count
            and self._budget.has_reserve(now_s),
            prefers_serving=pending.progress.resting_count > 0,
            extra_requests=balancing_const.EXTRA_REQUESTS_PER_TARGET
            if pending.standing is None
            else 0,
            allowed_domains=pending.allowed_domains,
            request_bytes=len(pending.request.body),
            waited_s=now_s - pending.admitted_s,
            is_near_only=self.order.is_near_only(pending, now_s),
        )
        return self._balancer.choose(query, now_s)

    def _list_full_targets(
        self, pending: protocols.QueuedRequest
    ) -> frozenset[str]:
        """Return the targets that have too many bytes for one more body."""
        return self._balancer.bodies.list_full(len(pending.request.body))

    def _may_use_any_target(self, pending: protocols.QueuedRequest) -> bool:
        """Return whether no target in its failure domains is excluded."""
        return not (pending.tried_targets or self._list_full_targets(pending))

    def may_dispatch(self, pending: protocols.QueuedRequest) -> bool:
        """Return whether a target could take a request now."""
        if self._balancer.is_group_broken(pending.service):
            return False
        return self._choose(pending, self._reactor.now()) is not None

    def _schedule_poll(self) -> None:
        if self._poll_timer is None:
            self._poll_timer = self._reactor.call_later(
                const.QUEUE_POLL_INTERVAL_S, self._poll_queues
            )

    def _poll_queues(self) -> None:
        self._poll_timer = None
        self.dispatch_queued()
        for queue in self._queues.values():
            self._give_up_hopeless(queue)
        if any(self._queues.values()):
            self._schedule_poll()

    def dispatch_queued(self) -> None:
        """Send queued requests to targets while there are free slots."""
        for service, queue in self._queues.items():
            if not queue:
                continue
            now_s = self._reactor.now()
            self._give_up_overdue(queue, now_s)
            queue.sort(key=lambda pending: pending.get_queue_key(now_s))
            allowed = self.slot_shares.draw(service, len(queue), now_s)
            while queue and self._may_send_first(queue, allowed):
                if not self._dispatch_first(queue, now_s):
                    break
                allowed -= 1

    def _may_send_first(
        self, queue: list[protocols.QueuedRequest], allowed: int
    ) -> bool:
        """Return whether the share of free slots allows another request.

        The rest of a stream that has begun waits for no share. Where the order
        counts, it decides on the shares too.
        """
        first = queue[0]
        return (
            allowed > 0
            or first.progress.is_response_started
            or first.standing is not None
        )

    def _give_up_overdue(
        self, queue: list[protocols.QueuedRequest], now_s: float
    ) -> None:
        """Give up requests that have waited as long as their callers do.

        So are those that can't be started before a planned stop, and those
        whose targets will all rest for longer.
        """
        for pending in list(queue):
            reason = self._get_give_up_reason(pending, now_s)
            if reason is not None:
                pending.give_up(reason)

    def _get_give_up_reason(
        self, pending: protocols.QueuedRequest, now_s: float
    ) -> const.Reason | None:
        """Return why a queued request is given up now, None if it isn't."""
        if not self._may_start(pending):
            return const.Reason.STOPPING
        if self._is_evacuated(pending):
            return const.Reason.NO_TARGET
        if now_s >= pending.queue_deadline_s:
            return self._get_reject_reason(pending, now_s)
        wait_s = self._get_rest_wait_s(pending)
        if wait_s is not None and now_s + wait_s > pending.queue_deadline_s:
            return const.Reason.TARGETS_REST
        return None

    def _dispatch_first(
        self, queue: list[protocols.QueuedRequest], now_s: float
    ) -> bool:
        """Send the first queued request that a target may take.

        :returns: whether there was one
        """
        full_domains: set[regions.Domains] = set()
        for pending in queue:
            if not self._may_take_slot(pending, now_s):
                continue
            is_untried = self._may_use_any_target(pending)
            if is_untried and pending.allowed_domains in full_domains:
                continue
            choice = self._choose(pending, now_s)
            if choice is not None:
                queue.remove(pending)
                self._send(pending, choice, now_s)
                return True
            if is_untried:
                if pending.allowed_domains is None:
                    # Any target would do, so there is none for the others
                    # either.
                    return False
                full_domains.add(pending.allowed_domains)
        return False

    def remove_from_queue(self, pending: protocols.QueuedRequest) -> None:
        """Remove a request from its queue, if it is queued."""
        queue = self._queues.get(pending.service, [])
        if pending in queue:
            queue.remove(pending)
            if pending.standing is not None:
                # Others may leave a slot for it.
                self._report_load()

    def plan_stop(self, planned_stop: messages.PlannedStop) -> None:
        """Refuse from now on what can't be done before the process stops."""
        self._planned_stop = planned_stop
        self.dispatch_queued()

    def get_retry_after_s(self, pending: protocols.QueuedRequest) -> float:
        """Return after how many seconds a rejected caller should retry.

        The time is randomized, so that callers rejected at the same moment
        don't all retry at the same moment.
        """
        decision = pending.suspicion.decide()
        if decision.is_forbidden:
            return max(decision.wait_s, const.RETRY_AFTER_MIN_S)
        service = pending.service
        now_s = self._reactor.now()
        rest_wait_s = self._get_rest_wait_s(pending)
        if rest_wait_s is not None:
            # The first target to be back needs as long for one request.
            spread_s = self._balancer.get_mean_duration_s(service)
            wait_s = rest_wait_s + self._rng.uniform(0.0, spread_s)
            return max(wait_s, const.RETRY_AFTER_MIN_S)
        capacity = self._get_capacity(pending, now_s)
        if not capacity.usable_target_count or self._balancer.is_unavailable(
            service, now_s
        ):
            return decisions.compute_outage_retry_after_s(
                pending.get_time_left_s(), self._rng.random()
            )
        if pending.standing is not None:
            return self.order.compute_retry_after_s(
                pending,
                pending.standing,
                waiting=len(self._queues.get(service, ())),
                draw=self._rng.random(),
                now_s=now_s,
            )
        mean_duration_s = self._balancer.get_mean_duration_s(service)
        slots = max(capacity.slots, balancing_const.DEFAULT_SLOTS_PER_TARGET)
        waiting = (
            len(self._queues.get(service, ())) + capacity.waiting_elsewhere
        )
        wait_s = mean_duration_s * (1 + waiting / slots)
        wait_s *= self._rng.uniform(0.5, 1.0)
        return min(
            max(wait_s, const.RETRY_AFTER_MIN_S), const.RETRY_AFTER_MAX_S
        )
