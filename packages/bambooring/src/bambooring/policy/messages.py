"""Define policies and the commands and messages that distribute them."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'policy.capnp')
)


class RouteKind(enum.StrEnum):
    """The kind of a route's requests, which decides on retries."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(slots=True, kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Route:
    """How the requests to one host and path prefix are handled.

    ``timeout_s`` limits a request from its head to its last byte,
    ``first_byte_objective_s`` is the time to the first byte that callers
    expect, ``max_event_gap_s`` the longest gap between two events of a
    stream that callers accept. Requests of a route with a lower ``priority``
    go first. Anonymous routes need no key. After an interruption, a stream
    of a resumable route can be continued by another target. Only targets in
    ``allowed_regions`` serve the route; an empty list allows all regions.
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
    allowed_regions: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, kw_only=True)
class ExpertSpec:
    """Properties of a service's engines that experts are placed by.

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
    """A group of targets that serve the same requests.

    ``slots`` is the number of requests that a target runs at once, 0 where
    only the targets report it. ``max_connections`` limits the connections of
    all instances together to one target. ``experts`` is set for services
    whose engines have experts. A target is cold for ``cold_s`` seconds after
    its start and takes ``cold_requests_per_s`` requests a second then; 0 sets
    no limit.
    """

    name: str
    max_connections: int
    slots: int
    experts: ExpertSpec | None = None
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """A client account and its API keys; a lower ``priority`` goes first.

    Only targets in ``allowed_regions`` serve it; an empty list allows all.
    """

    name: str
    keys: list[str]
    priority: int
    allowed_regions: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests and connections of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Policy:
    """One complete version of the policy."""

    version: int
    routes: list[Route]
    services: list[Service]
    accounts: list[Account]
    limits: CallerLimits


@codec.register(SCHEMA, 160)
@dataclasses.dataclass(slots=True, kw_only=True)
class Publish:
    """Command to replace the policy if the version is higher than the newest.

    ``digest`` is computed from the decoded content, so that the same content
    with another layout has the same digest. ``document`` is compressed.
    """

    version: int
    digest: bytes
    document: bytes


class PublishOutcome(enum.StrEnum):
    """The outcome of a ``Publish`` command.

    REPEATED means that the newest version has the same number and content,
    CONFLICT that it has the same number and other content, and SUPERSEDED
    that it has a higher number.
    """

    ACCEPTED = 'accepted'
    REPEATED = 'repeated'
    SUPERSEDED = 'superseded'
    CONFLICT = 'conflict'


@codec.register(SCHEMA, 161)
@dataclasses.dataclass(slots=True, kw_only=True)
class Published:
    """Reply to ``Publish``, with the newest version after it."""

    outcome: PublishOutcome
    version: int


@codec.register(SCHEMA, 162)
@dataclasses.dataclass(slots=True, kw_only=True)
class Consult:
    """Command to read the newest version through the log.

    The reply is made when the command is applied, so it can't be older than
    the command. ``is_whole`` asks for the document too.
    """

    is_whole: bool


@codec.register(SCHEMA, 163)
@dataclasses.dataclass(slots=True, kw_only=True)
class Document:
    """A policy version with its compressed document; version 0 is none.

    ``evacuation_revision`` is that of the evacuations when a ``Consult`` was
    applied; it is set in its reply only.
    """

    version: int
    digest: bytes
    document: bytes
    evacuation_revision: int = 0


@codec.register(SCHEMA, 164)
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseRequest:
    """Request of an entry instance for proof that its policy is the newest.

    ``lease`` is the number of the request, unique to the sender; ``version``
    is the policy version in force there.
    """

    lease: int
    version: int


@codec.register(SCHEMA, 165)
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseGrant:
    """Reply that ``version`` was the newest some time after the request.

    ``lease`` is the number of the request. ``evacuation_revision`` was that
    of the evacuations at the same time.
    """

    lease: int
    version: int
    evacuation_revision: int = 0
