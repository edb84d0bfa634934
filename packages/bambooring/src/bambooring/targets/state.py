"""Decide which targets exist, from announcements in any order.

Announcements reach an instance directly and by way of other instances, so
they may be late, repeated or out of order.

The run that started last wins at its address and under its id. Other writers
may announce a run that doesn't exist, with any start. So a run that is
replaced but goes on announcing itself disputes the later one. Once it did so,
with rising sequence numbers, for as long as a target may be silent, and the
later run was silent all that time, the later run is void. No clock of a
machine takes part in this. An announcement that was sent before the end of a
run and arrives late doesn't dispute anything for so long; if several did, the
target at the address would refuse the requests for the run before it.
"""

import collections.abc
import dataclasses
import enum
import math

from bambooring.targets import const
from bambooring.targets import messages


class AnnouncementResult(enum.Enum):
    """What an announcement changed in the registry.

    STALE announcements are ignored, because a newer one came first.
    REFRESHED means that only the heartbeat was renewed, CHANGED that the
    target is new, usable again or described differently.
    """

    NONE = 'none'
    STALE = 'stale'
    REFRESHED = 'refreshed'
    CHANGED = 'changed'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """A target and when it was last announced, in seconds.

    An expired record is one whose heartbeats are missing. It is kept for a
    while, but its target gets no new work until it is announced again.
    ``cold_until_s`` is the end of the cold time that the last change implied.
    """

    target: messages.Target
    last_seen_s: float
    is_expired: bool = False
    cold_until_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Dispute:
    """How long a run has gone on although it was replaced, in seconds."""

    since_s: float
    last_seen_s: float
    sequence: int


_RunKey = tuple[str, int]


class Registry:
    """The targets that one instance knows of."""

    __slots__ = (
        '_disputes',
        '_heartbeat_timeout_s',
        '_newest_runs',
        '_records',
        '_void_runs',
    )

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._heartbeat_timeout_s = (
            heartbeat_interval_s * const.MISSED_HEARTBEATS_LIMIT
        )
        self._records: dict[str, _Record] = {}
        # The newest run at each address, as its start and its target's id.
        self._newest_runs: dict[str, tuple[int, str]] = {}
        # By id and start.
        self._void_runs: dict[_RunKey, _Record] = {}
        self._disputes: dict[_RunKey, _Dispute] = {}

    def get(self, target_id: str) -> messages.Target | None:
        """Return a target by its id, or None."""
        record = self._records.get(target_id)
        return record.target if record else None

    def list_all(self, now_s: float | None = None) -> list[messages.Target]:
        """Return all known targets, including expired and gone ones.

        Void ones come first, so that those which they would replace aren't
        stale where all are applied in this order.

        :param now_s: the current time in seconds, at which what is left of
            the targets' cold time is returned; None for what they announced
        """
        records = [*self._void_runs.values(), *self._records.values()]
        if now_s is None:
            return [record.target for record in records]
        return [_count_down(record, now_s) for record in records]

    def find_rank(self, group: str, rank: int) -> messages.Target | None:
        """Return the target that announced itself last as a group's rank.

        :returns: None if none did, or if it has gone
        """
        found = [
            record.target
            for record in self._records.values()
            if (record.target.group, record.target.rank) == (group, rank)
        ]
        newest = max(
            found,
            key=lambda target: (target.group_epoch, target.born_ms),
            default=None,
        )
        if newest is None or newest.state is messages.State.GONE:
            return None
        return newest

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
            and self._newest_runs.get(target.address)
            == (target.born_ms, target.id)
        )

    def apply_announcement(
        self, target: messages.Target, now_s: float
    ) -> AnnouncementResult:
        """Update the registry by an announcement of a target.

        :param target: the announcement
        :param now_s: the current time in seconds
        :returns: what the announcement changed
        """
        key = _get_run_key(target)
        if target.is_void:
            return self._apply_void_run(target, now_s)
        void_run = self._void_runs.get(key)
        if void_run is not None and not _is_newer(target, void_run.target):
            return AnnouncementResult.STALE
        newest = self._newest_runs.get(target.address, (0, ''))
        if target.born_ms < newest[0]:
            return AnnouncementResult.STALE
        record = self._records.get(target.id)
        if record is not None and not _is_newer(target, record.target):
            return AnnouncementResult.STALE
        self._void_runs.pop(key, None)
        renewed = _Record(
            target=target,
            last_seen_s=now_s,
            cold_until_s=now_s + target.cold_ms / 1000,
        )
        self._records[target.id] = renewed
        if record is not None and record.target.address != target.address:
            self._update_newest_run(record.target.address)
        self._newest_runs[target.address] = (target.born_ms, target.id)
        is_newest = newest == (target.born_ms, target.id)
        if record is None or record.is_expired or not is_newest:
            return AnnouncementResult.CHANGED
        if _is_unchanged(target, record.target) and _is_as_cold(
            renewed, record, now_s
        ):
            # Later announcements are compared with what the instances know.
            renewed.cold_until_s = record.cold_until_s
            return AnnouncementResult.REFRESHED
        return AnnouncementResult.CHANGED

    def _update_newest_run(self, address: str) -> None:
        """Find the newest run at an address after one has left it."""
        runs = [
            (record.target.born_ms, record.target.id)
            for record in self._records.values()
            if record.target.address == address
        ]
        if runs:
            self._newest_runs[address] = max(runs)
        else:
            self._newest_runs.pop(address, None)

    def _apply_void_run(
        self, target: messages.Target, now_s: float
    ) -> AnnouncementResult:
        """Take a run out, unless it has gone on since it was found void."""
        key = _get_run_key(target)
        void_run = self._void_runs.get(key)
        if void_run is not None and not _is_newer(target, void_run.target):
            return AnnouncementResult.STALE
        record = self._records.get(target.id)
        if record is not None and _get_run_key(record.target) == key:
            if record.target.sequence > target.sequence:
                return AnnouncementResult.STALE
            # The end of a run is final, also if it is void.
            target = dataclasses.replace(target, state=record.target.state)
            del self._records[target.id]
            self._update_newest_run(record.target.address)
        self._void_runs[key] = _Record(target=target, last_seen_s=now_s)
        return AnnouncementResult.CHANGED

    def settle_dispute(
        self, target: messages.Target, now_s: float
    ) -> list[messages.Target]:
        """Find the runs that a target outlived, and make them void.

        To be called with each announcement that a target sends itself, before
        it is applied.

        :param target: the announcement
        :param now_s: the current time in seconds
        :returns: the runs that became void, for the other instances
        """
        key = _get_run_key(target)
        void_run = self._void_runs.get(key)
        rival = self._find_rival(target, void_run is not None)
        if rival is None:
            self._disputes.pop(key, None)
            return []
        if void_run is not None:
            # It has to outlive the rival before its announcements count.
            void_run.last_seen_s = now_s
            void_run.target = dataclasses.replace(
                void_run.target,
                sequence=max(void_run.target.sequence, target.sequence),
            )
        voided: list[messages.Target] = []
        while rival is not None:
            if not self._is_outlived(rival, target, now_s):
                return voided
            if rival.target.born_ms < target.born_ms:
                break
            voided.append(dataclasses.replace(rival.target, is_void=True))
            self._apply_void_run(voided[-1], now_s)
            rival = self._find_rival(target, void_run is not None)
        self._void_runs.pop(key, None)
        del self._disputes[key]
        return voided

    def _find_rival(
        self, target: messages.Target, is_void: bool
    ) -> _Record | None:
        """Return another run that keeps a target from being used."""
        _, newest_id = self._newest_runs.get(target.address, (0, ''))
        for target_id in (target.id, newest_id):
            record = self._records.get(target_id)
            if record is None:
                continue
            if _get_run_key(record.target) == _get_run_key(target):
                continue
            if is_void or record.target.born_ms > target.born_ms:
                return record
        return None

    def _is_outlived(
        self, rival: _Record, target: messages.Target, now_s: float
    ) -> bool:
        """Return whether a target goes on while a rival has long been silent.

        An announcement that repeats a sequence number shows nothing.
        """
        key = _get_run_key(target)
        dispute = self._disputes.get(key)
        if (
            dispute is None
            or dispute.since_s <= rival.last_seen_s
            or now_s - dispute.last_seen_s > self._heartbeat_timeout_s
        ):
            dispute = _Dispute(
                since_s=now_s, last_seen_s=now_s, sequence=target.sequence
            )
            self._disputes[key] = dispute
        if target.sequence > dispute.sequence:
            dispute.sequence = target.sequence
            dispute.last_seen_s = now_s
        lasted_s = dispute.last_seen_s - dispute.since_s
        return lasted_s >= self._heartbeat_timeout_s

    def mark_gone(
        self, target_id: str, born_ms: int, now_s: float
    ) -> messages.Target | None:
        """Mark the run of a target as ended.

        :param target_id: the id of the target
        :param born_ms: the start of the run that ends; 0 for any run
        :param now_s: the current time in seconds
        :returns: the changed target, or None if nothing changed
        """
        record = self._records.get(target_id)
        if record is None or record.target.state is messages.State.GONE:
            return None
        if born_ms and born_ms < record.target.born_ms:
            return None
        record.target = dataclasses.replace(
            record.target, state=messages.State.GONE
        )
        record.last_seen_s = now_s
        return record.target

    def refresh(self, target_id: str, now_s: float) -> None:
        """Renew the heartbeat of a target that another instance reports."""
        record = self._records.get(target_id)
        if record is not None and not record.is_expired:
            record.last_seen_s = now_s

    def expire(
        self, now_s: float
    ) -> collections.abc.Iterator[messages.Target]:
        """Expire targets without heartbeats; yield those just expired.

        Targets that are gone are not yielded. Records are removed after a
        longer time without heartbeats.
        """
        self._expire_void_runs(now_s)
        for target_id, record in list(self._records.items()):
            silent_s = now_s - record.last_seen_s
            if silent_s > const.RECORD_RETENTION_S:
                self._remove(target_id, record.target)
            elif (
                silent_s > self._heartbeat_timeout_s and not record.is_expired
            ):
                record.is_expired = True
                if record.target.state is not messages.State.GONE:
                    yield record.target

    def _expire_void_runs(self, now_s: float) -> None:
        for key, record in list(self._void_runs.items()):
            if now_s - record.last_seen_s > const.RECORD_RETENTION_S:
                del self._void_runs[key]
        for key, dispute in list(self._disputes.items()):
            if now_s - dispute.last_seen_s > self._heartbeat_timeout_s:
                del self._disputes[key]

    def _remove(self, target_id: str, target: messages.Target) -> None:
        del self._records[target_id]
        self._update_newest_run(target.address)

    def renew_all(self, now_s: float) -> None:
        """Restart the heartbeat timeout of all targets.

        Used while no instance is linked that could report heartbeats, so
        that targets don't expire for that reason.
        """
        for record in self._records.values():
            if not record.is_expired:
                record.last_seen_s = max(record.last_seen_s, now_s)


def _get_run_key(target: messages.Target) -> _RunKey:
    return target.id, target.born_ms


def _count_down(record: _Record, now_s: float) -> messages.Target:
    """Return a target with what is left of its cold time.

    It stays above 0 until the target has announced that it is warm: those who
    are told add a margin for what the tolerance left out.
    """
    target = record.target
    if not target.cold_ms:
        return target
    remaining_ms = math.ceil((record.cold_until_s - now_s) * 1000)
    return dataclasses.replace(
        target, cold_ms=min(max(remaining_ms, 1), target.cold_ms)
    )


def _is_newer(target: messages.Target, known: messages.Target) -> bool:
    """Return whether an announcement is newer than the known one.

    The end of a run is final: a heartbeat of the same run that arrives after
    it was sent before it. No run that leaves was leaving and is ready again,
    so its leaving counts whatever its number is; the higher number of a
    ready one is another writer's.
    """
    if target.born_ms != known.born_ms:
        return target.born_ms > known.born_ms
    if known.state is messages.State.GONE:
        return False
    if target.state is messages.State.GONE:
        return True
    if (known.state, target.state) == (
        messages.State.READY,
        messages.State.DRAINING,
    ):
        return True
    return target.sequence > known.sequence


def _is_unchanged(target: messages.Target, known: messages.Target) -> bool:
    """Return whether two announcements differ in no lasting property.

    Their sequences, and how long the target is still cold, may differ.
    """
    return (
        dataclasses.replace(
            known, sequence=target.sequence, cold_ms=target.cold_ms
        )
        == target
    )


def _is_as_cold(renewed: _Record, known: _Record, now_s: float) -> bool:
    """Return whether the instances may go on with the known cold time.

    A cold target announces a smaller remainder with each heartbeat. That is
    no change: all instances count it down. They must be told if it ends later
    than they know, which also is so for a warm target that is cold again, or
    if it is over early. An earlier end of another kind only keeps the target
    from work for longer, and would be announced again and again.
    """
    tolerance_s = const.COLD_TOLERANCE_S
    if not renewed.target.cold_ms:
        return known.cold_until_s <= now_s + tolerance_s
    if not known.target.cold_ms:
        return False
    return renewed.cold_until_s <= known.cold_until_s + tolerance_s
