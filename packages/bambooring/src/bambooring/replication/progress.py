"""Define a replica's roles, its output and what a leader tracks."""

import dataclasses
import enum
import typing

from bambooring.replication import messages


class Role(enum.Enum):
    """Raft role of a replica.

    A pre-candidate asks for pre-votes, which do not raise the term.
    """

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """Message to send and the id of the replica that receives it."""

    receiver_id: int
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class Ready:
    """Output of a replica that its caller must carry out.

    ``hard_state``, ``batch`` and ``snapshot`` are saved first, then the
    messages are sent, then the committed entries are applied.
    """

    hard_state: messages.HardState | None
    batch: messages.Batch | None
    snapshot: messages.SnapshotFile | None
    envelopes: list[Envelope]
    committed: list[messages.Entry]


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """What a leader knows of one follower; exists while it leads.

    ``next_index`` is the next entry to send and ``match_index`` the last
    one known to be on the follower's disk. ``last_ack_at`` is the local
    time of the follower's last reply, at first that of its addition.
    ``snapshot_offset`` is None unless a snapshot is being sent.
    """

    name: str
    next_index: int
    last_ack_at: float
    match_index: int = 0
    snapshot_offset: int | None = None
    snapshot_index: int = 0
    snapshot_sent_at: float = 0.0
