"""Define the orders to ranks and their replies.

A switch is one attempt to put a new expert map in force, identified by a
random 64-bit number; 0 stands for none. The steps of a group are numbered
from 0. ``fence`` is the fencing token: the term of the control leader that
gives the order.
"""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'orders.capnp')
)


@codec.register(SCHEMA, 130)
@dataclasses.dataclass(slots=True, kw_only=True)
class Stage:
    """Order a rank to load the experts that a new map assigns to it."""

    group: str
    switch: int
    fence: int
    expert_map: bytes


@codec.register(SCHEMA, 131)
@dataclasses.dataclass(slots=True, kw_only=True)
class Staged:
    """Report that a rank has loaded the experts of a staged map."""

    group: str
    rank: int
    switch: int


@codec.register(SCHEMA, 132)
@dataclasses.dataclass(slots=True, kw_only=True)
class Arm:
    """Order a rank to stop before ``step`` until the switch is decided.

    Until the decision, the rank runs neither ``step`` nor any later step.
    """

    group: str
    switch: int
    fence: int
    step: int


@codec.register(SCHEMA, 133)
@dataclasses.dataclass(slots=True, kw_only=True)
class Armed:
    """Reply to an arm order: a promise to obey it, or a refusal."""

    group: str
    rank: int
    switch: int
    is_armed: bool


@codec.register(SCHEMA, 134)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decision:
    """Report the decision on a switch that the replicated log holds."""

    group: str
    switch: int
    is_commit: bool


@codec.register(SCHEMA, 135)
@dataclasses.dataclass(slots=True, kw_only=True)
class AskDecision:
    """Ask any control replica for the decision on a switch."""

    group: str
    switch: int


@codec.register(SCHEMA, 136)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankReport:
    """Report a rank's progress.

    ``step`` is its next step, ``in_force`` the switch whose map is in force
    and ``armed`` the switch for which it is armed; both are 0 for none.
    """

    group: str
    rank: int
    step: int
    in_force: int
    armed: int


@codec.register(SCHEMA, 137)
@dataclasses.dataclass(slots=True, kw_only=True)
class AskFloor:
    """Ask a control replica for its term.

    After a restart, an agent rejects all fencing tokens until a majority of
    the replicas has replied, and from then on those below the highest term.
    """

    group: str
    rank: int


@codec.register(SCHEMA, 138)
@dataclasses.dataclass(slots=True, kw_only=True)
class Floor:
    """Reply to an AskFloor with a control replica's term as ``fence``."""

    replica: str
    fence: int
