"""Hold how far a switch of maps has come, and what is to be done next."""

import collections.abc
import dataclasses
import enum

from bambooring_core.ranks import messages as ranks


class Phase(enum.Enum):
    """Say how far a switch has come."""

    IDLE = 'idle'
    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    RELEASING = 'releasing'
    SETTLING = 'settling'


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineSpec:
    """Describe a group's engines.

    ``expert_share`` is the part of a token's work that experts do. ``copy_s``
    is how long a rank takes to copy one expert.
    """

    slots_per_rank: int
    spare_slots: int
    expert_share: float
    copy_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SendOrder:
    """Ask for an order to be passed on to a rank's agent."""

    target: str
    order: ranks.RankOrder


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportEvent:
    """Ask for a line in the log."""

    event: str
    version: int = 0
    step: int = 0
    gain: float = 0.0
    moves: int = 0
    detail: str = ''


Effects = collections.abc.Iterator[SendOrder | ReportEvent]


@dataclasses.dataclass(slots=True, kw_only=True)
class RankInfo:
    """Hold what is known of one rank."""

    state: ranks.RankState
    received_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingOrder:
    """Hold an order that has no answer yet.

    ``attempts`` counts the orders to the same effect, this one included.
    """

    rank: int
    order: ranks.RankOrder
    sent_s: float
    attempts: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Switch:
    """Hold the switch that is under way.

    ``arm_in_flight`` are the ranks at which an order to arm the prepared
    version may still be on its way. ``is_partial`` tells that more was to be copied
    than one switch may.
    """

    epoch: int
    version: int
    sets: list[ranks.SetMap]
    started_s: float
    is_partial: bool = False
    holding_rank: int = 0
    held_step: int = 0
    hold_attempts: int = 0
    armed_ranks: set[int] = dataclasses.field(default_factory=set)
    arm_in_flight: set[int] = dataclasses.field(default_factory=set)
