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
class Model:
    """Describe a group's engines.

    ``share`` is the part of a token's work that experts do. ``copy_s`` is
    how long a rank takes to copy one expert.
    """

    places: int
    spare: int
    share: float
    copy_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class GiveOrder:
    """Ask for an order to be passed on to a rank's agent."""

    target: str
    order: ranks.RankOrder


@dataclasses.dataclass(slots=True, kw_only=True)
class Note:
    """Ask for a line in the log."""

    event: str
    version: int = 0
    step: int = 0
    gain: float = 0.0
    moves: int = 0
    detail: str = ''


Effects = collections.abc.Iterator[GiveOrder | Note]


@dataclasses.dataclass(slots=True, kw_only=True)
class Rank:
    """Hold what is known of one rank."""

    state: ranks.RankState
    seen_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Pending:
    """Hold an order that has no answer yet.

    ``tries`` counts the orders to the same effect, this one included.
    """

    rank: int
    order: ranks.RankOrder
    sent_s: float
    tries: int = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Switch:
    """Hold the switch that is under way.

    ``doubtful`` are the ranks at which an order to arm the prepared version
    may still be on its way. ``is_partial`` tells that more was to be copied
    than one switch may.
    """

    epoch: int
    version: int
    sets: list[ranks.SetMap]
    started_s: float
    is_partial: bool = False
    holder: int = 0
    step: int = 0
    hold_tries: int = 0
    armed: set[int] = dataclasses.field(default_factory=set)
    doubtful: set[int] = dataclasses.field(default_factory=set)
