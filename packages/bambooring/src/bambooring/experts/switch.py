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
class SendToRank:
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
    started_s: float
    phase: Phase = Phase.STAGING
    arm_step: int = 0
    staged_ranks: set[int] = dataclasses.field(default_factory=set)
    armed_ranks: set[int] = dataclasses.field(default_factory=set)
    resend_at_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _ReceivedReport:
    """Hold a rank's report and when it came."""

    report: orders.RankReport
    received_s: float


Effects = collections.abc.Iterator[SendToRank | Propose]


class Coordinator:
    """Lead one group while its control replica leads in one term."""

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
        """Tell whether a switch is under way."""
        return self._switch is not None

    def begin_switch(
        self, switch: int, expert_map: bytes, now_s: float
    ) -> bool:
        """Begin a switch, if none is under way or left over.

        :param switch: its random number
        :param expert_map: the map
        :param now_s: the current time in seconds
        :returns: False if it can't begin now
        """
        if self._switch is not None or not self._are_ranks_ready(now_s):
            return False
        self._switch = _Switch(
            id=switch, expert_map=expert_map, started_s=now_s
        )
        return True

    def _are_ranks_ready(self, now_s: float) -> bool:
        """Tell whether every rank reports and none is armed."""
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
        """Take a rank's report; end what an earlier leader left.

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
        """Answer a rank that waits for a decision, if there is one.

        :param query: the question
        :param rank: the rank that asks
        :returns: the effects
        """
        decided = self._switches.find_decision(query.switch)
        if decided is not None:
            yield SendToRank(rank=rank, message=make_decision(decided))

    def handle_staged(self, answer: orders.Staged, now_s: float) -> Effects:
        """Take note that a rank has loaded the map.

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
        """Tell every rank what the log decided.

        :param decided: the decision
        :returns: the effects
        """
        if self._switch is not None and self._switch.id == decided.switch:
            self._switch = None
        for rank in range(self._rank_count):
            yield SendToRank(rank=rank, message=make_decision(decided))

    def tick(self, now_s: float) -> Effects:
        """Send again what has no answer; abort what takes too long.

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
    """Turn the log's decision into what a rank is told."""
    return orders.Decision(
        group=decided.group,
        switch=decided.switch,
        is_commit=decided.is_commit,
    )
