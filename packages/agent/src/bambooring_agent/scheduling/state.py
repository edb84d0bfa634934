"""Schedule attempts on the target's slots and record which of them ran.

This record is the authority on whether an attempt ran. An attempt is queued,
started, then ended. One that is refused leaves a tombstone, so that a late
copy of its start message can't run.
"""

import collections.abc
import dataclasses
import enum

from bambooring_agent.scheduling import const
from bambooring_agent.scheduling import messages
from bambooring_agent.scheduling import queue as queue_module
from bambooring_core.dispatch import messages as dispatch


class Phase(enum.Enum):
    """Whether an attempt waits for a slot, runs, or has ended."""

    QUEUED = 'queued'
    STARTED = 'started'
    ENDED = 'ended'


class TombstoneKind(enum.Enum):
    """Whether the attempt of a tombstone was refused or may have run."""

    REFUSED = 'refused'
    RAN = 'ran'


@dataclasses.dataclass(slots=True, kw_only=True)
class SchedulerLimits:
    """The limits of the attempts that a scheduler accepts and runs.

    ``slots`` bounds all running attempts, ``long_slots`` the running long
    ones. A target that leaves accepts new attempts for ``leave_grace_s``
    seconds more.
    """

    slots: int
    long_slots: int
    queue_limit: int
    leave_grace_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """An accepted attempt.

    Kept until it is refused or cancelled, its end is acknowledged, or
    ENDED_RETENTION_S have passed since its end.

    ``owner`` is the incarnation of the entry instance that receives its
    output. ``buffer`` holds the output that is not acknowledged, which begins
    ``buffer_offset`` bytes into the body. Times are in seconds of the
    reactor's clock; ``detached_at`` is set while the owner has no link.
    """

    start: dispatch.Start
    owner: int
    arrived_at: float
    phase: Phase = Phase.QUEUED
    ticket: int = -1
    started_at: float = 0.0
    ended_at: float = 0.0
    detached_at: float | None = None
    opened: dispatch.Opened | None = None
    ended: dispatch.Ended | None = None
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    buffer_offset: int = 0

    @property
    def output_size(self) -> int:
        """The number of bytes of output so far, acknowledged or not."""
        return self.buffer_offset + len(self.buffer)


Effects = collections.abc.Iterator[messages.Effect]


class AttemptScheduler:
    """Decides which attempts run, and records what became of them.

    It does no I/O: its methods yield effects that the caller carries out, and
    collect output until :meth:`take_pending_outputs`.
    """

    def __init__(self, *, limits: SchedulerLimits, incarnation: int) -> None:
        self.limits = limits
        self.incarnation = incarnation
        self.leaving_since: float | None = None
        self.is_ready = True
        self._attempts: dict[int, Attempt] = {}
        self._tombstones: dict[int, tuple[TombstoneKind, float]] = {}
        self._queues: dict[dispatch.Lane, queue_module.FairQueue[Attempt]] = {
            lane: queue_module.FairQueue() for lane in dispatch.Lane
        }
        self._running_by_lane = {lane: 0 for lane in dispatch.Lane}
        self._mean_service_time_s = {
            dispatch.Lane.SHORT: 1.0,
            dispatch.Lane.LONG: 10.0,
            dispatch.Lane.SUSPECT: 1.0,
        }
        self._pending_outputs: dict[int, dispatch.Output] = {}

    @property
    def running_count(self) -> int:
        """The number of attempts that run on the engine."""
        return sum(self._running_by_lane.values())

    @property
    def queued_count(self) -> int:
        """The number of attempts that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def is_idle(self) -> bool:
        """Whether no attempt waits, runs or has an unacknowledged end."""
        return not self._attempts

    def estimate_wait_s(self, lane: dispatch.Lane) -> float:
        """Estimate how long a new attempt at the queue's end has to wait.

        :param lane: the attempt's lane
        :returns: the estimate in seconds
        """
        return self._estimate_wait_behind(lane, len(self._queues[lane]))

    def _estimate_wait_behind(
        self, lane: dispatch.Lane, ahead_count: int
    ) -> float:
        if self._has_slot(lane) and not ahead_count:
            return 0.0
        slots = self._get_slots(lane)
        return (ahead_count + 1) * self._mean_service_time_s[lane] / slots

    def _estimate_wait_for(self, start: dispatch.Start) -> float:
        """Estimate the wait at the attempt's place in the fair queue."""
        queue = self._queues[start.lane]
        ahead_count = queue.count_before(start.account, start.priority)
        return self._estimate_wait_behind(start.lane, ahead_count)

    def _get_slots(self, lane: dispatch.Lane) -> int:
        if lane is dispatch.Lane.SUSPECT:
            return 1
        if lane is dispatch.Lane.LONG:
            return min(self.limits.long_slots, self.limits.slots)
        return self.limits.slots

    def _has_slot(self, lane: dispatch.Lane) -> bool:
        if self.running_count >= self.limits.slots:
            return False
        return self._running_by_lane[lane] < self._get_slots(lane)

    def submit(self, start: dispatch.Start, owner: int, now: float) -> Effects:
        """Queue a new attempt, or refuse it.

        A copy of a start message doesn't run the attempt again.

        :param start: the start message
        :param owner: the incarnation of the entry instance that sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        if start.incarnation != self.incarnation:
            # An earlier run of this agent may have run the attempt.
            ended = _make_unknown_end(
                start.attempt, const.REASON_WRONG_INCARNATION
            )
            yield messages.SendMessage(owner=owner, message=ended)
            return
        answers = self._answer_duplicate(start, owner)
        if answers is not None:
            yield from answers
            return
        reason = self._find_refusal_reason(start, now)
        if reason is not None:
            yield self._refuse(start, owner, reason, now)
            return
        attempt = Attempt(start=start, owner=owner, arrived_at=now)
        self._attempts[start.attempt] = attempt
        attempt.ticket = self._queues[start.lane].push(
            attempt,
            account=start.account,
            weight=start.weight,
            cost=start.cost,
            priority=start.priority,
        )
        yield from self._fill_slots(now)

    def _answer_duplicate(
        self, start: dispatch.Start, owner: int
    ) -> list[messages.Effect] | None:
        """Answer a copy of an earlier start message.

        :returns: the effects, or None if the attempt is new
        """
        if start.attempt in self._attempts:
            return []
        if start.attempt not in self._tombstones:
            return None
        return [self._answer_from_tombstone(start.attempt, owner)]

    def _answer_from_tombstone(
        self, attempt_id: int, owner: int
    ) -> messages.SendMessage:
        kind, _ = self._tombstones[attempt_id]
        if kind is TombstoneKind.REFUSED:
            answer: object = dispatch.Refused(
                attempt=attempt_id, reason=const.REASON_DUPLICATE
            )
        else:
            answer = _make_unknown_end(attempt_id, const.REASON_DUPLICATE)
        return messages.SendMessage(owner=owner, message=answer)

    def _find_refusal_reason(
        self, start: dispatch.Start, now: float
    ) -> str | None:
        if self._refuses_new_attempts(now):
            return const.REASON_LEAVING
        if not self.is_ready:
            return const.REASON_NOT_READY
        wait_s = self._estimate_wait_for(start)
        if wait_s > start.start_within_s:
            return const.REASON_WAIT_TOO_LONG
        if self.queued_count >= self.limits.queue_limit and wait_s > 0:
            return const.REASON_QUEUE_FULL
        return None

    def _refuses_new_attempts(self, now: float) -> bool:
        if self.leaving_since is None:
            return False
        return now >= self.leaving_since + self.limits.leave_grace_s

    def _refuse(
        self, start: dispatch.Start, owner: int, reason: str, now: float
    ) -> messages.SendMessage:
        self._add_tombstone(start.attempt, TombstoneKind.REFUSED, now)
        refused = dispatch.Refused(
            attempt=start.attempt,
            reason=reason,
            retry_after_s=self.estimate_wait_s(start.lane),
        )
        return messages.SendMessage(owner=owner, message=refused)

    def _add_tombstone(
        self, attempt_id: int, kind: TombstoneKind, now: float
    ) -> None:
        self._tombstones[attempt_id] = (kind, now + const.TOMBSTONE_LIFETIME_S)

    def _fill_slots(self, now: float) -> Effects:
        for lane in const.LANE_ORDER:
            while self._has_slot(lane):
                attempt = self._queues[lane].pop()
                if attempt is None:
                    break
                attempt.phase = Phase.STARTED
                attempt.started_at = now
                self._running_by_lane[lane] += 1
                yield messages.StartCall(start=attempt.start)

    def cancel(self, attempt_id: int, now: float) -> Effects:
        """Cancel an attempt whose response is no longer wanted.

        An unknown attempt gets a tombstone, in case its start message comes
        after this.

        :param attempt_id: the attempt
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            if attempt_id not in self._tombstones:
                self._add_tombstone(attempt_id, TombstoneKind.REFUSED, now)
            return
        if attempt.phase is Phase.QUEUED:
            self._queues[attempt.start.lane].remove(attempt.ticket)
            self._add_tombstone(attempt_id, TombstoneKind.REFUSED, now)
            return
        self._add_tombstone(attempt_id, TombstoneKind.RAN, now)
        if attempt.phase is Phase.STARTED:
            self._running_by_lane[attempt.start.lane] -= 1
            yield messages.AbortCall(attempt_id=attempt_id)
            yield from self._fill_slots(now)

    def resume(
        self, resume: dispatch.Resume, owner: int, now: float
    ) -> Effects:
        """Continue to send an attempt's output on a new link.

        An attempt that this run of the agent has not seen is refused and
        gets a tombstone, so that its start message can't run later.

        :param resume: the attempt, and the offset of the first byte to send
        :param owner: the incarnation of the entry instance that asks
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.get(resume.attempt)
        if attempt is not None:
            attempt.owner = owner
            attempt.detached_at = None
            self._resend_output(attempt, resume.offset)
            return
        if resume.attempt in self._tombstones:
            yield self._answer_from_tombstone(resume.attempt, owner)
            return
        if resume.incarnation != self.incarnation:
            ended = _make_unknown_end(resume.attempt, const.REASON_RESTARTED)
            yield messages.SendMessage(owner=owner, message=ended)
            return
        self._add_tombstone(resume.attempt, TombstoneKind.REFUSED, now)
        refused = dispatch.Refused(
            attempt=resume.attempt, reason=const.REASON_NEVER_ARRIVED
        )
        yield messages.SendMessage(owner=owner, message=refused)

    def _resend_output(self, attempt: Attempt, offset: int) -> None:
        output = self._get_pending_output(attempt.owner)
        if attempt.opened is not None:
            output.opened.append(attempt.opened)
        remaining_output = bytes(
            attempt.buffer[max(0, offset - attempt.buffer_offset) :]
        )
        if remaining_output:
            output.add_chunk(
                attempt.start.attempt,
                max(offset, attempt.buffer_offset),
                remaining_output,
            )
        if attempt.ended is not None:
            output.ended.append(attempt.ended)

    def _get_pending_output(self, owner: int) -> dispatch.Output:
        output = self._pending_outputs.get(owner)
        if output is None:
            output = self._pending_outputs[owner] = dispatch.Output()
        return output

    def take_pending_outputs(
        self,
    ) -> collections.abc.Iterator[tuple[int, dispatch.Output]]:
        """Yield the output to send, by owner, and clear it."""
        outputs, self._pending_outputs = self._pending_outputs, {}
        yield from outputs.items()

    def acknowledge(
        self, acknowledgement: dispatch.Acknowledge, now: float
    ) -> None:
        """Drop output that the entry instance has received.

        :param acknowledgement: the attempt, and the offset up to which its
            output has arrived
        :param now: the current time in seconds
        """
        attempt = self._attempts.get(acknowledgement.attempt)
        if attempt is None:
            return
        acknowledged_bytes = min(
            acknowledgement.offset - attempt.buffer_offset, len(attempt.buffer)
        )
        if acknowledged_bytes > 0:
            del attempt.buffer[:acknowledged_bytes]
            attempt.buffer_offset += acknowledged_bytes
        if acknowledgement.is_final and attempt.phase is Phase.ENDED:
            del self._attempts[acknowledgement.attempt]
            self._add_tombstone(
                acknowledgement.attempt, TombstoneKind.RAN, now
            )

    def record_response_head(
        self, attempt_id: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Record a response's status and headers, and send them."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        attempt.opened = dispatch.Opened(
            attempt=attempt_id, status=status, headers=headers
        )
        if attempt.detached_at is None:
            self._get_pending_output(attempt.owner).opened.append(
                attempt.opened
            )

    def record_output(self, attempt_id: int, data: bytes) -> bool:
        """Buffer and send a part of a response's body.

        :param attempt_id: the attempt
        :param data: the bytes
        :returns: False if the call is to be aborted
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return False
        offset = attempt.output_size
        attempt.buffer += data
        if attempt.detached_at is None:
            self._get_pending_output(attempt.owner).add_chunk(
                attempt_id, offset, data
            )
        return len(attempt.buffer) <= const.MAX_BUFFER_BYTES

    def record_call_end(
        self,
        attempt_id: int,
        outcome: dispatch.Outcome,
        reason: str,
        now: float,
    ) -> Effects:
        """Record the end of a call, and free its slot.

        An attempt that the engine didn't run is refused.

        :param attempt_id: the attempt
        :param outcome: the attempt's outcome
        :param reason: why it didn't complete, or an empty string
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.phase is not Phase.STARTED:
            return
        self._running_by_lane[attempt.start.lane] -= 1
        if outcome is dispatch.Outcome.NOT_RUN:
            del self._attempts[attempt_id]
            yield self._refuse(attempt.start, attempt.owner, reason, now)
            yield from self._fill_slots(now)
            return
        self._update_service_time(attempt, now)
        attempt.phase = Phase.ENDED
        attempt.ended_at = now
        attempt.ended = dispatch.Ended(
            attempt=attempt_id,
            size=attempt.output_size,
            outcome=outcome,
            reason=reason,
        )
        if attempt.detached_at is None:
            self._get_pending_output(attempt.owner).ended.append(attempt.ended)
        yield from self._fill_slots(now)

    def _update_service_time(self, attempt: Attempt, now: float) -> None:
        lane = attempt.start.lane
        change = now - attempt.started_at - self._mean_service_time_s[lane]
        self._mean_service_time_s[lane] += (
            change * const.SERVICE_TIME_SMOOTHING
        )

    def detach_owner(self, owner: int, now: float) -> None:
        """Keep the output of an entry instance's attempts for a new link.

        Called when the link has ended.

        :param owner: the entry instance's incarnation
        :param now: the current time in seconds
        """
        self._pending_outputs.pop(owner, None)
        for attempt in self._attempts.values():
            if attempt.owner == owner and attempt.detached_at is None:
                attempt.detached_at = now

    def start_leaving(self, now: float) -> None:
        """Start to leave; new attempts are refused after the grace period."""
        if self.leaving_since is None:
            self.leaving_since = now

    def tick(self, now: float) -> Effects:
        """Apply the time limits, and start attempts in free slots.

        :param now: the current time in seconds
        :returns: the effects
        """
        yield from self._refuse_queued(now)
        yield from self._cancel_detached(now)
        self._drop_expired(now)
        yield from self._fill_slots(now)

    def _refuse_queued(self, now: float) -> Effects:
        for queue in self._queues.values():
            for attempt in queue:
                reason = self._find_queued_refusal_reason(attempt, now)
                if reason is None:
                    continue
                queue.remove(attempt.ticket)
                del self._attempts[attempt.start.attempt]
                yield self._refuse(attempt.start, attempt.owner, reason, now)

    def _find_queued_refusal_reason(
        self, attempt: Attempt, now: float
    ) -> str | None:
        if now > attempt.arrived_at + attempt.start.start_within_s:
            return const.REASON_EXPIRED
        if not self.is_ready:
            return const.REASON_NOT_READY
        if self.leaving_since is None:
            return None
        if now >= self.leaving_since + const.QUEUE_DRAIN_S:
            return const.REASON_LEAVING
        return None

    def _cancel_detached(self, now: float) -> Effects:
        overdue = [
            attempt.start.attempt
            for attempt in self._attempts.values()
            if attempt.detached_at is not None
            and now > attempt.detached_at + const.DETACHED_TIMEOUT_S
            and attempt.phase is not Phase.ENDED
            and attempt.start.kind is dispatch.Kind.IDEMPOTENT
        ]
        for attempt_id in overdue:
            yield from self.cancel(attempt_id, now)

    def _drop_expired(self, now: float) -> None:
        ended = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if attempt.phase is Phase.ENDED
            and now > attempt.ended_at + const.ENDED_RETENTION_S
        ]
        for attempt_id in ended:
            del self._attempts[attempt_id]
            self._add_tombstone(attempt_id, TombstoneKind.RAN, now)
        expired = [
            attempt_id
            for attempt_id, (_, expires_at) in self._tombstones.items()
            if now > expires_at
        ]
        for attempt_id in expired:
            del self._tombstones[attempt_id]


def _make_unknown_end(attempt_id: int, reason: str) -> dispatch.Ended:
    return dispatch.Ended(
        attempt=attempt_id,
        size=0,
        outcome=dispatch.Outcome.UNKNOWN,
        reason=reason,
    )
