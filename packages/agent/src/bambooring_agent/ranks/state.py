"""Turn running totals into what was added since the last look."""

from bambooring_core.ranks import messages


class DemandMeter:
    """Hold the last totals of one rank, and what was added before them."""

    __slots__ = ('_last_totals', 'latest_demand')

    def __init__(self) -> None:
        self._last_totals: messages.Counts | None = None
        self.latest_demand: messages.RankDemand | None = None

    def record_totals(
        self, counts: messages.Counts, state: messages.RankState
    ) -> messages.RankDemand | None:
        """Return what was added since the last totals.

        :param counts: the totals since the rank started
        :param state: the rank
        :returns: the demand, or None if nothing can be compared or was added
        """
        last, self._last_totals = self._last_totals, counts
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
            # The rank has started anew, or has run nothing.
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
