"""Define the commands and records of decisions on map switches."""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'experts.capnp')
)


@codec.register(SCHEMA, 150)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decide:
    """Command the replicated log to commit or abort a switch.

    The first command for a switch decides it; later ones change nothing.
    ``expert_map`` is the new map; it is empty in a command to abort.
    """

    group: str
    switch: int
    is_commit: bool
    expert_map: bytes = b''


@codec.register(SCHEMA, 151)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decided:
    """State whether a switch was committed or aborted.

    This is the reply to :class:`Decide`, and how snapshots keep decisions.
    """

    group: str
    switch: int
    is_commit: bool


@codec.register(SCHEMA, 152)
@dataclasses.dataclass(slots=True, kw_only=True)
class GroupMap:
    """Record a group's last committed map and the switch that set it."""

    group: str
    switch: int
    expert_map: bytes
