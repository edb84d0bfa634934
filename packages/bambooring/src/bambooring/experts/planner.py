"""Plan where the experts of a layer lie, as pure computation.

Ranks advance in lock-step, so a layer takes as long as its slowest rank. A
hot expert may lie on several ranks, its load split evenly among them. From
the present map the planner makes the one change at a time that lowers the
slowest rank most: it puts a further replica of one of that rank's experts in
place of a replica that can be spared, or swaps two experts. A change is kept
only while the time it saves over the horizon exceeds the cost of its moves.
"""

import dataclasses

import numpy

from bambooring.experts import const

Array = numpy.ndarray


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Hold a layer's new map and the moves that it takes."""

    slots: Array
    moves: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Change:
    """Hold one change: (rank, slot) to expert, and the slowest rank then."""

    places: list[tuple[int, int, int]]
    slowest: float


def place_first(experts: int, ranks: int, slots: int) -> Array:
    """Return a map that knows nothing of loads.

    :param experts: how many experts the layer has
    :param ranks: how many ranks the group has
    :param slots: how many experts a rank holds
    :returns: experts by rank and slot
    """
    return (numpy.arange(ranks * slots) % experts).reshape(ranks, slots)


def measure_ranks(slots: Array, loads: Array, speeds: Array) -> Array:
    """Return the time that each rank takes for a layer.

    :param slots: experts by rank and slot
    :param loads: tokens an expert
    :param speeds: relative speed a rank
    :returns: time a rank
    """
    replicas = numpy.bincount(slots.ravel(), minlength=len(loads))
    shares = loads / numpy.maximum(replicas, 1)
    return shares[slots].sum(axis=1) / speeds


def plan_layer(
    slots: Array,
    loads: Array,
    speeds: Array,
    *,
    budget: int,
    move_cost: float = const.MOVE_COST_STEPS / const.HORIZON_STEPS,
) -> Plan:
    """Improve a layer's map by as few moves as pay.

    :param slots: the present map
    :param loads: tokens an expert in the time to come
    :param speeds: relative speed a rank
    :param budget: the most moves that are allowed
    :param move_cost: what a move costs, as a share of the mean time
    :returns: the plan
    """
    before = slots
    slots = slots.copy()
    moves = 0
    times = measure_ranks(slots, loads, speeds)
    mean = float(times.mean())
    for _ in range(const.MAX_CHANGES_PER_LAYER):
        slowest = float(times.max())
        if slowest <= mean * const.TARGET_MAX_TO_MEAN:
            break
        change = _find_change(slots, loads, speeds, times)
        if change is None or moves + len(change.places) > budget:
            break
        saved = slowest - change.slowest
        if saved <= len(change.places) * move_cost * mean:
            break
        for rank, slot, expert in change.places:
            slots[rank, slot] = expert
        moves += len(change.places)
        times = measure_ranks(slots, loads, speeds)
    plan = Plan(slots=slots, moves=moves)
    if float(times.max()) <= mean * const.REPLAN_MAX_TO_MEAN:
        return plan
    return _restart(plan, loads, speeds, before, budget, move_cost)


def _restart(
    plan: Plan,
    loads: Array,
    speeds: Array,
    before: Array,
    budget: int,
    move_cost: float,
) -> Plan:
    """Take a map planned from nothing if it pays for its moves.

    Single changes can end where none helps though the map is uneven.
    """
    anew = plan_anew(loads, speeds, before.shape[1])
    anew = align(before, anew, speeds)
    moves = count_moves(before, anew)
    times = measure_ranks(plan.slots, loads, speeds)
    after = measure_ranks(anew, loads, speeds)
    saved = float(times.max() - after.max())
    cost = (moves - plan.moves) * move_cost * float(times.mean())
    if moves > budget or saved <= cost:
        return plan
    return Plan(slots=anew, moves=moves)


def align(before: Array, after: Array, speeds: Array) -> Array:
    """Give each rank, of those as fast, what it holds the most of.

    :param before: the present map
    :param after: a planned map
    :param speeds: relative speed a rank
    :returns: the planned map with its ranks in another order
    """
    experts = int(max(before.max(), after.max())) + 1
    common = _count_held(before, experts) @ _count_held(after, experts).T
    common = numpy.where(speeds[:, None] == speeds[None, :], common, -1)
    aligned = numpy.empty_like(after)
    for _ in range(len(speeds)):
        rank, other = numpy.unravel_index(int(common.argmax()), common.shape)
        aligned[rank] = after[other]
        common[rank, :] = -2
        common[:, other] = -2
    return aligned


def _count_held(slots: Array, experts: int) -> Array:
    held = numpy.zeros((len(slots), experts))
    numpy.put_along_axis(held, slots, 1.0, axis=1)
    return held


def count_moves(before: Array, after: Array) -> int:
    """Return how many experts ranks must load, wherever in their slots.

    :param before: the present map
    :param after: the new map
    :returns: the number of loads
    """
    experts = int(max(before.max(), after.max())) + 1
    held = _count_held(before, experts)
    wanted = _count_held(after, experts)
    return int(((wanted - held) > 0).sum())


def _find_change(
    slots: Array, loads: Array, speeds: Array, times: Array
) -> _Change | None:
    """Find the change that leaves the slowest rank fastest."""
    hot = int(times.argmax())
    changes = [
        change
        for slot in range(slots.shape[1])
        for change in (
            _try_replica(slots, loads, speeds, times, hot, slot),
            _try_swap(slots, loads, speeds, times, hot, slot),
        )
        if change is not None
    ]
    if not changes:
        return None
    best = min(changes, key=lambda change: change.slowest)
    return best if best.slowest < times[hot] else None


def _try_replica(
    slots: Array,
    loads: Array,
    speeds: Array,
    times: Array,
    hot: int,
    slot: int,
) -> _Change | None:
    """Put one more replica of an expert where one can be spared."""
    expert = int(slots[hot, slot])
    replicas = numpy.bincount(slots.ravel(), minlength=len(loads))
    spare = replicas[slots] > 1
    spare &= slots != expert
    spare[(slots == expert).any(axis=1)] = False
    if not spare.any():
        return None
    shares = loads / replicas
    gain = loads[expert] / (replicas[expert] + 1)
    after = times[:, None] + (gain - shares[slots]) / speeds[:, None]
    others = _measure_without(slots, loads, speeds, times, replicas)
    after = numpy.maximum(after, others[slots])
    after[~spare] = numpy.inf
    rank, place = numpy.unravel_index(int(after.argmin()), after.shape)
    return _evaluate(slots, loads, speeds, [(int(rank), int(place), expert)])


def _measure_without(
    slots: Array, loads: Array, speeds: Array, times: Array, replicas: Array
) -> Array:
    """Return, an expert, the slowest holder once one replica is gone."""
    fewer = numpy.maximum(replicas - 1, 1)
    extra = loads / fewer - loads / replicas
    slowest = numpy.zeros(len(loads))
    after = times[:, None] + extra[slots] / speeds[:, None]
    numpy.maximum.at(slowest, slots.ravel(), after.ravel())
    return slowest


def _try_swap(
    slots: Array,
    loads: Array,
    speeds: Array,
    times: Array,
    hot: int,
    slot: int,
) -> _Change | None:
    """Swap an expert of the slowest rank for a lighter one elsewhere."""
    expert = int(slots[hot, slot])
    replicas = numpy.bincount(slots.ravel(), minlength=len(loads))
    shares = loads / replicas
    given = shares[expert] - shares[slots]
    there = times[:, None] + given / speeds[:, None]
    here = times[hot] - given / speeds[hot]
    after = numpy.maximum(there, here)
    has_both = (slots == expert).any(axis=1)
    after[has_both] = numpy.inf
    for other in slots[hot]:
        after[slots == other] = numpy.inf
    rank, place = numpy.unravel_index(int(after.argmin()), after.shape)
    if not numpy.isfinite(after[rank, place]):
        return None
    other = int(slots[rank, place])
    return _evaluate(
        slots,
        loads,
        speeds,
        [(int(rank), int(place), expert), (hot, slot, other)],
    )


def _evaluate(
    slots: Array,
    loads: Array,
    speeds: Array,
    places: list[tuple[int, int, int]],
) -> _Change:
    changed = slots.copy()
    for rank, slot, expert in places:
        changed[rank, slot] = expert
    times = measure_ranks(changed, loads, speeds)
    return _Change(places=places, slowest=float(times.max()))


def plan_anew(loads: Array, speeds: Array, slots_per_rank: int) -> Array:
    """Plan a map from nothing: replicate by load, pack the heaviest first.

    :param loads: tokens an expert
    :param speeds: relative speed a rank
    :param slots_per_rank: how many experts a rank holds
    :returns: experts by rank and slot
    """
    ranks = len(speeds)
    replicas = numpy.ones(len(loads), dtype=int)
    for _ in range(ranks * slots_per_rank - len(loads)):
        replicas[int((loads / replicas).argmax())] += 1
    shares = loads / replicas
    order = numpy.repeat(numpy.arange(len(loads)), replicas)
    order = order[numpy.argsort(-shares[order], kind='stable')]
    slots = numpy.full((ranks, slots_per_rank), -1)
    used = numpy.zeros(ranks, dtype=int)
    times = numpy.zeros(ranks)
    for expert in order:
        after = times + shares[expert] / speeds
        after[used >= slots_per_rank] = numpy.inf
        rank = int(after.argmin())
        slots[rank, used[rank]] = expert
        used[rank] += 1
        times[rank] = after[rank]
    return slots
