"""Plan a group's next expert map within the limits of one switch.

Ranks run each pass together, so a set of layers takes as long as its most
loaded rank. An expert's load is split evenly over the ranks that hold it. A
slow rank takes longer for the same load, so it is given less of it.

The planner improves the map in force by one change at a time. A change takes
load off the most loaded rank: one of its experts gets a further replica on
another rank, moves to another rank, swaps with a lighter expert, or loses its
replica on this rank. The planner applies the change that leaves the least
imbalance, as long as it is worth the experts that have to be copied for it.
"""

import collections.abc
import dataclasses
import heapq
import sys
import typing

# Experts of the most loaded rank that are tried, heaviest first.
_MAX_EXPERTS_TRIED: typing.Final = 4
# Ranks that are tried for taking load, least loaded first.
_MAX_RANKS_TRIED: typing.Final = 6
# Experts of such a rank that are tried for making room, lightest first.
_MAX_EVICTIONS_TRIED: typing.Final = 2

# The imbalance of a set is the sum of its ranks' loads, as multiples of the
# mean, to this power. It is close to that of the peak alone, but also falls
# when one of several equal peaks does.
_IMBALANCE_EXPONENT: typing.Final = 8

# For each expert that it copies, a change must lower the imbalance by this
# share of the most loaded rank's part in it at least.
_MIN_GAIN_PER_COPY: typing.Final = 0.3

# Limits the changes to a set in one plan, and thereby the planning time.
_MAX_CHANGES_PER_SET: typing.Final = 60

# The load of each expert in one set of layers.
Loads = list[float]
# The experts of each rank in one set of layers.
Layout = list[list[int]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Limits:
    """Limit what one switch may change.

    A rank holds up to ``slots_per_rank`` experts in a set, of which at most
    ``spare_slots`` may be new to it. ``max_copies`` limits the experts that
    are new to a rank in all sets together.
    """

    slots_per_rank: int
    spare_slots: int
    max_copies: int = sys.maxsize


@dataclasses.dataclass(slots=True, kw_only=True)
class SetPlan:
    """Describe a set's new layout and its expected effect.

    ``peak_before`` and ``peak_after`` are the load of the most loaded rank as
    a multiple of the mean. ``moves`` counts the experts that ranks must copy.
    ``is_partial`` means that some rank copies as many experts as it may.
    """

    layout: Layout
    peak_before: float
    peak_after: float
    moves: int
    is_partial: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Edit:
    """Add an expert to a rank, or remove it from there."""

    rank: int
    expert: int
    is_added: bool


# Edits that are made together.
Change = tuple[_Edit, ...]


def _make_addition(rank: int, expert: int) -> _Edit:
    return _Edit(rank=rank, expert=expert, is_added=True)


def _make_removal(rank: int, expert: int) -> _Edit:
    return _Edit(rank=rank, expert=expert, is_added=False)


class _WorkingLayout:
    """Keep a layout and the load of each rank while changes are applied.

    A change affects only the ranks that hold the experts in question, so
    only their loads are recomputed. ``rank_loads`` holds each rank's load
    times its slowdown. ``mean_load`` is the value that all ranks would have
    if they took equally long.
    """

    def __init__(
        self,
        layout: Layout,
        loads: Loads,
        slowdowns: list[float],
        limits: Limits,
        max_new_by_rank: list[int],
    ) -> None:
        self._slowdowns = slowdowns
        self._max_new_by_rank = max_new_by_rank
        self.experts_by_rank = [set(experts) for experts in layout]
        self._initial_experts = [frozenset(experts) for experts in layout]
        self._loads = loads
        self._limits = limits
        self._ranks_by_expert: list[set[int]] = [set() for _ in loads]
        for rank, experts in enumerate(self.experts_by_rank):
            for expert in experts:
                self._ranks_by_expert[expert].add(rank)
        self.rank_loads = [
            slowdown * sum(self.get_replica_load(held) for held in experts)
            for experts, slowdown in zip(
                self.experts_by_rank, slowdowns, strict=True
            )
        ]
        self.mean_load = (
            sum(loads) / sum(1 / slowdown for slowdown in slowdowns) or 1.0
        )

    def get_replica_load(self, expert: int) -> float:
        """Return the load that an expert puts on each of its ranks."""
        return self._loads[expert] / len(self._ranks_by_expert[expert])

    def get_peak_to_mean(self) -> float:
        """Return the most loaded rank's load as a multiple of the mean."""
        return max(self.rank_loads) / self.mean_load

    def count_new_experts(self, rank: int) -> int:
        """Return how many experts a rank has to copy."""
        return len(self.experts_by_rank[rank] - self._initial_experts[rank])

    def is_copy_limited(self) -> bool:
        """Return whether any rank copies as many experts as it may."""
        return any(
            self.count_new_experts(rank) >= max_new
            for rank, max_new in enumerate(self._max_new_by_rank)
        )

    def find_most_loaded_rank(self) -> int:
        """Return the most loaded rank."""
        return max(
            range(len(self.rank_loads)), key=self.rank_loads.__getitem__
        )

    def list_least_loaded_ranks(self) -> list[int]:
        """Return some ranks with the least load, least loaded first."""
        return heapq.nsmallest(
            _MAX_RANKS_TRIED,
            range(len(self.rank_loads)),
            self.rank_loads.__getitem__,
        )

    def list_heaviest_experts(self, rank: int) -> list[int]:
        """Return some of a rank's experts, those with the most load first."""
        return heapq.nlargest(
            _MAX_EXPERTS_TRIED,
            self.experts_by_rank[rank],
            self.get_replica_load,
        )

    def list_lightest_experts(self, rank: int) -> list[int]:
        """Return some of a rank's experts, those with the least load first."""
        return heapq.nsmallest(
            _MAX_EVICTIONS_TRIED,
            self.experts_by_rank[rank],
            self.get_replica_load,
        )

    def is_replicated(self, expert: int) -> bool:
        """Return whether an expert can be removed from one of its ranks."""
        return len(self._ranks_by_expert[expert]) > 1

    def may_accept(self, expert: int, rank: int) -> bool:
        """Return whether an expert may be added to a rank.

        An expert that the rank held at first needs no copy.
        """
        if expert in self.experts_by_rank[rank]:
            return False
        if expert in self._initial_experts[rank]:
            return True
        return self.count_new_experts(rank) < self._max_new_by_rank[rank]

    def has_free_slot(self, rank: int) -> bool:
        """Return whether a rank has a free slot."""
        return len(self.experts_by_rank[rank]) < self._limits.slots_per_rank

    def count_copies(self, change: Change) -> int:
        """Return how many experts a change makes ranks copy."""
        return sum(
            edit.is_added
            and edit.expert not in self._initial_experts[edit.rank]
            for edit in change
        )

    def predict_loads(self, change: Change) -> dict[int, float]:
        """Return the load that each affected rank has after a change."""
        loads_after: dict[int, float] = {}
        for expert in {edit.expert for edit in change}:
            old_ranks = self._ranks_by_expert[expert]
            new_ranks = set(old_ranks)
            for edit in change:
                if edit.expert != expert:
                    continue
                if edit.is_added:
                    new_ranks.add(edit.rank)
                else:
                    new_ranks.discard(edit.rank)
            old_replica_load = self.get_replica_load(expert)
            new_replica_load = self._loads[expert] / len(new_ranks)
            for rank in old_ranks | new_ranks:
                load = loads_after.get(rank, self.rank_loads[rank])
                if rank in old_ranks:
                    load -= old_replica_load * self._slowdowns[rank]
                if rank in new_ranks:
                    load += new_replica_load * self._slowdowns[rank]
                loads_after[rank] = load
        return loads_after

    def estimate_gain(self, change: Change) -> float:
        """Return by how much a change lowers the imbalance."""
        return sum(
            (self.rank_loads[rank] / self.mean_load) ** _IMBALANCE_EXPONENT
            - (load / self.mean_load) ** _IMBALANCE_EXPONENT
            for rank, load in self.predict_loads(change).items()
        )

    def apply(self, change: Change) -> None:
        """Apply a change to the layout and the loads."""
        for rank, load in self.predict_loads(change).items():
            self.rank_loads[rank] = load
        for edit in change:
            if edit.is_added:
                self.experts_by_rank[edit.rank].add(edit.expert)
                self._ranks_by_expert[edit.expert].add(edit.rank)
            else:
                self.experts_by_rank[edit.rank].discard(edit.expert)
                self._ranks_by_expert[edit.expert].discard(edit.rank)


def plan_set(
    layout: Layout,
    loads: Loads,
    limits: Limits,
    slowdowns: list[float] | None = None,
    max_new_by_rank: list[int] | None = None,
) -> SetPlan:
    """Plan one set of layers.

    :param layout: the current layout
    :param loads: the load of each expert
    :param limits: the limits of one switch
    :param slowdowns: by rank, how many times longer than a healthy rank it
        takes for the same load; 1 for all ranks by default
    :param max_new_by_rank: how many experts may be new to each rank; the
        spare slots by default
    :returns: the plan
    """
    working_layout = _WorkingLayout(
        layout,
        loads,
        slowdowns or [1.0] * len(layout),
        limits,
        max_new_by_rank or [limits.spare_slots] * len(layout),
    )
    peak_before = working_layout.get_peak_to_mean()
    for _ in range(_MAX_CHANGES_PER_SET):
        change = _find_best_change(working_layout)
        if change is None:
            break
        working_layout.apply(change)
    return SetPlan(
        layout=[sorted(experts) for experts in working_layout.experts_by_rank],
        peak_before=peak_before,
        peak_after=working_layout.get_peak_to_mean(),
        moves=sum(
            working_layout.count_new_experts(rank)
            for rank in range(len(layout))
        ),
        is_partial=working_layout.is_copy_limited(),
    )


class MapPlanner:
    """Plan the sets of layers one by one, the most imbalanced ones first.

    Planning a large group takes a while in which its process would do nothing
    else. The caller can do other work between the sets. The sets share the
    limit on copies, so the first ones get most of it.
    """

    __slots__ = (
        '_copies_left',
        '_demand',
        '_layouts',
        '_limits',
        '_order',
        '_plans',
        '_slowdowns',
    )

    def __init__(
        self,
        layouts: list[Layout],
        demand: list[Loads],
        limits: Limits,
        slowdowns: list[float],
    ) -> None:
        """Begin to plan.

        :param layouts: the current layout of each set
        :param demand: by set, the load of each expert
        :param limits: the limits of one switch
        :param slowdowns: by rank, how many times longer than a healthy rank
            it takes for the same load
        """
        self._layouts = layouts
        self._demand = [list(loads) for loads in demand]
        self._limits = limits
        self._slowdowns = slowdowns
        self._copies_left = [limits.max_copies] * len(slowdowns)
        self._plans: dict[int, SetPlan] = {}
        self._order = iter(_order_by_imbalance(layouts, demand, slowdowns))

    def plan_next(self) -> list[SetPlan] | None:
        """Plan the next set.

        :returns: the plans in the order of the sets once all are made
        """
        index = next(self._order, None)
        if index is not None:
            self._plan_set(index)
        if len(self._plans) < len(self._layouts):
            return None
        return [self._plans[index] for index in range(len(self._layouts))]

    def _plan_set(self, index: int) -> None:
        layout = self._layouts[index]
        plan = plan_set(
            layout,
            self._demand[index],
            self._limits,
            self._slowdowns,
            [
                min(self._limits.spare_slots, copies)
                for copies in self._copies_left
            ],
        )
        self._plans[index] = plan
        for rank, (new, old) in enumerate(
            zip(plan.layout, layout, strict=True)
        ):
            self._copies_left[rank] -= len(set(new) - set(old))


def plan_map(
    layouts: list[Layout],
    demand: list[Loads],
    limits: Limits,
    slowdowns: list[float],
) -> list[SetPlan]:
    """Plan every set of layers at once, see :class:`MapPlanner`.

    :returns: the plans in the order of the sets
    """
    planner = MapPlanner(layouts, demand, limits, slowdowns)
    while (plans := planner.plan_next()) is None:
        pass
    return plans


def _order_by_imbalance(
    layouts: list[Layout], demand: list[Loads], slowdowns: list[float]
) -> list[int]:
    """Return the indexes of the sets, that with the highest peak first."""
    limits = Limits(slots_per_rank=0, spare_slots=0)
    peaks = [
        _WorkingLayout(
            layout, loads, slowdowns, limits, [0] * len(slowdowns)
        ).get_peak_to_mean()
        for layout, loads in zip(layouts, demand, strict=True)
    ]
    return sorted(range(len(peaks)), key=peaks.__getitem__, reverse=True)


def _find_best_change(working_layout: _WorkingLayout) -> Change | None:
    """Return the change that gains most, or None if it isn't worth it."""
    most_loaded = working_layout.find_most_loaded_rank()
    best_gain, best_change = 0.0, None
    for change in _list_changes(working_layout, most_loaded):
        gain = working_layout.estimate_gain(change)
        if gain > best_gain:
            best_gain, best_change = gain, change
    if best_change is None:
        return None
    peak_imbalance = working_layout.get_peak_to_mean() ** _IMBALANCE_EXPONENT
    if (
        best_gain
        < _MIN_GAIN_PER_COPY
        * working_layout.count_copies(best_change)
        * peak_imbalance
    ):
        return None
    return best_change


def _list_changes(
    working_layout: _WorkingLayout, most_loaded: int
) -> collections.abc.Iterator[Change]:
    """Yield changes that take load off the most loaded rank."""
    least_loaded = [
        rank
        for rank in working_layout.list_least_loaded_ranks()
        if rank != most_loaded
    ]
    for expert in working_layout.list_heaviest_experts(most_loaded):
        if working_layout.is_replicated(expert):
            yield (_make_removal(most_loaded, expert),)
        for rank in least_loaded:
            if working_layout.may_accept(expert, rank):
                yield from _list_transfers(
                    working_layout, expert, most_loaded, rank
                )


def _list_transfers(
    working_layout: _WorkingLayout, expert: int, source: int, rank: int
) -> collections.abc.Iterator[Change]:
    """Yield the changes that give a rank an expert of the source rank."""
    if working_layout.has_free_slot(rank):
        yield (_make_addition(rank, expert),)
        yield (_make_addition(rank, expert), _make_removal(source, expert))
        return
    for light_expert in working_layout.list_lightest_experts(rank):
        if working_layout.is_replicated(light_expert):
            yield (
                _make_removal(rank, light_expert),
                _make_addition(rank, expert),
            )
        if working_layout.may_accept(light_expert, source):
            yield (
                _make_removal(rank, light_expert),
                _make_addition(rank, expert),
                _make_removal(source, expert),
                _make_addition(source, light_expert),
            )


def place_round_robin(expert_count: int, rank_count: int) -> Layout:
    """Return a layout that deals the experts out to the ranks in turn."""
    return [
        list(range(rank, expert_count, rank_count))
        for rank in range(rank_count)
    ]
