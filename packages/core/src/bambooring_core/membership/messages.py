"""Define the announcements and the gossip that carries them.

An announcement is a lease: it expires a fixed time after it was made. Its age
is sent along, so that a relayed announcement expires no later than the
original. Announcements of the same name are ordered by their incarnation, then
by their sequence number.
"""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'membership.capnp')
)


@codec.register(SCHEMA, 30)
@dataclasses.dataclass(slots=True, kw_only=True)
class Announcement:
    """Announce a target; sent by the target's agent.

    ``slots`` is the number of requests that the target can run at once.
    """

    target: str
    service: str
    failure_domain: str
    address: str
    incarnation: int
    sequence: int
    slots: int
    is_leaving: bool = False
    is_ready: bool = True
    age_s: float = 0.0


@codec.register(SCHEMA, 31)
@dataclasses.dataclass(slots=True, kw_only=True)
class Presence:
    """Announce an entry instance.

    ``held`` and ``in_force`` are the configuration revisions that it has
    received and that it applies.
    """

    instance: str
    failure_domain: str
    address: str
    incarnation: int
    sequence: int
    held: int = 0
    in_force: int = 0
    is_leaving: bool = False
    age_s: float = 0.0


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """The targets that crashed while they ran a certain request.

    ``digest`` identifies the request by its content, regardless of the caller.
    """

    digest: bytes
    targets: list[str]
    age_s: float = 0.0


@codec.register(SCHEMA, 32)
@dataclasses.dataclass(slots=True, kw_only=True)
class Gossip:
    """Relay announcements and suspicions that may be new to the receiver."""

    announcements: list[Announcement] = dataclasses.field(default_factory=list)
    presences: list[Presence] = dataclasses.field(default_factory=list)
    suspicions: list[Suspicion] = dataclasses.field(default_factory=list)
