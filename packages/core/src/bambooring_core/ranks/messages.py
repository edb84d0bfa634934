"""Define the ranks' state reports, the orders to them and expert demand.

The ranks of a group run each pass together. An expert map says which ranks
hold which expert. It is put in force by orders to each rank: prepare the
map, arm it for a pass, and hold one rank before that pass until all ranks
are armed.
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

# The value of ``held`` while no pass is held.
NOT_HELD: typing.Final = -1
# Counts are compressed many times a second: speed matters more than size.
_COMPRESSION_LEVEL: typing.Final = 1
# Unsigned integers of one, two and four bytes.
_COUNT_TYPES: typing.Final = ('B', 'H', 'I')
# The layout version before the rank's experts have been read for the first
# time.
UNKNOWN_LAYOUT: typing.Final = -1


class OrderKind(enum.StrEnum):
    """The kind of an order to a rank.

    PREPARE loads a map's experts. ARM makes the rank switch to the map at the
    start of a pass, DISARM undoes this. HOLD keeps the group from starting a
    pass until RELEASE names the same pass.
    """

    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    RELEASE = 'release'


class Outcome(enum.StrEnum):
    """The result of an order.

    UNKNOWN: the order may have been carried out, or may still be carried out
    seconds later.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankExperts:
    """The experts that one rank holds in one set of layers."""

    experts: list[int]


@codec.register(SCHEMA, 180)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankState:
    """The state of a rank as the rank itself reports it.

    ``target`` names the rank's agent, ``step`` is the last pass that the rank
    has started. ``version`` is the version of the map in force; ``prepared``
    and ``armed`` are map versions, or 0 for none. ``held`` is the pass that is
    held, or NOT_HELD. ``layout`` lists, by set of layers, the experts that
    the rank holds under ``layout_version``, which is UNKNOWN_LAYOUT before the
    layout has been read for the first time. ``pace`` is the slowdown: how
    many times longer than a healthy rank it takes for the same work.
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
    """Give a rank an order, valid for one epoch of its group.

    ``packed_map`` is the expert map to prepare, see :func:`pack_map`.
    """

    order: int
    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    packed_map: bytes = b''


@codec.register(SCHEMA, 182)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankOrderDone:
    """Report the result of an order and the state of the rank after it."""

    order: int
    outcome: Outcome
    state: RankState


@codec.register(SCHEMA, 185)
@dataclasses.dataclass(slots=True, kw_only=True)
class RelayOrder:
    """Ask an agent to send an order to the engine of another rank.

    ``address`` is the HTTP address of that engine and ``target`` the id of the
    target that it runs. The address may have gone to another target meanwhile,
    perhaps of another group, which must not carry out the order.
    """

    address: str
    target: str
    group: str
    rank: int
    order: RankOrder


@codec.register(SCHEMA, 186)
@dataclasses.dataclass(slots=True, kw_only=True)
class RelayedOrderDone:
    """Report the result of a relayed order.

    It has no state of the rank: what an engine reports to other machines is
    older than the order.
    """

    group: str
    rank: int
    order: int
    outcome: Outcome


@codec.register(SCHEMA, 183)
@dataclasses.dataclass(slots=True, kw_only=True)
class RankDemand:
    """Report how often a rank's recent requests chose each expert.

    ``packed`` holds ``sets`` rows with the same number of counts each, see
    :func:`pack_counts`.
    """

    target: str
    group: str
    epoch: int
    rank: int
    sets: int
    packed: bytes


def pack_counts(counts: list[int]) -> bytes:
    """Compress counts; most are small and take about one byte each.

    The first byte names the type of the array that follows, the narrowest
    that has room for all counts.
    """
    highest = max(counts, default=0)
    type_code = next(
        code
        for code in _COUNT_TYPES
        if highest < 1 << 8 * array.array(code).itemsize
    )
    packed = zlib.compress(
        array.array(type_code, counts).tobytes(), _COMPRESSION_LEVEL
    )
    return type_code.encode() + packed


def unpack_counts(packed: bytes) -> list[int]:
    """Decompress the result of :func:`pack_counts`.

    :raises FrameError: if the bytes can't be decompressed
    """
    type_code = packed[:1].decode('ascii', 'replace')
    if type_code not in _COUNT_TYPES:
        raise errors.FrameError('packed counts of an unknown type')
    counts = array.array(type_code)
    try:
        counts.frombytes(zlib.decompress(packed[1:]))
    except (zlib.error, ValueError) as error:
        raise errors.FrameError(f'invalid packed counts: {error}') from error
    return counts.tolist()


# The experts of each rank, by set of layers and rank.
ExpertMap = list[list[list[int]]]


def pack_map(sets: ExpertMap) -> bytes:
    """Compress an expert map, which goes to each rank of a group.

    Before the experts of each rank comes their number.
    """
    numbers = array.array('H', [len(sets), len(sets[0]) if sets else 0])
    for set_map in sets:
        for experts in set_map:
            numbers.append(len(experts))
            numbers.extend(experts)
    return zlib.compress(numbers.tobytes())


def unpack_map(packed: bytes) -> ExpertMap:
    """Decompress the result of :func:`pack_map`.

    :raises FrameError: if the bytes are not a whole map
    """
    numbers = array.array('H')
    try:
        numbers.frombytes(zlib.decompress(packed))
        remaining = iter(numbers)
        set_count, rank_count = next(remaining), next(remaining)
        sets = [
            [
                [next(remaining) for _ in range(next(remaining))]
                for _ in range(rank_count)
            ]
            for _ in range(set_count)
        ]
    except (zlib.error, ValueError, RuntimeError, StopIteration) as error:
        raise errors.FrameError(f'invalid packed map: {error}') from error
    if next(remaining, None) is not None:
        raise errors.FrameError('bytes after the end of a packed map')
    return sets


@codec.register(SCHEMA, 184)
@dataclasses.dataclass(slots=True, kw_only=True)
class Attendance:
    """Tell an agent whether the sending control replica is the leader.

    ``controls`` lists the addresses of all control replicas.
    """

    is_leader: bool
    controls: list[str]


@dataclasses.dataclass(slots=True, kw_only=True)
class ExpertCounts:
    """How often each expert has been chosen since the rank started.

    ``counts`` holds the counts of one set of layers after the other.
    """

    epoch: int
    counts: list[int]


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldExperts:
    """The experts that a rank holds, by set of layers.

    ``version`` is the map version to which they belong.
    """

    epoch: int
    version: int
    sets: list[list[int]]


@dataclasses.dataclass(slots=True, kw_only=True)
class RankCall:
    """An HTTP request to a rank's engine."""

    method: str
    path: str
    headers: http1.Headers
    body: bytes


class RankDialect(typing.Protocol):
    """Translate between an agent's messages and its engine's HTTP API."""

    def make_state_call(self) -> RankCall:
        """Make the call that reads the rank's state."""

    def read_state(
        self, target: str, service: str, body: bytes
    ) -> RankState | None:
        """Decode the rank's state, or return None if it is in no group.

        :raises ReportError: if it can't be decoded
        """

    def make_counts_call(self) -> RankCall:
        """Make the call that reads the expert counts."""

    def read_counts(self, body: bytes) -> ExpertCounts | None:
        """Decode the expert counts, or return None if there are none.

        :raises ReportError: if it can't be decoded
        """

    def make_experts_call(self) -> RankCall:
        """Make the call that reads which experts the rank holds."""

    def read_experts(self, body: bytes) -> HeldExperts | None:
        """Decode the held experts, or return None if there are none.

        :raises ReportError: if it can't be decoded
        """

    def make_order_call(
        self, order: RankOrder, target_id: str = ''
    ) -> RankCall:
        """Make the call that sends an order to the rank.

        :param order: the order
        :param target_id: the only target that may carry it out; empty if the
            engine is known to be the right one
        """
