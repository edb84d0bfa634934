"""Report slow ranks of model groups to the entry instances."""

import collections.abc
import dataclasses
import typing

import structlog

from bambooring.targets import messages as targets
from bambooring_core import links

LOG = structlog.get_logger(__name__)

# Slow ranks are reported again at this interval, because entry instances
# forget slow ranks that are not.
SLOWDOWN_REPEAT_INTERVAL_S: typing.Final = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _LastReport:
    """The last report on a group.

    ``slowdowns`` holds by rank how many times longer than usual it takes,
    ``sent_s`` is the time of the report in seconds.
    """

    slowdowns: list[float]
    sent_s: float


class SlowdownReporter:
    """Report slow ranks, and keep the last report on each group."""

    def __init__(
        self, get_entry_links: collections.abc.Callable[[], list[links.Link]]
    ) -> None:
        self._get_entry_links = get_entry_links
        self._last_reports: dict[str, _LastReport] = {}

    def reset(self) -> None:
        """Forget all reports, because another replica may report now."""
        self._last_reports.clear()

    def report(self, group: str, slowdowns: list[float], now_s: float) -> None:
        """Report slow ranks at each change, and repeatedly while any are slow.

        :param group: the group's name
        :param slowdowns: by rank, how many times longer than usual it takes
        :param now_s: the current time in seconds
        """
        rounded = [round(value, 1) for value in slowdowns]
        slow = {
            str(rank): slowdown
            for rank, slowdown in enumerate(rounded)
            if slowdown > 1.0
        }
        last_report = self._last_reports.get(group)
        if last_report is None and not slow:
            return
        if last_report is not None and last_report.slowdowns == rounded:
            if (
                not slow
                or now_s - last_report.sent_s < SLOWDOWN_REPEAT_INTERVAL_S
            ):
                return
        else:
            LOG.info('slow ranks', group=group, paces=slow)
        self._last_reports[group] = _LastReport(
            slowdowns=rounded, sent_s=now_s
        )
        message = targets.GroupPaces(group=group, paces=rounded)
        for link in self._get_entry_links():
            link.send(message)
