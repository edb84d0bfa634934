"""Define the messages between control replicas and the records on disk.

Message names and fields follow Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm" (2014). The id of a replica is a random
64-bit number drawn when its data folder is first used; 0 stands for none.
"""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'replication.capnp')
)


class EntryKind(enum.StrEnum):
    """What the data of a log entry is.

    A new leader appends a ``noop`` entry; a ``command`` is for the state
    machine; ``members`` lists the voters that count from this entry on.
    """

    NOOP = 'noop'
    COMMAND = 'command'
    MEMBERS = 'members'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """One voter of the control group."""

    id: int
    name: str


@codec.register(SCHEMA, 50)
@dataclasses.dataclass(slots=True, kw_only=True)
class Members:
    """The voters of the control group, the data of a ``members`` entry."""

    members: list[Member]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """One entry of the replicated log; indices start at 1."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b''


@codec.register(SCHEMA, 51)
@dataclasses.dataclass(slots=True, kw_only=True)
class Greeting:
    """Introduction of a replica to a peer, on a new link and at intervals.

    ``is_fresh`` says that the sender's log has never held an entry.
    ``your_id`` is the receiver's id as the sender knows it. ``is_leaving``
    says that the sender is about to end. ``member_names`` are the voters that
    the sender knows of, so that a new replica finds the leader through any
    other one.
    """

    id: int
    name: str
    is_fresh: bool
    your_id: int
    is_leaving: bool = False
    member_names: list[str] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 52)
@dataclasses.dataclass(slots=True, kw_only=True)
class VoteRequest:
    """Request for a vote, or for a pre-vote (``is_pre``).

    ``is_forced`` marks an election that the old leader asked for, to
    transfer its leadership.
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
    """Reply to a vote request."""

    term: int
    voter: int
    is_granted: bool
    is_pre: bool


@codec.register(SCHEMA, 54)
@dataclasses.dataclass(slots=True, kw_only=True)
class AppendRequest:
    """Entries and commit index of the leader; without entries, a heartbeat.

    ``previous_index`` and ``previous_term`` are those of the entry before.
    """

    term: int
    leader: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int


@codec.register(SCHEMA, 55)
@dataclasses.dataclass(slots=True, kw_only=True)
class AppendReply:
    """Reply to an append request.

    ``index`` is the last index that matches the leader's log; on failure,
    the index after which the leader should try next.
    """

    term: int
    follower: int
    is_success: bool
    index: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotHead:
    """Index and term of the last entry in a snapshot, and the voters then."""

    index: int
    term: int
    members: list[Member]


@codec.register(SCHEMA, 56)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotChunk:
    """Part of a snapshot that a leader sends; ``offset`` is in bytes."""

    term: int
    leader: int
    head: SnapshotHead
    offset: int
    data: bytes
    is_last: bool


@codec.register(SCHEMA, 57)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotReply:
    """Request for the chunk at ``offset``, or the report of completion.

    ``is_done`` says that the follower has the whole snapshot.
    """

    term: int
    follower: int
    index: int
    offset: int
    is_done: bool


@codec.register(SCHEMA, 58)
@dataclasses.dataclass(slots=True, kw_only=True)
class TimeoutNow:
    """Request that a follower start an election at once."""

    term: int
    leader: int


@codec.register(SCHEMA, 59)
@dataclasses.dataclass(slots=True, kw_only=True)
class HardState:
    """Term and vote of a replica, on disk before any reply is sent."""

    term: int = 0
    voted_for: int = 0


@codec.register(SCHEMA, 60)
@dataclasses.dataclass(slots=True, kw_only=True)
class ReplicaIdentity:
    """Id of a replica, drawn when its data folder is first used."""

    id: int


@codec.register(SCHEMA, 61)
@dataclasses.dataclass(slots=True, kw_only=True)
class Batch:
    """What one write appends to the log file.

    Entries from ``truncate_from`` on are removed first, unless it is 0.
    """

    truncate_from: int
    entries: list[Entry]


@codec.register(SCHEMA, 62)
@dataclasses.dataclass(slots=True, kw_only=True)
class SnapshotFile:
    """Snapshot of the state machine with its head, as stored on disk."""

    head: SnapshotHead
    data: bytes


@codec.register(SCHEMA, 63)
@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Request that a replica append a command to the log.

    ``proposal`` is an id that the reply repeats.
    """

    proposal: int
    command: bytes


@codec.register(SCHEMA, 64)
@dataclasses.dataclass(slots=True, kw_only=True)
class Proposed:
    """Reply to a proposal.

    When it is not accepted, ``leader`` is the name of the replica to ask
    instead, empty if unknown.
    """

    proposal: int
    is_accepted: bool
    leader: str = ''
    reply: bytes = b''


@codec.register(SCHEMA, 65)
@dataclasses.dataclass(slots=True, kw_only=True)
class Stamped:
    """Command with the leader's time, in seconds since the Unix epoch."""

    at_s: float
    command: bytes
