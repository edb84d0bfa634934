"""Keep what entry instances report, for the operators' status."""

import dataclasses
import typing

from bambooring.configuration import messages as configuration
from bambooring.operators import const
from bambooring.operators import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _Seen:
    """Hold a report and when it came."""

    report: configuration.Report
    at: float


class Reports:
    """Hold the newest report of each entry instance."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def add(self, report: configuration.Report, now: float) -> None:
        """Take in a report.

        :param report: the report
        :param now: the current time in seconds
        """
        self._seen[report.instance] = _Seen(report=report, at=now)

    def get_live(self, now: float) -> list[configuration.Report]:
        """Return the reports that are fresh, by instance name."""
        self._seen = {
            name: seen
            for name, seen in self._seen.items()
            if seen.at + const.STATUS_FRESH_S > now
        }
        return [self._seen[name].report for name in sorted(self._seen)]


def merge_targets(
    replies: list[messages.StatusReply],
) -> list[dict[str, typing.Any]]:
    """Merge what several entry instances know of the targets.

    :param replies: their replies
    :returns: one plain mapping a target, a linked view before others
    """
    merged: dict[str, messages.TargetStatus] = {}
    for reply in replies:
        for target in reply.targets:
            known = merged.get(target.target)
            if known is None or (target.is_linked and not known.is_linked):
                merged[target.target] = target
    return [dataclasses.asdict(merged[name]) for name in sorted(merged)]
