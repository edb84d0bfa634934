"""Account for the memory that a process uses for its callers and targets.

The budget counts what is held: input that is read, bodies of requests that
wait or run, output that isn't read yet, and buffered responses. It is shared
by all servers of a process and knows nothing of connections.
"""

import types
import typing

from bambooring_core.http1 import const

# What a process needs apart from what it holds for callers: it peaks at 38 MB
# when it starts, and tables and logs grow a little after that.
_BASE_BYTES: typing.Final = 48 * 1024 * 1024

# The share of the remaining memory that may be held. The allocator keeps freed
# blocks between others that are in use, a growing body is moved to a larger
# block now and then, and what is received exists twice while it is parsed.
_BUDGET_SHARE: typing.Final = 0.5

# A body of the largest legal size (8 MiB at a control replica) has room even
# on the smallest machine.
_MIN_TOTAL_BYTES: typing.Final = 12 * 1024 * 1024

# The part of the budget that large bodies may not use, so that small ones and
# output have room when the rest is taken.
_RESERVED_SHARE: typing.Final = 0.25


class MemoryBudget:
    """The bytes that a process may hold for others; 0 sets no limit."""

    __slots__ = ('_large_limit_bytes', 'total_bytes', 'used_bytes')

    def __init__(self, total_bytes: int = 0) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self._large_limit_bytes = int(total_bytes * (1 - _RESERVED_SHARE))

    @property
    def is_limited(self) -> bool:
        """Return whether there is a limit at all."""
        return self.total_bytes > 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the budget allows."""
        return self.is_limited and self.used_bytes > self.total_bytes

    def has_room(self, size: int) -> bool:
        """Return whether a large body may use more bytes."""
        if not self.is_limited:
            return True
        return self.used_bytes + size <= self._large_limit_bytes


class Reservation:
    """What one holder uses of a budget, until it is closed."""

    __slots__ = ('_budget', 'size')

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def resize(self, size: int) -> None:
        """Account for bytes that are held whether there is room or not."""
        self._budget.used_bytes += size - self.size
        self.size = size

    def try_resize(self, size: int) -> bool:
        """Reserve bytes for a large body if there is room.

        :param size: the bytes in all, with those reserved before
        :returns: whether they are reserved; if not, nothing has changed
        """
        if size > self.size and not self._budget.has_room(size - self.size):
            return False
        self.resize(size)
        return True

    def close(self) -> None:
        """Release all bytes."""
        self.resize(0)


def make_budget(memory_bytes: int) -> MemoryBudget:
    """Return the budget of a process.

    :param memory_bytes: the memory of its machine; 0 for a budget without a
        limit
    """
    if not memory_bytes:
        return MemoryBudget()
    free_bytes = max(0, memory_bytes - _BASE_BYTES)
    return MemoryBudget(max(_MIN_TOTAL_BYTES, int(free_bytes * _BUDGET_SHARE)))


def get_callers_descriptors(
    max_descriptors: int, links_share: float = 0.0
) -> int:
    """Return how many descriptors a process uses for callers.

    These are the callers' connections and the calls to targets that are made
    for them.

    :param max_descriptors: the limit of the process; 0 for none
    :param links_share: the share of them that is for links, besides those
        that every process reserves
    """
    if not max_descriptors:
        return 0
    return max(
        int(max_descriptors * (1 - links_share)) - const.RESERVED_DESCRIPTORS,
        int(max_descriptors * const.MIN_CALLERS_SHARE),
    )
