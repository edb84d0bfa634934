"""Track which model groups are broken and which of their ranks are slow.

Each heartbeat of a rank tells whether its group is open and in which epoch.
The loss of one rank breaks the whole group; when the rank is back, the group
opens in a later epoch. So only the ranks that report the latest epoch count,
and if any of these reports the group as broken, it is: the others have not
noticed yet.

All ranks run each forward pass in lock-step, so a rank that takes longer
delays all of them. It is given less work in proportion to its slowdown.
"""

import collections.abc

from bambooring.balancing import const
from bambooring.balancing import permits as permits_module
from bambooring.targets import messages as targets

TargetsByService = collections.abc.Mapping[
    str, collections.abc.Mapping[str, targets.Target]
]


class GroupTracker:
    """Track the state of the model groups, as one entry instance knows it."""

    __slots__ = (
        '_broken_epochs',
        '_cold',
        '_disproved_epochs',
        '_slowdowns',
        '_slowdowns_received_s',
        '_next_probe_s',
    )

    def __init__(self, cold: permits_module.ColdTargets) -> None:
        self._cold = cold
        # By service: the epoch in which its group is reported as broken.
        self._broken_epochs: dict[str, int] = {}
        # By service: the epoch that was reported as broken although a target
        # started a response.
        self._disproved_epochs: dict[str, int] = {}
        self._next_probe_s: dict[str, float] = {}
        # By group: the slowdown of each rank, relative to the fastest rank.
        self._slowdowns: dict[str, list[float]] = {}
        self._slowdowns_received_s: dict[str, float] = {}

    def update_broken_groups(self, by_service: TargetsByService) -> set[str]:
        """Find the broken groups from what their ranks last reported.

        :param by_service: the usable targets by service and id
        :returns: the services whose groups have opened again
        """
        broken_before = set(self._broken_epochs)
        self._broken_epochs = {}
        for service, service_targets in by_service.items():
            ranks = [
                target for target in service_targets.values() if target.group
            ]
            epoch = max((target.group_epoch for target in ranks), default=0)
            if epoch == self._disproved_epochs.get(service):
                continue
            if any(
                not target.is_group_open
                for target in ranks
                if target.group_epoch == epoch
            ):
                self._broken_epochs[service] = epoch
        return broken_before - self._broken_epochs.keys()

    def is_broken(self, service: str) -> bool:
        """Return whether a service's group is reported as broken."""
        return service in self._broken_epochs

    def may_send_request(self, service: str, now_s: float) -> bool:
        """Return whether a service's group is open or due for a probe."""
        if service not in self._broken_epochs:
            return True
        return self._next_probe_s.get(service, 0.0) <= now_s

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request to a service; delay the next probe if broken."""
        if service in self._broken_epochs:
            self._next_probe_s[service] = (
                now_s + const.BROKEN_GROUP_PROBE_INTERVAL_S
            )

    def record_response_started(self, service: str) -> bool:
        """Record that a target started a response, so its group is open.

        Further reports that the group is broken in the same epoch are
        ignored.

        :returns: whether the group was reported as broken
        """
        epoch = self._broken_epochs.pop(service, None)
        if epoch is None:
            return False
        self._disproved_epochs[service] = epoch
        return True

    def update_slowdowns(
        self, group_paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Store the slowdowns of a group's ranks.

        :param group_paces: by rank, how many times longer than usual it takes
        :param now_s: the current time in seconds
        :returns: whether the slowdowns changed
        """
        previous = self._slowdowns.get(group_paces.group)
        fastest = min(group_paces.paces, default=1.0)
        self._slowdowns[group_paces.group] = [
            pace / fastest for pace in group_paces.paces
        ]
        self._slowdowns_received_s[group_paces.group] = now_s
        return self._slowdowns[group_paces.group] != previous

    def expire_slowdowns(self, now_s: float) -> None:
        """Drop the slowdowns of groups that weren't reported again."""
        for group, received_s in list(self._slowdowns_received_s.items()):
            if received_s < now_s - const.SLOWDOWN_TTL_S:
                del self._slowdowns[group]
                del self._slowdowns_received_s[group]

    def get_slowdown(self, target: targets.Target) -> float:
        """Return how many times longer a target takes than the fastest rank.

        Where it isn't known, it is assumed for a cold target and 1 for others.
        """
        slowdowns = self._slowdowns.get(target.group)
        if slowdowns is None or target.rank >= len(slowdowns):
            if self._cold.runs and self._cold.is_cold(target):
                return const.COLD_SLOWDOWN
            return 1.0
        return slowdowns[target.rank]
