"""Know whether the model group behind a service runs, and who is slow.

Ranks tell their group's state in each heartbeat. One rank that is lost
breaks the group; once it is back the group opens in a later epoch. So the
ranks of the latest epoch tell the truth, and one that says "broken" there
knows better than those that have not noticed yet.

The ranks run each pass together, so one that takes longer holds back all;
it is given as much less work as it takes longer.
"""

import collections.abc

from bambooring.balancing import const
from bambooring.targets import messages as targets

TargetsByService = collections.abc.Mapping[
    str, collections.abc.Mapping[str, targets.Target]
]


class GroupTracker:
    """Hold the services whose group is broken."""

    __slots__ = (
        '_broken_epochs',
        '_disproved_epochs',
        '_slowdowns',
        '_slowdowns_received_s',
        '_next_probe_s',
    )

    def __init__(self) -> None:
        # The epoch in which a service's group is broken.
        self._broken_epochs: dict[str, int] = {}
        # The epoch in which it answered though it was called broken.
        self._disproved_epochs: dict[str, int] = {}
        self._next_probe_s: dict[str, float] = {}
        # By group: each rank's pace, the fastest one's being 1.
        self._slowdowns: dict[str, list[float]] = {}
        self._slowdowns_received_s: dict[str, float] = {}

    def update(self, by_service: TargetsByService) -> None:
        """Take what the ranks of each service say.

        :param by_service: the usable targets by service and id
        """
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

    def is_broken(self, service: str) -> bool:
        """Tell whether a service's group runs nothing, as far as known."""
        return service in self._broken_epochs

    def may_send_request(self, service: str, now_s: float) -> bool:
        """Tell whether a service's group is open or may be tried."""
        if service not in self._broken_epochs:
            return True
        return self._next_probe_s.get(service, 0.0) <= now_s

    def record_request(self, service: str, now_s: float) -> None:
        """Take note of an offer; the next probe waits."""
        if service in self._broken_epochs:
            self._next_probe_s[service] = (
                now_s + const.BROKEN_GROUP_PROBE_INTERVAL_S
            )

    def record_response_started(self, service: str) -> None:
        """Take note that a group answers, so it is open."""
        epoch = self._broken_epochs.pop(service, None)
        if epoch is not None:
            self._disproved_epochs[service] = epoch

    def update_slowdowns(
        self, paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Take how long the ranks of a group take.

        :returns: whether that has changed
        """
        previous = self._slowdowns.get(paces.group)
        fastest = min(paces.paces, default=1.0)
        self._slowdowns[paces.group] = [pace / fastest for pace in paces.paces]
        self._slowdowns_received_s[paces.group] = now_s
        return self._slowdowns[paces.group] != previous

    def expire_slowdowns(self, now_s: float) -> None:
        """Forget what nobody has told for a while."""
        for group, received_s in list(self._slowdowns_received_s.items()):
            if received_s < now_s - const.SLOWDOWN_TTL_S:
                del self._slowdowns[group]
                del self._slowdowns_received_s[group]

    def get_slowdown(self, target: targets.Target) -> float:
        """Return how many times longer a target takes than the fastest."""
        paces = self._slowdowns.get(target.group)
        if paces is None or target.rank >= len(paces):
            return 1.0
        return paces[target.rank]
