"""Gather what one entry instance knows of targets and services.

The decisions are functions of it: ``candidates``, ``choice``, ``capacity``;
``outcomes`` and ``reports`` update it or tell others of it.
"""

import collections.abc
import dataclasses
import random

from bambooring.balancing import durations as durations_module
from bambooring.balancing import groups as groups_module
from bambooring.balancing import health as health_module
from bambooring.balancing import limits as limits_module
from bambooring.balancing import peer_health as peer_health_module
from bambooring.balancing import permits as permits_module
from bambooring.balancing import pool as pool_module
from bambooring.balancing import refusals as refusals_module
from bambooring.balancing import rests as rests_module
from bambooring.balancing import running as running_module
from bambooring.balancing import spill as spill_module
from bambooring.loads import state as loads_state
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class Knowledge:
    """What one entry instance knows, part by part.

    ``health`` is what it has seen itself, ``peer_health`` what others report,
    None where health isn't shared. ``spill`` is None where requests aren't
    kept in their failure domain. ``waiting_by_service`` counts the requests
    that waited here at the last load report.
    """

    failure_domain: str
    rng: random.Random
    pool: pool_module.TargetPool
    loads: loads_state.ClusterLoads
    running: running_module.RunningRequests
    cold: permits_module.ColdTargets
    groups: groups_module.GroupTracker
    peer_health: peer_health_module.PeerHealth | None
    spill: spill_module.Spill | None
    health: health_module.HealthTracker = dataclasses.field(
        default_factory=health_module.HealthTracker
    )
    rests: rests_module.Rests = dataclasses.field(
        default_factory=rests_module.Rests
    )
    limits: limits_module.ServiceLimits = dataclasses.field(
        default_factory=limits_module.ServiceLimits
    )
    refusals: refusals_module.ServiceRefusals = dataclasses.field(
        default_factory=refusals_module.ServiceRefusals
    )
    durations: durations_module.MeanDurations = dataclasses.field(
        default_factory=durations_module.MeanDurations
    )
    waiting_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def set_targets(
        self, usable_targets: collections.abc.Iterable[targets.Target]
    ) -> None:
        """Replace the targets that take new work."""
        self.pool.set_targets(usable_targets)
        by_service = self.pool.by_service
        for service in self.groups.update_broken_groups(by_service):
            self.limits.get(service).restart()
            if self.peer_health is not None:
                self.peer_health.forget_service(service)
        if self.peer_health is not None:
            self.peer_health.set_targets(by_service)
        self.health.set_known_targets(self.pool.list_ids())
        known_runs = self.pool.list_runs()
        self.rests.set_known_runs(known_runs)
        self.cold.set_known_runs(known_runs)

    def expire(self, now_s: float) -> None:
        """Drop what is out of date, before a target is chosen."""
        self.loads.expire(now_s)
        self.groups.expire_slowdowns(now_s)
        self.cold.update(now_s)
        if self.peer_health is not None:
            self.peer_health.refresh(now_s)
