"""Define the messages between an entry instance and an agent.

Times are in seconds, sizes and offsets in bytes. An attempt is one
execution of a request on one target, identified by a random 64-bit number.
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
    """Whether a request may run more than once.

    An idempotent request may be retried; a booking must run at most once.
    """

    IDEMPOTENT = 'idempotent'
    BOOKING = 'booking'


class Lane(enum.StrEnum):
    """The class of slots in which an attempt may run.

    Long attempts may use only a limited share of the slots. A suspect is a
    request that was running when a target crashed; a target runs at most one
    suspect at a time.
    """

    SHORT = 'short'
    LONG = 'long'
    SUSPECT = 'suspect'


class Outcome(enum.StrEnum):
    """The result of an attempt.

    UNKNOWN: the request may or may not have run. NOT_RUN: it has not run.
    """

    COMPLETE = 'complete'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    NOT_RUN = 'notRun'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Header:
    """One HTTP header of a request or a response."""

    name: str
    value: str


@codec.register(SCHEMA, 10)
@dataclasses.dataclass(slots=True, kw_only=True)
class Start:
    """Ask an agent to run an attempt.

    ``incarnation`` is that of the agent for which the attempt is meant.
    ``weight`` is the account's share relative to other accounts, ``cost`` the
    part of the share that the attempt uses. Attempts of a larger ``priority``
    go first. ``prefix`` is the hash of the beginning of the prompt, 0 for
    none. ``start_within_s`` limits the time in the agent's queue,
    ``end_within_s`` the duration of the call to the engine.
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
    """Cancel an attempt whose response is no longer needed."""

    attempt: int


@codec.register(SCHEMA, 12)
@dataclasses.dataclass(slots=True, kw_only=True)
class Resume:
    """Ask an agent to resume an attempt's output after a reconnect.

    The output is sent on the new link, from ``offset`` of the body on.
    """

    attempt: int
    incarnation: int
    offset: int


@codec.register(SCHEMA, 13)
@dataclasses.dataclass(slots=True, kw_only=True)
class Acknowledge:
    """Acknowledge an attempt's output up to an offset of its body.

    ``is_final`` confirms that the result of the attempt has arrived too, so
    that the agent can forget the attempt.
    """

    attempt: int
    offset: int
    is_final: bool = False


@codec.register(SCHEMA, 14)
@dataclasses.dataclass(slots=True, kw_only=True)
class Refused:
    """Reject an attempt, which has not run and never will."""

    attempt: int
    reason: str
    retry_after_s: float = 0.0


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Opened:
    """The status and the headers of the target's response to an attempt."""

    attempt: int
    status: int
    headers: list[Header]


@dataclasses.dataclass(slots=True)
class Chunk:
    """A part of the target's response body, as unpacked from an output."""

    attempt: int
    offset: int
    data: bytes


@codec.register(SCHEMA, 18)
@dataclasses.dataclass(slots=True, kw_only=True)
class Ended:
    """Report the result of an attempt.

    ``size`` is the size of the whole response body in bytes.
    """

    attempt: int
    size: int
    outcome: Outcome
    reason: str = ''


@codec.register(SCHEMA, 15)
@dataclasses.dataclass(slots=True, kw_only=True)
class Output:
    """Carry an agent's new output for one entry instance.

    One message holds what one iteration of the agent's event loop produced.
    The chunks are stored in columns, which are cheap to decode: the attempts,
    the offsets, the sizes and the concatenated bytes of all chunks.
    """

    opened: list[Opened] = dataclasses.field(default_factory=list)
    ended: list[Ended] = dataclasses.field(default_factory=list)
    attempts: list[int] = dataclasses.field(default_factory=list)
    offsets: list[int] = dataclasses.field(default_factory=list)
    sizes: list[int] = dataclasses.field(default_factory=list)
    data: bytes = b''

    def add_chunk(self, attempt: int, offset: int, data: bytes) -> None:
        """Append a chunk of a response body.

        :param attempt: the attempt to which the chunk belongs
        :param offset: the chunk's offset in the body
        :param data: the chunk's bytes
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
    """Report an agent's load to an entry instance.

    ``wait_s`` is the expected queueing time of a new short request;
    ``cached`` lists the prefixes known to be in the target's cache.
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
    """Order a target to leave the service."""

    target: str
