"""Manage the model groups while this control replica is the leader."""

import collections.abc
import functools
import typing

import structlog

from bambooring.experts import rebalancer_types
from bambooring.experts import rebalancing
from bambooring.gateway import slowdowns
from bambooring import metrics
from bambooring.targets import messages as targets
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import frames
from bambooring_core import links
from bambooring_core.ranks import messages as ranks
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

TICK_INTERVAL_S: typing.Final = 0.05

GetEngineSpec = collections.abc.Callable[
    [str], rebalancer_types.EngineSpec | None
]
FindRank = collections.abc.Callable[[str, int], targets.Target | None]


class GroupManager:
    """Run one rebalancer for each model group.

    Send the rebalancers' orders to the agents of the ranks, and report
    slow ranks to the entry instances.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        get_agent_links: collections.abc.Callable[[], list[links.Link]],
        get_term: collections.abc.Callable[[], int],
        get_engine_spec: GetEngineSpec,
        find_rank: FindRank,
        get_entry_links: collections.abc.Callable[[], list[links.Link]],
    ) -> None:
        self._reactor = reactor
        self._get_agent_links = get_agent_links
        self._get_term = get_term
        self._get_engine_spec = get_engine_spec
        self._find_rank = find_rank
        self._relay_count = 0
        self._rebalancers: dict[str, rebalancing.Rebalancer] = {}
        self._term = 0
        self._sent_leadership: ranks.Attendance | None = None
        self._slowdown_reporter = slowdowns.SlowdownReporter(get_entry_links)

    def update_leadership(self, is_leader: bool, controls: list[str]) -> None:
        """Tell the agents about a change of the leader or the replicas.

        The groups are forgotten whenever this replica begins to lead in a
        new term or no longer leads.

        :param is_leader: whether this replica is the leader
        :param controls: the link addresses of the control replicas
        """
        term = self._get_term() if is_leader else 0
        if term != self._term:
            self._term = term
            self._rebalancers.clear()
            self._slowdown_reporter.reset()
        leadership = ranks.Attendance(is_leader=is_leader, controls=controls)
        if leadership != self._sent_leadership:
            self._sent_leadership = leadership
            for link in self._get_agent_links():
                link.send(leadership)

    def greet_agent(self, link: links.Link) -> None:
        """Tell a newly linked agent who leads and where the replicas are."""
        if self._sent_leadership is not None:
            link.send(self._sent_leadership)

    def tick(self) -> None:
        """Run the timed work of each rebalancer and report slow ranks."""
        now_s = self._reactor.now()
        for rebalancer in self._rebalancers.values():
            self._carry_out(rebalancer, rebalancer.tick(now_s))
            self._slowdown_reporter.report(
                rebalancer.group, rebalancer.list_slowdowns(), now_s
            )

    def handle_message(self, link: links.Link, message: typing.Any) -> bool:
        """Handle an agent's message.

        :returns: False if the message is not one that an agent sends
        """
        now_s = self._reactor.now()
        match message:
            case ranks.RankState():
                self._update_rebalancer(message, 'take_state', message, now_s)
            case ranks.RankOrderDone():
                self._update_rebalancer(
                    message.state, 'take_done', message, now_s
                )
            case ranks.RelayedOrderDone():
                rebalancer = self._rebalancers.get(message.group)
                if rebalancer is not None:
                    self._carry_out(
                        rebalancer,
                        rebalancer.take_relayed_done(message, now_s),
                    )
            case ranks.RankDemand():
                self._record_demand(message, now_s)
            case _:
                return False
        return True

    def _record_demand(self, demand: ranks.RankDemand, now_s: float) -> None:
        rebalancer = self._rebalancers.get(demand.group)
        if rebalancer is None:
            return
        try:
            rebalancer.demand.add(demand, now_s)
        except core_errors.FrameError as error:
            LOG.warning(
                'expert demand unreadable',
                target=demand.target,
                error=str(error),
            )

    def _update_rebalancer(
        self,
        state: ranks.RankState,
        method_name: str,
        message: typing.Any,
        now_s: float,
    ) -> None:
        """Pass a rank's message to its group's rebalancer.

        :param state: the rank's state
        :param method_name: the rebalancer's method that handles the message
        :param message: the message
        :param now_s: the current time in seconds
        """
        rebalancer = self._get_or_create_rebalancer(state)
        if rebalancer is None:
            return
        apply_report = functools.partial(
            getattr(rebalancer, method_name), message
        )
        self._carry_out(rebalancer, apply_report(now_s))

    def _get_or_create_rebalancer(
        self, state: ranks.RankState
    ) -> rebalancing.Rebalancer | None:
        """Return the rebalancer of a rank's group.

        :returns: None if this replica is not the leader, or if the service's
            engines have no experts
        """
        if not self._term:
            return None
        rebalancer = self._rebalancers.get(state.group)
        if rebalancer is not None:
            return rebalancer
        engine_spec = self._get_engine_spec(state.service)
        if engine_spec is None:
            return None
        rebalancer = rebalancing.Rebalancer(
            group=state.group, term=self._term, engine_spec=engine_spec
        )
        self._rebalancers[state.group] = rebalancer
        LOG.info('leading model group', group=state.group, term=self._term)
        return rebalancer

    def _carry_out(
        self,
        rebalancer: rebalancing.Rebalancer,
        effects: rebalancer_types.Effects,
    ) -> None:
        links_by_name: dict[str, links.Link] | None = None
        encoder = _OrderEncoder()
        for effect in effects:
            match effect:
                case rebalancer_types.SendOrder():
                    if links_by_name is None:
                        links_by_name = {
                            agent.name: agent
                            for agent in self._get_agent_links()
                        }
                    link = links_by_name.get(effect.target)
                    metrics.RANK_ORDERS.labels(kind=effect.order.kind).inc()
                    if effect.is_relayed:
                        self._relay_order(
                            rebalancer.group, effect, links_by_name
                        )
                    elif link is not None:
                        link.send_frame(encoder.encode(effect.order))
                case rebalancer_types.ContinuePlanning():
                    self._reactor.call_later(
                        0.0,
                        functools.partial(self._continue_planning, rebalancer),
                    )
                case rebalancer_types.ReportEvent():
                    metrics.MAP_SWITCH_EVENTS.labels(event=effect.event).inc()
                    LOG.info(
                        effect.event,
                        group=rebalancer.group,
                        term=self._term,
                        version=effect.version,
                        step=effect.step,
                        gain=round(effect.gain, 3),
                        moves=effect.moves,
                        detail=effect.detail,
                    )

    def _continue_planning(self, rebalancer: rebalancing.Rebalancer) -> None:
        """Go on with a plan, unless this replica no longer leads the group."""
        if self._rebalancers.get(rebalancer.group) is rebalancer:
            self._carry_out(
                rebalancer, rebalancer.continue_planning(self._reactor.now())
            )

    def _relay_order(
        self,
        group: str,
        effect: rebalancer_types.SendOrder,
        links_by_name: dict[str, links.Link],
    ) -> None:
        """Have the agent of another rank send an order to a rank's engine.

        Agents of the engine's failure domain are preferred, and each relayed
        order goes to the next of them, because any of them may be silent too.
        """
        target = self._find_rank(group, effect.rank)
        others = [
            link
            for name, link in sorted(links_by_name.items())
            if name != effect.target
        ]
        if target is None or not others:
            LOG.info(
                'order not relayed',
                group=group,
                rank=effect.rank,
                order=effect.order.order,
                agents=len(others),
            )
            return
        near = [
            link
            for link in others
            if link.peer is not None
            and link.peer.failure_domain == target.failure_domain
        ]
        candidates = near or others
        self._relay_count += 1
        relay = candidates[self._relay_count % len(candidates)]
        metrics.RELAYED_RANK_ORDERS.labels(kind=effect.order.kind).inc()
        LOG.info(
            'order relayed',
            group=group,
            rank=effect.rank,
            order=effect.order.order,
            kind=effect.order.kind,
            relay=relay.name,
            address=target.address,
        )
        relay.send(
            ranks.RelayOrder(
                address=target.address,
                target=target.id,
                group=group,
                rank=effect.rank,
                order=effect.order,
            )
        )


class _OrderEncoder:
    """Encode an order to many ranks only once, as its expert map is large."""

    def __init__(self) -> None:
        self._order: ranks.RankOrder | None = None
        self._frame = b''

    def encode(self, order: ranks.RankOrder) -> bytes:
        """Return an order's frame, cached while the order is the same."""
        if order is not self._order:
            self._order = order
            self._frame = frames.encode(order)
        return self._frame


def list_agent_links(hub: links.Hub) -> list[links.Link]:
    """Return the links to agents."""
    return hub.get_links(core_const.ROLE_AGENT)
