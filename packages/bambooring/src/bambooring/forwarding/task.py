"""Accept callers' requests, queue them and send them to targets."""

import collections.abc
import random

import structlog

from bambooring.balancing import const as balancing_const
from bambooring.balancing import state as balancing
from bambooring.crashes import state as crashes
from bambooring.crashes import task as crashes_task
from bambooring.forwarding import attempt as attempt_module
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import dialect as dialect_module
from bambooring.forwarding import errors
from bambooring.forwarding import events
from bambooring.forwarding import fairness as fairness_module
from bambooring.forwarding import messages
from bambooring.forwarding import pending_request
from bambooring.forwarding import rejections
from bambooring.forwarding import stalls
from bambooring.forwarding import statements
from bambooring.loads import const as loads_const
from bambooring import metrics
from bambooring.policy import lease as lease_module
from bambooring.policy import state as policy_state
from bambooring.routing import budget as budget_module
from bambooring_core import clock as clock_module
from bambooring_core import decoding
from bambooring_core import errors as core_errors
from bambooring_core.http1 import client
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class Forwarder:
    """Handle all requests that callers send to this entry instance.

    ``policy_table`` is the policy in force, None until one is known.
    ``schedule_load_report`` is called with the longest delay in seconds after
    which the other entry instances should know of a changed load.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        balancer: balancing.Balancer,
        lease: lease_module.Lease,
        lease_clock: clock_module.Clock,
        budget: budget_module.RetryBudget,
        crash_guard: crashes_task.CrashGuard,
        rng: random.Random,
        schedule_load_report: collections.abc.Callable[[float], None],
        make_call: client.CallFactory = client.Call,
    ) -> None:
        self.reactor = reactor
        self.balancer = balancer
        self.fairness = fairness_module.FairnessTracker()
        self.event_log = stalls.EventLog()
        self.event_format = events.EventFormat(dialect.event_fields)
        self.policy_table: policy_state.PolicyTable | None = None
        self._dialect = dialect
        self._lease = lease
        self._lease_clock = lease_clock
        self._budget = budget
        self.crash_guard = crash_guard
        crash_guard.on_quarantine = self._recheck_suspicions
        self._rng = rng
        self._schedule_load_report = schedule_load_report
        self._make_call = make_call
        self._pending_requests: set[pending_request.PendingRequest] = set()
        self._queues: dict[str, list[pending_request.PendingRequest]] = {}
        self._poll_timer: reactor_module.Timer | None = None
        self._planned_stop: messages.PlannedStop | None = None

    @property
    def pending_count(self) -> int:
        """Return how many requests have no final response yet."""
        return len(self._pending_requests)

    def count_queued(self) -> dict[str, int]:
        """Return how many requests are queued, by service."""
        return {
            name: len(queue) for name, queue in self._queues.items() if queue
        }

    def handle(self, exchange: server.Exchange) -> None:
        """Handle a complete request from a caller.

        :param exchange: the request, and how to respond to it
        """
        try:
            request = decoding.contain(
                'request',
                lambda: self._dialect.read_request(exchange.request),
            )
        except errors.RequestMalformedError as error:
            error_response = messages.ErrorResponse(
                status=400, reason=const.Reason.MALFORMED
            )
            self._reject(exchange, '', error_response, str(error))
            return
        except core_errors.DecoderFaultError as error:
            # It has not run; another release may understand it.
            error_response = messages.ErrorResponse(
                status=503, reason=const.Reason.DECODER_FAULT
            )
            self._reject(exchange, '', error_response, str(error))
            return
        lease_now_s = self._lease_clock.now()
        result = decisions.admit(
            self.policy_table,
            request,
            has_lease=self._lease.is_valid(lease_now_s),
        )
        if isinstance(result, messages.ErrorResponse):
            self._reject(exchange, request.attempt_id, result)
            return
        self._budget.deposit()
        assert self.policy_table is not None
        pending = pending_request.PendingRequest(
            forwarder=self,
            exchange=exchange,
            request=request,
            admission=result,
            service=policy_state.draw_service(
                result.route.services, self._rng
            ),
            policy_version=self.policy_table.version,
            lease_age_s=self._lease.get_age_s(lease_now_s),
        )
        self._pending_requests.add(pending)
        self.dispatch_or_queue(pending)

    def _reject(
        self,
        exchange: server.Exchange,
        attempt_id: str,
        error_response: messages.ErrorResponse,
        detail: str = '',
    ) -> None:
        rejections.send_error(exchange, error_response)
        lease_age_s = self._lease.get_age_s(self._lease_clock.now())
        LOG.info(
            'request refused',
            request=attempt_id,
            reason=error_response.reason,
            status=error_response.status,
            detail=detail,
            policy_version=self.policy_table.version
            if self.policy_table
            else 0,
            has_lease=lease_age_s < self._lease.duration_s,
        )

    def dispatch_or_queue(
        self, pending: pending_request.PendingRequest
    ) -> None:
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
        now_s = self.reactor.now()
        queue_key = pending.get_queue_key(now_s)
        ahead = [
            other for other in queue if other.get_queue_key(now_s) < queue_key
        ]
        if not ahead and self._try_dispatch(pending):
            return
        if decision.status is crashes.Status.PROBE:
            # Probes that waited would all be sent at once.
            pending.give_up(const.Reason.SUSPECT)
            return
        if (
            self.balancer.is_group_broken(pending.service)
            and pending.should_retry_later
        ):
            pending.give_up(const.Reason.GROUP_BROKEN)
            return
        if self.refuse_for_rests(pending):
            return
        estimate = self._estimate_wait(pending.service, len(ahead), pending)
        if self._wait_for_rests(pending, now_s):
            return
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

    def _append_to_queue(
        self, pending: pending_request.PendingRequest, deadline_s: float
    ) -> None:
        pending.queue_deadline_s = deadline_s
        self._queues[pending.service].append(pending)
        self.report_load()
        self._schedule_poll()

    def _may_start(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether a planned stop leaves time to start a request.

        One that may have run goes on: its caller can't be told to retry.
        """
        if self._planned_stop is None or not pending.progress.may_be_refused:
            return True
        return decisions.may_start_before_stop(
            self._planned_stop,
            admitted_s=pending.admitted_s,
            now_s=self.reactor.now(),
            deadline_s=pending.deadline_s,
            mean_duration_s=self.balancer.get_mean_duration_s(pending.service),
        )

    def _get_rest_wait_s(
        self, pending: pending_request.PendingRequest
    ) -> float | None:
        return self.balancer.get_rest_wait_s(
            pending.service, self.reactor.now(), pending.tried_targets
        )

    def refuse_for_rests(
        self, pending: pending_request.PendingRequest
    ) -> bool:
        """Refuse a request if all targets rest for longer than it waits.

        :param pending: the request, which isn't queued
        :returns: whether it has been refused
        """
        wait_s = self._get_rest_wait_s(pending)
        if wait_s is None or not pending.progress.may_be_refused:
            return False
        estimate = self._estimate_wait(pending.service, 0, pending)
        latest_wait_s = min(
            estimate.limit_s,
            pending.received_s + pending.max_wait_s - self.reactor.now(),
        )
        if wait_s <= latest_wait_s:
            return False
        pending.give_up(const.Reason.TARGETS_REST)
        return True

    def _wait_for_rests(
        self, pending: pending_request.PendingRequest, now_s: float
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

    def _get_latest_start_s(
        self, pending: pending_request.PendingRequest
    ) -> float:
        """Return until when a request waits that can't be refused.

        The caller of a stream that has begun counts from its last event.
        """
        if not pending.progress.is_response_started:
            return pending.received_s + pending.max_wait_s
        idle_s = decisions.get_stream_idle_s(pending.route)
        return min(
            pending.deadline_s,
            self.reactor.now() + idle_s * const.STREAM_WAIT_SHARE,
        )

    def _get_reject_reason(
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> const.Reason:
        service = pending.service
        if self._get_rest_wait_s(pending) is not None:
            return const.Reason.TARGETS_REST
        if not self.balancer.get_capacity(service, now_s).usable_target_count:
            return const.Reason.NO_TARGET
        if self.balancer.is_group_broken(service):
            return const.Reason.GROUP_BROKEN
        if self.balancer.is_unavailable(service, now_s):
            return const.Reason.TARGET_REFUSED
        return const.Reason.OVERLOAD

    def _estimate_wait(
        self,
        service: str,
        queued_ahead: int,
        pending: pending_request.PendingRequest,
    ) -> decisions.WaitEstimate:
        now_s = self.reactor.now()
        return decisions.estimate_wait(
            self.balancer.get_capacity(service, now_s),
            queued_ahead=queued_ahead,
            mean_duration_s=self.balancer.get_mean_duration_s(service),
            time_left_s=pending.get_time_left_s(),
            is_group_broken=self.balancer.is_group_broken(service),
        )

    def _try_dispatch(self, pending: pending_request.PendingRequest) -> bool:
        now_s = self.reactor.now()
        choice = self._choose(pending, now_s)
        if choice is None:
            return False
        pending.send_to_target(choice)
        return True

    def _choose(
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> balancing.Choice | None:
        """Choose a target; one that rested is probed by new requests.

        A request that was sent before has lost time already, and one that is
        refused as a probe costs a retry that others may need more. A target
        that refuses everything has the least load of all, so a request that
        one such has refused keeps away from others like it.
        """
        return self.balancer.choose(
            pending.service,
            now_s,
            pending.tried_targets,
            may_probe=not pending.progress.attempt_count
            and self._budget.has_reserve(now_s),
            prefers_serving=pending.progress.resting_count > 0,
        )

    def may_dispatch(self, pending: pending_request.PendingRequest) -> bool:
        """Return whether a target could take a request now."""
        if self.balancer.is_group_broken(pending.service):
            return False
        return self._choose(pending, self.reactor.now()) is not None

    def _schedule_poll(self) -> None:
        if self._poll_timer is None:
            self._poll_timer = self.reactor.call_later(
                const.QUEUE_POLL_INTERVAL_S, self._poll_queues
            )

    def _poll_queues(self) -> None:
        self._poll_timer = None
        self.dispatch_queued()
        if any(self._queues.values()):
            self._schedule_poll()

    def dispatch_queued(self) -> None:
        """Send queued requests to targets while there are free slots."""
        for queue in self._queues.values():
            now_s = self.reactor.now()
            self._give_up_overdue(queue, now_s)
            queue.sort(key=lambda pending: pending.get_queue_key(now_s))
            while queue and self._dispatch_first(queue):
                pass

    def _give_up_overdue(
        self, queue: list[pending_request.PendingRequest], now_s: float
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
        self, pending: pending_request.PendingRequest, now_s: float
    ) -> const.Reason | None:
        """Return why a queued request is given up now, None if it isn't."""
        if not self._may_start(pending):
            return const.Reason.STOPPING
        if now_s >= pending.queue_deadline_s:
            return self._get_reject_reason(pending, now_s)
        wait_s = self._get_rest_wait_s(pending)
        if wait_s is not None and now_s + wait_s > pending.queue_deadline_s:
            return const.Reason.TARGETS_REST
        return None

    def _dispatch_first(
        self, queue: list[pending_request.PendingRequest]
    ) -> bool:
        """Send the first queued request; return False if it must wait."""
        pending = queue[0]
        now_s = self.reactor.now()
        choice = self._choose(pending, now_s)
        if choice is None:
            return False
        queue.remove(pending)
        pending.send_to_target(choice)
        return True

    def remove_from_queue(
        self, pending: pending_request.PendingRequest
    ) -> None:
        """Remove a request from its queue, if it is queued."""
        queue = self._queues.get(pending.service, [])
        if pending in queue:
            queue.remove(pending)

    def start_attempt(
        self, pending: pending_request.PendingRequest, choice: balancing.Choice
    ) -> attempt_module.Attempt:
        """Send a request to a target."""
        attempt = attempt_module.Attempt(
            listener=pending,
            reactor=self.reactor,
            make_call=self._make_call,
            request=pending.request,
            choice=choice,
            expects_stream=pending.is_stream,
        )
        headers = self._dialect.write_attempt_headers(
            pending.request, pending.make_attempt_metadata(choice.target.id)
        )
        self.balancer.add_request(choice.target.id, attempt.unread_tokens)
        self.balancer.rests.record_request(
            choice.target, attempt.attempt_id, self.reactor.now()
        )
        self.report_load()
        LOG.info(
            'request sent to target',
            request=pending.request.attempt_id,
            target=choice.target.id,
            target_born=choice.target.born_ms,
            running=choice.running,
            candidates=choice.candidate_count,
            parts=pending.request.prompt_parts[: const.MAX_LOGGED_PARTS],
            report_age_ms=round(choice.oldest_report_age_s * 1000),
        )
        attempt.send(headers, pending.silence_timeout_s)
        return attempt

    def read_response_head(
        self, head: http1.ResponseHead
    ) -> messages.TargetResponse:
        """Decode the head of a target's response."""
        return self._dialect.read_response_head(head)

    def record_statements(self, attempt: attempt_module.Attempt) -> None:
        """Record what the head of a response says of its target."""
        statements.record_statements(
            attempt, self.balancer, self.reactor.now()
        )

    def release_attempt(self, attempt: attempt_module.Attempt) -> None:
        """Remove an ended attempt from its target's load.

        A queued request may then use the free slot.
        """
        self.balancer.remove_request(attempt.target.id, attempt.unread_tokens)
        self.balancer.rests.record_end(attempt.target, attempt.attempt_id)
        self._schedule_load_report(loads_const.FREED_SLOT_REPORT_DELAY_S)
        self.reactor.call_soon(self.dispatch_queued)

    def record_prompt_read(self, attempt: attempt_module.Attempt) -> None:
        """Record that a target has read an attempt's prompt."""
        if not attempt.unread_tokens:
            return
        self.balancer.record_prompt_read(
            attempt.target.id, attempt.unread_tokens
        )
        attempt.unread_tokens = 0
        self._schedule_load_report(loads_const.FREED_SLOT_REPORT_DELAY_S)

    def report_load(self) -> None:
        """Report the changed load to the other entry instances at once."""
        self._schedule_load_report(0.0)

    def spend_retry(self, reason: str) -> bool:
        """Take a retry from the retry budget.

        :param reason: why the request is retried, as a metric label
        :returns: whether the budget allows it
        """
        if self._budget.try_withdraw(self.reactor.now()):
            metrics.RETRIES.labels(reason=reason).inc()
            return True
        metrics.RETRIES_DENIED.inc()
        return False

    def eject_target(self, target_id: str, reason: str) -> None:
        """Exclude a failed target from new requests for a while.

        :param target_id: the target
        :param reason: the failure, as a label for logs and metrics
        """
        pause_s = self.balancer.record_failure(target_id, self.reactor.now())
        metrics.EJECTIONS.labels(reason=reason).inc()
        LOG.info(
            'target passed over',
            target=target_id,
            reason=reason,
            for_ms=round(pause_s * 1000),
        )

    def _recheck_suspicions(self) -> None:
        """End the requests that a new crash has made suspect."""
        for pending in list(self._pending_requests):
            pending.recheck_suspicion()

    def plan_stop(self, planned_stop: messages.PlannedStop) -> None:
        """Refuse from now on what can't be done before the process stops."""
        self._planned_stop = planned_stop
        self.dispatch_queued()

    def stop_all(self) -> None:
        """End every pending request, because the process stops."""
        for pending in list(self._pending_requests):
            pending.stop()

    def remove_request(self, pending: pending_request.PendingRequest) -> None:
        """Forget a request that has ended."""
        self._pending_requests.discard(pending)

    def get_retry_after_s(
        self, pending: pending_request.PendingRequest
    ) -> float:
        """Return after how many seconds a rejected caller should retry.

        The time is randomized, so that callers rejected at the same moment
        don't all retry at the same moment.
        """
        decision = pending.suspicion.decide()
        if decision.is_forbidden:
            return max(decision.wait_s, const.RETRY_AFTER_MIN_S)
        service = pending.service
        now_s = self.reactor.now()
        rest_wait_s = self._get_rest_wait_s(pending)
        if rest_wait_s is not None:
            # The first target to be back needs as long for one request.
            spread_s = self.balancer.get_mean_duration_s(service)
            wait_s = rest_wait_s + self._rng.uniform(0.0, spread_s)
            return max(wait_s, const.RETRY_AFTER_MIN_S)
        capacity = self.balancer.get_capacity(service, now_s)
        if not capacity.usable_target_count or self.balancer.is_unavailable(
            service, now_s
        ):
            share = const.OUTAGE_RETRY_AFTER_SHARE * self._rng.uniform(
                0.85, 1.0
            )
            wait_s = share * pending.get_time_left_s()
            return max(wait_s, const.RETRY_AFTER_MIN_S)
        mean_duration_s = self.balancer.get_mean_duration_s(service)
        slots = max(capacity.slots, balancing_const.DEFAULT_SLOTS_PER_TARGET)
        waiting = (
            len(self._queues.get(service, ())) + capacity.waiting_elsewhere
        )
        wait_s = mean_duration_s * (1 + waiting / slots)
        wait_s *= self._rng.uniform(0.5, 1.0)
        return min(
            max(wait_s, const.RETRY_AFTER_MIN_S), const.RETRY_AFTER_MAX_S
        )
