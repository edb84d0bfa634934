"""Handle the orders of the newest control leader to one rank.

The promise of an armed switch is held by the engine, so that it survives a
restart of this agent. Only a decision of the replicated log ends it. Orders
with a lower fencing token than one seen before are refused here, since some
engines don't check the token. After a restart no order is carried out until
a majority of the control replicas has reported its term, which sets the
lowest token to accept.
"""

import collections.abc

from bambooring_agent.orders import const
from bambooring_agent.orders import messages
from bambooring_core.orders import messages as orders

Effects = collections.abc.Iterator[messages.SendToControl]


class RankOrderHandler:
    """The participant of one rank in switches of its group's expert map.

    Its methods yield the messages to send to control replicas.
    """

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
        """Whether a majority of the control replicas has reported its term."""
        return len(self._fence_by_replica) >= self._majority

    def record_floor(self, floor: orders.Floor) -> None:
        """Record a control replica's term as a lower bound of the fence."""
        self._fence_by_replica[floor.replica] = floor.fence
        self._fence_floor = max(self._fence_floor, floor.fence)

    def _accept_fence(self, fence: int) -> bool:
        """Decide whether to carry out an order with this fencing token.

        An accepted token becomes the lowest one that is accepted later.
        """
        if not self.is_floor_known or fence < self._fence_floor:
            return False
        self._fence_floor = fence
        return True

    def handle_stage(self, order: orders.Stage, sender: str) -> Effects:
        """Load the experts that a new map needs, once per switch.

        :param order: the order
        :param sender: the control replica that sent it
        :returns: the messages to send
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

        A repeated order is confirmed again. An order is refused while the
        engine is armed for another switch, if its map isn't staged, or if
        the engine refuses.

        :param order: the order
        :param sender: the control replica that sent it
        :returns: the messages to send
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
        """Apply a decision of the replicated log to the armed switch.

        A decision is an entry of the log, whichever replica sends it, so it
        needs no fencing token.

        :param decision: the decision
        """
        if self._engine.read_state().armed == decision.switch:
            self._engine.decide(decision.switch, decision.is_commit)

    def tick(self, now: float) -> Effects:
        """Report the rank, and query what it still needs to know.

        Control replicas are asked for their terms until a majority has
        reported them, and for the decision on an armed switch.

        :param now: the current time in seconds
        :returns: the messages to send
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
