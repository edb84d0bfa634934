"""Decide which targets exist, from announcements in any order."""

import collections.abc
import dataclasses
import enum

from bambooring.targets import const
from bambooring.targets import messages


class AnnouncementResult(enum.Enum):
    """Say what an announcement changed."""

    NONE = 'none'
    STALE = 'stale'
    REFRESHED = 'refreshed'
    CHANGED = 'changed'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """Hold a target and when it was last heard of, in seconds."""

    target: messages.Target
    last_seen_s: float
    is_expired: bool = False


class Registry:
    """Hold the targets as one instance knows them."""

    __slots__ = ('_heartbeat_timeout_s', '_newest_runs', '_records')

    def __init__(self, heartbeat_s: float) -> None:
        self._heartbeat_timeout_s = heartbeat_s * const.MISSED_HEARTBEATS_LIMIT
        self._records: dict[str, _Record] = {}
        # The newest run at each address, by its start and its id.
        self._newest_runs: dict[str, tuple[int, str]] = {}

    def get(self, id: str) -> messages.Target | None:
        """Return a target by its id, or None."""
        record = self._records.get(id)
        return record.target if record else None

    def list_all(self) -> list[messages.Target]:
        """Return every record, those of targets that are gone included."""
        return [record.target for record in self._records.values()]

    def list_usable(self) -> collections.abc.Iterator[messages.Target]:
        """Yield the targets that take new work."""
        for record in self._records.values():
            if self._is_usable(record):
                yield record.target

    def _is_usable(self, record: _Record) -> bool:
        target = record.target
        return (
            not record.is_expired
            and target.state is messages.State.READY
            and self._newest_runs[target.address]
            == (target.born_ms, target.id)
        )

    def apply_announcement(
        self, target: messages.Target, now_s: float
    ) -> AnnouncementResult:
        """Take what a target says of itself.

        :param target: the announcement
        :param now_s: the current time in seconds
        :returns: what it changed; STALE if it was overtaken
        """
        newest = self._newest_runs.get(target.address, (0, ''))
        if target.born_ms < newest[0]:
            return AnnouncementResult.STALE
        record = self._records.get(target.id)
        if record is not None and not _is_newer(target, record.target):
            return AnnouncementResult.STALE
        self._newest_runs[target.address] = (target.born_ms, target.id)
        self._records[target.id] = _Record(target=target, last_seen_s=now_s)
        if record is None or record.is_expired:
            return AnnouncementResult.CHANGED
        if _is_unchanged(target, record.target):
            return AnnouncementResult.REFRESHED
        return AnnouncementResult.CHANGED

    def mark_gone(
        self, id: str, born_ms: int, now_s: float
    ) -> messages.Target | None:
        """Take note that a target ends.

        :param id: its id
        :param born_ms: the start of the run that ends; 0 for any
        :param now_s: the current time in seconds
        :returns: the changed record, or None if nothing changed
        """
        record = self._records.get(id)
        if record is None or record.target.state is messages.State.GONE:
            return None
        if born_ms and born_ms < record.target.born_ms:
            return None
        record.target = dataclasses.replace(
            record.target, state=messages.State.GONE
        )
        record.last_seen_s = now_s
        return record.target

    def refresh(self, id: str, now_s: float) -> None:
        """Take note that another instance has heard of a target."""
        record = self._records.get(id)
        if record is not None and not record.is_expired:
            record.last_seen_s = now_s

    def expire(
        self, now_s: float
    ) -> collections.abc.Iterator[messages.Target]:
        """Yield the targets whose heartbeats have just run out."""
        for id, record in list(self._records.items()):
            silent_s = now_s - record.last_seen_s
            if silent_s > const.RECORD_RETENTION_S:
                self._remove(id, record.target)
            elif (
                silent_s > self._heartbeat_timeout_s and not record.is_expired
            ):
                record.is_expired = True
                if record.target.state is not messages.State.GONE:
                    yield record.target

    def _remove(self, id: str, target: messages.Target) -> None:
        del self._records[id]
        if self._newest_runs.get(target.address) == (target.born_ms, id):
            del self._newest_runs[target.address]

    def renew_all(self, now_s: float) -> None:
        """Let no heartbeat run out while nobody can tell of them."""
        for record in self._records.values():
            if not record.is_expired:
                record.last_seen_s = max(record.last_seen_s, now_s)


def _is_newer(target: messages.Target, known: messages.Target) -> bool:
    """Tell whether an announcement is newer than what is known.

    What ends a run is final: a heartbeat that comes after it is late.
    """
    if target.born_ms != known.born_ms:
        return target.born_ms > known.born_ms
    if known.state is messages.State.GONE:
        return False
    if target.state is messages.State.GONE:
        return True
    return target.sequence > known.sequence


def _is_unchanged(target: messages.Target, known: messages.Target) -> bool:
    return dataclasses.replace(known, sequence=target.sequence) == target
