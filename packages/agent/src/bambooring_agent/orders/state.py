"""Obey orders of the newest control leader only, and keep promises.

The engine holds the promise of an armed switch, so that it survives this
agent. Only a decision of the replicated log ends it. Orders with a lower
fencing number than one seen before are refused here, since some engines do
not check it; after a restart the floor is learnt from a majority of the
control replicas before any order is obeyed.
"""

import collections.abc

from bambooring_agent.orders import const
from bambooring_agent.orders import messages
from bambooring_core.orders import messages as orders

Effects = collections.abc.Iterator[messages.SendToControl]


class RankOrderHandler:
    """Hold one rank's side of a switch."""

    def __init__(
        self,
        *,
        group: str,
        rank: int,
        replica_count: int,
        engine: messages.RankEngine,
    ) -> None:
        self._group = group
        self._rank = rank
        self._majority = replica_count // 2 + 1
        self._engine = engine
        self._fence_floor = 0
        self._fence_by_replica: dict[str, int] = {}
        self._staged_switches: set[int] = set()
        self._next_report_s = 0.0

    @property
    def is_floor_known(self) -> bool:
        """Tell whether the floor is known from a majority."""
        return len(self._fence_by_replica) >= self._majority

    def record_floor(self, floor: orders.Floor) -> None:
        """Take a control replica's term."""
        self._fence_by_replica[floor.replica] = floor.fence
        self._fence_floor = max(self._fence_floor, floor.fence)

    def _accept_fence(self, fence: int) -> bool:
        """Tell whether an order is to be obeyed; raises the floor."""
        if not self.is_floor_known or fence < self._fence_floor:
            return False
        self._fence_floor = fence
        return True

    def handle_stage(self, order: orders.Stage, sender: str) -> Effects:
        """Load what a new map needs.

        :param order: the order
        :param sender: the control replica that gave it
        :returns: the effects
        """
        if not self._accept_fence(order.fence):
            return
        if order.switch not in self._staged_switches:
            self._staged_switches.add(order.switch)
            self._engine.stage(order.switch, order.expert_map)
        staged = orders.Staged(
            group=self._group, rank=self._rank, switch=order.switch
        )
        yield messages.SendToControl(replica=sender, message=staged)

    def handle_arm(self, order: orders.Arm, sender: str) -> Effects:
        """Promise to hold at a step, or refuse.

        :param order: the order
        :param sender: the control replica that gave it
        :returns: the effects
        """
        if not self._accept_fence(order.fence):
            return
        armed_switch = self._engine.read_state().armed
        is_armed = armed_switch == order.switch
        if armed_switch == 0 and order.switch in self._staged_switches:
            is_armed = self._engine.arm(order.switch, order.step, order.fence)
        armed_reply = orders.Armed(
            group=self._group,
            rank=self._rank,
            switch=order.switch,
            is_armed=is_armed,
        )
        yield messages.SendToControl(replica=sender, message=armed_reply)

    def handle_decision(self, decision: orders.Decision) -> None:
        """Go on by what the replicated log decided.

        A decision is a fact of the log, whoever brings it, and needs no
        fencing number.

        :param decision: the decision
        """
        if self._engine.read_state().armed == decision.switch:
            self._engine.decide(decision.switch, decision.is_commit)

    def tick(self, now: float) -> Effects:
        """Report, and ask for what is missing.

        :param now: the current time in seconds
        :returns: the effects
        """
        if now < self._next_report_s:
            return
        self._next_report_s = now + const.REPORT_INTERVAL_S
        if not self.is_floor_known:
            floor_query = orders.AskFloor(group=self._group, rank=self._rank)
            yield messages.SendToControl(replica='', message=floor_query)
        state = self._engine.read_state()
        report = orders.RankReport(
            group=self._group,
            rank=self._rank,
            step=state.step,
            in_force=state.in_force,
            armed=state.armed,
        )
        yield messages.SendToControl(replica='', message=report)
        if state.armed:
            decision_query = orders.AskDecision(
                group=self._group, switch=state.armed
            )
            yield messages.SendToControl(replica='', message=decision_query)
