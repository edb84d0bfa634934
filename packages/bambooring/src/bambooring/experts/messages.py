"""Define the commands that decide switches."""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'experts.capnp')
)


@codec.register(SCHEMA, 150)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decide:
    """Ask for a switch to be committed or aborted; the first one wins."""

    group: str
    switch: int
    is_commit: bool
    expert_map: bytes = b''


@codec.register(SCHEMA, 151)
@dataclasses.dataclass(slots=True, kw_only=True)
class Decided:
    """State what became of a switch."""

    group: str
    switch: int
    is_commit: bool


@codec.register(SCHEMA, 152)
@dataclasses.dataclass(slots=True, kw_only=True)
class GroupMap:
    """Hold a group's map as last committed."""

    group: str
    switch: int
    expert_map: bytes
