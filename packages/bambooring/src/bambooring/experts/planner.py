"""Plan which ranks hold the experts of a layer, as pure computation.

Ranks advance in lock-step, so a layer takes as long as its slowest rank. An
expert with much load may have replicas on several ranks, its load split
evenly among them. From the current map the planner makes the one change at a
time that shortens the slowest rank's time most: it replaces a replica that
can be spared by a further replica of one of that rank's experts, or swaps two
experts. A change is kept only while the time that it saves over the horizon
exceeds the cost of its moves.
"""

import dataclasses

import numpy

from bambooring.experts import const

# Maps hold an expert by rank and slot, loads the tokens by expert, speeds the
# relative speed by rank.
Array = numpy.ndarray


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Describe a layer's new map.

    ``moves`` counts the experts that ranks must copy for it.
    """

    expert_map: Array
    moves: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _Change:
    """Describe one change to a map.

    ``assignments`` are tuples of a rank, a slot and the new expert there;
    ``longest_time`` is the time of the slowest rank after the change.
    """

    assignments: list[tuple[int, int, int]]
    longest_time: float


def place_round_robin(
    expert_count: int, rank_count: int, slots_per_rank: int
) -> Array:
    """Return a map that doesn't depend on loads.

    :param expert_count: how many experts the layer has
    :param rank_count: how many ranks the group has
    :param slots_per_rank: how many experts a rank holds
    :returns: experts by rank and slot
    """
    return (numpy.arange(rank_count * slots_per_rank) % expert_count).reshape(
        rank_count, slots_per_rank
    )


def compute_rank_times(
    expert_map: Array, loads: Array, speeds: Array
) -> Array:
    """Return the time that each rank takes for the layer.

    :param expert_map: experts by rank and slot
    :param loads: tokens by expert
    :param speeds: relative speed by rank
    :returns: time by rank
    """
    replicas = numpy.bincount(expert_map.ravel(), minlength=len(loads))
    replica_loads = loads / numpy.maximum(replicas, 1)
    return replica_loads[expert_map].sum(axis=1) / speeds


def plan_layer(
    expert_map: Array,
    loads: Array,
    speeds: Array,
    *,
    max_moves: int,
    move_cost: float = const.MOVE_COST_STEPS / const.HORIZON_STEPS,
) -> Plan:
    """Improve a layer's map by moves that pay for themselves.

    :param expert_map: the current map
    :param loads: expected tokens by expert
    :param speeds: relative speed by rank
    :param max_moves: the maximum number of moves
    :param move_cost: the cost of a move, as a share of the ranks' mean time
    :returns: the plan
    """
    current = expert_map
    expert_map = expert_map.copy()
    moves = 0
    times = compute_rank_times(expert_map, loads, speeds)
    mean = float(times.mean())
    for _ in range(const.MAX_CHANGES_PER_LAYER):
        longest_time = float(times.max())
        if longest_time <= mean * const.TARGET_MAX_TO_MEAN:
            break
        change = _find_best_change(expert_map, loads, speeds, times)
        if change is None or moves + len(change.assignments) > max_moves:
            break
        saved = longest_time - change.longest_time
        if saved <= len(change.assignments) * move_cost * mean:
            break
        for rank, slot, expert in change.assignments:
            expert_map[rank, slot] = expert
        moves += len(change.assignments)
        times = compute_rank_times(expert_map, loads, speeds)
    plan = Plan(expert_map=expert_map, moves=moves)
    if float(times.max()) <= mean * const.REPLAN_MAX_TO_MEAN:
        return plan
    return _replan_if_worthwhile(
        plan, loads, speeds, current, max_moves, move_cost
    )


def _replan_if_worthwhile(
    plan: Plan,
    loads: Array,
    speeds: Array,
    current: Array,
    max_moves: int,
    move_cost: float,
) -> Plan:
    """Use a map planned from scratch if that pays for its moves.

    Single changes can reach a point where none helps although the map is
    still imbalanced.
    """
    replanned = plan_from_scratch(loads, speeds, current.shape[1])
    replanned = align_ranks(current, replanned, speeds)
    moves = count_moves(current, replanned)
    old_times = compute_rank_times(plan.expert_map, loads, speeds)
    new_times = compute_rank_times(replanned, loads, speeds)
    saved = float(old_times.max() - new_times.max())
    cost = (moves - plan.moves) * move_cost * float(old_times.mean())
    if moves > max_moves or saved <= cost:
        return plan
    return Plan(expert_map=replanned, moves=moves)


def align_ranks(current: Array, planned: Array, speeds: Array) -> Array:
    """Reorder the ranks of a planned map so that few experts must be moved.

    Only ranks of the same speed change places; each gets the planned set of
    experts of which it holds the most.

    :param current: the current map
    :param planned: the planned map
    :param speeds: relative speed by rank
    :returns: the planned map with its ranks in another order
    """
    expert_count = int(max(current.max(), planned.max())) + 1
    overlap = (
        _make_membership_matrix(current, expert_count)
        @ _make_membership_matrix(planned, expert_count).T
    )
    # -1 stands for ranks of different speeds, -2 for those already paired.
    overlap = numpy.where(speeds[:, None] == speeds[None, :], overlap, -1)
    aligned = numpy.empty_like(planned)
    for _ in range(len(speeds)):
        rank, planned_rank = numpy.unravel_index(
            int(overlap.argmax()), overlap.shape
        )
        aligned[rank] = planned[planned_rank]
        overlap[rank, :] = -2
        overlap[:, planned_rank] = -2
    return aligned


def _make_membership_matrix(expert_map: Array, expert_count: int) -> Array:
    """Return a matrix of ranks by experts, 1 where a rank holds an expert."""
    membership = numpy.zeros((len(expert_map), expert_count))
    numpy.put_along_axis(membership, expert_map, 1.0, axis=1)
    return membership


def count_moves(current: Array, planned: Array) -> int:
    """Return how many experts ranks must copy, in whichever slots.

    :param current: the current map
    :param planned: the planned map
    :returns: the number of moves
    """
    expert_count = int(max(current.max(), planned.max())) + 1
    held = _make_membership_matrix(current, expert_count)
    wanted = _make_membership_matrix(planned, expert_count)
    return int(((wanted - held) > 0).sum())


def _find_best_change(
    expert_map: Array, loads: Array, speeds: Array, times: Array
) -> _Change | None:
    """Return the change that shortens the longest time most, or None."""
    slowest_rank = int(times.argmax())
    changes = [
        change
        for slot in range(expert_map.shape[1])
        for change in (
            _find_best_replica(
                expert_map, loads, speeds, times, slowest_rank, slot
            ),
            _find_best_swap(
                expert_map, loads, speeds, times, slowest_rank, slot
            ),
        )
        if change is not None
    ]
    if not changes:
        return None
    best_change = min(changes, key=lambda change: change.longest_time)
    return (
        best_change if best_change.longest_time < times[slowest_rank] else None
    )


def _find_best_replica(
    expert_map: Array,
    loads: Array,
    speeds: Array,
    times: Array,
    slowest_rank: int,
    slot: int,
) -> _Change | None:
    """Return the best way to add a replica of an expert, or None.

    It takes the slot of an expert that has another replica elsewhere.
    """
    expert = int(expert_map[slowest_rank, slot])
    replicas = numpy.bincount(expert_map.ravel(), minlength=len(loads))
    # Slots of experts with another replica, on ranks without this expert.
    is_replaceable = replicas[expert_map] > 1
    is_replaceable &= expert_map != expert
    is_replaceable[(expert_map == expert).any(axis=1)] = False
    if not is_replaceable.any():
        return None
    replica_loads = loads / replicas
    added_load = loads[expert] / (replicas[expert] + 1)
    times_after = (
        times[:, None]
        + (added_load - replica_loads[expert_map]) / speeds[:, None]
    )
    # The other holders of the replaced expert get its load.
    holder_times = _compute_holder_times_without_replica(
        expert_map, loads, speeds, times, replicas
    )
    times_after = numpy.maximum(times_after, holder_times[expert_map])
    times_after[~is_replaceable] = numpy.inf
    rank, target_slot = numpy.unravel_index(
        int(times_after.argmin()), times_after.shape
    )
    return _evaluate_change(
        expert_map, loads, speeds, [(int(rank), int(target_slot), expert)]
    )


def _compute_holder_times_without_replica(
    expert_map: Array,
    loads: Array,
    speeds: Array,
    times: Array,
    replicas: Array,
) -> Array:
    """Return, by expert, the slowest holder's time with one replica less."""
    replicas_left = numpy.maximum(replicas - 1, 1)
    extra_load = loads / replicas_left - loads / replicas
    longest_times = numpy.zeros(len(loads))
    times_after = times[:, None] + extra_load[expert_map] / speeds[:, None]
    numpy.maximum.at(longest_times, expert_map.ravel(), times_after.ravel())
    return longest_times


def _find_best_swap(
    expert_map: Array,
    loads: Array,
    speeds: Array,
    times: Array,
    slowest_rank: int,
    slot: int,
) -> _Change | None:
    """Return the best swap of an expert of the slowest rank, or None."""
    expert = int(expert_map[slowest_rank, slot])
    replicas = numpy.bincount(expert_map.ravel(), minlength=len(loads))
    replica_loads = loads / replicas
    # The load that a swap moves to the other rank, by its rank and slot.
    load_shift = replica_loads[expert] - replica_loads[expert_map]
    other_times = times[:, None] + load_shift / speeds[:, None]
    own_times = times[slowest_rank] - load_shift / speeds[slowest_rank]
    times_after = numpy.maximum(other_times, own_times)
    holds_expert = (expert_map == expert).any(axis=1)
    times_after[holds_expert] = numpy.inf
    for swapped_expert in expert_map[slowest_rank]:
        times_after[expert_map == swapped_expert] = numpy.inf
    rank, target_slot = numpy.unravel_index(
        int(times_after.argmin()), times_after.shape
    )
    if not numpy.isfinite(times_after[rank, target_slot]):
        return None
    swapped_expert = int(expert_map[rank, target_slot])
    return _evaluate_change(
        expert_map,
        loads,
        speeds,
        [
            (int(rank), int(target_slot), expert),
            (slowest_rank, slot, swapped_expert),
        ],
    )


def _evaluate_change(
    expert_map: Array,
    loads: Array,
    speeds: Array,
    assignments: list[tuple[int, int, int]],
) -> _Change:
    """Return a change with the time that the slowest rank takes after it."""
    changed_map = expert_map.copy()
    for rank, slot, expert in assignments:
        changed_map[rank, slot] = expert
    times = compute_rank_times(changed_map, loads, speeds)
    return _Change(assignments=assignments, longest_time=float(times.max()))


def plan_from_scratch(
    loads: Array, speeds: Array, slots_per_rank: int
) -> Array:
    """Plan a map from scratch: replicate by load, place the heaviest first.

    :param loads: tokens by expert
    :param speeds: relative speed by rank
    :param slots_per_rank: how many experts a rank holds
    :returns: experts by rank and slot
    """
    rank_count = len(speeds)
    replicas = numpy.ones(len(loads), dtype=int)
    for _ in range(rank_count * slots_per_rank - len(loads)):
        replicas[int((loads / replicas).argmax())] += 1
    replica_loads = loads / replicas
    replicas_by_load = numpy.repeat(numpy.arange(len(loads)), replicas)
    replicas_by_load = replicas_by_load[
        numpy.argsort(-replica_loads[replicas_by_load], kind='stable')
    ]
    expert_map = numpy.full((rank_count, slots_per_rank), -1)
    used_slots = numpy.zeros(rank_count, dtype=int)
    times = numpy.zeros(rank_count)
    for expert in replicas_by_load:
        times_after = times + replica_loads[expert] / speeds
        times_after[used_slots >= slots_per_rank] = numpy.inf
        rank = int(times_after.argmin())
        expert_map[rank, used_slots[rank]] = expert
        used_slots[rank] += 1
        times[rank] = times_after[rank]
    return expert_map
