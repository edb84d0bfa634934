"""Hold what a replica wants done and what a leader knows of others."""

import dataclasses
import enum
import typing

from bambooring.replication import messages


class Role(enum.Enum):
    """Say what part a replica plays."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(slots=True, kw_only=True)
class Envelope:
    """Hold a message and the replica it is for."""

    receiver_id: int
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class Ready:
    """Hold what a replica wants done.

    ``hard_state``, ``batch`` and ``snapshot`` are saved first, then the
    messages are sent, then the committed entries applied.
    """

    hard_state: messages.HardState | None
    batch: messages.Batch | None
    snapshot: messages.SnapshotFile | None
    envelopes: list[Envelope]
    committed: list[messages.Entry]


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Hold what a leader knows of one follower."""

    name: str
    next_index: int
    last_ack_at: float
    match_index: int = 0
    snapshot_offset: int | None = None
    snapshot_index: int = 0
    snapshot_sent_at: float = 0.0
