"""Define a policy and the commands that replicate it."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'policy.capnp')
)


class RouteKind(enum.StrEnum):
    """Say what may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, kw_only=True)
class WeightedService:
    """Name a service that gets a share of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Route:
    """Say how the requests below one path prefix are handled.

    ``timeout_s`` limits a request from its head to its last byte,
    ``first_byte_objective_s`` is the time to the first byte that callers
    expect, ``max_event_gap_s`` the longest gap between two events of a
    stream that callers accept. Of the requests that wait, those with the
    lowest ``priority`` number go first.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: list[WeightedService]
    timeout_s: float
    first_byte_objective_s: float
    priority: int
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool
    max_event_gap_s: float

    @property
    def is_retryable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, kw_only=True)
class ExpertSpec:
    """Describe the experts of a service's engines.

    Each rank holds up to ``slots_per_rank`` experts in each set of layers;
    one expert map may bring it at most ``spare_slots`` experts that it
    didn't hold before. ``expert_share`` is the part of a token's work that
    experts do. ``copy_s`` is the time a rank takes to copy one expert, 0 if
    it isn't known.
    """

    slots_per_rank: int
    spare_slots: int
    expert_share: float
    copy_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Service:
    """Describe one service.

    ``slots`` is the number of requests that a target runs at once, 0 where
    only the targets tell. ``max_connections`` bounds the channels to one
    target over all instances.
    """

    name: str
    max_connections: int
    slots: int
    experts: ExpertSpec | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """Describe a client account; a lower ``priority`` goes first."""

    name: str
    keys: list[str]
    priority: int


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerLimits:
    """Bound what callers may send; times in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Policy:
    """Hold one whole version."""

    version: int
    routes: list[Route]
    services: list[Service]
    accounts: list[Account]
    limits: CallerLimits


@codec.register(SCHEMA, 160)
@dataclasses.dataclass(slots=True, kw_only=True)
class Publish:
    """Replace the policy if the version is higher than the one held.

    ``digest`` is that of the decoded content, so that the same content in
    other bytes counts as the same. ``document`` is compressed.
    """

    version: int
    digest: bytes
    document: bytes


class PublishOutcome(enum.StrEnum):
    """Say what became of a publication."""

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    SUPERSEDED = 'superseded'
    CONFLICT = 'conflict'


@codec.register(SCHEMA, 161)
@dataclasses.dataclass(slots=True, kw_only=True)
class Published:
    """Answer a publication with the version held after it."""

    outcome: PublishOutcome
    version: int


@codec.register(SCHEMA, 162)
@dataclasses.dataclass(slots=True, kw_only=True)
class Consult:
    """Ask, through the log, for the newest version.

    The reply can't be older than the command: it is made when the command
    is applied. ``is_whole`` asks for the document too.
    """

    is_whole: bool


@codec.register(SCHEMA, 163)
@dataclasses.dataclass(slots=True, kw_only=True)
class Document:
    """Hold a version's compressed document; version 0 stands for none."""

    version: int
    digest: bytes
    document: bytes


@codec.register(SCHEMA, 164)
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseRequest:
    """Ask for proof of the newest version.

    ``lease`` numbers the sender's requests; ``version`` is in force there.
    """

    lease: int
    version: int


@codec.register(SCHEMA, 165)
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseGrant:
    """Say that ``version`` was the newest at some time after the request."""

    lease: int
    version: int
