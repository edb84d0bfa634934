"""Define the messages that collect the status of targets.

A control replica queries entry instances to answer a status request of an
operator.
"""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'operators.capnp')
)


@codec.register(SCHEMA, 110)
@dataclasses.dataclass(slots=True, kw_only=True)
class StatusQuery:
    """Query for the targets that an entry instance knows.

    ``query`` is an id that the reply repeats.
    """

    query: int


@codec.register(SCHEMA)
@dataclasses.dataclass(slots=True, kw_only=True)
class TargetStatus:
    """State of a target as one entry instance sees it.

    ``running`` and ``queued`` count requests; ``slots`` is how many the
    target runs at a time.
    """

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
    """Reply to a status query, with every target that the instance knows."""

    query: int
    targets: list[TargetStatus]
