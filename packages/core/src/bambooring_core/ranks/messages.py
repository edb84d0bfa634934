"""Define the state of ranks, orders to them and their demand.

The ranks of a group run each pass together. A map says which ranks hold
which expert; it is put in force by orders to each rank: prepare the map,
arm it for a pass, and hold one rank before that pass until all are armed.
"""

import array
import dataclasses
import enum
import os
import typing
import zlib

from bambooring_core import codec
from bambooring_core import errors
from bambooring_core.http1 import messages as http1

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'ranks.capnp')
)

# Stands for no pass that is held.
NOT_HELD: typing.Final = -1
# Counts are packed many times a second, so quickly rather than well.
_COMPRESSION_LEVEL: typing.Final = 1
# Stands for a map that nobody has looked at.
UNKNOWN_LAYOUT: typing.Final = -1


class OrderKind(enum.StrEnum):
    """Say what a rank is to do.

    PREPARE loads a map's experts. ARM switches to it as a pass begins.
    DISARM takes that back. HOLD keeps the group from beginning a pass until
    RELEASE names the same pass.
    """

    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    RELEASE = 'release'


class Outcome(enum.StrEnum):
    """Say what became of an order.

    UNKNOWN: it may have been obeyed, and may still be, seconds later.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankExperts:
    """List the experts that one rank holds in one set of layers."""

    experts: list[int]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class SetMap:
    """List what each rank holds in one set of layers."""

    ranks: list[RankExperts]


@codec.register(SCHEMA, 180)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankState:
    """Hold what a rank says of itself.

    ``target`` names the rank's agent, ``step`` is the last
    pass that was begun. ``version`` is the map in force; ``prepared`` and
    ``armed`` are versions or 0, ``held`` is a pass or NOT_HELD. ``layout``
    lists by set the experts that it holds under ``layout_version``, which is
    UNKNOWN_LAYOUT before the first look. ``pace`` is how many times longer
    than a sound rank it takes for the same work.
    """

    target: str
    service: str
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    version: int
    prepared: int
    armed: int
    held: int
    layout_version: int = UNKNOWN_LAYOUT
    layout: list[RankExperts] = dataclasses.field(default_factory=list)
    pace: float = 1.0


@codec.register(SCHEMA, 181)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankOrder:
    """Give a rank an order, for one epoch of its group."""

    order: int
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    sets: list[SetMap] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 182)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankOrderDone:
    """Report an order's outcome and the rank's state after it."""

    order: int
    outcome: Outcome
    state: RankState


@codec.register(SCHEMA, 183)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankDemand:
    """Report how often a rank's requests chose each expert lately.

    ``packed`` holds ``sets`` rows of as many counts each, see
    :func:`pack_counts`.
    """

    target: str
    group: str
    epoch: int
    rank: int
    sets: int
    packed: bytes


def pack_counts(counts: list[int]) -> bytes:
    """Pack counts; most are small, so they take about a byte each."""
    return zlib.compress(
        array.array('I', counts).tobytes(), _COMPRESSION_LEVEL
    )


def unpack_counts(packed: bytes) -> list[int]:
    """Unpack counts.

    :raises FrameError: if they can't be unpacked
    """
    counts = array.array('I')
    try:
        counts.frombytes(zlib.decompress(packed))
    except (zlib.error, ValueError) as error:
        raise errors.FrameError(f'counts: {error}') from error
    return counts.tolist()


@codec.register(SCHEMA, 184)
@dataclasses.dataclass(slots=True, kw_only=True)
class Attendance:
    """Tell agents which control replica leads, and where all are."""

    is_leader: bool
    controls: list[str]


@dataclasses.dataclass(slots=True, kw_only=True)
class ExpertCounts:
    """Hold how often each expert was chosen since the rank started.

    ``counts`` holds the sets of layers one after the other.
    """

    epoch: int
    counts: list[int]


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldExperts:
    """Hold which experts a rank holds, by set, under which version."""

    epoch: int
    version: int
    sets: list[list[int]]


@dataclasses.dataclass(slots=True, kw_only=True)
class RankCall:
    """Hold a call to a rank's engine."""

    method: str
    path: str
    headers: http1.Headers
    body: bytes


class RankDialect(typing.Protocol):
    """Translate what is said between an agent and its engine."""

    def make_state_call(self) -> RankCall:
        """Return the call that asks for the state."""

    def read_state(
        self, target: str, service: str, body: bytes
    ) -> RankState | None:
        """Decode a state; None for a target outside a group."""

    def make_counts_call(self) -> RankCall:
        """Return the call that asks for the counts."""

    def read_counts(self, body: bytes) -> ExpertCounts | None:
        """Decode counts, or return None if there are none."""

    def make_experts_call(self) -> RankCall:
        """Return the call that asks which experts the rank holds."""

    def read_experts(self, body: bytes) -> HeldExperts | None:
        """Decode the experts, or return None if there are none."""

    def make_order_call(self, order: RankOrder) -> RankCall:
        """Return the call that gives an order."""
