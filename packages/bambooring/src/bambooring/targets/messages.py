"""Define targets as instances tell one another of them."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'targets.capnp')
)


class State(enum.StrEnum):
    """Say whether a target takes new work."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """Hold what one run of a target last said of itself.

    ``born_ms`` is the run's start in milliseconds since the epoch by the
    target's clock, ``sequence`` rises with each of its announcements.
    ``group`` is empty for a target outside a model group. A group that is
    not open runs nothing until it opens again, in a later epoch.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: State
    born_ms: int
    sequence: int
    group: str = ''
    group_epoch: int = 0
    rank: int = 0
    is_group_open: bool = True


@codec.register(SCHEMA, 170)
@dataclasses.dataclass(slots=True, kw_only=True)
class Announced:
    """Spread changed targets, and the ids of those that are unchanged.

    A ``confirmation`` other than 0 asks entry instances for a reply.
    """

    targets: list[Target]
    refreshed: list[str]
    confirmation: int


@codec.register(SCHEMA, 173)
@dataclasses.dataclass(slots=True, kw_only=True)
class AnnouncedReply:
    """Say that the targets of an announcement are known here."""

    confirmation: int


@codec.register(SCHEMA, 171)
@dataclasses.dataclass(slots=True, kw_only=True)
class Topology:
    """Name the addresses of the instances that are linked."""

    entries: list[str]
    controls: list[str]


@codec.register(SCHEMA, 174)
@dataclasses.dataclass(slots=True, kw_only=True)
class GroupPaces:
    """Tell by rank how many times longer than usual each one takes."""

    group: str
    paces: list[float]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class TargetLoad:
    """Hold what one instance has running at a target."""

    target: str
    running: int
    tokens: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceLoad:
    """Hold what one instance sees of a service.

    ``gap_ms`` is the mean pause between events of its streams lately, 0
    without streams.
    """

    service: str
    waiting: int
    gap_ms: int = 0


@codec.register(SCHEMA, 172)
@dataclasses.dataclass(slots=True, kw_only=True)
class Load:
    """Tell the other entry instances all that this one has running.

    Sent as a datagram: it is whole, so a lost one is made up by the next.
    """

    sender: str
    incarnation: int
    sequence: int
    targets: list[TargetLoad]
    services: list[ServiceLoad]
