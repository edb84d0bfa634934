"""Decide which responses are broken off because their callers don't read."""

import collections.abc
import typing

from bambooring_core.http1 import const
from bambooring_core.http1 import relief

_T = typing.TypeVar('_T')


def choose_unread(
    holders: collections.abc.Iterable[relief.Holder[_T]], excess_bytes: int
) -> collections.abc.Iterator[relief.Holder[_T]]:
    """Yield the responses to break off.

    These are those of which nothing was read for long, and as many others as
    it takes to release what is held beyond the budget.

    :param holders: the responses that are being written
    :param excess_bytes: what the process holds beyond its budget
    """
    others = []
    for holder in holders:
        if holder.has_output and holder.stalled_s > const.UNREAD_TIMEOUT_S:
            excess_bytes -= holder.held_bytes
            yield holder
        else:
            others.append(holder)
    yield from relief.choose_largest(others, excess_bytes)
