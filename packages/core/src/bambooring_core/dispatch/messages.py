"""Define the messages between an entry instance and an agent.

Times are in seconds, sizes and offsets in bytes. An attempt is one try of
one request on one target, named by a random 64-bit number.
"""

import collections.abc
import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'dispatch.capnp')
)


class Kind(enum.StrEnum):
    """Say whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    BOOKING = 'booking'


class Lane(enum.StrEnum):
    """Say which slots an attempt may have.

    Long ones have a bounded share. A suspect was running when a target
    crashed; one suspect at a time runs on a target.
    """

    SHORT = 'short'
    LONG = 'long'
    SUSPECT = 'suspect'


class Outcome(enum.StrEnum):
    """Say what became of an attempt."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    NOT_RUN = 'notRun'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Header:
    """Hold one HTTP header."""

    name: str
    value: str


@codec.register(SCHEMA, 10)
@dataclasses.dataclass(slots=True, kw_only=True)
class Start:
    """Ask an agent to run an attempt.

    ``incarnation`` is that of the agent the attempt was meant for.
    ``prefix`` is the hash of the prompt's head, 0 for none.
    """

    attempt: int
    incarnation: int
    request_id: str
    service: str
    account: str
    weight: float = 1.0
    priority: int = 0
    kind: Kind = Kind.IDEMPOTENT
    lane: Lane = Lane.SHORT
    cost: float = 1.0
    method: str = 'GET'
    path: str = '/'
    headers: list[Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    start_within_s: float = 10.0
    end_within_s: float = 120.0
    is_chat: bool = False
    prefix: int = 0


@codec.register(SCHEMA, 11)
@dataclasses.dataclass(slots=True, kw_only=True)
class Cancel:
    """Tell an agent that nobody waits for an attempt."""

    attempt: int


@codec.register(SCHEMA, 12)
@dataclasses.dataclass(slots=True, kw_only=True)
class Resume:
    """Ask for an attempt's output from an offset on a new link."""

    attempt: int
    incarnation: int
    offset: int


@codec.register(SCHEMA, 13)
@dataclasses.dataclass(slots=True, kw_only=True)
class Acknowledge:
    """Tell an agent how much output has arrived."""

    attempt: int
    offset: int
    is_final: bool = False


@codec.register(SCHEMA, 14)
@dataclasses.dataclass(slots=True, kw_only=True)
class Refused:
    """State that an attempt was not run and never will be."""

    attempt: int
    reason: str
    retry_after_s: float = 0.0


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Opened:
    """Carry the status and headers of the target's response."""

    attempt: int
    status: int
    headers: list[Header]


@dataclasses.dataclass(slots=True)
class Chunk:
    """Hold a part of the target's response body."""

    attempt: int
    offset: int
    data: bytes


@codec.register(SCHEMA, 18)
@dataclasses.dataclass(slots=True, kw_only=True)
class Ended:
    """State how an attempt ended; ``size`` counts the body's bytes."""

    attempt: int
    size: int
    outcome: Outcome
    reason: str = ''


@codec.register(SCHEMA, 15)
@dataclasses.dataclass(slots=True, kw_only=True)
class Output:
    """Carry what one turn of an agent's loop brought for one entry.

    The chunks stand in columns, so that reading one costs little: the
    attempts, the offsets, the sizes, and all their bytes joined.
    """

    opened: list[Opened] = dataclasses.field(default_factory=list)
    ended: list[Ended] = dataclasses.field(default_factory=list)
    attempts: list[int] = dataclasses.field(default_factory=list)
    offsets: list[int] = dataclasses.field(default_factory=list)
    sizes: list[int] = dataclasses.field(default_factory=list)
    data: bytes = b''

    def add_chunk(self, attempt: int, offset: int, data: bytes) -> None:
        """Add a chunk.

        :param attempt: whose it is
        :param offset: where it begins in the body
        :param data: its bytes
        """
        self.attempts.append(attempt)
        self.offsets.append(offset)
        self.sizes.append(len(data))
        self.data += data

    def get_chunks(self) -> collections.abc.Iterator[Chunk]:
        """Yield the chunks in the order they were added."""
        start = 0
        for attempt, offset, size in zip(
            self.attempts, self.offsets, self.sizes
        ):
            yield Chunk(attempt, offset, self.data[start : start + size])
            start += size


@codec.register(SCHEMA, 16)
@dataclasses.dataclass(slots=True, kw_only=True)
class Load:
    """Report an agent's load.

    ``wait_s`` is the wait that a new short request can expect; ``cached``
    lists prefixes that the target's cache holds, as far as is known.
    """

    running: int
    queued: int
    slots: int
    wait_s: float
    is_leaving: bool
    is_ready: bool
    cached: list[int] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 17)
@dataclasses.dataclass(slots=True, kw_only=True)
class Leave:
    """Order a target to leave."""

    target: str
