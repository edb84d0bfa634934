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

ByService = collections.abc.Mapping[
    str, collections.abc.Mapping[str, targets.Target]
]


class Groups:
    """Hold the services whose group is broken."""

    __slots__ = ('_broken', '_disproved', '_paces', '_paces_s', '_probe_s')

    def __init__(self) -> None:
        # The epoch in which a service's group is broken.
        self._broken: dict[str, int] = {}
        # The epoch in which it answered though it was called broken.
        self._disproved: dict[str, int] = {}
        self._probe_s: dict[str, float] = {}
        # By group: each rank's pace, the fastest one's being 1.
        self._paces: dict[str, list[float]] = {}
        self._paces_s: dict[str, float] = {}

    def update(self, by_service: ByService) -> None:
        """Take what the ranks of each service say.

        :param by_service: the usable targets by service and id
        """
        self._broken = {}
        for service, known in by_service.items():
            ranks = [one for one in known.values() if one.group]
            epoch = max((one.group_epoch for one in ranks), default=0)
            if epoch == self._disproved.get(service):
                continue
            if any(
                not one.is_group_open
                for one in ranks
                if one.group_epoch == epoch
            ):
                self._broken[service] = epoch

    def is_broken(self, service: str) -> bool:
        """Tell whether a service's group runs nothing, as far as known."""
        return service in self._broken

    def may_offer(self, service: str, now_s: float) -> bool:
        """Tell whether a service's group is open or may be tried."""
        if service not in self._broken:
            return True
        return self._probe_s.get(service, 0.0) <= now_s

    def note_offer(self, service: str, now_s: float) -> None:
        """Take note of an offer; the next probe waits."""
        if service in self._broken:
            self._probe_s[service] = (
                now_s + const.BROKEN_GROUP_PROBE_INTERVAL_S
            )

    def record_response_started(self, service: str) -> None:
        """Take note that a group answers, so it is open."""
        epoch = self._broken.pop(service, None)
        if epoch is not None:
            self._disproved[service] = epoch

    def update_slowdowns(
        self, paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Take how long the ranks of a group take.

        :returns: whether that has changed
        """
        before = self._paces.get(paces.group)
        fastest = min(paces.paces, default=1.0)
        self._paces[paces.group] = [one / fastest for one in paces.paces]
        self._paces_s[paces.group] = now_s
        return self._paces[paces.group] != before

    def forget_paces(self, now_s: float) -> None:
        """Forget what nobody has told for a while."""
        for group, heard_s in list(self._paces_s.items()):
            if heard_s < now_s - const.SLOWDOWN_TTL_S:
                del self._paces[group]
                del self._paces_s[group]

    def get_pace(self, target: targets.Target) -> float:
        """Return how many times longer a target takes than the fastest."""
        paces = self._paces.get(target.group)
        if paces is None or target.rank >= len(paces):
            return 1.0
        return paces[target.rank]
