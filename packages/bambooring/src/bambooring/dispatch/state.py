"""Run calls through attempts, as a state machine without I/O.

The response body that a caller gets comes from one attempt only, in the
order of its offsets. An attempt is followed by another one only if its agent
has proved that it did not run, or if the call is idempotent and no byte of
the body has been passed to the caller.
"""

import collections.abc
import random
import typing

import structlog

from bambooring.bookings import const as bookings_const
from bambooring.bookings import messages as bookings
from bambooring.dispatch import builders
from bambooring.dispatch import calls
from bambooring.dispatch import const
from bambooring.dispatch import messages
from bambooring import metrics
from bambooring.quarantine import const as quarantine_const
from bambooring.quarantine import state as quarantine_state
from bambooring.routing import budget as budget_module
from bambooring.routing import messages as routing_messages
from bambooring.routing import state as routing
from bambooring_core.dispatch import messages as wire

LOG = structlog.get_logger(__name__)

Effects = collections.abc.Iterator[messages.Effect]


class Dispatcher:
    """Calls in progress on one entry instance.

    An attempt is orphaned if its call is over while there is no link to the
    agent that runs it; it is cancelled once there is a link again.
    """

    def __init__(
        self,
        *,
        router: routing.Router,
        quarantine: quarantine_state.Quarantine,
        rng: random.Random,
        now: float,
    ) -> None:
        self._router = router
        self._quarantine = quarantine
        self._rng = rng
        self._budget = budget_module.RetryBudget(now)
        self._calls: dict[int, calls.ActiveCall] = {}
        self._calls_by_attempt: dict[int, calls.ActiveCall] = {}
        self._orphaned_attempts: dict[int, calls.Attempt] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def submit(self, call: messages.Call, now: float) -> Effects:
        """Start a call: claim it if it has an idempotency key, else run it.

        :param call: the admitted call
        :param now: the current time in seconds
        :returns: the effects
        """
        active_call = calls.ActiveCall(call=call, arrived_at=now)
        self._calls[call.id] = active_call
        if not active_call.has_idempotency_key:
            yield from self._start_attempt(active_call, now)
            return
        active_call.claim_id = self._generate_id()
        yield builders.make_claim_proposal(active_call)

    def _generate_id(self) -> int:
        return self._rng.getrandbits(63) | 1

    def handle_proposal_reply(
        self, call_id: int, reply: typing.Any, now: float
    ) -> Effects:
        """Handle the reply to a proposed claim or settlement.

        :param call_id: the call that awaits the reply
        :param reply: the reply, None if there was none in time
        :param now: the current time in seconds
        :returns: the effects
        """
        active_call = self._calls.get(call_id)
        if active_call is None:
            return
        if active_call.is_settling:
            if reply is None:
                yield builders.make_settle_proposal(
                    active_call, 0, bookings_const.RELEASE_TIMEOUT_S
                )
            yield from self._finish_settled_call(active_call, now)
        elif reply is None:
            yield from self._release_claim(active_call)
            yield from self._fail_call(
                active_call,
                503,
                const.REASON_CLAIM_NOT_COMMITTED,
                wire.Outcome.NOT_RUN,
                now,
                1.0,
            )
        else:
            yield from self._handle_claim_answer(active_call, reply, now)

    def _handle_claim_answer(
        self,
        active_call: calls.ActiveCall,
        answer: bookings.ClaimAnswer,
        now: float,
    ) -> Effects:
        match answer.outcome:
            case bookings.ClaimOutcome.GRANTED:
                yield from self._start_attempt(active_call, now)
            case bookings.ClaimOutcome.SETTLED:
                yield from self._replay_response(active_call, answer, now)
            case bookings.ClaimOutcome.HELD:
                yield from self._fail_call(
                    active_call,
                    409,
                    const.REASON_BOOKING_HELD,
                    wire.Outcome.UNKNOWN,
                    now,
                    1.0,
                )
            case bookings.ClaimOutcome.MISMATCH:
                yield from self._fail_call(
                    active_call,
                    422,
                    const.REASON_KEY_REUSED,
                    wire.Outcome.NOT_RUN,
                    now,
                )
            case bookings.ClaimOutcome.FULL:
                yield from self._fail_call(
                    active_call,
                    503,
                    const.REASON_CLAIMS_FULL,
                    wire.Outcome.NOT_RUN,
                    now,
                    10.0,
                )
            case bookings.ClaimOutcome.RELEASED:
                yield from self._fail_call(
                    active_call,
                    503,
                    const.REASON_CLAIM_RELEASED,
                    wire.Outcome.NOT_RUN,
                    now,
                    1.0,
                )

    def _replay_response(
        self,
        active_call: calls.ActiveCall,
        answer: bookings.ClaimAnswer,
        now: float,
    ) -> Effects:
        """Send the response recorded for an earlier request."""
        head = messages.Head(status=answer.status, headers=answer.headers)
        yield from self._notify_caller(active_call, head)
        if answer.body:
            yield from self._notify_caller(
                active_call, messages.Data(data=answer.body)
            )
        yield from self._finish_call(active_call)

    def _release_claim(self, active_call: calls.ActiveCall) -> Effects:
        if not active_call.claim_id:
            return
        yield builders.make_release_proposal(active_call)

    def _start_attempt(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        """Send the call to a target, or fail it if none may have it."""
        call = active_call.call
        crashed_targets = self._quarantine.get_crashed_targets(
            call.digest, now
        )
        if self._quarantine.is_blocked(call.digest, now):
            yield from self._fail_quarantined(active_call, now)
            return
        query = routing_messages.TargetQuery(
            service=call.service.name,
            excluded_targets=active_call.tried_targets | crashed_targets,
            prefix_hash=call.prefix_hash,
        )
        target = self._router.choose(query, now)
        if target is None:
            yield from self._fail_not_run(
                active_call, const.REASON_NO_TARGET, now, 1.0
            )
            return
        attempt = calls.Attempt(
            id=self._generate_id(),
            target=target.name,
            incarnation=target.incarnation,
        )
        active_call.attempt = attempt
        active_call.attempt_count += 1
        self._calls_by_attempt[attempt.id] = active_call
        self._router.start_attempt(target.name)
        LOG.debug(
            'attempt sent',
            request=call.request_id,
            attempt=attempt.id,
            target=target.name,
        )
        start = builders.make_start(active_call, attempt, now)
        if crashed_targets:
            start.lane = wire.Lane.SUSPECT
        yield messages.SendToTarget(target=target.name, message=start)

    def _fail_quarantined(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        """Fail a call whose request was in flight when targets crashed."""
        outcome = wire.Outcome.NOT_RUN
        if active_call.may_have_run:
            outcome = wire.Outcome.UNKNOWN
        yield from self._release_claim(active_call)
        yield from self._fail_call(
            active_call, 422, quarantine_const.REASON_QUARANTINED, outcome, now
        )

    def handle_refusal(
        self, refused: wire.Refused, sender: str, now: float
    ) -> Effects:
        """Handle an agent's proof that an attempt did not and will not run.

        :param refused: the proof
        :param sender: the target whose agent sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        active_call = self._find_call(refused.attempt, sender)
        if active_call is None:
            return
        self._close_attempt(active_call, is_failure=False, now=now)
        yield from self._retry_after_refusal(
            active_call, refused.reason, refused.retry_after_s, now
        )

    def _retry_after_refusal(
        self,
        active_call: calls.ActiveCall,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> Effects:
        if now >= active_call.start_deadline:
            reason = const.REASON_START_DEADLINE
        elif active_call.attempt_count < const.MAX_ATTEMPTS:
            if self._budget.try_withdraw(now):
                metrics.RETRIES.labels(reason=reason).inc()
                yield from self._start_attempt(active_call, now)
                return
            metrics.RETRIES_DENIED.inc()
        yield from self._fail_not_run(active_call, reason, now, retry_after_s)

    def _find_call(
        self, attempt_id: int, sender: str
    ) -> calls.ActiveCall | None:
        active_call = self._calls_by_attempt.get(attempt_id)
        if active_call is None or active_call.attempt is None:
            return None
        if active_call.attempt.target != sender:
            return None
        return active_call

    def _close_attempt(
        self, active_call: calls.ActiveCall, *, is_failure: bool, now: float
    ) -> None:
        attempt = active_call.attempt
        if attempt is None:
            return
        active_call.attempt = None
        active_call.tried_targets.add(attempt.target)
        del self._calls_by_attempt[attempt.id]
        self._router.end_attempt(attempt.target, is_failure, now)

    def handle_output(
        self, output: wire.Output, sender: str, now: float
    ) -> Effects:
        """Handle the output of attempts that a target's agent sent.

        :param output: heads, body chunks and ends of attempts
        :param sender: the target whose agent sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        for opened in output.opened:
            active_call = self._find_call(opened.attempt, sender)
            if active_call is not None:
                yield from self._handle_head(active_call, opened, now)
        for chunk in output.get_chunks():
            active_call = self._find_call(chunk.attempt, sender)
            if active_call is not None:
                yield from self._handle_chunk(active_call, chunk)
        for ended in output.ended:
            active_call = self._find_call(ended.attempt, sender)
            if active_call is not None:
                yield from self._handle_end(active_call, ended, now)

    def _handle_head(
        self, active_call: calls.ActiveCall, opened: wire.Opened, now: float
    ) -> Effects:
        """Handle a response head; send that of a stream to the caller at once.

        Until the first byte of the body, the attempt may still be replaced
        by one on another target, provided that it has the same head.
        """
        attempt = active_call.attempt
        assert attempt is not None
        attempt.head = opened
        if active_call.is_body_started or active_call.has_idempotency_key:
            return
        if active_call.sent_head is not None:
            if not builders.has_same_head(active_call.sent_head, opened):
                yield from self._cancel_attempt(active_call)
                yield from self._fail_call(
                    active_call,
                    502,
                    const.REASON_ANSWER_CHANGED,
                    wire.Outcome.UNKNOWN,
                    now,
                )
        elif builders.is_event_stream(opened):
            yield from self._notify_head(active_call, opened)

    def _notify_head(
        self, active_call: calls.ActiveCall, opened: wire.Opened
    ) -> Effects:
        active_call.sent_head = opened
        head = messages.Head(status=opened.status, headers=opened.headers)
        yield from self._notify_caller(active_call, head)

    def _handle_chunk(
        self, active_call: calls.ActiveCall, chunk: wire.Chunk
    ) -> Effects:
        attempt = active_call.attempt
        assert attempt is not None
        if attempt.head is None or chunk.offset > attempt.received_bytes:
            yield builders.make_resume_request(attempt)
            return
        data = chunk.data[attempt.received_bytes - chunk.offset :]
        if not data:
            return
        attempt.received_bytes += len(data)
        if self._is_body_buffered(active_call):
            attempt.buffered_parts.append(data)
        else:
            yield from self._flush_to_caller(active_call)
            yield from self._notify_caller(
                active_call, messages.Data(data=data)
            )
        yield from self._acknowledge_body(attempt)

    def _is_body_buffered(self, active_call: calls.ActiveCall) -> bool:
        """Return whether the body is held back until it is complete.

        The response of a claimed booking is recorded before the caller gets
        it; an error response may be replaced by another target's response.
        """
        if active_call.has_idempotency_key:
            return True
        head = active_call.attempt.head if active_call.attempt else None
        if head is None or head.status < 500 or active_call.is_body_started:
            return False
        assert active_call.attempt is not None
        return (
            active_call.attempt.received_bytes
            <= const.BUFFERED_ERROR_LIMIT_BYTES
        )

    def _flush_to_caller(self, active_call: calls.ActiveCall) -> Effects:
        """Start the response to the caller with the buffered parts."""
        if active_call.is_body_started:
            return
        attempt = active_call.attempt
        assert attempt is not None
        assert attempt.head is not None
        active_call.is_body_started = True
        if active_call.sent_head is None:
            yield from self._notify_head(active_call, attempt.head)
        for part in attempt.buffered_parts:
            yield from self._notify_caller(
                active_call, messages.Data(data=part)
            )
        attempt.buffered_parts = []

    def _acknowledge_body(self, attempt: calls.Attempt) -> Effects:
        unacknowledged_bytes = (
            attempt.received_bytes - attempt.acknowledged_bytes
        )
        if unacknowledged_bytes < const.ACKNOWLEDGE_INTERVAL_BYTES:
            return
        attempt.acknowledged_bytes = attempt.received_bytes
        yield messages.SendToTarget(
            target=attempt.target,
            message=wire.Acknowledge(
                attempt=attempt.id, offset=attempt.received_bytes
            ),
        )

    def _handle_end(
        self, active_call: calls.ActiveCall, ended: wire.Ended, now: float
    ) -> Effects:
        attempt = active_call.attempt
        assert attempt is not None
        is_complete = ended.outcome is wire.Outcome.COMPLETE
        if is_complete and not self._is_body_complete(attempt, ended):
            yield builders.make_resume_request(attempt)
            return
        yield messages.SendToTarget(
            target=attempt.target,
            message=wire.Acknowledge(
                attempt=attempt.id, offset=ended.size, is_final=True
            ),
        )
        if is_complete:
            yield from self._handle_completion(active_call, now)
        else:
            yield from self._handle_failure(
                active_call, ended.outcome, ended.reason, now
            )

    def _is_body_complete(
        self, attempt: calls.Attempt, ended: wire.Ended
    ) -> bool:
        return (
            attempt.head is not None and attempt.received_bytes == ended.size
        )

    def _handle_completion(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        attempt = active_call.attempt
        assert attempt is not None
        assert attempt.head is not None
        is_error = attempt.head.status >= 500
        if is_error and self._may_retry_error_response(active_call, now):
            self._close_attempt(active_call, is_failure=True, now=now)
            metrics.RETRIES.labels(reason=const.REASON_TARGET_ERROR).inc()
            active_call.error_retry_count += 1
            active_call.may_have_run = True
            yield from self._start_attempt(active_call, now)
            return
        if active_call.has_idempotency_key:
            yield from self._propose_settlement(active_call)
            return
        yield from self._flush_to_caller(active_call)
        self._close_attempt(active_call, is_failure=is_error, now=now)
        if not is_error:
            self._budget.deposit()
        yield from self._finish_call(active_call)

    def _may_retry_error_response(
        self, active_call: calls.ActiveCall, now: float
    ) -> bool:
        if active_call.call.kind is not wire.Kind.IDEMPOTENT:
            return False
        if active_call.is_body_started or active_call.error_retry_count:
            return False
        attempt = active_call.attempt
        assert attempt is not None
        query = routing_messages.TargetQuery(
            service=active_call.call.service.name,
            excluded_targets=active_call.tried_targets | {attempt.target},
        )
        if self._router.choose(query, now) is None:
            return False
        return now < active_call.start_deadline and self._budget.try_withdraw(
            now
        )

    def _propose_settlement(self, active_call: calls.ActiveCall) -> Effects:
        """Propose to record a booking's response before its caller gets it."""
        active_call.is_settling = True
        yield builders.make_settle_proposal(
            active_call, active_call.call.id, bookings_const.SETTLE_TIMEOUT_S
        )

    def _finish_settled_call(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        yield from self._flush_to_caller(active_call)
        self._close_attempt(active_call, is_failure=False, now=now)
        self._budget.deposit()
        yield from self._finish_call(active_call)

    def _handle_failure(
        self,
        active_call: calls.ActiveCall,
        outcome: wire.Outcome,
        reason: str,
        now: float,
    ) -> Effects:
        """Retry or fail the call after an attempt that may have run."""
        attempt = active_call.attempt
        if attempt and reason == quarantine_const.REASON_TARGET_LOST:
            digest = active_call.call.digest
            if self._quarantine.note(digest, [attempt.target], now):
                yield messages.SpreadSuspicions()
        self._close_attempt(active_call, is_failure=True, now=now)
        active_call.may_have_run = True
        is_idempotent = active_call.call.kind is wire.Kind.IDEMPOTENT
        if is_idempotent and not active_call.is_body_started:
            if active_call.attempt_count < const.MAX_ATTEMPTS:
                if (
                    now < active_call.end_deadline
                    and self._budget.try_withdraw(now)
                ):
                    metrics.RETRIES.labels(reason=reason).inc()
                    yield from self._start_attempt(active_call, now)
                    return
        yield from self._fail_call(active_call, 502, reason, outcome, now)

    def _fail_not_run(
        self,
        active_call: calls.ActiveCall,
        reason: str,
        now: float,
        retry_after_s: float,
    ) -> Effects:
        """Fail a call whose last attempt did not run or was not made.

        Earlier attempts of an idempotent call may have run; the outcome is
        unknown then.
        """
        outcome = wire.Outcome.NOT_RUN
        if active_call.may_have_run:
            outcome = wire.Outcome.UNKNOWN
        yield from self._release_claim(active_call)
        yield from self._fail_call(
            active_call, 503, reason, outcome, now, max(1.0, retry_after_s)
        )

    def _fail_call(
        self,
        active_call: calls.ActiveCall,
        status: int,
        reason: str,
        outcome: wire.Outcome,
        now: float,
        retry_after_s: float = 0.0,
    ) -> Effects:
        self._close_attempt(active_call, is_failure=False, now=now)
        del self._calls[active_call.call.id]
        failure = messages.Failure(
            status=status,
            reason=reason,
            outcome=outcome,
            retry_after_s=retry_after_s,
        )
        yield from self._notify_caller(active_call, failure)

    def _finish_call(self, active_call: calls.ActiveCall) -> Effects:
        del self._calls[active_call.call.id]
        yield from self._notify_caller(active_call, messages.Finished())

    def _notify_caller(
        self, active_call: calls.ActiveCall, event: messages.Event
    ) -> Effects:
        if active_call.has_caller:
            yield messages.SendToCaller(
                call_id=active_call.call.id, event=event
            )

    def link_down(self, target: str, now: float) -> None:
        """Start the wait for a new link to a target's agent.

        :param target: the target
        :param now: the current time in seconds
        """
        for active_call in self._calls_by_attempt.values():
            attempt = active_call.attempt
            if attempt is not None and attempt.target == target:
                attempt.link_lost_at = now

    def link_up(self, target: str, incarnation: int, now: float) -> Effects:
        """Resume or cancel attempts on a new link to a target's agent.

        Attempts that an earlier incarnation of the agent ran have failed.

        :param target: the target
        :param incarnation: the agent's incarnation
        :param now: the current time in seconds
        :returns: the effects
        """
        yield from self._cancel_orphaned_attempts(target, incarnation)
        for active_call in list(self._calls_by_attempt.values()):
            attempt = active_call.attempt
            if attempt is None or attempt.target != target:
                continue
            if attempt.incarnation != incarnation:
                yield from self._handle_failure(
                    active_call,
                    wire.Outcome.UNKNOWN,
                    const.REASON_AGENT_RESTARTED,
                    now,
                )
            elif attempt.link_lost_at is not None:
                attempt.link_lost_at = None
                metrics.RESUMES.inc()
                yield builders.make_resume_request(attempt)

    def _cancel_orphaned_attempts(
        self, target: str, incarnation: int
    ) -> Effects:
        for attempt in list(self._orphaned_attempts.values()):
            if attempt.target != target:
                continue
            del self._orphaned_attempts[attempt.id]
            if attempt.incarnation == incarnation:
                yield messages.SendToTarget(
                    target=target, message=wire.Cancel(attempt=attempt.id)
                )

    def cancel(self, call_id: int, now: float) -> Effects:
        """Cancel a call whose caller has left; a booking is completed.

        :param call_id: the call
        :param now: the current time in seconds
        :returns: the effects
        """
        active_call = self._calls.get(call_id)
        if active_call is None:
            return
        active_call.has_caller = False
        if active_call.call.kind is wire.Kind.BOOKING:
            return
        yield from self._cancel_attempt(active_call)
        self._close_attempt(active_call, is_failure=False, now=now)
        del self._calls[call_id]

    def _cancel_attempt(self, active_call: calls.ActiveCall) -> Effects:
        attempt = active_call.attempt
        if attempt is None:
            return
        if attempt.link_lost_at is not None:
            self._orphaned_attempts[attempt.id] = attempt
            return
        yield messages.SendToTarget(
            target=attempt.target, message=wire.Cancel(attempt=attempt.id)
        )

    def tick(self, now: float) -> Effects:
        """Check the deadlines of calls and the waits for lost links.

        :param now: the current time in seconds
        :returns: the effects
        """
        for active_call in list(self._calls.values()):
            if active_call.is_settling or active_call.attempt is None:
                continue
            if active_call.call.kind is wire.Kind.BOOKING:
                yield from self._check_booking_timeouts(active_call, now)
            else:
                yield from self._check_idempotent_timeouts(active_call, now)

    def _check_idempotent_timeouts(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        attempt = active_call.attempt
        assert attempt is not None
        if now >= active_call.end_deadline:
            yield from self._cancel_attempt(active_call)
            yield from self._fail_call(
                active_call,
                504,
                const.REASON_DEADLINE,
                wire.Outcome.UNKNOWN,
                now,
            )
        elif attempt.is_resume_overdue(now):
            yield from self._cancel_attempt(active_call)
            yield from self._handle_failure(
                active_call, wire.Outcome.UNKNOWN, const.REASON_LINK_LOST, now
            )

    def _check_booking_timeouts(
        self, active_call: calls.ActiveCall, now: float
    ) -> Effects:
        """End the caller's wait once the link is lost for too long.

        The booking itself is awaited until after its deadline.
        """
        attempt = active_call.attempt
        assert attempt is not None
        if now >= active_call.end_deadline + const.BOOKING_GRACE_S:
            yield from self._fail_call(
                active_call,
                504,
                const.REASON_DEADLINE,
                wire.Outcome.UNKNOWN,
                now,
            )
        elif attempt.is_resume_overdue(now) and active_call.has_caller:
            failure = messages.Failure(
                status=502,
                reason=const.REASON_LINK_LOST,
                outcome=wire.Outcome.UNKNOWN,
            )
            yield from self._notify_caller(active_call, failure)
            active_call.has_caller = False
