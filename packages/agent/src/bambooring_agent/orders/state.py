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

Effects = collections.abc.Iterator[messages.ToControl]


class RankOrders:
    """Hold one rank's side of a switch."""

    def __init__(
        self,
        *,
        group: str,
        rank: int,
        replicas: int,
        engine: messages.RankEngine,
    ) -> None:
        self._group = group
        self._rank = rank
        self._majority = replicas // 2 + 1
        self._engine = engine
        self._floor = 0
        self._floors: dict[str, int] = {}
        self._staged: set[int] = set()
        self._report_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Tell whether the floor is known from a majority."""
        return len(self._floors) >= self._majority

    def learn_floor(self, floor: orders.Floor) -> None:
        """Take a control replica's term."""
        self._floors[floor.replica] = floor.fence
        self._floor = max(self._floor, floor.fence)

    def _is_current(self, fence: int) -> bool:
        """Tell whether an order is to be obeyed; raises the floor."""
        if not self.is_ready or fence < self._floor:
            return False
        self._floor = fence
        return True

    def stage(self, order: orders.Stage, sender: str) -> Effects:
        """Load what a new map needs.

        :param order: the order
        :param sender: the control replica that gave it
        :returns: the effects
        """
        if not self._is_current(order.fence):
            return
        if order.switch not in self._staged:
            self._staged.add(order.switch)
            self._engine.stage(order.switch, order.expert_map)
        staged = orders.Staged(
            group=self._group, rank=self._rank, switch=order.switch
        )
        yield messages.ToControl(to=sender, message=staged)

    def arm(self, order: orders.Arm, sender: str) -> Effects:
        """Promise to hold at a step, or refuse.

        :param order: the order
        :param sender: the control replica that gave it
        :returns: the effects
        """
        if not self._is_current(order.fence):
            return
        armed = self._engine.read().armed
        is_armed = armed == order.switch
        if armed == 0 and order.switch in self._staged:
            is_armed = self._engine.arm(order.switch, order.step, order.fence)
        answer = orders.Armed(
            group=self._group,
            rank=self._rank,
            switch=order.switch,
            is_armed=is_armed,
        )
        yield messages.ToControl(to=sender, message=answer)

    def decide(self, decision: orders.Decision) -> None:
        """Go on by what the replicated log decided.

        A decision is a fact of the log, whoever brings it, and needs no
        fencing number.

        :param decision: the decision
        """
        if self._engine.read().armed == decision.switch:
            self._engine.decide(decision.switch, decision.is_commit)

    def tick(self, now: float) -> Effects:
        """Report, and ask for what is missing.

        :param now: the current time in seconds
        :returns: the effects
        """
        if now < self._report_at:
            return
        self._report_at = now + const.REPORT_INTERVAL_S
        if not self.is_ready:
            ask = orders.AskFloor(group=self._group, rank=self._rank)
            yield messages.ToControl(to='', message=ask)
        state = self._engine.read()
        report = orders.RankReport(
            group=self._group,
            rank=self._rank,
            step=state.step,
            in_force=state.in_force,
            armed=state.armed,
        )
        yield messages.ToControl(to='', message=report)
        if state.armed:
            question = orders.AskDecision(
                group=self._group, switch=state.armed
            )
            yield messages.ToControl(to='', message=question)
