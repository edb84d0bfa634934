"""Tell the entry instances which ranks of a group are slow."""

import collections.abc
import dataclasses
import typing

import structlog

from bambooring.targets import messages as targets
from bambooring_core import links

LOG = structlog.get_logger(__name__)

# Entry instances forget slow ranks that they aren't told of again.
PACES_INTERVAL_S: typing.Final = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Told:
    """Hold what was told of a group, and when."""

    paces: list[float]
    at_s: float


class PaceOffice:
    """Hold what the entry instances were told of each group."""

    def __init__(
        self, get_entries: collections.abc.Callable[[], list[links.Link]]
    ) -> None:
        self._get_entries = get_entries
        self._told: dict[str, _Told] = {}

    def forget_all(self) -> None:
        """Forget what was told; another replica tells from now on."""
        self._told.clear()

    def tell(self, group: str, paces: list[float], now_s: float) -> None:
        """Tell of slow ranks: at each change, and again while there are any.

        :param group: the group's name
        :param paces: by rank, how many times longer than usual it takes
        :param now_s: the current time in seconds
        """
        rounded = [round(one, 1) for one in paces]
        slow = {
            str(rank): pace for rank, pace in enumerate(rounded) if pace > 1.0
        }
        told = self._told.get(group)
        if told is None and not slow:
            return
        if told is not None and told.paces == rounded:
            if not slow or now_s - told.at_s < PACES_INTERVAL_S:
                return
        else:
            LOG.info('slow ranks', group=group, paces=slow)
        self._told[group] = _Told(paces=rounded, at_s=now_s)
        message = targets.GroupPaces(group=group, paces=rounded)
        for link in self._get_entries():
            link.send(message)
