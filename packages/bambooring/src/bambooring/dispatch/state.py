"""Carry calls through attempts, as pure state.

An answer is taken from one attempt only, in the order of its offsets. An
attempt is followed by another only where its agent has proved that it did
not run, or where the call is idempotent and no byte has reached its caller.
"""

import collections.abc
import random
import typing

import structlog

from bambooring.bookings import const as bookings_const
from bambooring.bookings import messages as bookings
from bambooring.dispatch import building
from bambooring.dispatch import const
from bambooring.dispatch import messages
from bambooring.dispatch import running as running_module
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
    """Hold every call in progress on one entry instance."""

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
        self._calls: dict[int, running_module.Running] = {}
        self._by_attempt: dict[int, running_module.Running] = {}
        self._orphans: dict[int, running_module.Attempt] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def submit(self, call: messages.Call, now: float) -> Effects:
        """Begin a call.

        :param call: the admitted call
        :param now: the current time in seconds
        :returns: the effects
        """
        running = running_module.Running(call=call, arrived=now)
        self._calls[call.id] = running
        if not running.is_claimed:
            yield from self._try(running, now)
            return
        running.claim = self._draw_id()
        yield building.make_claim(running)

    def _draw_id(self) -> int:
        return self._rng.getrandbits(63) | 1

    def answer_proposal(
        self, call_id: int, answer: typing.Any, now: float
    ) -> Effects:
        """Take the answer to a claim or a settlement.

        :param call_id: whose it is
        :param answer: the answer, or None if none came in time
        :param now: the current time in seconds
        :returns: the effects
        """
        running = self._calls.get(call_id)
        if running is None:
            return
        if running.is_settling:
            if answer is None:
                yield building.make_settle(
                    running, 0, bookings_const.RELEASE_TIMEOUT_S
                )
            yield from self._finish_settled(running, now)
        elif answer is None:
            yield from self._release_claim(running)
            yield from self._fail(
                running,
                503,
                const.REASON_CLAIM_TIMEOUT,
                wire.Outcome.NOT_RUN,
                now,
                1.0,
            )
        else:
            yield from self._take_claim(running, answer, now)

    def _take_claim(
        self,
        running: running_module.Running,
        answer: bookings.ClaimAnswer,
        now: float,
    ) -> Effects:
        match answer.outcome:
            case bookings.ClaimOutcome.GRANTED:
                yield from self._try(running, now)
            case bookings.ClaimOutcome.SETTLED:
                yield from self._repeat(running, answer, now)
            case bookings.ClaimOutcome.HELD:
                yield from self._fail(
                    running,
                    409,
                    const.REASON_BOOKING_HELD,
                    wire.Outcome.UNKNOWN,
                    now,
                    1.0,
                )
            case bookings.ClaimOutcome.MISMATCH:
                yield from self._fail(
                    running,
                    422,
                    const.REASON_CLAIM_MISMATCH,
                    wire.Outcome.NOT_RUN,
                    now,
                )
            case bookings.ClaimOutcome.FULL:
                yield from self._fail(
                    running,
                    503,
                    const.REASON_CLAIM_FULL,
                    wire.Outcome.NOT_RUN,
                    now,
                    10.0,
                )
            case bookings.ClaimOutcome.RELEASED:
                yield from self._fail(
                    running,
                    503,
                    const.REASON_CLAIM_RELEASED,
                    wire.Outcome.NOT_RUN,
                    now,
                    1.0,
                )

    def _repeat(
        self,
        running: running_module.Running,
        answer: bookings.ClaimAnswer,
        now: float,
    ) -> Effects:
        """Give the recorded answer again."""
        head = messages.Head(status=answer.status, headers=answer.headers)
        yield from self._tell(running, head)
        if answer.body:
            yield from self._tell(running, messages.Data(data=answer.body))
        yield from self._finish(running)

    def _release_claim(self, running: running_module.Running) -> Effects:
        if not running.claim:
            return
        yield building.make_release(running)

    def _try(self, running: running_module.Running, now: float) -> Effects:
        """Send the call to a target, or fail it."""
        call = running.call
        crashed = self._quarantine.get_targets(call.digest, now)
        if self._quarantine.is_barred(call.digest, now):
            yield from self._bar(running, now)
            return
        wish = routing_messages.Wish(
            service=call.service.name,
            excluded=running.tried | crashed,
            prefix=call.prefix,
        )
        target = self._router.choose(wish, now)
        if target is None:
            yield from self._fail_not_run(
                running, const.REASON_NO_TARGET, now, 1.0
            )
            return
        attempt = running_module.Attempt(
            id=self._draw_id(),
            target=target.name,
            incarnation=target.incarnation,
        )
        running.attempt = attempt
        running.attempts += 1
        self._by_attempt[attempt.id] = running
        self._router.begin(target.name)
        LOG.debug(
            'attempt sent',
            request=call.request_id,
            attempt=attempt.id,
            target=target.name,
        )
        start = building.make_start(running, attempt, now)
        if crashed:
            start.lane = wire.Lane.SUSPECT
        yield messages.ToTarget(target=target.name, message=start)

    def _bar(self, running: running_module.Running, now: float) -> Effects:
        """Fail a call that was there when targets crashed."""
        outcome = wire.Outcome.NOT_RUN
        if running.has_run:
            outcome = wire.Outcome.UNKNOWN
        yield from self._release_claim(running)
        yield from self._fail(
            running, 422, quarantine_const.REASON_QUARANTINED, outcome, now
        )

    def refuse(
        self, refused: wire.Refused, sender: str, now: float
    ) -> Effects:
        """Take an agent's proof that an attempt did not run.

        :param refused: the proof
        :param sender: the target whose agent sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        running = self._find(refused.attempt, sender)
        if running is None:
            return
        self._close_attempt(running, is_failure=False, now=now)
        yield from self._retry_not_run(
            running, refused.reason, refused.retry_after_s, now
        )

    def _retry_not_run(
        self,
        running: running_module.Running,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> Effects:
        if now >= running.start_by:
            reason = const.REASON_START_DEADLINE
        elif running.attempts < const.ATTEMPTS_LIMIT:
            if self._budget.take(now):
                metrics.RETRIES.labels(reason=reason).inc()
                yield from self._try(running, now)
                return
            metrics.RETRIES_DENIED.inc()
        yield from self._fail_not_run(running, reason, now, retry_after_s)

    def _find(
        self, attempt_id: int, sender: str
    ) -> running_module.Running | None:
        running = self._by_attempt.get(attempt_id)
        if running is None or running.attempt is None:
            return None
        if running.attempt.target != sender:
            return None
        return running

    def _close_attempt(
        self, running: running_module.Running, *, is_failure: bool, now: float
    ) -> None:
        attempt = running.attempt
        if attempt is None:
            return
        running.attempt = None
        running.tried.add(attempt.target)
        del self._by_attempt[attempt.id]
        self._router.end(attempt.target, is_failure, now)

    def receive(self, output: wire.Output, sender: str, now: float) -> Effects:
        """Take what an agent's targets brought.

        :param output: heads, chunks and ends of attempts
        :param sender: the target whose agent sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        for opened in output.opened:
            running = self._find(opened.attempt, sender)
            if running is not None:
                yield from self._open(running, opened, now)
        for chunk in output.get_chunks():
            running = self._find(chunk.attempt, sender)
            if running is not None:
                yield from self._take_chunk(running, chunk)
        for ended in output.ended:
            running = self._find(ended.attempt, sender)
            if running is not None:
                yield from self._take_end(running, ended, now)

    def _open(
        self, running: running_module.Running, opened: wire.Opened, now: float
    ) -> Effects:
        """Take a head; that of a stream goes to the caller at once.

        Another target may still take over until the first byte of the
        body, as long as its head is the same.
        """
        attempt = running.attempt
        assert attempt is not None
        attempt.head = opened
        if running.is_released or running.is_claimed:
            return
        if running.head is not None:
            if not building.is_same_head(running.head, opened):
                yield from self._abandon(running)
                yield from self._fail(
                    running,
                    502,
                    const.REASON_ANSWER_CHANGED,
                    wire.Outcome.UNKNOWN,
                    now,
                )
        elif building.is_stream(opened):
            yield from self._tell_head(running, opened)

    def _tell_head(
        self, running: running_module.Running, opened: wire.Opened
    ) -> Effects:
        running.head = opened
        head = messages.Head(status=opened.status, headers=opened.headers)
        yield from self._tell(running, head)

    def _take_chunk(
        self, running: running_module.Running, chunk: wire.Chunk
    ) -> Effects:
        attempt = running.attempt
        assert attempt is not None
        if attempt.head is None or chunk.offset > attempt.received:
            yield building.make_resume(attempt)
            return
        data = chunk.data[attempt.received - chunk.offset :]
        if not data:
            return
        attempt.received += len(data)
        if self._is_collected(running):
            attempt.parts.append(data)
        else:
            yield from self._release(running)
            yield from self._tell(running, messages.Data(data=data))
        yield from self._acknowledge(attempt)

    def _is_collected(self, running: running_module.Running) -> bool:
        """Tell whether the body is kept back until its end.

        That of a claimed booking is recorded first; that of an error may
        be replaced by another target's answer.
        """
        if running.is_claimed:
            return True
        head = running.attempt.head if running.attempt else None
        if head is None or head.status < 500 or running.is_released:
            return False
        assert running.attempt is not None
        return running.attempt.received <= const.ERROR_BODY_BYTES

    def _release(self, running: running_module.Running) -> Effects:
        """Begin the answer to the caller, with what was kept back."""
        if running.is_released:
            return
        attempt = running.attempt
        assert attempt is not None
        assert attempt.head is not None
        running.is_released = True
        if running.head is None:
            yield from self._tell_head(running, attempt.head)
        for part in attempt.parts:
            yield from self._tell(running, messages.Data(data=part))
        attempt.parts = []

    def _acknowledge(self, attempt: running_module.Attempt) -> Effects:
        unacknowledged = attempt.received - attempt.acknowledged
        if unacknowledged < const.ACKNOWLEDGE_BYTES:
            return
        attempt.acknowledged = attempt.received
        yield messages.ToTarget(
            target=attempt.target,
            message=wire.Acknowledge(
                attempt=attempt.id, offset=attempt.received
            ),
        )

    def _take_end(
        self, running: running_module.Running, ended: wire.Ended, now: float
    ) -> Effects:
        attempt = running.attempt
        assert attempt is not None
        is_complete = ended.outcome is wire.Outcome.COMPLETE
        if is_complete and not self._has_all(attempt, ended):
            yield building.make_resume(attempt)
            return
        yield messages.ToTarget(
            target=attempt.target,
            message=wire.Acknowledge(
                attempt=attempt.id, offset=ended.size, is_final=True
            ),
        )
        if is_complete:
            yield from self._complete(running, now)
        else:
            yield from self._take_failure(
                running, ended.outcome, ended.reason, now
            )

    def _has_all(
        self, attempt: running_module.Attempt, ended: wire.Ended
    ) -> bool:
        return attempt.head is not None and attempt.received == ended.size

    def _complete(
        self, running: running_module.Running, now: float
    ) -> Effects:
        attempt = running.attempt
        assert attempt is not None
        assert attempt.head is not None
        is_error = attempt.head.status >= 500
        if is_error and self._may_replace_error(running, now):
            self._close_attempt(running, is_failure=True, now=now)
            metrics.RETRIES.labels(reason=const.REASON_TARGET_ERROR).inc()
            running.error_retries += 1
            running.has_run = True
            yield from self._try(running, now)
            return
        if running.is_claimed:
            yield from self._settle(running)
            return
        yield from self._release(running)
        self._close_attempt(running, is_failure=is_error, now=now)
        if not is_error:
            self._budget.earn()
        yield from self._finish(running)

    def _may_replace_error(
        self, running: running_module.Running, now: float
    ) -> bool:
        if running.call.kind is not wire.Kind.IDEMPOTENT:
            return False
        if running.is_released or running.error_retries:
            return False
        attempt = running.attempt
        assert attempt is not None
        wish = routing_messages.Wish(
            service=running.call.service.name,
            excluded=running.tried | {attempt.target},
        )
        if self._router.choose(wish, now) is None:
            return False
        return now < running.start_by and self._budget.take(now)

    def _settle(self, running: running_module.Running) -> Effects:
        """Record a booking's answer before its caller hears it."""
        running.is_settling = True
        yield building.make_settle(
            running, running.call.id, bookings_const.SETTLE_TIMEOUT_S
        )

    def _finish_settled(
        self, running: running_module.Running, now: float
    ) -> Effects:
        yield from self._release(running)
        self._close_attempt(running, is_failure=False, now=now)
        self._budget.earn()
        yield from self._finish(running)

    def _take_failure(
        self,
        running: running_module.Running,
        outcome: wire.Outcome,
        reason: str,
        now: float,
    ) -> Effects:
        """Go on after an attempt that may have run in part."""
        attempt = running.attempt
        if attempt and reason == quarantine_const.REASON_TARGET_LOST:
            digest = running.call.digest
            if self._quarantine.note(digest, [attempt.target], now):
                yield messages.Spread()
        self._close_attempt(running, is_failure=True, now=now)
        running.has_run = True
        is_idempotent = running.call.kind is wire.Kind.IDEMPOTENT
        if is_idempotent and not running.is_released:
            if running.attempts < const.ATTEMPTS_LIMIT:
                if now < running.end_by and self._budget.take(now):
                    metrics.RETRIES.labels(reason=reason).inc()
                    yield from self._try(running, now)
                    return
        yield from self._fail(running, 502, reason, outcome, now)

    def _fail_not_run(
        self,
        running: running_module.Running,
        reason: str,
        now: float,
        retry_after_s: float,
    ) -> Effects:
        """Fail a call that never ran, or ran only where it may again."""
        outcome = wire.Outcome.NOT_RUN
        if running.has_run:
            outcome = wire.Outcome.UNKNOWN
        yield from self._release_claim(running)
        yield from self._fail(
            running, 503, reason, outcome, now, max(1.0, retry_after_s)
        )

    def _fail(
        self,
        running: running_module.Running,
        status: int,
        reason: str,
        outcome: wire.Outcome,
        now: float,
        retry_after_s: float = 0.0,
    ) -> Effects:
        self._close_attempt(running, is_failure=False, now=now)
        del self._calls[running.call.id]
        failure = messages.Failure(
            status=status,
            reason=reason,
            outcome=outcome,
            retry_after_s=retry_after_s,
        )
        yield from self._tell(running, failure)

    def _finish(self, running: running_module.Running) -> Effects:
        del self._calls[running.call.id]
        yield from self._tell(running, messages.Finished())

    def _tell(
        self, running: running_module.Running, event: messages.Event
    ) -> Effects:
        if running.has_caller:
            yield messages.ToCaller(call=running.call.id, event=event)

    def link_down(self, target: str, now: float) -> None:
        """Take note that the link to a target's agent ended.

        :param target: the target
        :param now: the current time in seconds
        """
        for running in self._by_attempt.values():
            attempt = running.attempt
            if attempt is not None and attempt.target == target:
                attempt.lost_at = now

    def link_up(self, target: str, incarnation: int, now: float) -> Effects:
        """Resume attempts on a new link to a target's agent.

        :param target: the target
        :param incarnation: the agent's
        :param now: the current time in seconds
        :returns: the effects
        """
        yield from self._cancel_orphans(target, incarnation)
        for running in list(self._by_attempt.values()):
            attempt = running.attempt
            if attempt is None or attempt.target != target:
                continue
            if attempt.incarnation != incarnation:
                yield from self._take_failure(
                    running,
                    wire.Outcome.UNKNOWN,
                    const.REASON_AGENT_RESTARTED,
                    now,
                )
            elif attempt.lost_at is not None:
                attempt.lost_at = None
                metrics.RESUMES.inc()
                yield building.make_resume(attempt)

    def _cancel_orphans(self, target: str, incarnation: int) -> Effects:
        for attempt in list(self._orphans.values()):
            if attempt.target != target:
                continue
            del self._orphans[attempt.id]
            if attempt.incarnation == incarnation:
                yield messages.ToTarget(
                    target=target, message=wire.Cancel(attempt=attempt.id)
                )

    def cancel(self, call_id: int, now: float) -> Effects:
        """End a call whose caller is gone; a booking goes on.

        :param call_id: the call
        :param now: the current time in seconds
        :returns: the effects
        """
        running = self._calls.get(call_id)
        if running is None:
            return
        running.has_caller = False
        if running.call.kind is wire.Kind.BOOKING:
            return
        yield from self._abandon(running)
        self._close_attempt(running, is_failure=False, now=now)
        del self._calls[call_id]

    def _abandon(self, running: running_module.Running) -> Effects:
        attempt = running.attempt
        if attempt is None:
            return
        if attempt.lost_at is not None:
            self._orphans[attempt.id] = attempt
            return
        yield messages.ToTarget(
            target=attempt.target, message=wire.Cancel(attempt=attempt.id)
        )

    def tick(self, now: float) -> Effects:
        """Do what is due by time alone.

        :param now: the current time in seconds
        :returns: the effects
        """
        for running in list(self._calls.values()):
            if running.is_settling or running.attempt is None:
                continue
            if running.call.kind is wire.Kind.BOOKING:
                yield from self._check_booking(running, now)
            else:
                yield from self._check_idempotent(running, now)

    def _check_idempotent(
        self, running: running_module.Running, now: float
    ) -> Effects:
        attempt = running.attempt
        assert attempt is not None
        if now >= running.end_by:
            yield from self._abandon(running)
            yield from self._fail(
                running,
                504,
                const.REASON_DEADLINE,
                wire.Outcome.UNKNOWN,
                now,
            )
        elif attempt.is_lost(now):
            yield from self._abandon(running)
            yield from self._take_failure(
                running, wire.Outcome.UNKNOWN, const.REASON_LINK_LOST, now
            )

    def _check_booking(
        self, running: running_module.Running, now: float
    ) -> Effects:
        """Let the caller go early; wait on for the booking's outcome."""
        attempt = running.attempt
        assert attempt is not None
        if now >= running.end_by + const.BOOKING_GRACE_S:
            yield from self._fail(
                running,
                504,
                const.REASON_DEADLINE,
                wire.Outcome.UNKNOWN,
                now,
            )
        elif attempt.is_lost(now) and running.has_caller:
            failure = messages.Failure(
                status=502,
                reason=const.REASON_LINK_LOST,
                outcome=wire.Outcome.UNKNOWN,
            )
            yield from self._tell(running, failure)
            running.has_caller = False
