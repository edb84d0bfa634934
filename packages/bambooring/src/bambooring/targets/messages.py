"""Define the messages that instances exchange about targets and load."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'targets.capnp')
)


class State(enum.StrEnum):
    """The state of a run of a target.

    READY takes new work, DRAINING only finishes what it has, GONE has ended.
    """

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Target:
    """The latest announcement of one run of a target.

    ``born_ms`` is the start of the run, in milliseconds since 1970 by the
    target's clock; ``sequence`` increases with each announcement of the run.
    ``slots`` is 0 if the target doesn't report it. ``group`` is empty for a
    target outside of a model group. A group that is not open is broken: it
    runs no requests until it opens again, in a later epoch. A void run doesn't
    count: an earlier run that it would replace outlived it. ``cold_ms`` is how
    long the target stays cold after the announcement, 0 for a warm one.
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
    is_void: bool = False
    cold_ms: int = 0


@codec.register(SCHEMA, 170)
@dataclasses.dataclass(slots=True, kw_only=True)
class Announced:
    """Changed targets, and the ids of unchanged ones with a new heartbeat.

    Sent by control replicas to entry instances and to one another. A
    ``confirmation`` other than 0 asks entry instances for an
    ``AnnouncedReply`` with this number.
    """

    targets: list[Target]
    refreshed: list[str]
    confirmation: int


@codec.register(SCHEMA, 173)
@dataclasses.dataclass(slots=True, kw_only=True)
class AnnouncedReply:
    """Reply of an entry instance that it knows of the announced targets."""

    confirmation: int


@codec.register(SCHEMA, 171)
@dataclasses.dataclass(slots=True, kw_only=True)
class Topology:
    """The addresses of the entry instances and the control replicas.

    Sent by a control replica to the entry instances. It names the entry
    instances that are linked to the replica and the members of its group.
    ``entry_domains`` has the failure domain of each of ``entries``; it is
    empty if an older replica sent the message.
    """

    entries: list[str]
    controls: list[str]
    entry_domains: list[str] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA, 177)
@dataclasses.dataclass(slots=True, kw_only=True)
class EntryStatus:
    """Tell a control replica what an entry instance needs from it.

    ``is_main`` is true for the replicas in the entry's failure domain, and for
    all if none of those is linked. Only they pass on what other replicas told
    them; the others send just their own news. ``policy_version`` is the policy
    in force at the entry, 0 for none.
    """

    is_main: bool
    policy_version: int


@codec.register(SCHEMA, 174)
@dataclasses.dataclass(slots=True, kw_only=True)
class GroupPaces:
    """By rank of a group, how many times longer than usual it takes."""

    group: str
    paces: list[float]


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class TargetLoad:
    """The requests that one entry instance has running at a target.

    ``tokens`` is the total of the prompts that the target has still to read.
    """

    target: str
    running: int
    tokens: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceLoad:
    """What one entry instance reports about a service.

    ``waiting`` is the number of requests that wait there for a target,
    ``waiting_by_urgency`` how many of them there are of each urgency, the most
    urgent first, empty where the order doesn't depend on it. ``gap_ms`` is the
    mean gap between two events of the streams there in the last interval, 0
    without streams.
    """

    service: str
    waiting: int
    gap_ms: int = 0
    waiting_by_urgency: list[int] = dataclasses.field(default_factory=list)


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """A run of a target that one entry instance suspects of failing.

    ``failures`` is the number of consecutive failures that the instance saw.
    It is 0 for a withdrawal: the run completed a response while others
    suspected it. ``is_refusing`` is true if the target refused requests
    although it had room, false if it failed them.
    """

    target: str
    born_ms: int
    failures: int
    is_refusing: bool = False


@codec.register(SCHEMA, 172)
@dataclasses.dataclass(slots=True, kw_only=True)
class Load:
    """Load report of an entry instance to the others.

    It is sent as a datagram within the failure domain. Each report is
    complete, so that the next one makes up for a lost one. ``sender`` is the
    instance's link address. ``suspicions`` is empty unless instances share
    the health of targets.
    """

    sender: str
    incarnation: int
    sequence: int
    targets: list[TargetLoad]
    services: list[ServiceLoad]
    suspicions: list[Suspicion] = dataclasses.field(default_factory=list)
