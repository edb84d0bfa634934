"""Remember which requests were running when targets crashed.

Every request in flight on a crashed target is a suspect. A suspect runs
apart from other suspects and never on a target it was seen to crash. One
that was there at the crash of two targets is not run for some time. What
one entry instance has seen is spread to the others.
"""

import collections.abc
import dataclasses

from bambooring.quarantine import const
from bambooring.quarantine import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suspect:
    """Hold the targets that crashed under a request, and since when."""

    targets: set[str]
    last_crash_at: float


class Quarantine:
    """Hold the suspects that one entry instance knows."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._unsent: dict[bytes, None] = {}

    def get_crashed_targets(self, digest: bytes, now: float) -> frozenset[str]:
        """Return the targets that crashed while a request was running.

        :param digest: the request's digest
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
        """Tell whether a request is not to run."""
        return (
            len(self.get_crashed_targets(digest, now))
            >= const.CRASHED_TARGETS_LIMIT
        )

    def note(
        self, digest: bytes, targets: collections.abc.Iterable[str], at: float
    ) -> bool:
        """Take note of crashes; True if they are news.

        :param digest: the digest of a request that was running
        :param targets: the targets that crashed
        :param at: when, in seconds
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._evict_oldest()
            suspect = _Suspect(targets=set(), last_crash_at=at)
            self._suspects[digest] = suspect
        previous_count = len(suspect.targets)
        suspect.targets.update(targets)
        suspect.last_crash_at = max(suspect.last_crash_at, at)
        if len(suspect.targets) == previous_count:
            return False
        self._unsent[digest] = None
        return True

    def _evict_oldest(self) -> None:
        while len(self._suspects) >= const.MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def merge(self, suspicions: list[messages.Suspicion], now: float) -> None:
        """Take what another entry instance has seen.

        :param suspicions: its suspicions
        :param now: the current time in seconds
        """
        for suspicion in suspicions:
            at = now - suspicion.age_s
            if at + const.SUSPICION_TTL_S > now:
                self.note(suspicion.digest, suspicion.targets, at)

    def take_unsent(self, now: float) -> list[messages.Suspicion]:
        """Return what is to be spread, once.

        :param now: the current time in seconds
        """
        unsent, self._unsent = self._unsent, {}
        return list(self._describe(unsent, now))

    def list_all(self, now: float) -> list[messages.Suspicion]:
        """Return every suspicion, for a peer that is new."""
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
