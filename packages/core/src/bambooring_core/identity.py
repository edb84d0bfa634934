"""Describe who a process is to its peers."""

import dataclasses
import secrets
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class Identity:
    """Name one run of one process.

    ``incarnation`` is drawn anew at each start.
    """

    cluster: str
    instance: str
    role: str
    failure_domain: str
    address: str
    incarnation: int = 0


_RANDOM_BITS = 20


def generate_incarnation() -> int:
    """Return a number that names one run of a process.

    The milliseconds since the epoch come first, so that a later run of the
    same instance has the greater number; random bits follow.
    """
    milliseconds = int(time.time() * 1000)
    return milliseconds << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)
