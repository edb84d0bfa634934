"""Lead a group's ranks through a switch, as the control leader.

Two-phase commit (Gray, 1978) whose decision goes into the replicated log:
all ranks load the map, then promise not to run a step S or later without a
decision; then the log decides. A leader that finds ranks armed for a switch
it does not lead has the log abort it, unless it was decided before.
"""

import collections.abc
import dataclasses
import enum
import typing

from bambooring.experts import const
from bambooring.experts import messages
from bambooring.experts import state
from bambooring_core.orders import messages as orders


class Phase(enum.Enum):
    """Say how far a switch has come."""

    STAGING = 'staging'
    ARMING = 'arming'
    DECIDING = 'deciding'


@dataclasses.dataclass(slots=True, kw_only=True)
class ToRank:
    """Ask for a message to a rank's agent."""

    rank: int
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Ask for a command to be put into the replicated log."""

    command: messages.Decide


@dataclasses.dataclass(slots=True, kw_only=True)
class _Switch:
    """Hold the switch that is under way."""

    id: int
    expert_map: bytes
    started: float
    phase: Phase = Phase.STAGING
    step: int = 0
    staged: set[int] = dataclasses.field(default_factory=set)
    armed: set[int] = dataclasses.field(default_factory=set)
    resend_at: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Seen:
    """Hold a rank's report and when it came."""

    report: orders.RankReport
    at: float


Effects = collections.abc.Iterator[ToRank | Propose]


class Coordinator:
    """Lead one group while its control replica leads in one term."""

    def __init__(
        self,
        *,
        group: str,
        ranks: int,
        term: int,
        switches: state.Switches,
    ) -> None:
        self._group = group
        self._ranks = ranks
        self._term = term
        self._switches = switches
        self._switch: _Switch | None = None
        self._seen: dict[int, _Seen] = {}

    @property
    def is_busy(self) -> bool:
        """Tell whether a switch is under way."""
        return self._switch is not None

    def begin(self, switch: int, expert_map: bytes, now: float) -> bool:
        """Begin a switch, if none is under way or left over.

        :param switch: its random number
        :param expert_map: the map
        :param now: the current time in seconds
        :returns: False if it can't begin now
        """
        if self._switch is not None or not self._is_clear(now):
            return False
        self._switch = _Switch(id=switch, expert_map=expert_map, started=now)
        return True

    def _is_clear(self, now: float) -> bool:
        """Tell whether every rank reports and none is armed."""
        fresh = [
            seen
            for seen in self._seen.values()
            if seen.at + const.REPORT_MAX_AGE_S > now
        ]
        if len(fresh) < self._ranks:
            return False
        return not any(seen.report.armed for seen in fresh)

    def report(self, report: orders.RankReport, now: float) -> Effects:
        """Take a rank's report; end what an earlier leader left.

        :param report: the report
        :param now: the current time in seconds
        :returns: the effects
        """
        self._seen[report.rank] = _Seen(report=report, at=now)
        if not report.armed:
            return
        if self._switch is not None and self._switch.id == report.armed:
            return
        if self._switches.find(report.armed) is None:
            yield self._propose(report.armed, is_commit=False)

    def answer(self, question: orders.AskDecision, rank: int) -> Effects:
        """Answer a rank that waits for a decision, if there is one.

        :param question: the question
        :param rank: the rank that asks
        :returns: the effects
        """
        decided = self._switches.find(question.switch)
        if decided is not None:
            yield ToRank(rank=rank, message=make_decision(decided))

    def staged(self, answer: orders.Staged, now: float) -> Effects:
        """Take note that a rank has loaded the map.

        :param answer: the rank's answer
        :param now: the current time in seconds
        :returns: the effects
        """
        switch = self._switch
        if switch is None or switch.id != answer.switch:
            return
        switch.staged.add(answer.rank)
        if switch.phase is not Phase.STAGING:
            return
        if len(switch.staged) == self._ranks:
            switch.phase = Phase.ARMING
            furthest = max(seen.report.step for seen in self._seen.values())
            switch.step = furthest + const.ARM_MARGIN_STEPS
            yield from self._send(now)

    def armed(self, answer: orders.Armed) -> Effects:
        """Take a rank's promise, or its refusal, which aborts.

        :param answer: the rank's answer
        :returns: the effects
        """
        switch = self._switch
        if switch is None or switch.id != answer.switch:
            return
        if switch.phase is not Phase.ARMING:
            return
        if not answer.is_armed:
            yield from self._decide(switch, is_commit=False)
            return
        switch.armed.add(answer.rank)
        if self._has_all_promises(switch):
            yield from self._decide(switch, is_commit=True)

    def _has_all_promises(self, switch: _Switch) -> bool:
        return len(switch.armed) == self._ranks

    def _decide(self, switch: _Switch, *, is_commit: bool) -> Effects:
        switch.phase = Phase.DECIDING
        yield self._propose(switch.id, is_commit=is_commit)

    def _propose(self, switch: int, *, is_commit: bool) -> Propose:
        expert_map = b''
        if is_commit and self._switch is not None:
            expert_map = self._switch.expert_map
        command = messages.Decide(
            group=self._group,
            switch=switch,
            is_commit=is_commit,
            expert_map=expert_map,
        )
        return Propose(command=command)

    def decided(self, decided: messages.Decided) -> Effects:
        """Tell every rank what the log decided.

        :param decided: the decision
        :returns: the effects
        """
        if self._switch is not None and self._switch.id == decided.switch:
            self._switch = None
        for rank in range(self._ranks):
            yield ToRank(rank=rank, message=make_decision(decided))

    def tick(self, now: float) -> Effects:
        """Send again what has no answer; abort what takes too long.

        :param now: the current time in seconds
        :returns: the effects
        """
        switch = self._switch
        if switch is None or now < switch.resend_at:
            return
        if now > switch.started + const.SWITCH_TIMEOUT_S:
            yield from self._decide(switch, is_commit=False)
            switch.resend_at = now + const.RESEND_INTERVAL_S
            return
        yield from self._send(now)

    def _send(self, now: float) -> Effects:
        switch = self._switch
        assert switch is not None
        switch.resend_at = now + const.RESEND_INTERVAL_S
        for rank in range(self._ranks):
            message = self._make_order(switch, rank)
            if message is not None:
                yield ToRank(rank=rank, message=message)

    def _make_order(self, switch: _Switch, rank: int) -> typing.Any:
        if switch.phase is Phase.STAGING and rank not in switch.staged:
            return orders.Stage(
                group=self._group,
                switch=switch.id,
                fence=self._term,
                expert_map=switch.expert_map,
            )
        if switch.phase is Phase.ARMING and rank not in switch.armed:
            return orders.Arm(
                group=self._group,
                switch=switch.id,
                fence=self._term,
                step=switch.step,
            )
        return None


def make_decision(decided: messages.Decided) -> orders.Decision:
    """Turn the log's decision into what a rank is told."""
    return orders.Decision(
        group=decided.group,
        switch=decided.switch,
        is_commit=decided.is_commit,
    )
