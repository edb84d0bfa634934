"""Keep what is known of crashes, and decide on requests by it.

What may have crashed a target is what it had not answered whole: the parts
of the prompts of those requests, and each request as a whole. A cause that is
answered after a crash is cleared of it. What remains is quarantined for a
time; then one request with it is sent as a probe, so that a sound cause is
cleared and a deadly one crashes one target more.

That an answer has begun says little of a part that was never answered whole,
as it may crash its targets a little later. A part that was answered before is
cleared by an answer that goes on: in a series of crashes few end whole.

All instances keep the same crashes. Their news may be merged repeatedly, late
and in any order: crashes, and what was cleared of them, only accumulate until
they expire.
"""

import collections.abc
import dataclasses
import enum

from bambooring.crashes import causes as causes_module
from bambooring.crashes import const
from bambooring.crashes import messages


class Status(enum.Enum):
    """Whether a request may be sent.

    PROBE allows to send it as a probe, of which there is one at a time.
    QUARANTINED and PROBE_BUSY forbid to send it.
    """

    CLEAR = enum.auto()
    PROBE = enum.auto()
    PROBE_BUSY = enum.auto()
    QUARANTINED = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True)
class Decision:
    """The decision on a request, and the suspect that it is due to.

    ``key`` is 0 without a suspect. ``crash_count`` are the crashes that the
    suspect is blamed for, ``wait_s`` is after how long the decision may be
    another one.
    """

    status: Status
    key: int = 0
    crash_count: int = 0
    wait_s: float = 0.0

    @property
    def is_forbidden(self) -> bool:
        """Return whether the request must not be sent for now."""
        return self.status in (Status.PROBE_BUSY, Status.QUARANTINED)


CLEAR = Decision(status=Status.CLEAR)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Crash:
    """A crash as this instance knows it; ``at_s`` is in its own seconds."""

    at_s: float
    quarantine_s: float
    suspects: dict[int, messages.CauseKind]
    cleared: set[int]

    def list_open(self) -> collections.abc.Iterator[int]:
        """Yield the suspects that are not cleared."""
        return (key for key in self.suspects if key not in self.cleared)


@dataclasses.dataclass(slots=True, kw_only=True)
class Merged:
    """What became of news: what of it was new, and what to reply to all."""

    changed: messages.CrashNews
    reply: messages.CrashNews


class CrashLedger:
    """Keep crashes and answered parts, and decide on requests."""

    __slots__ = (
        '_answered_parts',
        '_crash_ids_by_key',
        '_crashes',
        '_first_answer_s',
        '_probe_key',
        '_probe_until_s',
    )

    def __init__(self) -> None:
        self._crashes: dict[int, _Crash] = {}
        # By suspect: the crashes that it is not cleared of.
        self._crash_ids_by_key: dict[int, set[int]] = {}
        # In order of the last answer, the latest at the end.
        self._answered_parts: dict[int, None] = {}
        self._first_answer_s: float | None = None
        self._probe_key = 0
        self._probe_until_s = 0.0

    def record_answer(
        self, causes: causes_module.Causes, now_s: float
    ) -> messages.CrashNews:
        """Record that a target has answered a request whole.

        :returns: what it clears, for others to know
        """
        parts = (*causes.shared_parts, *causes.own_parts)
        if parts and self._first_answer_s is None:
            self._first_answer_s = now_s
        for key in parts:
            self._add_answered_part(key)
        return self._clear((*parts, causes.request), now_s)

    def record_progress(
        self, causes: causes_module.Causes, now_s: float
    ) -> messages.CrashNews:
        """Record that an answer goes on, some time after it has begun.

        :returns: what it clears, for others to know
        """
        answered = [
            key for key in causes.shared_parts if key in self._answered_parts
        ]
        return self._clear(answered, now_s)

    def _clear(
        self, keys: collections.abc.Iterable[int], now_s: float
    ) -> messages.CrashNews:
        news = messages.CrashNews()
        for key in keys:
            crash_ids = self._crash_ids_by_key.get(key)
            if crash_ids:
                clearing = messages.Acquittal(
                    key=key, crash_ids=sorted(crash_ids)
                )
                self._apply_clearing(clearing, now_s)
                news.acquittals.append(clearing)
        return news

    def _add_answered_part(self, key: int) -> None:
        self._answered_parts.pop(key, None)
        self._answered_parts[key] = None
        if len(self._answered_parts) > const.MAX_ANSWERED_PARTS:
            del self._answered_parts[next(iter(self._answered_parts))]

    def record_crash(
        self,
        crash_id: int,
        causes: causes_module.Causes,
        *,
        is_group: bool,
        now_s: float,
    ) -> messages.CrashNews:
        """Record that a target crashed before it answered a request whole.

        :param crash_id: the crash
        :param causes: the possible causes in the request
        :param is_group: whether the target belongs to a model group
        :param now_s: the current time in seconds
        :returns: what others have to know of it
        """
        crash = messages.Crash(
            id=crash_id,
            age_ms=0,
            quarantine_ms=round(
                self._get_quarantine_s(is_group, now_s) * 1000
            ),
            suspects=list(self._list_suspects(causes)),
        )
        merged = self.merge(messages.CrashNews(crashes=[crash]), now_s)
        return merged.changed

    def _get_quarantine_s(self, is_group: bool, now_s: float) -> float:
        has_history = (
            self._first_answer_s is not None
            and now_s - self._first_answer_s >= const.HISTORY_MIN_S
        )
        if is_group and has_history:
            return const.GROUP_QUARANTINE_S
        return const.TARGET_QUARANTINE_S

    def _list_suspects(
        self, causes: causes_module.Causes
    ) -> collections.abc.Iterator[messages.Suspect]:
        """Yield the suspects, new parts first, up to the limit."""
        new = [
            key
            for key in causes.shared_parts
            if key not in self._answered_parts
        ]
        answered = [
            key for key in causes.shared_parts if key in self._answered_parts
        ]
        yield messages.Suspect(
            key=causes.request, kind=messages.CauseKind.REQUEST
        )
        for key in new[: const.MAX_SUSPECTS_PER_CRASH - 1]:
            yield messages.Suspect(key=key, kind=messages.CauseKind.NEW_PART)
        room = max(0, const.MAX_SUSPECTS_PER_CRASH - 1 - len(new))
        for key in answered[:room]:
            yield messages.Suspect(
                key=key, kind=messages.CauseKind.ANSWERED_PART
            )

    def merge(self, news: messages.CrashNews, now_s: float) -> Merged:
        """Take over the news of another instance.

        :returns: what was new, and what this instance knows better
        """
        changed = messages.CrashNews()
        reply = messages.CrashNews()
        for crash in news.crashes:
            new_suspects = self._apply_crash(crash, now_s)
            if new_suspects:
                changed.crashes.append(
                    dataclasses.replace(crash, suspects=new_suspects)
                )
                reply.answered_keys += self._claim_answered(new_suspects)
        for clearing in news.acquittals:
            if self._apply_clearing(clearing, now_s):
                changed.acquittals.append(clearing)
        for key in (*news.answered_keys, *_list_answered(news.crashes)):
            if self._mark_answered(key):
                changed.answered_keys.append(key)
        for probe in news.trials:
            if self._apply_probe(probe, now_s):
                changed.trials.append(probe)
        self._expire(now_s)
        return Merged(changed=changed, reply=reply)

    def _apply_crash(
        self, crash: messages.Crash, now_s: float
    ) -> list[messages.Suspect]:
        """Add a crash or its further suspects; return those that are new."""
        at_s = now_s - crash.age_ms / 1000
        known = self._crashes.get(crash.id)
        if known is None:
            if not self._has_room(at_s, now_s):
                return []
            known = self._make_crash(at_s)
            self._crashes[crash.id] = known
        known.quarantine_s = max(
            known.quarantine_s, crash.quarantine_ms / 1000
        )
        new_suspects = []
        for suspect in crash.suspects:
            if suspect.key in known.suspects:
                continue
            if len(known.suspects) >= const.MAX_SUSPECTS_PER_CRASH:
                break
            new_suspects.append(suspect)
            known.suspects[suspect.key] = suspect.kind
            if suspect.key not in known.cleared:
                self._crash_ids_by_key.setdefault(suspect.key, set()).add(
                    crash.id
                )
            if suspect.key == self._probe_key:
                self._probe_until_s = now_s
        return new_suspects

    def _has_room(self, at_s: float, now_s: float) -> bool:
        """Return whether a crash would be kept.

        One that was dropped at once would be passed on as news each time.
        """
        if now_s - at_s > const.CRASH_TTL_S:
            return False
        if len(self._crashes) < const.MAX_CRASHES:
            return True
        return at_s > min(crash.at_s for crash in self._crashes.values())

    def _make_crash(self, at_s: float) -> _Crash:
        return _Crash(at_s=at_s, quarantine_s=0.0, suspects={}, cleared=set())

    def _claim_answered(self, suspects: list[messages.Suspect]) -> list[int]:
        """Return the new parts of others that were answered here."""
        keys = [
            suspect.key
            for suspect in suspects
            if suspect.kind is messages.CauseKind.NEW_PART
            and suspect.key in self._answered_parts
        ]
        return [key for key in keys if self._mark_answered(key)]

    def _apply_clearing(
        self, clearing: messages.Acquittal, now_s: float
    ) -> bool:
        """Clear a cause of crashes, also of those not known yet."""
        is_new = False
        for crash_id in clearing.crash_ids:
            crash = self._crashes.setdefault(crash_id, self._make_crash(now_s))
            if clearing.key in crash.cleared:
                continue
            if len(crash.cleared) >= const.MAX_SUSPECTS_PER_CRASH:
                continue
            is_new = True
            crash.cleared.add(clearing.key)
            self._drop_suspicion(clearing.key, crash_id)
        if is_new:
            self._mark_answered(clearing.key)
            if clearing.key == self._probe_key:
                self._probe_until_s = now_s
        return is_new

    def _drop_suspicion(self, key: int, crash_id: int) -> None:
        crash_ids = self._crash_ids_by_key.get(key, set())
        crash_ids.discard(crash_id)
        if not crash_ids:
            self._crash_ids_by_key.pop(key, None)

    def _mark_answered(self, key: int) -> bool:
        """Record that a part was answered before; return whether it is news.

        The crash that it matters to may become known later.
        """
        is_news = key not in self._answered_parts
        self._add_answered_part(key)
        for crash_id in self._crash_ids_by_key.get(key, ()):
            suspects = self._crashes[crash_id].suspects
            if suspects[key] is messages.CauseKind.NEW_PART:
                suspects[key] = messages.CauseKind.ANSWERED_PART
                is_news = True
        return is_news

    def _apply_probe(self, probe: messages.Trial, now_s: float) -> bool:
        """Record that a probe begins or ends; return whether it is news."""
        is_busy = now_s < self._probe_until_s
        is_same = probe.key == self._probe_key
        if not probe.time_left_ms:
            if is_busy and is_same:
                self._probe_until_s = now_s
                return True
            return False
        if is_busy and is_same:
            return False
        self._probe_key = probe.key
        self._probe_until_s = max(
            self._probe_until_s, now_s + probe.time_left_ms / 1000
        )
        return True

    def decide(self, causes: causes_module.Causes, now_s: float) -> Decision:
        """Decide whether a request may be sent to a target."""
        suspects = [
            key
            for key in (*causes.shared_parts, causes.request)
            if key in self._crash_ids_by_key
        ]
        if not suspects:
            return CLEAR
        self._expire(now_s)
        blamed_by_key = {
            key: blamed
            for key in suspects
            if key in self._crash_ids_by_key
            and (blamed := self._list_crashes_by(key))
        }
        if not blamed_by_key:
            return CLEAR
        is_sole = len(blamed_by_key) == 1
        longest = max(
            (
                self._decide_on_cause(key, blamed, is_sole, now_s)
                for key, blamed in blamed_by_key.items()
            ),
            key=lambda decision: decision.wait_s,
        )
        if longest.wait_s > 0:
            return longest
        if now_s < self._probe_until_s:
            return dataclasses.replace(
                longest,
                status=Status.PROBE_BUSY,
                wait_s=self._probe_until_s - now_s,
            )
        return dataclasses.replace(longest, status=Status.PROBE)

    def _list_crashes_by(self, key: int) -> list[_Crash]:
        """Return the crashes that a suspect is blamed for."""
        crashes = (
            self._crashes[crash_id] for crash_id in self._crash_ids_by_key[key]
        )
        return [crash for crash in crashes if key in self._list_blamed(crash)]

    def _decide_on_cause(
        self, key: int, blamed: list[_Crash], is_sole: bool, now_s: float
    ) -> Decision:
        """Return the decision on one suspect.

        :param key: the suspect
        :param blamed: the crashes that it is blamed for
        :param is_sole: whether the request has no other suspect
        :param now_s: the current time in seconds
        """
        last = max(blamed, key=lambda crash: crash.at_s)
        if self._count_excess(key):
            quarantine_s = const.LATER_QUARANTINE_S
        elif not is_sole:
            # A crash would not tell which of the suspects caused it.
            quarantine_s = const.GROUP_QUARANTINE_S
        elif all(len(self._list_blamed(crash)) > 1 for crash in blamed):
            # The sooner a request has only one of several suspects, the
            # sooner they can be told apart.
            quarantine_s = const.TARGET_QUARANTINE_S
        else:
            quarantine_s = last.quarantine_s
        return Decision(
            status=Status.QUARANTINED,
            key=key,
            crash_count=len(blamed),
            wait_s=max(0.0, last.at_s + quarantine_s - now_s),
        )

    def _list_blamed(self, crash: _Crash) -> set[int]:
        """Return the suspects of a crash that account for it best.

        A part that was never answered accounts for it better than anything
        that was, and what has more outages better than what has fewer.
        """
        ranks = {
            key: (
                crash.suspects[key] is messages.CauseKind.NEW_PART,
                self._count_excess(key),
            )
            for key in crash.list_open()
            if self._count_excess(key) >= 0
        }
        best = max(ranks.values(), default=None)
        return {key for key, rank in ranks.items() if rank == best}

    def _count_excess(self, key: int) -> int:
        """Return by how much a cause's count exceeds its limit."""
        crashes = [
            self._crashes[crash_id]
            for crash_id in self._crash_ids_by_key.get(key, ())
        ]
        kinds = {crash.suspects[key] for crash in crashes}
        if messages.CauseKind.REQUEST in kinds:
            return len(crashes) - const.REQUEST_CRASH_LIMIT
        times_s = [crash.at_s for crash in crashes]
        if kinds == {messages.CauseKind.NEW_PART}:
            outages = _count_outages(times_s, const.NEW_PART_OUTAGE_S)
            return outages - const.NEW_PART_OUTAGE_LIMIT
        outages = _count_outages(times_s, const.ANSWERED_PART_OUTAGE_S)
        return outages - const.ANSWERED_PART_OUTAGE_LIMIT

    def begin_probe(self, key: int, now_s: float) -> messages.CrashNews:
        """Record that a request with a suspect is sent to a target."""
        return self._set_probe(key, const.PROBE_TIMEOUT_S, now_s)

    def end_probe(self, key: int, now_s: float) -> messages.CrashNews:
        """Record that a probe ended without any result."""
        if key != self._probe_key or now_s >= self._probe_until_s:
            return messages.CrashNews()
        return self._set_probe(key, 0.0, now_s)

    def _set_probe(
        self, key: int, time_left_s: float, now_s: float
    ) -> messages.CrashNews:
        probe = messages.Trial(key=key, time_left_ms=round(time_left_s * 1000))
        self._apply_probe(probe, now_s)
        return messages.CrashNews(trials=[probe])

    def list_all(self, now_s: float) -> messages.CrashNews:
        """Return all that is known, for an instance that is newly linked."""
        self._expire(now_s)
        news = messages.CrashNews()
        crash_ids_by_key: dict[int, list[int]] = {}
        for crash_id, crash in self._crashes.items():
            open_keys = set(crash.list_open())
            if open_keys:
                news.crashes.append(
                    self._describe(crash_id, crash, open_keys, now_s)
                )
            for key in crash.cleared:
                crash_ids_by_key.setdefault(key, []).append(crash_id)
        news.acquittals = [
            messages.Acquittal(key=key, crash_ids=sorted(crash_ids))
            for key, crash_ids in crash_ids_by_key.items()
        ]
        if now_s < self._probe_until_s:
            left_ms = round((self._probe_until_s - now_s) * 1000)
            news.trials.append(
                messages.Trial(key=self._probe_key, time_left_ms=left_ms)
            )
        return news

    def _describe(
        self, crash_id: int, crash: _Crash, keys: set[int], now_s: float
    ) -> messages.Crash:
        return messages.Crash(
            id=crash_id,
            age_ms=max(0, round((now_s - crash.at_s) * 1000)),
            quarantine_ms=round(crash.quarantine_s * 1000),
            suspects=[
                messages.Suspect(key=key, kind=crash.suspects[key])
                for key in crash.suspects
                if key in keys
            ],
        )

    def _expire(self, now_s: float) -> None:
        """Drop old crashes, and the oldest ones beyond the limit."""
        by_age = sorted(self._crashes, key=lambda id: self._crashes[id].at_s)
        surplus = max(0, len(by_age) - const.MAX_CRASHES)
        for position, crash_id in enumerate(by_age):
            crash = self._crashes[crash_id]
            is_old = now_s > crash.at_s + const.CRASH_TTL_S
            if not is_old and position >= surplus:
                break
            for key in list(crash.list_open()):
                self._drop_suspicion(key, crash_id)
            del self._crashes[crash_id]


def _list_answered(
    crashes: list[messages.Crash],
) -> collections.abc.Iterator[int]:
    """Yield the suspects that were answered before some crash."""
    for crash in crashes:
        for suspect in crash.suspects:
            if suspect.kind is messages.CauseKind.ANSWERED_PART:
                yield suspect.key


def _count_outages(
    times_s: collections.abc.Iterable[float], outage_s: float
) -> int:
    """Return how many groups there are of times that lie close together."""
    count = 0
    begin_s = float('-inf')
    for at_s in sorted(times_s):
        if at_s - begin_s > outage_s:
            count += 1
            begin_s = at_s
    return count
