"""Tell the entry instances which ranks of a group are slow."""

import collections.abc
import dataclasses
import typing

import structlog

from bambooring.targets import messages as targets
from bambooring_core import links

LOG = structlog.get_logger(__name__)

# Entry instances forget slow ranks that they aren't told of again.
SLOWDOWN_REPEAT_INTERVAL_S: typing.Final = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _LastReport:
    """Hold what was told of a group, and when."""

    slowdowns: list[float]
    sent_s: float


class SlowdownReporter:
    """Hold what the entry instances were told of each group."""

    def __init__(
        self, get_entry_links: collections.abc.Callable[[], list[links.Link]]
    ) -> None:
        self._get_entry_links = get_entry_links
        self._last_reports: dict[str, _LastReport] = {}

    def reset(self) -> None:
        """Forget what was told; another replica tells from now on."""
        self._last_reports.clear()

    def report(self, group: str, slowdowns: list[float], now_s: float) -> None:
        """Tell of slow ranks: at each change, and again while there are any.

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
