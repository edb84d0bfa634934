"""Draw conclusions from the states that the ranks of a group report."""

import dataclasses

from bambooring.experts import placement
from bambooring_core.ranks import messages as ranks


def apply_outcome(
    state: ranks.RankState, order: ranks.RankOrder, outcome: ranks.Outcome
) -> ranks.RankState:
    """Return a rank's state after an order of which only the outcome is known.

    A refused release leaves nothing to release either. After any other order
    without success the state is taken to be unchanged.
    """
    kinds = ranks.OrderKind
    is_done = outcome is ranks.Outcome.DONE
    if order.kind is kinds.RELEASE and outcome is not ranks.Outcome.UNKNOWN:
        return dataclasses.replace(state, held=ranks.NOT_HELD)
    if not is_done:
        return state
    match order.kind:
        case kinds.PREPARE:
            return dataclasses.replace(state, prepared=order.version)
        case kinds.ARM:
            return dataclasses.replace(state, armed=order.version)
        case kinds.DISARM:
            return dataclasses.replace(state, armed=0)
        case _:
            return dataclasses.replace(state, held=order.step)


def are_ranks_in_sync(states: dict[int, ranks.RankState]) -> bool:
    """Return whether all ranks are open and use the same map.

    Their layouts must be known, and none may be armed.
    """
    first = states.get(0)
    return first is not None and all(
        state.is_open
        and state.version == first.version
        and state.layout_version == state.version
        and not state.armed
        and len(state.layout) == len(first.layout)
        for state in states.values()
    )


def are_experts_counted(
    states: dict[int, ranks.RankState], loads_by_set: list[placement.Loads]
) -> bool:
    """Return whether there is a load for every expert that a rank holds.

    :param states: the state of each rank
    :param loads_by_set: by set of layers, the load of each expert
    """
    sizes = [len(loads) for loads in loads_by_set]
    return all(
        len(state.layout) == len(sizes)
        and all(
            max(held.experts, default=0) < size
            for held, size in zip(state.layout, sizes, strict=True)
        )
        for state in states.values()
    )


def is_unarmable(version: int, states: dict[int, ranks.RankState]) -> bool:
    """Return whether a version can never be armed on all ranks.

    That is so once one rank has it neither armed, prepared nor in force.
    """
    return any(
        version not in (state.armed, state.prepared, state.version)
        for state in states.values()
    )
