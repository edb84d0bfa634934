"""Derive the demand for experts from the totals that a rank counts."""

from bambooring_agent.ranks import const
from bambooring_core import bounds
from bambooring_core.ranks import messages


def get_state_interval_s(state: messages.RankState | None) -> float:
    """Return how often the state of a rank is read, in seconds.

    :param state: the last known state
    """
    if state is None or state.is_open:
        return const.STATE_POLL_INTERVAL_S
    return const.BROKEN_POLL_INTERVAL_S


class StateReporter:
    """Decide which states the leader needs to be told."""

    __slots__ = ('_reported', '_reported_s')

    def __init__(self) -> None:
        self._reported: messages.RankState | None = None
        self._reported_s = 0.0

    def is_due(self, state: messages.RankState, now_s: float) -> bool:
        """Return whether to report a state, and take it as reported if so.

        A broken group is polled more often than it has to be reported.
        """
        is_known = not state.is_open and state == self._reported
        # Polls come a little earlier or later than their interval.
        half_s = const.STATE_POLL_INTERVAL_S / 2
        if is_known and now_s - self._reported_s < half_s:
            return False
        self._reported = state
        self._reported_s = now_s
        return True


class DemandMeter:
    """Computes the demand of one rank from its successive totals.

    ``latest_demand`` is the last one that was found, for a new leader.
    """

    __slots__ = ('_last_totals', '_reading_count', 'latest_demand')

    def __init__(self) -> None:
        self._reading_count = 0
        self._last_totals: messages.ExpertCounts | None = None
        self.latest_demand: messages.RankDemand | None = None

    def record_totals(
        self, counts: messages.ExpertCounts, state: messages.RankState
    ) -> messages.RankDemand | None:
        """Record new totals and return what they add to the last ones.

        :param counts: how often each expert was chosen since the rank started
        :param state: the state of the rank
        :returns: the demand, or None if there are no totals to compare
            with, the rank has restarted, nothing was added, or other ranks
            of a large group report this time
        """
        last, self._last_totals = self._last_totals, counts
        self._reading_count += 1
        parts = -(-state.size // const.REPORTING_RANKS)
        if (self._reading_count + state.rank) % max(1, parts):
            return None
        if last is None or not state.layout:
            return None
        if len(last.counts) != len(counts.counts):
            return None
        increments = [
            current - previous
            for current, previous in zip(
                counts.counts, last.counts, strict=True
            )
        ]
        if min(increments, default=0) < 0 or not any(increments):
            # The rank has restarted, or has run nothing since.
            return None
        if not bounds.is_count(max(increments), bounds.INTEGER_BITS):
            # No report has room for it, and no rank runs so many tokens.
            return None
        self.latest_demand = messages.RankDemand(
            target=state.target,
            group=state.group,
            epoch=state.epoch,
            rank=state.rank,
            sets=len(state.layout),
            packed=messages.pack_counts(increments),
        )
        return self.latest_demand
