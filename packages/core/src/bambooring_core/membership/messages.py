"""Define the announcements and the gossip that carries them.

An announcement is a lease: it ends a fixed time after it was made. Its age
travels with it, so that a relayed one ends no later than the original.
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
    """Announce a target through its agent."""

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
    """Announce an entry instance and the configuration it holds."""

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
    """Name the targets that crashed while a request was running.

    ``digest`` is that of the request, whoever sends it.
    """

    digest: bytes
    targets: list[str]
    age_s: float = 0.0


@codec.register(SCHEMA, 32)
@dataclasses.dataclass(slots=True, kw_only=True)
class Gossip:
    """Pass on what the sender knows and the receiver may not."""

    announcements: list[Announcement] = dataclasses.field(default_factory=list)
    presences: list[Presence] = dataclasses.field(default_factory=list)
    suspicions: list[Suspicion] = dataclasses.field(default_factory=list)
