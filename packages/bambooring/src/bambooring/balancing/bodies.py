"""Bound the bytes of the request bodies that targets are handed at a time.

A target crashes if what it holds exceeds its memory, and callers choose the
size of their bodies. Each entry instance counts what it has sent itself.
"""

import typing

from bambooring_core.http1 import const as http1_const

# Eight bodies of the largest legal size (4 MiB). A target with 5 or 6 slots
# runs 7 requests at the most, of all instances together, so that only a target
# with more slots can meet this limit, with large bodies in nearly all of them.
MAX_BYTES_PER_TARGET: typing.Final = 8 * http1_const.MAX_BODY_BYTES


class TargetBodies:
    """The bytes of the bodies of the requests at each target.

    ``limit_bytes`` is the limit per target; 0 sets none. A target with no
    other body takes one of any size.
    """

    __slots__ = ('_bytes_by_target', 'limit_bytes')

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self._bytes_by_target: dict[str, int] = {}

    def add(self, target_id: str, size: int) -> None:
        """Count the body of a request that is sent to a target."""
        if self.limit_bytes and size:
            held = self._bytes_by_target.get(target_id, 0)
            self._bytes_by_target[target_id] = held + size

    def remove(self, target_id: str, size: int) -> None:
        """Stop counting the body of a request that has ended."""
        held = self._bytes_by_target.pop(target_id, 0) - size
        if held > 0:
            self._bytes_by_target[target_id] = held

    def list_full(self, size: int) -> frozenset[str]:
        """Return the targets that have no room for a body.

        A small one has room at all of them.

        :param size: the bytes of the body
        """
        if not self.limit_bytes or size <= http1_const.SMALL_BODY_BYTES:
            return frozenset()
        return frozenset(
            target_id
            for target_id, held in self._bytes_by_target.items()
            if held + size > self.limit_bytes
        )
