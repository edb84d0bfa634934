"""Give targets the rests that they ask for.

A rest belongs to one run of a target, as seen by this instance. While it lasts
the run gets no request. After its end one request is sent as a probe, and the
others follow once the target has begun to answer that one: a target that still
wants nothing then refuses one request, not all that waited for it.
"""

import collections.abc
import dataclasses

from bambooring.balancing import const
from bambooring.balancing import runs as runs_module
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class _Rest:
    """A rest of a run, until a target has begun to answer a probe.

    ``probe`` is the id of the request that is under way as a probe.
    """

    until_s: float
    probe: str = ''


class Rests:
    """The rests of all targets, as one instance knows them."""

    __slots__ = ('_known_runs', '_rests')

    def __init__(self) -> None:
        self._rests: dict[runs_module.Run, _Rest] = {}
        self._known_runs: frozenset[runs_module.Run] = frozenset()

    def set_known_runs(
        self, runs: collections.abc.Iterable[runs_module.Run]
    ) -> None:
        """Replace the runs that take new work."""
        self._known_runs = frozenset(runs)

    def begin(
        self, target: targets.Target, asked_s: float, now_s: float
    ) -> float:
        """Begin or prolong a rest.

        Responses may overtake each other, so a shorter rest doesn't shorten
        one that was asked for before.

        :param target: the target
        :param asked_s: the time that it asked for, in seconds
        :param now_s: the current time in seconds
        :returns: how long it rests, in seconds
        """
        self._drop_unknown_runs(now_s)
        rest_s = max(asked_s, const.BUSY_TARGET_BACKOFF_S)
        until_s = now_s + min(rest_s, const.REST_MAX_S)
        rest = self._rests.setdefault(
            runs_module.get_run(target), _Rest(until_s=until_s)
        )
        if until_s >= rest.until_s:
            # A probe that is under way was sent before this was asked for.
            rest.until_s = until_s
            rest.probe = ''
        return rest.until_s - now_s

    def _drop_unknown_runs(self, now_s: float) -> None:
        """Drop the rests of runs that are over or whose target is gone.

        A run that isn't known now may be announced again later, so it is kept
        as long as its rest lasts.
        """
        for run, rest in list(self._rests.items()):
            if run not in self._known_runs and rest.until_s <= now_s:
                del self._rests[run]

    def get_remaining_s(self, target: targets.Target, now_s: float) -> float:
        """Return how long a target still rests, 0 if it doesn't."""
        rest = self._rests.get(runs_module.get_run(target))
        return max(0.0, rest.until_s - now_s) if rest is not None else 0.0

    def may_send(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a target may get a request."""
        if not self._rests:
            return True
        rest = self._rests.get(runs_module.get_run(target))
        return rest is None or (rest.until_s <= now_s and not rest.probe)

    def needs_probe(self, target: targets.Target) -> bool:
        """Return whether a target has answered nothing since its rest."""
        return runs_module.get_run(target) in self._rests

    def may_wait_for_probe(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a probe may be put off until retries are left."""
        rest = self._rests.get(runs_module.get_run(target))
        if rest is None:
            return False
        return now_s < rest.until_s + const.PROBE_MAX_DELAY_S

    def record_request(
        self, target: targets.Target, request_id: str, now_s: float
    ) -> None:
        """Record that a request is sent; after a rest it is the probe."""
        rest = self._rests.get(runs_module.get_run(target))
        if rest is not None and rest.until_s <= now_s:
            rest.probe = request_id

    def record_answer(self, target: targets.Target, request_id: str) -> None:
        """Record that a target began to answer; a probe ends its rest.

        A request that was sent before the rest says nothing of its end.
        """
        rest = self._rests.get(runs_module.get_run(target))
        if rest is not None and rest.probe and rest.probe == request_id:
            del self._rests[runs_module.get_run(target)]

    def record_end(self, target: targets.Target, request_id: str) -> None:
        """Record that a request has ended, so that another may be the probe.

        :param target: the target
        :param request_id: the id of the request
        """
        rest = self._rests.get(runs_module.get_run(target))
        if rest is not None and rest.probe == request_id:
            rest.probe = ''
