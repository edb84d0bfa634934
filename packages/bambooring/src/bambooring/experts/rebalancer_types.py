"""Define the phases, effects and records of the rebalancer."""

import collections.abc
import dataclasses
import enum

from bambooring.experts import placement
from bambooring_core.ranks import messages as ranks


class Phase(enum.Enum):
    """Tell how far the rebalancer of a group has come with a switch.

    IDLE: no switch is under way; from time to time one is planned.
    PREPARING: the ranks load the experts of the new map.
    HOLDING: one rank has been told to hold the group before a step.
    ARMING: under that hold, all ranks have been told to change to the map.
    RELEASING: the hold has been told to end.
    SETTLING: the ranks are brought to a state in which a hold may end,
    after a rank wasn't armed or a stray hold was found.
    """

    IDLE = 'idle'
    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    RELEASING = 'releasing'
    SETTLING = 'settling'


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineSpec:
    """Describe the experts of a group's engines, as the policy states them.

    A rank holds ``slots_per_rank`` experts in each set of layers, of which at
    most ``spare_slots`` may be new to it in one map. ``expert_share`` is the
    part of a token's work that experts do. ``copy_s`` is how long a rank
    takes to copy one expert, 0 if that is unknown.
    """

    slots_per_rank: int
    spare_slots: int
    expert_share: float
    copy_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SendOrder:
    """Ask the caller to send an order to a rank.

    ``target`` is the name of the rank's agent. A relayed order is sent to the
    rank's engine by the agent of another rank.
    """

    target: str
    rank: int
    order: ranks.RankOrder
    is_relayed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportEvent:
    """Ask the caller to log and count an event of a switch.

    ``gain`` is the factor by which passes are expected to become shorter,
    ``moves`` the number of experts that ranks copy.
    """

    event: str
    version: int = 0
    step: int = 0
    gain: float = 0.0
    moves: int = 0
    detail: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class ContinuePlanning:
    """Ask the caller to call ``continue_planning`` after other work."""


Effects = collections.abc.Iterator[SendOrder | ReportEvent | ContinuePlanning]


@dataclasses.dataclass(slots=True, kw_only=True)
class RankInfo:
    """Keep a rank's latest state and when it was received."""

    state: ranks.RankState
    received_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingOrder:
    """Keep an order that was sent to a rank and has no outcome yet.

    ``attempts`` counts the orders to the same effect, including this one.
    ``is_relayed`` is set once the order was sent through another rank's agent,
    too or instead.
    """

    rank: int
    order: ranks.RankOrder
    sent_s: float
    attempts: int = 1
    is_relayed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Planning:
    """A plan in the making, for the map ``version`` of an epoch."""

    planner: placement.MapPlanner
    epoch: int
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Switch:
    """Track a switch that is under way, or a stray hold to clear up.

    ``packed_map`` is the new map; for a stray hold it is empty and ``version``
    is 0. ``holding_rank`` holds the group before ``held_step``.
    ``armed_ranks`` are known to be armed. At the ranks in ``arm_in_flight`` an
    order to arm the prepared version may still arrive. ``is_partial`` means
    that there was more to copy than one switch may.
    """

    epoch: int
    version: int
    packed_map: bytes
    started_s: float
    is_partial: bool = False
    holding_rank: int = 0
    held_step: int = 0
    hold_attempts: int = 0
    armed_ranks: set[int] = dataclasses.field(default_factory=set)
    arm_in_flight: set[int] = dataclasses.field(default_factory=set)
