"""Define the orders to ranks and their answers.

A switch is one try to bring a new expert map into force, named by a random
64-bit number; 0 stands for none. Steps count the group's steps from 0.
``fence`` is the term of the control leader that gives the order.
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
    """Order a rank to load what a new map needs."""

    group: str
    switch: int
    fence: int
    expert_map: bytes


@codec.register(SCHEMA, 131)
@dataclasses.dataclass(slots=True, kw_only=True)
class Staged:
    """State that a rank has loaded what a map needs."""

    group: str
    rank: int
    switch: int


@codec.register(SCHEMA, 132)
@dataclasses.dataclass(slots=True, kw_only=True)
class Arm:
    """Order a rank to run no step from ``step`` on without a decision."""

    group: str
    switch: int
    fence: int
    step: int


@codec.register(SCHEMA, 133)
@dataclasses.dataclass(slots=True, kw_only=True)
class Armed:
    """Promise what an arm order asks, or refuse it."""

    group: str
    rank: int
    switch: int
    is_armed: bool


@codec.register(SCHEMA, 134)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decision:
    """State what the replicated log says of a switch."""

    group: str
    switch: int
    is_commit: bool


@codec.register(SCHEMA, 135)
@dataclasses.dataclass(slots=True, kw_only=True)
class AskDecision:
    """Ask any control replica for a switch's decision."""

    group: str
    switch: int


@codec.register(SCHEMA, 136)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankReport:
    """Report a rank: its next step, its map, and what it is armed for."""

    group: str
    rank: int
    step: int
    in_force: int
    armed: int


@codec.register(SCHEMA, 137)
@dataclasses.dataclass(slots=True, kw_only=True)
class AskFloor:
    """Ask a control replica for its term, after an agent's restart."""

    group: str
    rank: int


@codec.register(SCHEMA, 138)
@dataclasses.dataclass(slots=True, kw_only=True)
class Floor:
    """State a control replica's term."""

    replica: str
    fence: int
