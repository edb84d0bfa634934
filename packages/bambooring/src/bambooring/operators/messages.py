"""Define what a control replica asks entry instances for operators."""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'operators.capnp')
)


@codec.register(SCHEMA, 110)
@dataclasses.dataclass(slots=True, kw_only=True)
class StatusQuery:
    """Ask an entry instance which targets it knows."""

    query: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class TargetStatus:
    """Describe a target as one entry instance sees it."""

    target: str
    service: str
    failure_domain: str
    address: str
    is_linked: bool
    is_ready: bool
    is_leaving: bool
    running: int
    queued: int
    slots: int


@codec.register(SCHEMA, 111)
@dataclasses.dataclass(slots=True, kw_only=True)
class StatusReply:
    """Answer a status query."""

    query: int
    targets: list[TargetStatus]
