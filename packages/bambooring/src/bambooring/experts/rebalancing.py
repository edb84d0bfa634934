"""Switch a group's ranks from one expert map to the next.

The module only decides: it does no input or output, and returns effects for
its caller to carry out.

First all ranks prepare the new map. Then one rank holds the group before a
pass S. Only under that hold are the ranks armed for S, and the hold is
released only when all ranks are armed with one version, or when none is armed
and none can become armed any more. A rank may carry out an order that has no
answer seconds later, after newer orders. This is safe because versions only
rise:

- A rank refuses an order to arm a version if it has another version prepared.
  So preparing a later version there invalidates the order.
- A version that some rank has neither prepared, armed nor in force can never
  be armed on all ranks. So no coordinator releases the group into it, and the
  other ranks may be disarmed.
- Held passes are distinct: their steps rise within a term, and successive
  terms have different residues of steps (modulo ``HOLD_STEP_MODULUS``). So a
  late order to release meets no other hold. Terms that are
  ``HOLD_STEP_MODULUS`` apart share a residue: a leader that still gives orders
  that many terms later could choose the step of the newer one.

These statements are about the states of the ranks alone, so any number of
coordinators may act at once, and an order may reach a rank twice and by any
way. A coordinator that finds the hold of another one clears it up by the same
rules.

A rank's agent may fail while the group is held. A rank takes orders from any
machine, so an order that the agent leaves without an answer is relayed by the
agent of another rank. The copy that the rank's own agent has may still be
carried out when that agent runs again.

The steps of a switch stay in one class, long as it is, because the argument
above is about all of them together.
"""

import sys

from bambooring.experts import const
from bambooring.experts import demand as demand_module
from bambooring.experts import placement
from bambooring.experts import rank_states
from bambooring.experts import rebalancer_types
from bambooring_core.ranks import messages as ranks


class Rebalancer:
    """Plan and lead the switches of one group.

    The leading control replica has one for each group, for as long as its
    term lasts.
    """

    def __init__(
        self,
        *,
        group: str,
        term: int,
        engine_spec: rebalancer_types.EngineSpec,
    ) -> None:
        self.group = group
        self.phase = rebalancer_types.Phase.IDLE
        self.demand = demand_module.DemandEstimate()
        self._engine_spec = engine_spec
        self._rank_info: dict[int, rebalancer_types.RankInfo] = {}
        self._switch: rebalancer_types.Switch | None = None
        self._planning: rebalancer_types.Planning | None = None
        # Keyed by the number of the order and the rank.
        self._pending: dict[
            tuple[int, int], rebalancer_types.PendingOrder
        ] = {}
        self._next_order_id = term * const.VERSIONS_PER_TERM * 1000 + 1
        self._highest_version = term * const.VERSIONS_PER_TERM
        self._step_residue = term % const.HOLD_STEP_MODULUS
        self._last_hold_step = 0
        # Steps for which this coordinator ordered a hold, but no rank to arm.
        self._unarmed_hold_steps: set[int] = set()
        # Versions that are prepared only to invalidate orders to arm.
        self._superseding_versions: set[int] = set()
        self._next_plan_s = 0.0
        self._stray_hold_since_s: float | None = None
        # Ranks whose agent left an order unanswered and was silent since.
        self._silent_ranks: set[int] = set()

    def set_engine_spec(
        self, engine_spec: rebalancer_types.EngineSpec
    ) -> None:
        """Replace the description of the engines."""
        self._engine_spec = engine_spec

    def list_slowdowns(self) -> list[float]:
        """Return each rank's slowdown, in the order of the ranks.

        A slowdown is how many times longer than a healthy rank it takes.
        """
        return [
            self._rank_info[rank].state.pace
            if rank in self._rank_info
            else 1.0
            for rank in range(max(self._rank_info, default=-1) + 1)
        ]

    def take_state(
        self, state: ranks.RankState, now_s: float
    ) -> rebalancer_types.Effects:
        """Handle a rank's report of its state.

        :param state: the rank's state
        :param now_s: the current time in seconds
        :returns: the effects
        """
        self._silent_ranks.discard(state.rank)
        self.demand.set_group_size(state.size, now_s)
        self._rank_info[state.rank] = rebalancer_types.RankInfo(
            state=state, received_s=now_s
        )
        self._highest_version = max(
            self._highest_version, state.version, state.prepared, state.armed
        )
        switch = self._switch
        if switch is not None and state.epoch != switch.epoch:
            yield rebalancer_types.ReportEvent(
                event='switch ended by a new epoch'
            )
            self._end_switch(now_s, const.PLAN_PAUSE_S)
            return
        yield from self._advance(now_s)

    def take_done(
        self, done: ranks.RankOrderDone, now_s: float
    ) -> rebalancer_types.Effects:
        """Handle the outcome of an order.

        :param done: the outcome, with the rank's state after the order
        :param now_s: the current time in seconds
        :returns: the effects
        """
        self._rank_info[done.state.rank] = rebalancer_types.RankInfo(
            state=done.state, received_s=now_s
        )
        pending = self._pending.pop((done.order, done.state.rank), None)
        if pending is not None and self._switch is not None:
            yield from self._handle_outcome(pending, done.outcome, now_s)
        yield from self.take_state(done.state, now_s)

    def take_relayed_done(
        self, done: ranks.RelayedOrderDone, now_s: float
    ) -> rebalancer_types.Effects:
        """Handle the outcome of a relayed order.

        The rank's state is taken to be the last known one with the effect of
        the order. An epoch that has ended meanwhile shows in the states of
        the other ranks.

        :param done: the outcome
        :param now_s: the current time in seconds
        :returns: the effects
        """
        pending = self._pending.pop((done.order, done.rank), None)
        if pending is None or self._switch is None:
            return
        info = self._rank_info[done.rank]
        info.state = rank_states.apply_outcome(
            info.state, pending.order, done.outcome
        )
        info.received_s = now_s
        yield from self._handle_outcome(pending, done.outcome, now_s)
        yield from self._advance(now_s)

    def tick(self, now_s: float) -> rebalancer_types.Effects:
        """Relay and time out unanswered orders and do what else is due."""
        yield from self._relay_unanswered(now_s)
        for key, pending in list(self._pending.items()):
            if now_s - pending.sent_s > const.ANSWER_TIMEOUT_S:
                is_still_pending = self._pending.pop(key, None) is not None
                if is_still_pending and self._switch is not None:
                    yield from self._handle_outcome(
                        pending, ranks.Outcome.UNKNOWN, now_s
                    )
        yield from self._advance(now_s)

    def _relay_unanswered(self, now_s: float) -> rebalancer_types.Effects:
        """Relay the orders of ranks whose agents are silent during a hold."""
        if self.phase not in _HELD_PHASES:
            return
        for pending in list(self._pending.values()):
            if pending.is_relayed:
                continue
            if now_s - pending.sent_s < const.RELAY_DELAY_S:
                continue
            info = self._rank_info[pending.rank]
            is_silent = pending.rank in self._silent_ranks
            if info.received_s > pending.sent_s and not is_silent:
                continue
            pending.is_relayed = True
            self._silent_ranks.add(pending.rank)
            yield rebalancer_types.SendOrder(
                target=info.state.target,
                rank=pending.rank,
                order=pending.order,
                is_relayed=True,
            )

    def _advance(self, now_s: float) -> rebalancer_types.Effects:
        """Continue in the current phase with what is known now."""
        match self.phase:
            case rebalancer_types.Phase.IDLE:
                yield from self._consider_switch(now_s)
            case rebalancer_types.Phase.PREPARING:
                yield from self._check_prepared(now_s)
            case rebalancer_types.Phase.RELEASING:
                yield from self._check_released(now_s)
            case rebalancer_types.Phase.SETTLING:
                yield from self._settle(now_s)

    def _end_switch(self, now_s: float, pause_s: float) -> None:
        """End the switch, and pause before the next plan."""
        self.phase = rebalancer_types.Phase.IDLE
        self._switch = None
        self._planning = None
        self._pending.clear()
        self._stray_hold_since_s = None
        self._next_plan_s = now_s + pause_s

    def _get_fresh_states(
        self, now_s: float
    ) -> dict[int, ranks.RankState] | None:
        """Return the state of every rank, or None unless all are recent.

        States of earlier epochs of the group don't count.
        """
        newest_epoch = max(
            (info.state.epoch for info in self._rank_info.values()), default=0
        )
        fresh = {
            rank: info.state
            for rank, info in self._rank_info.items()
            if info.received_s > now_s - const.STATE_MAX_AGE_S
            and info.state.epoch == newest_epoch
        }
        size = next((state.size for state in fresh.values()), 0)
        return fresh if size and len(fresh) == size else None

    def _consider_switch(self, now_s: float) -> rebalancer_types.Effects:
        """Begin a switch if it is worthwhile, or clear up a stray hold."""
        states = self._get_fresh_states(now_s)
        if states is None:
            return
        holding = [
            state for state in states.values() if state.held != ranks.NOT_HELD
        ]
        if holding:
            yield from self._check_stray_hold(holding[0], now_s)
            return
        self._stray_hold_since_s = None
        if now_s < self._next_plan_s or not rank_states.are_ranks_in_sync(
            states
        ):
            return
        if self._planning is not None or not self.demand.has_demand:
            return
        if not rank_states.are_experts_counted(
            states, self.demand.loads_by_set
        ):
            return
        yield from self._begin_planning(states)

    def _check_stray_hold(
        self, state: ranks.RankState, now_s: float
    ) -> rebalancer_types.Effects:
        """Begin to clear up a hold that no switch of this coordinator uses.

        Another coordinator may still use it, so it gets some time first. A
        late hold of this coordinator, under which no rank was told to arm, is
        cleared up at once.
        """
        if self._stray_hold_since_s is None:
            self._stray_hold_since_s = now_s
        is_own_unarmed = state.held in self._unarmed_hold_steps
        if (
            not is_own_unarmed
            and now_s - self._stray_hold_since_s < const.STRAY_HOLD_TIMEOUT_S
        ):
            return
        yield rebalancer_types.ReportEvent(event='stray hold', step=state.held)
        self._switch = rebalancer_types.Switch(
            epoch=state.epoch,
            version=0,
            packed_map=b'',
            started_s=now_s,
            holding_rank=state.rank,
            held_step=state.held,
            arm_in_flight=set() if is_own_unarmed else set(self._rank_info),
        )
        self.phase = rebalancer_types.Phase.SETTLING

    def _begin_planning(
        self, states: dict[int, ranks.RankState]
    ) -> rebalancer_types.Effects:
        """Begin to plan the next map."""
        self._planning = rebalancer_types.Planning(
            planner=placement.MapPlanner(
                [
                    [
                        states[rank].layout[index].experts
                        for rank in sorted(states)
                    ]
                    for index in range(len(self.demand.loads_by_set))
                ],
                self.demand.loads_by_set,
                self._make_limits(),
                [states[rank].pace for rank in sorted(states)],
            ),
            epoch=states[0].epoch,
            version=states[0].version,
        )
        yield rebalancer_types.ContinuePlanning()

    def continue_planning(self, now_s: float) -> rebalancer_types.Effects:
        """Plan one more set of layers, and begin a switch after the last one.

        The plan is dropped if the map or the epoch changed meanwhile.
        """
        planning = self._planning
        if planning is None:
            return
        plans = planning.planner.plan_next()
        if plans is None:
            yield rebalancer_types.ContinuePlanning()
            return
        self._planning = None
        states = self._get_fresh_states(now_s)
        if (
            self.phase is not rebalancer_types.Phase.IDLE
            or states is None
            or not rank_states.are_ranks_in_sync(states)
            or states[0].epoch != planning.epoch
            or states[0].version != planning.version
        ):
            self._next_plan_s = now_s + const.PLAN_PAUSE_AFTER_PARTIAL_S
            return
        yield from self._begin_switch(states, plans, now_s)

    def _begin_switch(
        self,
        states: dict[int, ranks.RankState],
        plans: list[placement.SetPlan],
        now_s: float,
    ) -> rebalancer_types.Effects:
        """Begin a switch to a new map if that shortens the passes enough."""
        speedup = self._estimate_speedup(plans)
        self._next_plan_s = now_s + const.PLAN_PAUSE_S
        if speedup < const.MIN_SPEEDUP:
            return
        self._highest_version += 1
        switch = rebalancer_types.Switch(
            epoch=states[0].epoch,
            version=self._highest_version,
            packed_map=ranks.pack_map([plan.layout for plan in plans]),
            started_s=now_s,
            is_partial=any(plan.is_partial for plan in plans),
        )
        self._switch = switch
        self.phase = rebalancer_types.Phase.PREPARING
        yield rebalancer_types.ReportEvent(
            event='switch begins',
            version=switch.version,
            gain=speedup,
            moves=sum(plan.moves for plan in plans),
        )
        order = self._make_order(
            ranks.OrderKind.PREPARE,
            version=switch.version,
            packed_map=switch.packed_map,
        )
        for rank in states:
            yield self._send_order(rank, order, now_s)

    def _make_limits(self) -> placement.Limits:
        spec = self._engine_spec
        max_copies = sys.maxsize
        if spec.copy_s:
            max_copies = max(1, int(const.MAX_COPY_TIME_S / spec.copy_s))
        return placement.Limits(
            slots_per_rank=spec.slots_per_rank,
            spare_slots=spec.spare_slots,
            max_copies=max_copies,
        )

    def _estimate_speedup(self, plans: list[placement.SetPlan]) -> float:
        """Return the factor by which passes are expected to become shorter."""
        share = self._engine_spec.expert_share
        peak_before = sum(plan.peak_before for plan in plans) / len(plans)
        peak_after = sum(plan.peak_after for plan in plans) / len(plans)
        return (1 - share + share * peak_before) / (
            1 - share + share * peak_after
        )

    def _send_new_order(
        self,
        rank: int,
        kind: ranks.OrderKind,
        now_s: float,
        *,
        version: int = 0,
        step: int = 0,
        packed_map: bytes = b'',
    ) -> rebalancer_types.SendOrder:
        order = self._make_order(
            kind, version=version, step=step, packed_map=packed_map
        )
        return self._send_order(rank, order, now_s)

    def _make_order(
        self,
        kind: ranks.OrderKind,
        *,
        version: int = 0,
        step: int = 0,
        packed_map: bytes = b'',
    ) -> ranks.RankOrder:
        """Make an order, which may go to one rank or to several."""
        assert self._switch is not None
        order = ranks.RankOrder(
            order=self._next_order_id,
            kind=kind,
            epoch=self._switch.epoch,
            version=version,
            step=step,
            packed_map=packed_map,
        )
        self._next_order_id += 1
        return order

    def _send_order(
        self,
        rank: int,
        order: ranks.RankOrder,
        now_s: float,
        attempts: int = 1,
    ) -> rebalancer_types.SendOrder:
        """Return the effect that sends an order, and record it as pending.

        An order to a rank whose agent is silent is relayed, each second
        attempt goes to the agent.
        """
        is_relayed = rank in self._silent_ranks and attempts % 2 == 1
        self._pending[order.order, rank] = rebalancer_types.PendingOrder(
            rank=rank,
            order=order,
            sent_s=now_s,
            attempts=attempts,
            is_relayed=is_relayed,
        )
        return rebalancer_types.SendOrder(
            target=self._rank_info[rank].state.target,
            rank=rank,
            order=order,
            is_relayed=is_relayed,
        )

    def _resend_order(
        self, pending: rebalancer_types.PendingOrder, now_s: float
    ) -> rebalancer_types.SendOrder:
        """Send an order again that the rank may or may not have received.

        If the first one arrives late, the rank refuses it: the rank has had
        its version, or the order's pass has begun.
        """
        order = self._make_order(
            pending.order.kind,
            version=pending.order.version,
            step=pending.order.step,
            packed_map=pending.order.packed_map,
        )
        return self._send_order(
            pending.rank, order, now_s, pending.attempts + 1
        )

    def _has_pending_order(self, rank: int) -> bool:
        return any(pending.rank == rank for pending in self._pending.values())

    def _handle_outcome(
        self,
        pending: rebalancer_types.PendingOrder,
        outcome: ranks.Outcome,
        now_s: float,
    ) -> rebalancer_types.Effects:
        match self.phase:
            case rebalancer_types.Phase.PREPARING:
                yield from self._handle_prepare_outcome(
                    pending, outcome, now_s
                )
            case rebalancer_types.Phase.HOLDING:
                yield from self._handle_hold_outcome(pending, outcome, now_s)
            case rebalancer_types.Phase.ARMING:
                yield from self._handle_arm_outcome(pending, outcome, now_s)
            case _:
                # The rank's state after the order decides what to do next.
                return

    def _handle_prepare_outcome(
        self,
        pending: rebalancer_types.PendingOrder,
        outcome: ranks.Outcome,
        now_s: float,
    ) -> rebalancer_types.Effects:
        """Give up the switch if a rank fails to prepare it.

        If an order to prepare arrives late, it does no harm: its version is
        no longer higher than those that the rank has had.
        """
        if outcome is ranks.Outcome.DONE:
            return
        if pending.order.kind is not ranks.OrderKind.PREPARE:
            return
        if _may_resend(pending, outcome):
            yield self._resend_order(pending, now_s)
            return
        if pending.attempts > 1 and outcome is ranks.Outcome.REFUSED:
            # The rank has received an earlier attempt; its state tells how
            # far it has come.
            return
        yield rebalancer_types.ReportEvent(
            event='switch not prepared',
            version=pending.order.version,
            detail=f'rank {pending.rank}: {outcome}',
        )
        self._end_switch(now_s, const.PLAN_PAUSE_AFTER_FAILURE_S)

    def _check_prepared(self, now_s: float) -> rebalancer_types.Effects:
        """Have the group held once all ranks have prepared the map."""
        switch = self._switch
        assert switch is not None
        if now_s - switch.started_s > const.PREPARE_TIMEOUT_S:
            yield rebalancer_types.ReportEvent(
                event='switch too slow', version=switch.version
            )
            self._end_switch(now_s, const.PLAN_PAUSE_AFTER_FAILURE_S)
            return
        states = self._get_fresh_states(now_s)
        if states is None or self._pending:
            return
        if any(state.prepared != switch.version for state in states.values()):
            return
        switch.held_step = self._choose_hold_step(states)
        self.phase = rebalancer_types.Phase.HOLDING
        yield self._send_new_order(
            switch.holding_rank,
            ranks.OrderKind.HOLD,
            now_s,
            step=switch.held_step,
        )

    def _choose_hold_step(self, states: dict[int, ranks.RankState]) -> int:
        """Return a coming step that no other hold has used or will use."""
        step = (
            max(state.step for state in states.values())
            + const.HOLD_MARGIN_STEPS
        )
        step = max(step, self._last_hold_step + 1)
        step += (self._step_residue - step) % const.HOLD_STEP_MODULUS
        self._last_hold_step = step
        return step

    def _handle_hold_outcome(
        self,
        pending: rebalancer_types.PendingOrder,
        outcome: ranks.Outcome,
        now_s: float,
    ) -> rebalancer_types.Effects:
        """Arm all ranks once the group is held, or try a later step."""
        switch = self._switch
        assert switch is not None
        if self._rank_info[switch.holding_rank].state.held == switch.held_step:
            outcome = ranks.Outcome.DONE
        elif _may_resend(pending, outcome):
            yield self._resend_order(pending, now_s)
            return
        switch.hold_attempts += 1
        is_late = outcome is ranks.Outcome.REFUSED
        if is_late and pending.is_relayed:
            # The rank also refuses it if it holds already, by the copy that
            # its own agent had. No rank was told to arm for this step.
            yield self._send_release(now_s)
        if is_late and switch.hold_attempts < const.MAX_HOLD_ATTEMPTS:
            self.phase = rebalancer_types.Phase.PREPARING
            return
        if outcome is not ranks.Outcome.DONE:
            # If the hold takes effect late, it is found as a stray hold.
            self._unarmed_hold_steps.add(switch.held_step)
            yield rebalancer_types.ReportEvent(
                event='switch not held',
                version=switch.version,
                detail=str(outcome),
            )
            self._end_switch(now_s, const.PLAN_PAUSE_AFTER_FAILURE_S)
            return
        self.phase = rebalancer_types.Phase.ARMING
        switch.arm_in_flight = set(self._rank_info)
        order = self._make_order(
            ranks.OrderKind.ARM, version=switch.version, step=switch.held_step
        )
        for rank in self._rank_info:
            yield self._send_order(rank, order, now_s)

    def _handle_arm_outcome(
        self,
        pending: rebalancer_types.PendingOrder,
        outcome: ranks.Outcome,
        now_s: float,
    ) -> rebalancer_types.Effects:
        """Release the hold once all ranks are armed; settle if one isn't."""
        switch = self._switch
        assert switch is not None
        # After a resend or a relay, an earlier order may still be on its way.
        if (
            outcome is not ranks.Outcome.UNKNOWN
            and pending.attempts == 1
            and not pending.is_relayed
        ):
            switch.arm_in_flight.discard(pending.rank)
        is_armed = self._rank_info[pending.rank].state.armed == switch.version
        if is_armed or outcome is ranks.Outcome.DONE:
            switch.armed_ranks.add(pending.rank)
            if len(switch.armed_ranks) == len(self._rank_info):
                self.phase = rebalancer_types.Phase.RELEASING
                yield self._send_release(now_s)
            return
        if _may_resend(pending, outcome):
            yield self._resend_order(pending, now_s)
            return
        yield rebalancer_types.ReportEvent(
            event='switch not armed',
            version=switch.version,
            step=switch.held_step,
            detail=f'rank {pending.rank}: {outcome}',
        )
        self.phase = rebalancer_types.Phase.SETTLING

    def _send_release(self, now_s: float) -> rebalancer_types.SendOrder:
        switch = self._switch
        assert switch is not None
        return self._send_new_order(
            switch.holding_rank,
            ranks.OrderKind.RELEASE,
            now_s,
            step=switch.held_step,
        )

    def _check_released(self, now_s: float) -> rebalancer_types.Effects:
        """End the switch once the hold is released."""
        switch = self._switch
        assert switch is not None
        holder = self._rank_info[switch.holding_rank]
        if holder.state.held == switch.held_step:
            yield from self._resend_release(holder, now_s)
            return
        if holder.state.held == ranks.NOT_HELD and not self._pending:
            yield rebalancer_types.ReportEvent(
                event='switch released',
                version=switch.version,
                step=switch.held_step,
            )
            pause_s = const.PLAN_PAUSE_S
            if switch.is_partial:
                pause_s = const.PLAN_PAUSE_AFTER_PARTIAL_S
            self._end_switch(now_s, pause_s)

    def _resend_release(
        self, holder: rebalancer_types.RankInfo, now_s: float
    ) -> rebalancer_types.Effects:
        """Release a hold again whose release order was lost.

        It was lost if a state received just now shows the hold while no order
        is pending.
        """
        if (
            self._has_pending_order(holder.state.rank)
            or holder.received_s < now_s
        ):
            return
        yield self._send_release(now_s)

    def _settle(self, now_s: float) -> rebalancer_types.Effects:
        """Bring the ranks to a state in which the hold may be released.

        Either all ranks are armed with one version, or none is armed and none
        can become armed any more.
        """
        switch = self._switch
        assert switch is not None
        states = self._get_fresh_states(now_s)
        if states is None:
            return
        if (
            states[switch.holding_rank].held != switch.held_step
            and not self._pending
        ):
            yield rebalancer_types.ReportEvent(
                event='hold is gone', step=switch.held_step
            )
            self._end_switch(now_s, const.PLAN_PAUSE_S)
            return
        armed_versions = {state.armed for state in states.values()}
        if len(armed_versions) == 1 and 0 not in armed_versions:
            yield from self._release_settled('switch completed', now_s)
            return
        orders = list(self._settle_ranks(states, now_s))
        yield from orders
        if not orders and not self._pending:
            yield from self._release_settled('switch taken back', now_s)

    def _release_settled(
        self, event: str, now_s: float
    ) -> rebalancer_types.Effects:
        """Report how the ranks were settled, and release the hold."""
        switch = self._switch
        assert switch is not None
        self.phase = rebalancer_types.Phase.RELEASING
        yield rebalancer_types.ReportEvent(event=event, step=switch.held_step)
        yield self._send_release(now_s)

    def _settle_ranks(
        self, states: dict[int, ranks.RankState], now_s: float
    ) -> rebalancer_types.Effects:
        """Disarm versions and invalidate orders to arm, where needed."""
        switch = self._switch
        assert switch is not None
        for rank, state in states.items():
            if self._has_pending_order(rank):
                continue
            if state.armed:
                if rank_states.is_unarmable(state.armed, states):
                    yield self._send_new_order(
                        rank,
                        ranks.OrderKind.DISARM,
                        now_s,
                        version=state.armed,
                    )
            elif rank in switch.arm_in_flight and self._may_still_arm(state):
                yield self._supersede_prepared(rank, now_s)

    def _may_still_arm(self, state: ranks.RankState) -> bool:
        """Return whether a rank may still carry out an order to arm.

        No order to arm is ever sent for a version that this coordinator
        prepared at the rank only to supersede another.
        """
        return (
            bool(state.prepared)
            and state.prepared not in self._superseding_versions
        )

    def _supersede_prepared(
        self, rank: int, now_s: float
    ) -> rebalancer_types.SendOrder:
        """Prepare a later version at a rank, to invalidate orders to arm.

        Its map is the one in force, so that the rank copies nothing.
        """
        self._highest_version += 1
        self._superseding_versions.add(self._highest_version)
        return self._send_new_order(
            rank,
            ranks.OrderKind.PREPARE,
            now_s,
            version=self._highest_version,
            packed_map=self._make_current_map(),
        )

    def _make_current_map(self) -> bytes:
        """Return the map in force, for which no rank has to copy anything."""
        infos = [self._rank_info[rank] for rank in sorted(self._rank_info)]
        sets = len(infos[0].state.layout)
        return ranks.pack_map(
            [
                [info.state.layout[index].experts for info in infos]
                for index in range(sets)
            ]
        )


# While in these phases, the group may be held.
_HELD_PHASES = frozenset(
    (
        rebalancer_types.Phase.HOLDING,
        rebalancer_types.Phase.ARMING,
        rebalancer_types.Phase.RELEASING,
        rebalancer_types.Phase.SETTLING,
    )
)


def _may_resend(
    pending: rebalancer_types.PendingOrder, outcome: ranks.Outcome
) -> bool:
    return (
        outcome is ranks.Outcome.UNKNOWN
        and pending.attempts < const.MAX_ORDER_ATTEMPTS
    )
