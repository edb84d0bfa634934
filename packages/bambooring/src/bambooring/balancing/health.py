"""Track which targets this instance has seen fail or refuse requests.

What other instances report is kept in ``bambooring.balancing.peer_health``.
"""

import collections.abc
import dataclasses

from bambooring.balancing import const


@dataclasses.dataclass(slots=True, kw_only=True)
class _TargetHealth:
    """Failures and refusals that this instance has seen of one target.

    The record is dropped at the target's next complete response. Failures
    eject the target at once, server errors that it answers with only after
    several in a row. Until ``busy_until_s`` the target gets no requests.
    """

    consecutive_failures: int = 0
    consecutive_errors: int = 0
    ejected_until_s: float = 0.0
    busy_until_s: float = 0.0


class HealthTracker:
    """Keep the health of the targets, as one entry instance has seen it."""

    __slots__ = ('_health_by_target',)

    def __init__(self) -> None:
        self._health_by_target: dict[str, _TargetHealth] = {}

    def set_known_targets(self, target_ids: collections.abc.Set[str]) -> None:
        """Drop the records of all other targets."""
        for target_id in self._health_by_target.keys() - target_ids:
            del self._health_by_target[target_id]

    def is_healthy(self, target_id: str, now_s: float) -> bool:
        """Return whether a target is not ejected."""
        health = self._health_by_target.get(target_id)
        return health is None or health.ejected_until_s <= now_s

    def is_busy(self, target_id: str, now_s: float) -> bool:
        """Return whether a target has just refused a request as busy."""
        health = self._health_by_target.get(target_id)
        return health is not None and health.busy_until_s > now_s

    def record_success(self, target_id: str) -> None:
        """Record a complete response of a target."""
        self._health_by_target.pop(target_id, None)

    def record_busy(self, target_id: str, now_s: float) -> None:
        """Record that a target refused a request as busy."""
        health = self._health_by_target.setdefault(target_id, _TargetHealth())
        health.busy_until_s = now_s + const.BUSY_TARGET_BACKOFF_S

    def record_server_error(self, target_id: str) -> bool:
        """Record a server error in a response of a target.

        :param target_id: the target
        :returns: whether the number of consecutive errors has reached the
            threshold at which the target is treated as failed
        """
        health = self._health_by_target.setdefault(target_id, _TargetHealth())
        health.consecutive_errors += 1
        return health.consecutive_errors >= const.CONSECUTIVE_ERRORS_THRESHOLD

    def record_failure(self, target_id: str, now_s: float) -> float:
        """Eject a target that failed.

        :param target_id: the target
        :param now_s: the current time in seconds
        :returns: for how long it is ejected, in seconds
        """
        health = self._health_by_target.setdefault(target_id, _TargetHealth())
        health.consecutive_failures += 1
        ejection_s = min(
            const.EJECTION_MIN_S * 2 ** (health.consecutive_failures - 1),
            const.EJECTION_MAX_S,
        )
        health.ejected_until_s = now_s + ejection_s
        return ejection_s
