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
    seen_at: float


class Quarantine:
    """Hold the suspects that one entry instance knows."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._news: dict[bytes, None] = {}

    def get_targets(self, digest: bytes, now: float) -> frozenset[str]:
        """Return the targets that crashed while a request was running.

        :param digest: the request's digest
        :param now: the current time in seconds
        """
        suspect = self._suspects.get(digest)
        if suspect is None:
            return frozenset()
        if now > suspect.seen_at + const.KEPT_S:
            del self._suspects[digest]
            return frozenset()
        return frozenset(suspect.targets)

    def is_barred(self, digest: bytes, now: float) -> bool:
        """Tell whether a request is not to run."""
        return len(self.get_targets(digest, now)) >= const.TARGETS_LIMIT

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
            self._make_room()
            suspect = _Suspect(targets=set(), seen_at=at)
            self._suspects[digest] = suspect
        before = len(suspect.targets)
        suspect.targets.update(targets)
        suspect.seen_at = max(suspect.seen_at, at)
        if len(suspect.targets) == before:
            return False
        self._news[digest] = None
        return True

    def _make_room(self) -> None:
        while len(self._suspects) >= const.SUSPICIONS_LIMIT:
            del self._suspects[next(iter(self._suspects))]

    def receive(
        self, suspicions: list[messages.Suspicion], now: float
    ) -> None:
        """Take what another entry instance has seen.

        :param suspicions: its suspicions
        :param now: the current time in seconds
        """
        for suspicion in suspicions:
            at = now - suspicion.age_s
            if at + const.KEPT_S > now:
                self.note(suspicion.digest, suspicion.targets, at)

    def take_news(self, now: float) -> list[messages.Suspicion]:
        """Return what is to be spread, once.

        :param now: the current time in seconds
        """
        news, self._news = self._news, {}
        return list(self._describe(news, now))

    def describe_all(self, now: float) -> list[messages.Suspicion]:
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
                    age_s=max(0.0, now - suspect.seen_at),
                )
