"""Define the identity that a process presents to its peers."""

import dataclasses
import secrets
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class Identity:
    """The identity of one run of a process.

    ``address`` is the IP:PORT that peers dial; ``incarnation`` is generated
    anew at each start.
    """

    cluster: str
    instance: str
    role: str
    failure_domain: str
    address: str
    incarnation: int = 0


_RANDOM_BITS = 20


def generate_incarnation() -> int:
    """Return a number that identifies one run of a process.

    The high bits are the milliseconds since the epoch, so that a later run of
    the same instance has the greater number; the low bits are random.
    """
    now_ms = int(time.time() * 1000)
    return now_ms << _RANDOM_BITS | secrets.randbits(_RANDOM_BITS)
