"""Define the command and the messages that distribute evacuations."""

import dataclasses
import enum
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'evacuation.capnp')
)


@codec.register(SCHEMA, 210)
@dataclasses.dataclass(slots=True, kw_only=True)
class Order:
    """Command to evacuate a failure domain, or to withdraw its evacuation.

    ``revision`` is the one that was known when the order was given. A later
    change supersedes it: a replica that was frozen, or that had to wait for a
    leader, may propose an order that its operator has given up long ago.
    """

    failure_domain: str
    is_evacuated: bool
    revision: int


class Outcome(enum.StrEnum):
    """The outcome of an order.

    REPEATED means that the failure domain was in that state already, REFUSED
    that too many are evacuated, and SUPERSEDED that there was a change after
    the revision of the order.
    """

    CHANGED = 'changed'
    REPEATED = 'repeated'
    REFUSED = 'refused'
    SUPERSEDED = 'superseded'


@codec.register(SCHEMA, 211)
@dataclasses.dataclass(slots=True, kw_only=True)
class Ordered:
    """Reply to ``Order``, with the revision after it."""

    outcome: Outcome
    revision: int


@codec.register(SCHEMA, 212)
@dataclasses.dataclass(slots=True, kw_only=True)
class Evacuations:
    """All evacuated failure domains, in order.

    ``revision`` grows with each change; 0 means that there was none yet.
    """

    revision: int
    failure_domains: list[str]


@codec.register(SCHEMA, 213)
@dataclasses.dataclass(slots=True, kw_only=True)
class EvacuationsRequest:
    """Request of an entry instance for evacuations newer than its own.

    ``revision`` is the one that it holds.
    """

    revision: int
