"""Spread requests evenly over a service's targets.

The load of a target is the number of requests that all entry instances have
running there: this instance counts its own, the others report theirs in
datagrams (``bambooring.loads``). The ranks of a model group run in lock-step,
so a rank with more requests than the others slows all of them down. Targets
are therefore compared by running requests per slot first. A rank reads prompts
one after the other, a part in each pass, so ties are broken by the tokens that
a target has still to read: they delay the first event of whatever comes behind
them.

What is known is in ``knowledge``; the decisions are in ``candidates``,
``choice`` and ``capacity``.
"""

import collections.abc
import random
import typing

from bambooring.balancing import bodies
from bambooring.balancing import capacity
from bambooring.balancing import choice
from bambooring.balancing import domains as domains_module
from bambooring.balancing import groups as groups_module
from bambooring.balancing import knowledge
from bambooring.balancing import messages
from bambooring.balancing import outcomes
from bambooring.balancing import peer_health as peer_health_module
from bambooring.balancing import permits as permits_module
from bambooring.balancing import pool as pool_module
from bambooring.balancing import reports
from bambooring.balancing import running as running_module
from bambooring.balancing import spill as spill_module
from bambooring.loads import state as loads_state
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module

# What the methods of ``Balancer`` return.
Choice: typing.TypeAlias = messages.Choice
ServiceCapacity: typing.TypeAlias = messages.ServiceCapacity
Room: typing.TypeAlias = messages.Room


class Balancer:
    """Choose targets by their load and health, as one instance knows them."""

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        *,
        known_domains: collections.abc.Iterable[str] = (),
        boot_clock: clock_module.Clock | None = None,
        own_address: str = '',
        shares_health: bool = False,
        prefers_own_domain: bool = False,
        byte_cost_s_per_mb: float = 0.0,
    ) -> None:
        self.loads = loads_state.ClusterLoads()
        self.peer_health: peer_health_module.PeerHealth | None = None
        if shares_health:
            self.peer_health = peer_health_module.PeerHealth(
                own_address, failure_domain, self.loads.suspicions
            )
        self.spill: spill_module.Spill | None = None
        if prefers_own_domain and failure_domain:
            self.spill = spill_module.Spill(failure_domain, byte_cost_s_per_mb)
        self.bodies = bodies.TargetBodies()
        self.cold = permits_module.ColdTargets(failure_domain, boot_clock)
        self.known = knowledge.Knowledge(
            failure_domain=failure_domain,
            rng=rng,
            pool=pool_module.TargetPool(known_domains),
            loads=self.loads,
            running=running_module.RunningRequests(self.loads),
            cold=self.cold,
            groups=groups_module.GroupTracker(self.cold),
            peer_health=self.peer_health,
            spill=self.spill,
        )
        self.rests = self.known.rests
        self.leaving = self.known.pool.leaving
        self._report_sequence = 0

    def set_targets(
        self, usable_targets: collections.abc.Iterable[targets.Target]
    ) -> None:
        """Replace the targets that take new work."""
        self.known.set_targets(usable_targets)

    def has_target(self, target: targets.Target) -> bool:
        """Return whether a run of a target takes new work.

        It may, although its failure domain is evacuated.
        """
        return self.known.pool.has_target(target)

    def set_evacuated_domains(
        self, domains: collections.abc.Iterable[str]
    ) -> None:
        """Replace the failure domains whose targets get no requests."""
        self.known.pool.domains.set_evacuated(domains)

    def is_evacuated(
        self, service: str, allowed_domains: domains_module.Domains = None
    ) -> bool:
        """Return whether a service lacks targets only by evacuations.

        :param service: the service's name
        :param allowed_domains: the failure domains whose targets count
        """
        return self.known.pool.is_evacuated(service, allowed_domains)

    def choose(
        self, query: messages.TargetQuery, now_s: float
    ) -> messages.Choice | None:
        """Return the target with the least load, or None if all are full.

        None is also returned while the service as a whole takes nothing.

        :param query: what the request needs
        :param now_s: the current time in seconds
        """
        return choice.choose_target(self.known, query, now_s)

    def measure_room(
        self, service: str, now_s: float, extra_requests: int = 0
    ) -> Room:
        """Return how much more a service's usable targets may run.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param extra_requests: how many requests a target may get beyond its
            slots
        """
        return capacity.measure_room(
            self.known, service, now_s, extra_requests
        )

    def get_capacity(
        self,
        service: str,
        now_s: float,
        allowed_domains: domains_module.Domains = None,
    ) -> ServiceCapacity:
        """Return a service's capacity, use and number of targets.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param allowed_domains: the failure domains whose targets count;
            requests that wait elsewhere count for all of them
        """
        return capacity.measure_capacity(
            self.known, service, now_s, allowed_domains
        )

    def get_rest_wait_s(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str] = (),
        allowed_domains: domains_module.Domains = None,
    ) -> float | None:
        """Return how long the first target still rests, if all of them do.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param excluded_ids: the ids of targets that aren't waited for
        :param allowed_domains: the failure domains whose targets count
        :returns: the time until then in seconds, None if one doesn't rest
        """
        return capacity.get_rest_wait_s(
            self.known, service, now_s, excluded_ids, allowed_domains
        )

    def is_recovering(self, service: str) -> bool:
        """Return whether a service's group opened again a moment ago."""
        limit = self.known.limits.find(service)
        return limit is not None and limit.is_recovering

    def update_slowdowns(
        self, group_paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Store the slowdowns of a group's ranks.

        :param group_paces: by rank, how many times longer than usual it takes
        :param now_s: the current time in seconds
        :returns: whether the slowdowns changed
        """
        return self.known.groups.update_slowdowns(group_paces, now_s)

    def record_event_gap(
        self, service: str, gap_s: float, accepted_gap_s: float
    ) -> None:
        """Record a gap between two events of a stream.

        :param service: the service's name
        :param gap_s: the gap in seconds
        :param accepted_gap_s: the longest gap that the caller accepts
        """
        self.known.limits.get(service).add_gap(gap_s, accepted_gap_s)

    def adjust_limits(self) -> dict[str, float]:
        """Adjust the concurrency limits of services with streams.

        To be called every ``const.LIMIT_ADJUST_INTERVAL_S``.

        :returns: by service, the limit per target where there is one
        """
        return self.known.limits.adjust(
            self.known.pool, self.known.running, self.loads
        )

    def count_running(self, target_id: str) -> int:
        """Return how many requests all instances have running at a target."""
        return self.known.running.count_running(target_id)

    def add_request(self, target_id: str, tokens: int) -> None:
        """Count a request that is sent to a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt
        """
        self.known.running.add_request(target_id, tokens)

    def record_prompt_read(self, target_id: str, tokens: int) -> None:
        """Stop counting a prompt as unread; its request goes on.

        :param target_id: the target
        :param tokens: the tokens that the request was added with
        """
        self.known.running.record_prompt_read(target_id, tokens)

    def remove_request(self, target_id: str, tokens: int) -> None:
        """Stop counting a request of this instance at a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt, 0 if they have been read
        """
        self.known.running.remove_request(target_id, tokens)

    def record_success(
        self,
        target_id: str,
        service: str,
        duration_s: float,
        now_s: float = 0.0,
        size_bytes: int = 0,
    ) -> None:
        """Record a complete response; the target is healthy again.

        :param target_id: the target
        :param service: its service
        :param duration_s: the time from sending the request to the end of
            the response, in seconds
        :param now_s: the current time in seconds, used for shared health only
        :param size_bytes: the size of the request and its response
        """
        outcomes.record_success(
            self.known, target_id, service, duration_s, now_s, size_bytes
        )

    def get_mean_duration_s(self, service: str) -> float:
        """Return the mean duration of a service's requests, in seconds."""
        return self.known.durations.get_s(service)

    def is_unavailable(self, service: str, now_s: float) -> bool:
        """Return whether a service as a whole takes no requests for now."""
        return self.known.refusals.is_backing_off(
            service, now_s
        ) or self.is_group_broken(service)

    def is_group_broken(self, service: str) -> bool:
        """Return whether a service's model group is reported as broken."""
        return self.known.groups.is_broken(service)

    def record_response_started(self, service: str) -> None:
        """Record that a target of a service has started a response."""
        outcomes.record_response_started(self.known, service)

    def record_refusal(
        self, target_id: str, service: str, now_s: float
    ) -> None:
        """Record that a target refused a request as busy.

        :param target_id: the target
        :param service: its service, which gets no requests for a while
            after several consecutive refusals
        :param now_s: the current time in seconds
        """
        outcomes.record_refusal(self.known, target_id, service, now_s)

    def record_server_error(self, target_id: str) -> bool:
        """Record a server error in a response of a target.

        :param target_id: the target
        :returns: whether the number of consecutive errors has reached the
            threshold at which the target is treated as failed
        """
        return self.known.health.record_server_error(target_id)

    def record_failure(self, target_id: str, now_s: float) -> float:
        """Eject a target that failed.

        :param target_id: the target
        :param now_s: the current time in seconds
        :returns: for how long it is ejected, in seconds
        """
        return outcomes.record_failure(self.known, target_id, now_s)

    def classify_domain(self, target: targets.Target) -> str:
        """Return whether a target is in the 'own' or an 'other' domain."""
        is_own = target.failure_domain == self.known.failure_domain
        return 'own' if is_own else 'other'

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the other entry instances.

        :param domains_by_address: the failure domain of each link address
        """
        if self.peer_health is not None:
            self.peer_health.set_instances(domains_by_address)
        if self.spill is not None:
            self.spill.set_instances(domains_by_address)

    def refresh_health(
        self, now_s: float
    ) -> list[peer_health_module.HealthChange]:
        """Return how others' word changed since the last call.

        :param now_s: the current time in seconds
        """
        if self.peer_health is None:
            return []
        self.loads.expire(now_s)
        self.peer_health.refresh(now_s)
        return self.peer_health.take_changes()

    @property
    def has_health_news(self) -> bool:
        """Return whether the load report has anything about health."""
        return self.peer_health is not None and self.peer_health.has_news

    @property
    def has_running_requests(self) -> bool:
        """Return whether this instance has any request at a target."""
        return bool(self.known.running.own_loads)

    def make_load_report(
        self,
        sender: str,
        incarnation: int,
        waiting: dict[str, int],
        waiting_by_urgency: dict[str, list[int]] | None = None,
    ) -> targets.Load:
        """Return the load report of this instance for the others.

        :param sender: this instance's name
        :param incarnation: the number of this instance's run
        :param waiting: by service, how many requests wait here
        :param waiting_by_urgency: by service whose order depends on it, how
            many of them there are of each urgency
        """
        self._report_sequence += 1
        self.known.waiting_by_service = waiting
        return reports.make_load_report(
            self.known,
            sender=sender,
            incarnation=incarnation,
            sequence=self._report_sequence,
            waiting=waiting,
            waiting_by_urgency=waiting_by_urgency or {},
        )
