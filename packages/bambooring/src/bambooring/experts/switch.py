"""Coordinate the switch of a group's ranks to a new map.

The control leader does so by two-phase commit (Gray, 1978), with the decision
in the replicated log. All ranks load (stage) the map. Then each one is armed:
it promises not to run a step S or any later one without a decision. Then the
log decides. A leader that finds ranks armed for a switch that it does not
lead has the log abort that switch, unless it was decided before.
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
    """Tell how far a switch has come.

    STAGING: ranks load the map. ARMING: ranks promise to wait for the
    decision. DECIDING: the decision was proposed to the replicated log.
    """

    STAGING = 'staging'
    ARMING = 'arming'
    DECIDING = 'deciding'


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToRank:
    """Ask the caller to send a message to a rank's agent."""

    rank: int
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Ask the caller to propose a command to the replicated log."""

    command: messages.Decide


@dataclasses.dataclass(slots=True, kw_only=True)
class _Switch:
    """Track the switch that is under way.

    ``id`` is its random number. ``staged_ranks`` have loaded the map;
    ``armed_ranks`` have promised not to run ``arm_step`` or a later step
    without a decision.
    """

    id: int
    expert_map: bytes
    started_s: float
    phase: Phase = Phase.STAGING
    arm_step: int = 0
    staged_ranks: set[int] = dataclasses.field(default_factory=set)
    armed_ranks: set[int] = dataclasses.field(default_factory=set)
    resend_at_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _ReceivedReport:
    """Keep a rank's latest report and when it was received."""

    report: orders.RankReport
    received_s: float


Effects = collections.abc.Iterator[SendToRank | Propose]


class Coordinator:
    """Lead the switches of one group in one term of its control replica."""

    def __init__(
        self,
        *,
        group: str,
        rank_count: int,
        term: int,
        switches: state.SwitchStore,
    ) -> None:
        self._group = group
        self._rank_count = rank_count
        self._term = term
        self._switches = switches
        self._switch: _Switch | None = None
        self._reports: dict[int, _ReceivedReport] = {}

    @property
    def is_busy(self) -> bool:
        """Return whether a switch is under way."""
        return self._switch is not None

    def begin_switch(
        self, switch: int, expert_map: bytes, now_s: float
    ) -> bool:
        """Begin a switch if none is under way and all ranks are ready.

        :param switch: the random number that identifies it
        :param expert_map: the new map
        :param now_s: the current time in seconds
        :returns: whether it began
        """
        if self._switch is not None or not self._are_ranks_ready(now_s):
            return False
        self._switch = _Switch(
            id=switch, expert_map=expert_map, started_s=now_s
        )
        return True

    def _are_ranks_ready(self, now_s: float) -> bool:
        """Return whether every rank has reported lately and none is armed."""
        fresh_reports = [
            received
            for received in self._reports.values()
            if received.received_s + const.REPORT_MAX_AGE_S > now_s
        ]
        if len(fresh_reports) < self._rank_count:
            return False
        return not any(received.report.armed for received in fresh_reports)

    def handle_report(
        self, report: orders.RankReport, now_s: float
    ) -> Effects:
        """Handle a rank's report; abort a switch that an earlier leader left.

        :param report: the report
        :param now_s: the current time in seconds
        :returns: the effects
        """
        self._reports[report.rank] = _ReceivedReport(
            report=report, received_s=now_s
        )
        if not report.armed:
            return
        if self._switch is not None and self._switch.id == report.armed:
            return
        if self._switches.find_decision(report.armed) is None:
            yield self._make_proposal(report.armed, is_commit=False)

    def handle_query(self, query: orders.AskDecision, rank: int) -> Effects:
        """Answer a rank that asks for a decision, if there is one.

        :param query: the rank's query
        :param rank: the rank that asks
        :returns: the effects
        """
        decided = self._switches.find_decision(query.switch)
        if decided is not None:
            yield SendToRank(rank=rank, message=make_decision(decided))

    def handle_staged(self, answer: orders.Staged, now_s: float) -> Effects:
        """Record that a rank has loaded the map; arm once all have.

        :param answer: the rank's answer
        :param now_s: the current time in seconds
        :returns: the effects
        """
        switch = self._switch
        if switch is None or switch.id != answer.switch:
            return
        switch.staged_ranks.add(answer.rank)
        if switch.phase is not Phase.STAGING:
            return
        if len(switch.staged_ranks) == self._rank_count:
            switch.phase = Phase.ARMING
            latest_step = max(
                received.report.step for received in self._reports.values()
            )
            switch.arm_step = latest_step + const.ARM_MARGIN_STEPS
            yield from self._send_orders(now_s)

    def handle_armed(self, answer: orders.Armed) -> Effects:
        """Record a rank's promise, or abort if it refuses.

        :param answer: the rank's answer
        :returns: the effects
        """
        switch = self._switch
        if switch is None or switch.id != answer.switch:
            return
        if switch.phase is not Phase.ARMING:
            return
        if not answer.is_armed:
            yield from self._propose_decision(switch, is_commit=False)
            return
        switch.armed_ranks.add(answer.rank)
        if self._are_all_ranks_armed(switch):
            yield from self._propose_decision(switch, is_commit=True)

    def _are_all_ranks_armed(self, switch: _Switch) -> bool:
        return len(switch.armed_ranks) == self._rank_count

    def _propose_decision(
        self, switch: _Switch, *, is_commit: bool
    ) -> Effects:
        switch.phase = Phase.DECIDING
        yield self._make_proposal(switch.id, is_commit=is_commit)

    def _make_proposal(self, switch: int, *, is_commit: bool) -> Propose:
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

    def handle_decided(self, decided: messages.Decided) -> Effects:
        """Send every rank the decision of the log.

        :param decided: the decision
        :returns: the effects
        """
        if self._switch is not None and self._switch.id == decided.switch:
            self._switch = None
        for rank in range(self._rank_count):
            yield SendToRank(rank=rank, message=make_decision(decided))

    def tick(self, now_s: float) -> Effects:
        """Resend unanswered orders; abort a switch that takes too long.

        :param now_s: the current time in seconds
        :returns: the effects
        """
        switch = self._switch
        if switch is None or now_s < switch.resend_at_s:
            return
        if now_s > switch.started_s + const.SWITCH_TIMEOUT_S:
            yield from self._propose_decision(switch, is_commit=False)
            switch.resend_at_s = now_s + const.RESEND_INTERVAL_S
            return
        yield from self._send_orders(now_s)

    def _send_orders(self, now_s: float) -> Effects:
        switch = self._switch
        assert switch is not None
        switch.resend_at_s = now_s + const.RESEND_INTERVAL_S
        for rank in range(self._rank_count):
            message = self._make_order(switch, rank)
            if message is not None:
                yield SendToRank(rank=rank, message=message)

    def _make_order(self, switch: _Switch, rank: int) -> typing.Any:
        """Return the order that a rank has yet to answer, or None."""
        if switch.phase is Phase.STAGING and rank not in switch.staged_ranks:
            return orders.Stage(
                group=self._group,
                switch=switch.id,
                fence=self._term,
                expert_map=switch.expert_map,
            )
        if switch.phase is Phase.ARMING and rank not in switch.armed_ranks:
            return orders.Arm(
                group=self._group,
                switch=switch.id,
                fence=self._term,
                step=switch.arm_step,
            )
        return None


def make_decision(decided: messages.Decided) -> orders.Decision:
    """Return the message that tells a rank the decision of the log."""
    return orders.Decision(
        group=decided.group,
        switch=decided.switch,
        is_commit=decided.is_commit,
    )
