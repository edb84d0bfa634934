"""Decide when a request leaves its failure domain, and for which other one.

The load of a failure domain is what its callers have running and waiting,
wherever it runs. It doesn't change with what this or another domain decides,
so the decisions of the domains don't make each other oscillate. The level of
all domains is the total load per slot. A domain above it sends away what it
can't serve as well as the others, and only domains below it receive: no domain
does both, and what all of them send fits into the room below the level.

A sending domain keeps so much above the level that its wait for a slot is
longer than at the level by no more than leaving costs: the round trip to the
other domain and the price of the bytes. So equal domains send each other
nothing.

A request that stays may still find all slots of its domain taken. It leaves
for a free slot elsewhere once waiting costs it more than leaving.

Targets of a model group are left to ``Balancer``, since the ranks run in
lock-step: one more request on the most loaded rank delays each pass of all
ranks. Only ties between its ranks are decided here (``weigh_tie``).
"""

import collections.abc
import dataclasses
import math
import random
import typing

from bambooring.balancing import const
from bambooring.loads import peers
from bambooring.loads import state as loads_state
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class DomainView:
    """What is known of a service in one failure domain.

    ``capacity`` is the number of slots of usable targets, fewer if they are
    slow. ``demand`` counts the requests that callers of the domain's entry
    instances have running or waiting. It is unknown if ``is_known`` is false.
    """

    capacity: float = 0.0
    demand: float = 0.0
    is_known: bool = True


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Which part of a service's requests leaves the own failure domain.

    ``weights`` has the part of these that each other domain gets. ``views`` is
    what the plan was made from at ``updated_s``, ``logged_share`` the share
    that was last logged.
    """

    share: float = 0.0
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    views: dict[str, DomainView] = dataclasses.field(default_factory=dict)
    updated_s: float = -math.inf
    logged_share: float = 0.0

    def draw_domain(self, own_domain: str, rng: random.Random) -> str:
        """Draw the failure domain that a request is sent to."""
        if not self.share or rng.random() >= self.share:
            return own_domain
        domains = list(self.weights)
        return rng.choices(domains, list(self.weights.values()))[0]


@dataclasses.dataclass(slots=True, kw_only=True)
class ShareChange:
    """A material change of the share that leaves, with what it rests on."""

    service: str
    share: float
    weights: dict[str, float]
    views: dict[str, DomainView]
    price_s: float
    report_age_s: float


# A target that has room, and what all instances have running there.
LoadedTarget: typing.TypeAlias = tuple[targets.Target, peers.RunningLoad]


def compute_wait_s(
    load_per_slot: float, slots: float, duration_s: float
) -> float:
    """Return the mean wait for a slot in a failure domain.

    Below saturation it is Sakasegawa's estimate for a queue with several
    servers; above it, each further request per slot waits for a whole one.

    :param load_per_slot: running and waiting requests per slot
    :param slots: the number of slots
    :param duration_s: the mean duration of a request
    """
    slots = max(1.0, slots)
    stable = min(load_per_slot, const.SATURATED_LOAD)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    wait_s = duration_s * stable**exponent / (slots * (1 - stable))
    return wait_s + duration_s * max(0.0, load_per_slot - stable)


def compute_leaving(
    own_domain: str,
    views: collections.abc.Mapping[str, DomainView],
    *,
    duration_s: float,
    price_s: float,
) -> tuple[float, dict[str, float]]:
    """Return which part of the requests should leave, and for where.

    :param own_domain: the own failure domain
    :param views: the failure domains; unknown ones get and send nothing
    :param duration_s: the mean duration of a request
    :param price_s: what leaving costs a request, in seconds of waiting
    :returns: the share of the requests, and by domain the part of that share
    """
    known = {
        domain: view
        for domain, view in views.items()
        if view.is_known or domain == own_domain
    }
    own = known.get(own_domain, DomainView())
    capacity = sum(view.capacity for view in known.values())
    if not own.demand or not capacity:
        return 0.0, {}
    mean = sum(view.demand for view in known.values()) / capacity
    rooms = {
        domain: room
        for domain, view in known.items()
        if domain != own_domain
        and (room := mean * view.capacity - view.demand) > 0
    }
    if not rooms:
        return 0.0, {}
    kept = 0.0
    if own.capacity:
        level = _solve_level(mean, own.capacity, duration_s, price_s)
        kept = level * own.capacity
    share = max(0.0, own.demand - kept) / own.demand
    total = sum(rooms.values())
    return share, {domain: room / total for domain, room in rooms.items()}


def _solve_level(
    mean: float, slots: float, duration_s: float, price_s: float
) -> float:
    """Return the load per slot above which leaving costs less than waiting.

    :param mean: the load per slot of all failure domains
    :param slots: the number of slots in the own one
    :param duration_s: the mean duration of a request
    :param price_s: what leaving costs a request, in seconds of waiting
    """
    wait_s = compute_wait_s(mean, slots, duration_s) + price_s
    low, high = mean, mean + 1.0 + price_s / max(duration_s, 1e-3)
    for _ in range(const.LEVEL_STEPS):
        middle = (low + high) / 2
        if compute_wait_s(middle, slots, duration_s) < wait_s:
            low = middle
        else:
            high = middle
    return high


def weigh_tie(tokens: int, is_away: bool) -> float:
    """Return what decides between ranks of a group with the same load.

    It is less than one request: an uneven group delays all its ranks.

    :param tokens: the tokens that a rank has still to read
    :param is_away: whether the rank is in another failure domain
    :returns: a part of a request
    """
    factor = tokens / const.GROUP_TIE_TOKENS + is_away
    if factor > const.MAX_TIE_FACTOR:
        factor = const.MAX_TIE_FACTOR
    return const.GROUP_TIE_TOLERANCE * factor


class Spill:
    """Keep the plans of all services, as one entry instance makes them."""

    def __init__(self, failure_domain: str, byte_cost_s_per_mb: float) -> None:
        self._failure_domain = failure_domain
        self._byte_cost_s_per_mb = byte_cost_s_per_mb
        self._domains_by_address: dict[str, str] = {}
        self._instance_domains: set[str] = set()
        self._plans: dict[str, Plan] = {}
        # By service: the mean size of a request and its response, in bytes.
        self._mean_bytes: dict[str, float] = {}
        # By service and failure domain of the target.
        self._durations_s: dict[tuple[str, str], float] = {}
        self._changes: list[ShareChange] = []

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the other entry instances.

        :param domains_by_address: the failure domain of each link address
        """
        self._domains_by_address = dict(domains_by_address)
        self._instance_domains = set(domains_by_address.values())

    def record_response(
        self, target: targets.Target, duration_s: float, size_bytes: int
    ) -> None:
        """Record a complete response.

        :param target: the target
        :param duration_s: how long the request took there, in seconds
        :param size_bytes: the size of the request and its response
        """
        key = target.service, target.failure_domain
        mean_s = self._durations_s.get(key, duration_s)
        mean_s += const.SPILL_EWMA_WEIGHT * (duration_s - mean_s)
        self._durations_s[key] = mean_s
        mean = self._mean_bytes.get(target.service, size_bytes)
        mean += const.SPILL_EWMA_WEIGHT * (size_bytes - mean)
        self._mean_bytes[target.service] = mean

    def list_shares(
        self,
    ) -> collections.abc.Iterator[tuple[str, float]]:
        """Yield each service and the share of its requests that leaves."""
        for service, plan in self._plans.items():
            yield service, plan.share

    def _get_price_s(self, service: str, request_bytes: int = 0) -> float:
        """Return what leaving costs a request, in seconds of waiting."""
        size = max(request_bytes, self._mean_bytes.get(service, 0.0))
        return 2 * const.DOMAIN_DELAY_S + self._byte_cost_s_per_mb * size / 1e6

    def is_due(self, service: str, now_s: float) -> bool:
        """Return whether a service's plan is to be made anew."""
        plan = self._plans.get(service)
        return plan is None or now_s - plan.updated_s >= const.SPILL_INTERVAL_S

    def update(
        self,
        service: str,
        slots_by_target: collections.abc.Iterable[
            tuple[targets.Target, float]
        ],
        loads: loads_state.ClusterLoads,
        *,
        own_demand: float,
        duration_s: float,
        now_s: float,
    ) -> None:
        """Make the plan of a service anew.

        :param service: the service's name
        :param slots_by_target: the usable targets and their effective slots
        :param loads: what the other instances report
        :param own_demand: the requests that run or wait for this instance
        :param duration_s: the mean duration of a request
        :param now_s: the current time in seconds
        """
        plan = self._plans.setdefault(service, Plan())
        plan.views = self._make_views(
            service, slots_by_target, loads, own_demand
        )
        price_s = self._get_price_s(service)
        share, weights = compute_leaving(
            self._failure_domain,
            plan.views,
            duration_s=duration_s,
            price_s=price_s,
        )
        self._smooth(plan, share, weights, now_s)
        if _is_material(plan.logged_share, plan.share):
            plan.logged_share = plan.share
            if len(self._changes) < const.MAX_SHARE_CHANGES:
                self._changes.append(
                    ShareChange(
                        service=service,
                        share=plan.share,
                        weights=dict(plan.weights),
                        views=plan.views,
                        price_s=price_s,
                        report_age_s=loads.get_oldest_age_s(now_s),
                    )
                )

    def _make_views(
        self,
        service: str,
        slots_by_target: collections.abc.Iterable[
            tuple[targets.Target, float]
        ],
        loads: loads_state.ClusterLoads,
        own_demand: float,
    ) -> dict[str, DomainView]:
        """Return what is known of the service in each failure domain."""
        views: dict[str, DomainView] = {self._failure_domain: DomainView()}
        target_ids = set()
        for target, slots in slots_by_target:
            target_ids.add(target.id)
            view = views.setdefault(target.failure_domain, DomainView())
            view.capacity += slots / self._get_slowness(service, target)
        for domain in self._instance_domains - {''}:
            view = views.setdefault(domain, DomainView())
            view.is_known = domain == self._failure_domain
        views[self._failure_domain].demand += own_demand
        unknown_demand = 0.0
        for source, demand in loads.list_demand(service, target_ids):
            domain = self._domains_by_address.get(source, source)
            if domain in views:
                views[domain].demand += demand
                views[domain].is_known = True
            else:
                unknown_demand += demand
        # Demand of an unknown domain counts everywhere alike.
        capacity = sum(view.capacity for view in views.values())
        for view in views.values():
            if capacity:
                view.demand += unknown_demand * view.capacity / capacity
        return views

    def _get_slowness(self, service: str, target: targets.Target) -> float:
        """Return how many times longer requests take in a target's domain.

        Small differences are noise.
        """
        duration_s = self._durations_s.get((service, target.failure_domain))
        if not duration_s:
            return 1.0
        fastest_s = min(
            mean_s
            for (name, _), mean_s in self._durations_s.items()
            if name == service
        )
        ratio = duration_s / max(fastest_s, 1e-6)
        return ratio if ratio >= const.MIN_SLOWNESS else 1.0

    def _smooth(
        self,
        plan: Plan,
        share: float,
        weights: dict[str, float],
        now_s: float,
    ) -> None:
        """Move a plan towards a computed share.

        A small share counts as none, a smaller one if requests leave already.
        The share in use only approaches 0, so it ends at half of the latter.
        """
        threshold = const.MIN_KEPT_SHARE if plan.share else const.MIN_NEW_SHARE
        if share < threshold:
            share = 0.0
        elapsed_s = now_s - plan.updated_s
        step = 1 - math.exp(-elapsed_s / const.SPILL_TIME_CONSTANT_S)
        plan.share += step * (share - plan.share)
        if weights:
            plan.weights = weights
        if not weights or plan.share < const.MIN_KEPT_SHARE / 2:
            plan.share = 0.0
        plan.updated_s = now_s

    def select(
        self,
        service: str,
        candidates: collections.abc.Iterable[targets.Target],
        loaded: list[LoadedTarget],
        *,
        request_bytes: int,
        waited_s: float,
        duration_s: float,
        rng: random.Random,
    ) -> list[LoadedTarget]:
        """Return the targets that a request may be sent to.

        :param service: the service's name
        :param candidates: all targets that may get the request
        :param loaded: those of them that have room
        :param request_bytes: the size of the request
        :param waited_s: how long the request has waited here
        :param duration_s: the mean duration of a request
        :param rng: random source
        """
        plan = self._plans.get(service)
        own_domain = self._failure_domain
        if plan is None or all(
            target.failure_domain != own_domain for target in candidates
        ):
            return loaded
        price_s = self._get_price_s(service, request_bytes)
        # A share is worth what it costs requests of about the mean size.
        is_large = price_s > const.LARGE_PRICE_RATIO * self._get_price_s(
            service
        )
        domain = plan.draw_domain(own_domain, rng)
        if domain != own_domain and not is_large:
            leaving = [
                item
                for item in loaded
                if item[0].failure_domain == domain and _has_free_slot(item)
            ]
            if leaving:
                return leaving
        own = [item for item in loaded if item[0].failure_domain == own_domain]
        wait_s = self._estimate_wait_s(plan, own, duration_s) + waited_s
        if wait_s <= price_s:
            return own
        return own + [
            item
            for item in loaded
            if item[0].failure_domain != own_domain
            and (not own or _has_free_slot(item))
            and wait_s > price_s + self._get_risk_s(plan, item[0], duration_s)
        ]

    def _estimate_wait_s(
        self, plan: Plan, own: list[LoadedTarget], duration_s: float
    ) -> float:
        """Return how long a request waits for a slot of its own domain."""
        if own:
            beyond_slots = min(
                (load.running + 1) / _get_slots(target) - 1
                for target, load in own
            )
            return max(0.0, beyond_slots) * duration_s
        view = plan.views.get(self._failure_domain, DomainView())
        waiting = max(0.0, view.demand - view.capacity)
        return duration_s * (waiting + 1) / max(1.0, view.capacity)

    def _get_risk_s(
        self, plan: Plan, target: targets.Target, duration_s: float
    ) -> float:
        """Return what it costs to send where nothing is known of the load.

        The targets may be full, or out of reach like the entry instances of
        their failure domain.
        """
        view = plan.views.get(target.failure_domain)
        return 0.0 if view is not None and view.is_known else duration_s

    def take_changes(self) -> list[ShareChange]:
        """Return the material changes since the last call."""
        changes, self._changes = self._changes, []
        return changes


def _is_material(logged: float, share: float) -> bool:
    """Return whether a share differs enough from the one last logged."""
    if bool(logged) != bool(share):
        return True
    return abs(share - logged) >= const.MATERIAL_SHARE_CHANGE


def _get_slots(target: targets.Target) -> int:
    return target.slots or const.DEFAULT_SLOTS_PER_TARGET


def _has_free_slot(item: LoadedTarget) -> bool:
    """Return whether a target runs fewer requests than it has slots."""
    target, load = item
    return load.running < _get_slots(target)
