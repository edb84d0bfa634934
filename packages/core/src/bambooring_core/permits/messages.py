"""Define the datagrams by which permits for cold targets are handed out."""

import dataclasses
import os

from bambooring_core import codec

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'permits.capnp')
)


@codec.register(SCHEMA, 200)
@dataclasses.dataclass(slots=True, kw_only=True)
class PermitRequest:
    """Ask the agent in a target's slot for permits.

    Sent by entry instances. ``sender`` is the instance's link address and
    ``incarnation`` the number of its run; ``sequence`` increases with each
    request of the run. ``born_ms`` is the start of the target's run. In any
    second no more than ``limit_per_s`` requests may arrive at the target.
    """

    sender: str
    incarnation: int
    sequence: int
    target_id: str
    born_ms: int
    limit_per_s: int
    wanted: int


@codec.register(SCHEMA, 201)
@dataclasses.dataclass(slots=True, kw_only=True)
class PermitGrant:
    """Grant permits, in answer to the request with the same sequence.

    They are valid for ``const.PERMIT_TTL_S`` from when the request was sent.
    If ``count`` is 0, none is granted within ``wait_ms``.
    """

    sender: str
    incarnation: int
    sequence: int
    target_id: str
    count: int
    wait_ms: int
