"""Plan a group's next map within what one switch may change.

Ranks run each pass together, so a set of layers takes as long as its most
loaded rank; an expert's load is split evenly over the ranks that hold it.
A rank
that is slow takes longer for the same load, so it is given less of it.
The planner goes from the map in force by one change at a time. A change
takes load off the most loaded rank: an expert of it gets a further replica
elsewhere, moves, changes places with a lighter one, or loses its replica
there. The change that leaves the least unevenness is taken, as long as it
is worth the experts that have to be copied for it.
"""

import collections.abc
import dataclasses
import heapq
import sys
import typing

# Experts of the most loaded rank that are considered, heaviest first.
_HEAVIEST: typing.Final = 4
# Ranks that may take load, least loaded first.
_COOLEST: typing.Final = 6
# Experts of such a rank that may be given up for it, lightest first.
_LIGHTEST: typing.Final = 2

# Unevenness is the sum of the ranks' loads to this power: close to the
# peak alone, but it also falls when one of several equal peaks does.
_POWER: typing.Final = 8

# A copied expert must lower the unevenness by this share at least.
_LEAST_GAIN: typing.Final = 0.3

# Changes of a set in one plan; bounds the time that planning takes.
_MAX_CHANGES: typing.Final = 60

Loads = list[float]
# The experts of each rank in one set of layers.
Layout = list[list[int]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Bounds:
    """Bound a map.

    A rank has ``places`` in a set, of which ``spare`` may be new to it;
    ``copies`` bounds what is new to it in all sets together.
    """

    places: int
    spare: int
    copies: int = sys.maxsize


@dataclasses.dataclass(slots=True, kw_only=True)
class SetPlan:
    """Hold a set's new layout and what it is expected to do.

    ``before`` and ``after`` are the most loaded rank's load as a multiple
    of the mean; ``moves`` counts the experts that ranks must copy.
    ``is_partial`` tells that a rank copies as many as it may.
    """

    layout: Layout
    before: float
    after: float
    moves: int
    is_partial: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Edit:
    """Add an expert to a rank, or take it away."""

    rank: int
    expert: int
    is_added: bool


Change = tuple[_Edit, ...]


def _add(rank: int, expert: int) -> _Edit:
    return _Edit(rank=rank, expert=expert, is_added=True)


def _take(rank: int, expert: int) -> _Edit:
    return _Edit(rank=rank, expert=expert, is_added=False)


class _Working:
    """Hold a layout with its loads while it is changed.

    A change touches only the ranks that hold the experts in question, so
    just their loads are computed anew. ``ranks`` holds each rank's load
    times its pace; ``mean`` is what each had if all took equally long.
    """

    def __init__(
        self,
        layout: Layout,
        loads: Loads,
        paces: list[float],
        bounds: Bounds,
        spare: list[int],
    ) -> None:
        self._paces = paces
        self._spare = spare
        self.held = [set(experts) for experts in layout]
        self._first = [frozenset(experts) for experts in layout]
        self._loads = loads
        self._bounds = bounds
        self._holders: list[set[int]] = [set() for _ in loads]
        for rank, experts in enumerate(self.held):
            for expert in experts:
                self._holders[expert].add(rank)
        self.ranks = [
            pace * sum(self.get_share(one) for one in experts)
            for experts, pace in zip(self.held, paces, strict=True)
        ]
        self.mean = sum(loads) / sum(1 / pace for pace in paces) or 1.0

    def get_share(self, expert: int) -> float:
        """Return the load that an expert puts on each of its ranks."""
        return self._loads[expert] / len(self._holders[expert])

    def get_peak(self) -> float:
        """Return the most loaded rank's load as a multiple of the mean."""
        return max(self.ranks) / self.mean

    def count_new(self, rank: int) -> int:
        """Return how many experts a rank would have to copy."""
        return len(self.held[rank] - self._first[rank])

    def is_used_up(self) -> bool:
        """Tell whether a rank copies as many experts as it may."""
        return any(
            self.count_new(rank) >= spare
            for rank, spare in enumerate(self._spare)
        )

    def find_hottest(self) -> int:
        """Return the most loaded rank."""
        return max(range(len(self.ranks)), key=self.ranks.__getitem__)

    def list_coolest(self) -> list[int]:
        """Return the ranks with the least load."""
        return heapq.nsmallest(
            _COOLEST, range(len(self.ranks)), self.ranks.__getitem__
        )

    def list_heaviest(self, rank: int) -> list[int]:
        """Return a rank's experts that weigh most there."""
        return heapq.nlargest(_HEAVIEST, self.held[rank], self.get_share)

    def list_lightest(self, rank: int) -> list[int]:
        """Return a rank's experts that weigh least there."""
        return heapq.nsmallest(_LIGHTEST, self.held[rank], self.get_share)

    def is_replicated(self, expert: int) -> bool:
        """Tell whether one of an expert's ranks may give it up."""
        return len(self._holders[expert]) > 1

    def may_take(self, expert: int, rank: int) -> bool:
        """Tell whether a rank may take a further expert."""
        if expert in self.held[rank]:
            return False
        if expert in self._first[rank]:
            return True
        return self.count_new(rank) < self._spare[rank]

    def has_place(self, rank: int) -> bool:
        """Tell whether a rank has a free place."""
        return len(self.held[rank]) < self._bounds.places

    def count_copies(self, change: Change) -> int:
        """Return how many experts a change makes ranks copy."""
        return sum(
            edit.is_added and edit.expert not in self._first[edit.rank]
            for edit in change
        )

    def measure(self, change: Change) -> dict[int, float]:
        """Return the load of each rank that a change touches, after it."""
        after: dict[int, float] = {}
        for expert in {edit.expert for edit in change}:
            before = self._holders[expert]
            holders = set(before)
            for edit in change:
                if edit.expert != expert:
                    continue
                if edit.is_added:
                    holders.add(edit.rank)
                else:
                    holders.discard(edit.rank)
            old = self.get_share(expert)
            new = self._loads[expert] / len(holders)
            for rank in before | holders:
                load = after.get(rank, self.ranks[rank])
                if rank in before:
                    load -= old * self._paces[rank]
                if rank in holders:
                    load += new * self._paces[rank]
                after[rank] = load
        return after

    def estimate_gain(self, change: Change) -> float:
        """Return by how much a change lowers the unevenness."""
        return sum(
            (self.ranks[rank] / self.mean) ** _POWER
            - (load / self.mean) ** _POWER
            for rank, load in self.measure(change).items()
        )

    def apply(self, change: Change) -> None:
        """Change the layout."""
        for rank, load in self.measure(change).items():
            self.ranks[rank] = load
        for edit in change:
            if edit.is_added:
                self.held[edit.rank].add(edit.expert)
                self._holders[edit.expert].add(edit.rank)
            else:
                self.held[edit.rank].discard(edit.expert)
                self._holders[edit.expert].discard(edit.rank)


def plan_set(
    layout: Layout,
    loads: Loads,
    bounds: Bounds,
    paces: list[float] | None = None,
    spare: list[int] | None = None,
) -> SetPlan:
    """Plan one set of layers.

    :param layout: the experts of each rank now
    :param loads: the load of each expert
    :param bounds: what one switch may change
    :param paces: how many times longer than a sound rank each one takes
    :param spare: how many experts may be new to each rank
    """
    working = _Working(
        layout,
        loads,
        paces or [1.0] * len(layout),
        bounds,
        spare or [bounds.spare] * len(layout),
    )
    before = working.get_peak()
    for _ in range(_MAX_CHANGES):
        change = _find_change(working)
        if change is None:
            break
        working.apply(change)
    return SetPlan(
        layout=[sorted(experts) for experts in working.held],
        before=before,
        after=working.get_peak(),
        moves=sum(working.count_new(rank) for rank in range(len(layout))),
        is_partial=working.is_used_up(),
    )


def plan_map(
    layouts: list[Layout],
    demand: list[Loads],
    bounds: Bounds,
    paces: list[float],
) -> list[SetPlan]:
    """Plan every set of layers, the most uneven ones first.

    :param layouts: by set, the experts of each rank now
    :param demand: by set, the load of each expert
    :param bounds: what one switch may change
    :param paces: how many times longer than a sound rank each one takes
    :returns: the plans in the order of the sets
    """
    copies = [bounds.copies] * len(paces)
    plans: dict[int, SetPlan] = {}
    for index in _list_most_uneven(layouts, demand, paces):
        plan = plan_set(
            layouts[index],
            demand[index],
            bounds,
            paces,
            [min(bounds.spare, left) for left in copies],
        )
        plans[index] = plan
        for rank, (now, then) in enumerate(
            zip(plan.layout, layouts[index], strict=True)
        ):
            copies[rank] -= len(set(now) - set(then))
    return [plans[index] for index in range(len(layouts))]


def _list_most_uneven(
    layouts: list[Layout], demand: list[Loads], paces: list[float]
) -> list[int]:
    bounds = Bounds(places=0, spare=0)
    peaks = [
        _Working(layout, loads, paces, bounds, [0] * len(paces)).get_peak()
        for layout, loads in zip(layouts, demand, strict=True)
    ]
    return sorted(range(len(peaks)), key=peaks.__getitem__, reverse=True)


def _find_change(working: _Working) -> Change | None:
    """Return the change that gains most, or None if none is worth it."""
    hottest = working.find_hottest()
    most, best = 0.0, None
    for change in _list_changes(working, hottest):
        gain = working.estimate_gain(change)
        if gain > most:
            most, best = gain, change
    if best is None:
        return None
    peak = working.get_peak() ** _POWER
    if most < _LEAST_GAIN * working.count_copies(best) * peak:
        return None
    return best


def _list_changes(
    working: _Working, hottest: int
) -> collections.abc.Iterator[Change]:
    coolest = [rank for rank in working.list_coolest() if rank != hottest]
    for expert in working.list_heaviest(hottest):
        if working.is_replicated(expert):
            yield (_take(hottest, expert),)
        for rank in coolest:
            if working.may_take(expert, rank):
                yield from _list_transfers(working, expert, hottest, rank)


def _list_transfers(
    working: _Working, expert: int, source: int, rank: int
) -> collections.abc.Iterator[Change]:
    """Yield the ways in which a rank may take an expert of another."""
    if working.has_place(rank):
        yield (_add(rank, expert),)
        yield (_add(rank, expert), _take(source, expert))
        return
    for lightest in working.list_lightest(rank):
        if working.is_replicated(lightest):
            yield (_take(rank, lightest), _add(rank, expert))
        if working.may_take(lightest, source):
            yield (
                _take(rank, lightest),
                _add(rank, expert),
                _take(source, expert),
                _add(source, lightest),
            )


def place_in_turn(experts: int, ranks: int) -> Layout:
    """Return the layout that a group begins with."""
    return [list(range(rank, experts, ranks)) for rank in range(ranks)]
