"""Remember which targets have said in a response that they leave.

A target may say so before its announcement reaches this instance, and some
targets never announce it. It holds for that run for good, whatever is
announced of it later: announcements may be late or come by way of a stale
instance. Other instances aren't told, since a spoilt response could then take
a sound target from all of them; each learns it from its own responses.
"""

import collections.abc

from bambooring.balancing import const
from bambooring.balancing import runs as runs_module
from bambooring.targets import messages as targets


class LeavingRuns:
    """The runs of targets that leave, as one instance knows them."""

    __slots__ = ('_known_runs', '_marked_s')

    def __init__(self) -> None:
        # By run: when it was marked, in seconds.
        self._marked_s: dict[runs_module.Run, float] = {}
        self._known_runs: frozenset[runs_module.Run] = frozenset()

    def set_known_runs(
        self, runs: collections.abc.Iterable[runs_module.Run]
    ) -> None:
        """Replace the runs that take new work by their announcements."""
        self._known_runs = frozenset(runs)

    def mark(self, target: targets.Target, now_s: float) -> bool:
        """Mark the run of a target as leaving.

        :param target: the target
        :param now_s: the current time in seconds
        :returns: whether it wasn't marked before
        """
        run = runs_module.get_run(target)
        if run in self._marked_s:
            return False
        self._drop_unknown_runs(now_s)
        self._marked_s[run] = now_s
        return True

    def _drop_unknown_runs(self, now_s: float) -> None:
        """Drop runs that have been marked for long and aren't announced.

        A run whose heartbeats are missing may be announced once more.
        """
        for run, marked_s in list(self._marked_s.items()):
            is_old = now_s - marked_s > const.LEAVING_RETENTION_S
            if is_old and run not in self._known_runs:
                del self._marked_s[run]

    def is_marked(self, target: targets.Target) -> bool:
        """Return whether the run of a target leaves."""
        return (
            bool(self._marked_s)
            and runs_module.get_run(target) in self._marked_s
        )
