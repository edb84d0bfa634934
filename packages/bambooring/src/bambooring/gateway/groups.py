"""Lead the model groups while this control replica leads."""

import collections.abc
import functools
import typing

import structlog

from bambooring.experts import rebalancer_types
from bambooring.experts import rebalancing
from bambooring.gateway import paces as paces_module
from bambooring import metrics
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import frames
from bambooring_core import links
from bambooring_core.ranks import messages as ranks
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

TICK_INTERVAL_S: typing.Final = 0.05

GetModel = collections.abc.Callable[[str], rebalancer_types.EngineSpec | None]


class GroupOffice:
    """Hold the groups' rebalancers and the links to their agents."""

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        get_agents: collections.abc.Callable[[], list[links.Link]],
        get_term: collections.abc.Callable[[], int],
        get_model: GetModel,
        get_entries: collections.abc.Callable[[], list[links.Link]],
    ) -> None:
        self._reactor = reactor
        self._get_agents = get_agents
        self._get_term = get_term
        self._get_model = get_model
        self._rebalancers: dict[str, rebalancing.Rebalancer] = {}
        self._term = 0
        self._attendance: ranks.Attendance | None = None
        self._paces = paces_module.PaceOffice(get_entries)

    def attend(self, is_leader: bool, controls: list[str]) -> None:
        """Tell the agents who leads, and forget the groups if it isn't us."""
        term = self._get_term() if is_leader else 0
        if term != self._term:
            self._term = term
            self._rebalancers.clear()
            self._paces.forget_all()
        attendance = ranks.Attendance(is_leader=is_leader, controls=controls)
        if attendance != self._attendance:
            self._attendance = attendance
            for link in self._get_agents():
                link.send(attendance)

    def link_up(self, link: links.Link) -> None:
        """Tell a new agent who leads."""
        if self._attendance is not None:
            link.send(self._attendance)

    def tick(self) -> None:
        """Do what is due by time alone."""
        now_s = self._reactor.now()
        for rebalancer in self._rebalancers.values():
            self._carry_out(rebalancer, rebalancer.tick(now_s))
            self._paces.tell(
                rebalancer.group, rebalancer.list_slowdowns(), now_s
            )

    def receive(self, link: links.Link, message: typing.Any) -> bool:
        """Handle an agent's message.

        :returns: whether it was one
        """
        now_s = self._reactor.now()
        match message:
            case ranks.RankState():
                self._handle(message, 'take_state', message, now_s)
            case ranks.RankOrderDone():
                self._handle(message.state, 'take_done', message, now_s)
            case ranks.RankDemand():
                self._take_demand(message, now_s)
            case _:
                return False
        return True

    def _take_demand(self, demand: ranks.RankDemand, now_s: float) -> None:
        rebalancer = self._rebalancers.get(demand.group)
        if rebalancer is None:
            return
        try:
            rebalancer.demand.add(demand, now_s)
        except core_errors.FrameError as error:
            LOG.warning(
                'demand unreadable', target=demand.target, error=str(error)
            )

    def _handle(
        self,
        state: ranks.RankState,
        method: str,
        message: typing.Any,
        now_s: float,
    ) -> None:
        rebalancer = self._find(state)
        if rebalancer is None:
            return
        take = functools.partial(getattr(rebalancer, method), message)
        self._carry_out(rebalancer, take(now_s))

    def _find(self, state: ranks.RankState) -> rebalancing.Rebalancer | None:
        if not self._term:
            return None
        found = self._rebalancers.get(state.group)
        if found is not None:
            return found
        model = self._get_model(state.service)
        if model is None:
            return None
        found = rebalancing.Rebalancer(
            group=state.group, term=self._term, engine_spec=model
        )
        self._rebalancers[state.group] = found
        LOG.info('group led', group=state.group, term=self._term)
        return found

    def _carry_out(
        self,
        rebalancer: rebalancing.Rebalancer,
        effects: rebalancer_types.Effects,
    ) -> None:
        by_name: dict[str, links.Link] | None = None
        encoder = _OrderEncoder()
        for effect in effects:
            match effect:
                case rebalancer_types.SendOrder():
                    if by_name is None:
                        by_name = {one.name: one for one in self._get_agents()}
                    link = by_name.get(effect.target)
                    metrics.RANK_ORDERS.labels(kind=effect.order.kind).inc()
                    if link is not None:
                        link.send_frame(encoder.encode(effect.order))
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


class _OrderEncoder:
    """Encode an order once that goes to many ranks; a map is large."""

    def __init__(self) -> None:
        self._order: ranks.RankOrder | None = None
        self._frame = b''

    def encode(self, order: ranks.RankOrder) -> bytes:
        """Return an order's frame."""
        if order is not self._order:
            self._order = order
            self._frame = frames.encode(order)
        return self._frame


def list_agents(hub: links.Hub) -> list[links.Link]:
    """Return the links to agents."""
    return hub.get_links(core_const.ROLE_AGENT)
