"""Decide which connections are closed when a process is near its limits."""

import collections.abc
import dataclasses
import heapq
import typing

from bambooring_core.http1 import const

_T = typing.TypeVar('_T')

# A connection that has just moved counts as stalled for this long, so that
# among such the one that holds most is chosen.
_MIN_STALL_S: typing.Final = 0.05


@dataclasses.dataclass(slots=True, kw_only=True)
class Holder(typing.Generic[_T]):
    """A connection that could be closed to get room.

    ``held_bytes`` would be released, ``stalled_s`` is the time since it last
    received or sent anything. ``has_request`` is true while its request is
    being handled, ``has_output`` while its caller leaves output unread.
    """

    connection: _T
    held_bytes: int
    stalled_s: float
    has_request: bool
    has_output: bool

    @property
    def may_be_closed(self) -> bool:
        """Return whether closing it ends no request that makes progress.

        A request that runs at a target ends only if its caller doesn't read.
        """
        return self.held_bytes > 0 and (
            self.has_output or not self.has_request
        )


def choose_largest(
    holders: collections.abc.Iterable[Holder[_T]], excess_bytes: int
) -> collections.abc.Iterator[Holder[_T]]:
    """Yield the connections to close until the excess is released.

    Those that hold most and have made no progress for longest come first.

    :param holders: all connections
    :param excess_bytes: what is held beyond the budget
    """
    ranked = sorted(
        (holder for holder in holders if holder.may_be_closed),
        key=lambda holder: (
            holder.held_bytes * max(holder.stalled_s, _MIN_STALL_S)
        ),
        reverse=True,
    )
    for holder in ranked:
        if excess_bytes <= 0:
            return
        excess_bytes -= holder.held_bytes
        yield holder


def choose_stalled(
    holders: collections.abc.Iterable[Holder[_T]], needed_bytes: int
) -> collections.abc.Iterator[Holder[_T]]:
    """Yield stalled connections to close, so that a large body has room.

    :param holders: all connections
    :param needed_bytes: what the body lacks
    """
    return choose_largest(
        (
            holder
            for holder in holders
            if holder.stalled_s >= const.STALL_S
            and holder.held_bytes > const.SMALL_BODY_BYTES
        ),
        needed_bytes,
    )


def choose_idle(
    holders: collections.abc.Iterable[Holder[_T]], count: int
) -> list[Holder[_T]]:
    """Return the connections without a request that moved longest ago.

    :param holders: all connections
    :param count: how many descriptors are needed
    """
    return heapq.nlargest(
        count,
        (holder for holder in holders if not holder.has_request),
        key=lambda holder: holder.stalled_s,
    )
