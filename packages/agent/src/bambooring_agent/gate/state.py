"""Keep the target's slots, the queue before them and the run ledger.

The ledger is the authority on whether an attempt ran. Each attempt goes
queued -> started -> ended. One that is refused leaves a tombstone, so that a
late copy of its start message can't run.
"""

import collections.abc
import dataclasses
import enum

from bambooring_agent.gate import const
from bambooring_agent.gate import messages
from bambooring_agent.gate import queue as queue_module
from bambooring_core.dispatch import messages as dispatch


class Phase(enum.Enum):
    """Say how far an attempt has come."""

    QUEUED = 'queued'
    STARTED = 'started'
    ENDED = 'ended'


class Burial(enum.Enum):
    """Say what a tombstone stands for."""

    REFUSED = 'refused'
    RAN = 'ran'


@dataclasses.dataclass(slots=True, kw_only=True)
class GateLimits:
    """Bound what a gate lets in."""

    slots: int
    long_slots: int
    queue_limit: int
    leave_grace_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """Hold one attempt's state and the output not yet acknowledged."""

    start: dispatch.Start
    owner: int
    arrived: float
    phase: Phase = Phase.QUEUED
    ticket: int = -1
    started_at: float = 0.0
    ended_at: float = 0.0
    detached_at: float | None = None
    opened: dispatch.Opened | None = None
    ended: dispatch.Ended | None = None
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    base: int = 0

    @property
    def size(self) -> int:
        """Return how many bytes of output there were so far."""
        return self.base + len(self.buffer)


Effects = collections.abc.Iterator[messages.Effect]


class Gate:
    """Decide on each attempt; the caller carries out the effects."""

    def __init__(self, *, limits: GateLimits, incarnation: int) -> None:
        self.limits = limits
        self.incarnation = incarnation
        self.leaving_since: float | None = None
        self.is_ready = True
        self._attempts: dict[int, Attempt] = {}
        self._tombstones: dict[int, tuple[Burial, float]] = {}
        self._queues: dict[dispatch.Lane, queue_module.FairQueue[Attempt]] = {
            lane: queue_module.FairQueue() for lane in dispatch.Lane
        }
        self._running = {lane: 0 for lane in dispatch.Lane}
        self._service_s = {
            dispatch.Lane.SHORT: 1.0,
            dispatch.Lane.LONG: 10.0,
            dispatch.Lane.SUSPECT: 1.0,
        }
        self._outputs: dict[int, dispatch.Output] = {}

    @property
    def running(self) -> int:
        """Return how many attempts are on the target."""
        return sum(self._running.values())

    @property
    def queued(self) -> int:
        """Return how many attempts wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing runs, waits or is still to be fetched."""
        return not self._attempts

    def estimate_wait(self, lane: dispatch.Lane) -> float:
        """Estimate how long a new attempt waits for its slot.

        :param lane: the attempt's lane
        :returns: seconds
        """
        return self._estimate(lane, len(self._queues[lane]))

    def _estimate(self, lane: dispatch.Lane, before: int) -> float:
        if self._has_slot(lane) and not before:
            return 0.0
        slots = self._get_slots(lane)
        return (before + 1) * self._service_s[lane] / slots

    def _estimate_start(self, start: dispatch.Start) -> float:
        """Estimate an attempt's wait by its account's place."""
        queue = self._queues[start.lane]
        before = queue.count_before(start.account, start.priority)
        return self._estimate(start.lane, before)

    def _get_slots(self, lane: dispatch.Lane) -> int:
        if lane is dispatch.Lane.SUSPECT:
            return 1
        if lane is dispatch.Lane.LONG:
            return min(self.limits.long_slots, self.limits.slots)
        return self.limits.slots

    def _has_slot(self, lane: dispatch.Lane) -> bool:
        if self.running >= self.limits.slots:
            return False
        return self._running[lane] < self._get_slots(lane)

    def start(self, start: dispatch.Start, owner: int, now: float) -> Effects:
        """Take in a new attempt.

        :param start: the attempt
        :param owner: the incarnation of the entry instance that sent it
        :param now: the current time in seconds
        :returns: the effects
        """
        if start.incarnation != self.incarnation:
            # An earlier run of this agent may have run it.
            unknown = _make_unknown(
                start.attempt, const.REASON_WRONG_INCARNATION
            )
            yield messages.Send(owner=owner, message=unknown)
            return
        known = self._answer_known(start, owner)
        if known is not None:
            yield from known
            return
        reason = self._find_refusal(start, now)
        if reason is not None:
            yield self._refuse(start, owner, reason, now)
            return
        attempt = Attempt(start=start, owner=owner, arrived=now)
        self._attempts[start.attempt] = attempt
        attempt.ticket = self._queues[start.lane].push(
            attempt,
            account=start.account,
            weight=start.weight,
            cost=start.cost,
            priority=start.priority,
        )
        yield from self._fill_slots(now)

    def _answer_known(
        self, start: dispatch.Start, owner: int
    ) -> list[messages.Effect] | None:
        """Answer a copy of an attempt that was seen before."""
        if start.attempt in self._attempts:
            return []
        if start.attempt not in self._tombstones:
            return None
        return [self._answer_buried(start.attempt, owner)]

    def _answer_buried(self, attempt: int, owner: int) -> messages.Send:
        burial, _ = self._tombstones[attempt]
        if burial is Burial.REFUSED:
            answer: object = dispatch.Refused(
                attempt=attempt, reason=const.REASON_DUPLICATE
            )
        else:
            answer = _make_unknown(attempt, const.REASON_DUPLICATE)
        return messages.Send(owner=owner, message=answer)

    def _find_refusal(self, start: dispatch.Start, now: float) -> str | None:
        if self._refuses_new_work(now):
            return const.REASON_LEAVING
        if not self.is_ready:
            return const.REASON_NOT_READY
        wait_s = self._estimate_start(start)
        if wait_s > start.start_within_s:
            return const.REASON_WAIT_TOO_LONG
        if self.queued >= self.limits.queue_limit and wait_s > 0:
            return const.REASON_QUEUE_FULL
        return None

    def _refuses_new_work(self, now: float) -> bool:
        if self.leaving_since is None:
            return False
        return now >= self.leaving_since + self.limits.leave_grace_s

    def _refuse(
        self, start: dispatch.Start, owner: int, reason: str, now: float
    ) -> messages.Send:
        self._bury(start.attempt, Burial.REFUSED, now)
        refused = dispatch.Refused(
            attempt=start.attempt,
            reason=reason,
            retry_after_s=self.estimate_wait(start.lane),
        )
        return messages.Send(owner=owner, message=refused)

    def _bury(self, attempt: int, burial: Burial, now: float) -> None:
        self._tombstones[attempt] = (burial, now + const.TOMBSTONE_S)

    def _fill_slots(self, now: float) -> Effects:
        for lane in const.LANE_ORDER:
            while self._has_slot(lane):
                attempt = self._queues[lane].pop()
                if attempt is None:
                    break
                attempt.phase = Phase.STARTED
                attempt.started_at = now
                self._running[lane] += 1
                yield messages.Call(start=attempt.start)

    def cancel(self, attempt_id: int, now: float) -> Effects:
        """End an attempt that nobody waits for.

        :param attempt_id: the attempt
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            if attempt_id not in self._tombstones:
                self._bury(attempt_id, Burial.REFUSED, now)
            return
        if attempt.phase is Phase.QUEUED:
            self._queues[attempt.start.lane].remove(attempt.ticket)
            self._bury(attempt_id, Burial.REFUSED, now)
            return
        self._bury(attempt_id, Burial.RAN, now)
        if attempt.phase is Phase.STARTED:
            self._running[attempt.start.lane] -= 1
            yield messages.Abort(attempt=attempt_id)
            yield from self._fill_slots(now)

    def resume(
        self, resume: dispatch.Resume, owner: int, now: float
    ) -> Effects:
        """Continue an attempt's output on a new link.

        :param resume: which attempt, from which offset
        :param owner: the incarnation of the entry instance that asks
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.get(resume.attempt)
        if attempt is not None:
            attempt.owner = owner
            attempt.detached_at = None
            self._replay(attempt, resume.offset)
            return
        if resume.attempt in self._tombstones:
            yield self._answer_buried(resume.attempt, owner)
            return
        if resume.incarnation != self.incarnation:
            unknown = _make_unknown(resume.attempt, const.REASON_RESTARTED)
            yield messages.Send(owner=owner, message=unknown)
            return
        self._bury(resume.attempt, Burial.REFUSED, now)
        refused = dispatch.Refused(
            attempt=resume.attempt, reason=const.REASON_NEVER_ARRIVED
        )
        yield messages.Send(owner=owner, message=refused)

    def _replay(self, attempt: Attempt, offset: int) -> None:
        output = self._get_output(attempt.owner)
        if attempt.opened is not None:
            output.opened.append(attempt.opened)
        rest = bytes(attempt.buffer[max(0, offset - attempt.base) :])
        if rest:
            output.add(attempt.start.attempt, max(offset, attempt.base), rest)
        if attempt.ended is not None:
            output.ended.append(attempt.ended)

    def _get_output(self, owner: int) -> dispatch.Output:
        output = self._outputs.get(owner)
        if output is None:
            output = self._outputs[owner] = dispatch.Output()
        return output

    def take_outputs(
        self,
    ) -> collections.abc.Iterator[tuple[int, dispatch.Output]]:
        """Yield what is to be sent to each owner, and forget it."""
        outputs, self._outputs = self._outputs, {}
        yield from outputs.items()

    def acknowledge(
        self, acknowledge: dispatch.Acknowledge, now: float
    ) -> None:
        """Drop output that has arrived.

        :param acknowledge: which attempt, up to which offset
        :param now: the current time in seconds
        """
        attempt = self._attempts.get(acknowledge.attempt)
        if attempt is None:
            return
        count = min(acknowledge.offset - attempt.base, len(attempt.buffer))
        if count > 0:
            del attempt.buffer[:count]
            attempt.base += count
        if acknowledge.is_final and attempt.phase is Phase.ENDED:
            del self._attempts[acknowledge.attempt]
            self._bury(acknowledge.attempt, Burial.RAN, now)

    def open_response(
        self, attempt_id: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Take note of a response's status and headers."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        attempt.opened = dispatch.Opened(
            attempt=attempt_id, status=status, headers=headers
        )
        if attempt.detached_at is None:
            self._get_output(attempt.owner).opened.append(attempt.opened)

    def add_output(self, attempt_id: int, data: bytes) -> bool:
        """Take a part of a response's body.

        :param attempt_id: the attempt
        :param data: the bytes
        :returns: False if the call should end
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return False
        offset = attempt.size
        attempt.buffer += data
        if attempt.detached_at is None:
            self._get_output(attempt.owner).add(attempt_id, offset, data)
        return len(attempt.buffer) <= const.BUFFER_LIMIT_BYTES

    def end(
        self,
        attempt_id: int,
        outcome: dispatch.Outcome,
        reason: str,
        now: float,
    ) -> Effects:
        """Take note of a call's end.

        :param attempt_id: the attempt
        :param outcome: what became of it
        :param reason: why, if it is not complete
        :param now: the current time in seconds
        :returns: the effects
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.phase is not Phase.STARTED:
            return
        self._running[attempt.start.lane] -= 1
        if outcome is dispatch.Outcome.NOT_RUN:
            del self._attempts[attempt_id]
            yield self._refuse(attempt.start, attempt.owner, reason, now)
            yield from self._fill_slots(now)
            return
        self._learn_service_time(attempt, now)
        attempt.phase = Phase.ENDED
        attempt.ended_at = now
        attempt.ended = dispatch.Ended(
            attempt=attempt_id,
            size=attempt.size,
            outcome=outcome,
            reason=reason,
        )
        if attempt.detached_at is None:
            self._get_output(attempt.owner).ended.append(attempt.ended)
        yield from self._fill_slots(now)

    def _learn_service_time(self, attempt: Attempt, now: float) -> None:
        lane = attempt.start.lane
        change = now - attempt.started_at - self._service_s[lane]
        self._service_s[lane] += change * const.SERVICE_TIME_WEIGHT

    def detach(self, owner: int, now: float) -> None:
        """Take note that an entry instance's link ended.

        :param owner: the entry instance's incarnation
        :param now: the current time in seconds
        """
        self._outputs.pop(owner, None)
        for attempt in self._attempts.values():
            if attempt.owner == owner and attempt.detached_at is None:
                attempt.detached_at = now

    def leave(self, now: float) -> None:
        """Begin to leave."""
        if self.leaving_since is None:
            self.leaving_since = now

    def tick(self, now: float) -> Effects:
        """Do what is due by time alone.

        :param now: the current time in seconds
        :returns: the effects
        """
        yield from self._refuse_queued(now)
        yield from self._end_detached(now)
        self._forget_old(now)
        yield from self._fill_slots(now)

    def _refuse_queued(self, now: float) -> Effects:
        for queue in self._queues.values():
            for attempt in queue:
                reason = self._find_queued_refusal(attempt, now)
                if reason is None:
                    continue
                queue.remove(attempt.ticket)
                del self._attempts[attempt.start.attempt]
                yield self._refuse(attempt.start, attempt.owner, reason, now)

    def _find_queued_refusal(self, attempt: Attempt, now: float) -> str | None:
        if now > attempt.arrived + attempt.start.start_within_s:
            return const.REASON_EXPIRED
        if not self.is_ready:
            return const.REASON_NOT_READY
        if self.leaving_since is None:
            return None
        if now >= self.leaving_since + const.QUEUED_AFTER_LEAVE_S:
            return const.REASON_LEAVING
        return None

    def _end_detached(self, now: float) -> Effects:
        late = [
            attempt.start.attempt
            for attempt in self._attempts.values()
            if attempt.detached_at is not None
            and now > attempt.detached_at + const.DETACHED_LIMIT_S
            and attempt.phase is not Phase.ENDED
            and attempt.start.kind is dispatch.Kind.IDEMPOTENT
        ]
        for attempt_id in late:
            yield from self.cancel(attempt_id, now)

    def _forget_old(self, now: float) -> None:
        old = [
            attempt_id
            for attempt_id, attempt in self._attempts.items()
            if attempt.phase is Phase.ENDED
            and now > attempt.ended_at + const.ENDED_KEPT_S
        ]
        for attempt_id in old:
            del self._attempts[attempt_id]
            self._bury(attempt_id, Burial.RAN, now)
        expired = [
            attempt_id
            for attempt_id, (_, until) in self._tombstones.items()
            if now > until
        ]
        for attempt_id in expired:
            del self._tombstones[attempt_id]


def _make_unknown(attempt: int, reason: str) -> dispatch.Ended:
    return dispatch.Ended(
        attempt=attempt,
        size=0,
        outcome=dispatch.Outcome.UNKNOWN,
        reason=reason,
    )
