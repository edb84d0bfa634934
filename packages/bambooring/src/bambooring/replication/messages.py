"""Define what control replicas say to each other and keep on disk.

Message names and fields follow Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (2014). Identifiers of replicas are
random 64-bit numbers made with the data folder; 0 stands for none.
"""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'replication.capnp')
)


class EntryKind(enum.StrEnum):
    """Say what an entry of the log holds."""

    NOOP = 'noop'
    COMMAND = 'command'
    MEMBERS = 'members'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """Name one voter."""

    id: int
    name: str


@codec.register(SCHEMA, 50)
@dataclasses.dataclass(slots=True, kw_only=True)
class Members:
    """List the voters."""

    members: list[Member]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """Hold one entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


@codec.register(SCHEMA, 51)
@dataclasses.dataclass(slots=True, kw_only=True)
class Greeting:
    """Introduce a replica on a new link.

    ``your_id`` repeats the receiver's id as the sender knows it.
    """

    id: int
    name: str
    is_fresh: bool
    your_id: int


@codec.register(SCHEMA, 52)
@dataclasses.dataclass(slots=True, kw_only=True)
class VoteRequest:
    """Ask for a vote, or for the promise of one (``is_pre``).

    ``is_forced`` marks an election that the old leader asked for.
    """

    term: int
    candidate: int
    last_index: int
    last_term: int
    is_pre: bool
    is_forced: bool = False


@codec.register(SCHEMA, 53)
@dataclasses.dataclass(slots=True, kw_only=True)
class VoteReply:
    """Answer a vote request."""

    term: int
    voter: int
    is_granted: bool
    is_pre: bool


@codec.register(SCHEMA, 54)
@dataclasses.dataclass(slots=True, kw_only=True)
class AppendRequest:
    """Carry entries and the leader's commit index; also a heartbeat."""

    term: int
    leader: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int


@codec.register(SCHEMA, 55)
@dataclasses.dataclass(slots=True, kw_only=True)
class AppendReply:
    """Answer an append request.

    ``index`` is the last matching index, or where to try next.
    """

    term: int
    follower: int
    is_success: bool
    index: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotHead:
    """Say up to where a snapshot reaches."""

    index: int
    term: int
    members: list[Member]


@codec.register(SCHEMA, 56)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotChunk:
    """Carry a part of a snapshot."""

    term: int
    leader: int
    head: SnapshotHead
    offset: int
    data: bytes
    is_last: bool


@codec.register(SCHEMA, 57)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotReply:
    """Ask for the next part of a snapshot, or say it is in place."""

    term: int
    follower: int
    index: int
    offset: int
    is_done: bool


@codec.register(SCHEMA, 58)
@dataclasses.dataclass(slots=True, kw_only=True)
class TimeoutNow:
    """Ask a follower to stand for election at once."""

    term: int
    leader: int


@codec.register(SCHEMA, 59)
@dataclasses.dataclass(slots=True, kw_only=True)
class HardState:
    """Hold what must be on disk before any answer."""

    term: int = 0
    voted_for: int = 0


@codec.register(SCHEMA, 60)
@dataclasses.dataclass(slots=True, kw_only=True)
class ReplicaIdentity:
    """Hold the id made with the data folder."""

    id: int


@codec.register(SCHEMA, 61)
@dataclasses.dataclass(slots=True, kw_only=True)
class Batch:
    """Hold what one write adds to the log's file.

    Entries from ``truncate_from`` on are dropped first, unless it is 0.
    """

    truncate_from: int
    entries: list[Entry]


@codec.register(SCHEMA, 62)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotFile:
    """Hold a snapshot with its head."""

    head: SnapshotHead
    data: bytes


@codec.register(SCHEMA, 63)
@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Ask a replica to put a command into the log."""

    proposal: int
    command: bytes


@codec.register(SCHEMA, 64)
@dataclasses.dataclass(slots=True, kw_only=True)
class Proposed:
    """Answer a proposal.

    When it is not accepted, ``leader`` names whom to ask, if known.
    """

    proposal: int
    is_accepted: bool
    leader: str = ''
    reply: bytes = b''


@codec.register(SCHEMA, 65)
@dataclasses.dataclass(slots=True, kw_only=True)
class Stamped:
    """Hold a command with the leader's time, in seconds since the epoch."""

    at_s: float
    command: bytes
