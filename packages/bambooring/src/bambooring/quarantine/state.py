"""Remember which requests were running when targets crashed.

Every request in flight on a crashed target is suspected of the crash. A
suspected request runs apart from other suspected requests, and never on a
target that crashed while it was running there. A request that was running
when two targets crashed is blocked for some time. Each entry instance
reports the crashes that it has seen to the others.
"""

import collections.abc
import dataclasses

from bambooring.quarantine import const
from bambooring.quarantine import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suspect:
    """A request that was running on targets when they crashed.

    ``last_crash_at`` is the time of the latest of these crashes, in seconds.
    """

    targets: set[str]
    last_crash_at: float


class Quarantine:
    """Keep the suspected requests that one entry instance knows of."""

    def __init__(self) -> None:
        # Both are keyed by the digest of the request.
        self._suspects: dict[bytes, _Suspect] = {}
        self._unsent: dict[bytes, None] = {}

    def get_crashed_targets(self, digest: bytes, now: float) -> frozenset[str]:
        """Return the targets that crashed while running a request.

        :param digest: the digest of the request
        :param now: the current time in seconds
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return frozenset()
        if now > suspect.last_crash_at + const.SUSPICION_TTL_S:
            del self._suspects[digest]
            return frozenset()
        return frozenset(suspect.targets)

    def is_blocked(self, digest: bytes, now: float) -> bool:
        """Return whether a request must not run."""
        return (
            len(self.get_crashed_targets(digest, now))
            >= const.CRASHED_TARGETS_LIMIT
        )

    def note(
        self,
        digest: bytes,
        targets: collections.abc.Iterable[str],
        crashed_at: float,
    ) -> bool:
        """Record that targets crashed while running a request.

        :param digest: the digest of the request
        :param targets: the targets that crashed
        :param crashed_at: the time of the crashes in seconds
        :returns: whether any of the targets is new for this request
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._evict_oldest()
            suspect = _Suspect(targets=set(), last_crash_at=crashed_at)
            self._suspects[digest] = suspect
        previous_count = len(suspect.targets)
        suspect.targets.update(targets)
        suspect.last_crash_at = max(suspect.last_crash_at, crashed_at)
        if len(suspect.targets) == previous_count:
            return False
        self._unsent[digest] = None
        return True

    def _evict_oldest(self) -> None:
        while len(self._suspects) >= const.MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def merge(self, suspicions: list[messages.Suspicion], now: float) -> None:
        """Add the suspicions of another entry instance, unless too old.

        :param suspicions: what the other instance reports
        :param now: the current time in seconds
        """
        for suspicion in suspicions:
            crashed_at = now - suspicion.age_s
            if crashed_at + const.SUSPICION_TTL_S > now:
                self.note(suspicion.digest, suspicion.targets, crashed_at)

    def take_unsent(self, now: float) -> list[messages.Suspicion]:
        """Return the suspicions not yet sent to the other entry instances.

        Each is returned once, and again only when another target is added.

        :param now: the current time in seconds
        """
        unsent, self._unsent = self._unsent, {}
        return list(self._describe(unsent, now))

    def list_all(self, now: float) -> list[messages.Suspicion]:
        """Return every suspicion, for a newly linked entry instance."""
        return list(self._describe(self._suspects, now))

    def _describe(
        self, digests: collections.abc.Iterable[bytes], now: float
    ) -> collections.abc.Iterator[messages.Suspicion]:
        for digest in digests:
            suspect = self._suspects.get(digest)
            if suspect is not None:
                yield messages.Suspicion(
                    digest=digest,
                    targets=sorted(suspect.targets),
                    age_s=max(0.0, now - suspect.last_crash_at),
                )
