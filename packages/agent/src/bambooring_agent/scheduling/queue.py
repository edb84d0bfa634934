"""Queue attempts fairly by client account.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): the start tag of an
attempt is the larger of the queue's virtual time and the last finish tag of
its account; its finish tag is the start tag plus cost divided by weight.
Within a priority, the attempt with the smallest start tag goes first.
"""

import collections.abc
import heapq
import itertools
import typing

Item = typing.TypeVar('Item')


class FairQueue(typing.Generic[Item]):
    """A queue that shares turns between accounts by their weights.

    The scheduler has one for each lane. Removed items stay in the heap until
    their turn and are skipped then.
    """

    __slots__ = (
        '_finish_tags',
        '_heap',
        '_items',
        '_tickets',
        '_virtual_time',
    )

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int]] = []
        self._items: dict[int, Item] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._tickets = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> collections.abc.Iterator[Item]:
        return iter(list(self._items.values()))

    def push(
        self,
        item: Item,
        *,
        account: str,
        weight: float,
        cost: float,
        priority: int,
    ) -> int:
        """Add an item.

        :param item: what to queue
        :param account: the account that the item belongs to
        :param weight: the account's share, relative to other accounts
        :param cost: how much of the share the item uses
        :param priority: items with a larger priority go first
        :returns: a ticket that removes the item
        """
        start_tag = max(
            self._virtual_time, self._finish_tags.get(account, 0.0)
        )
        self._finish_tags[account] = start_tag + cost / weight
        ticket = next(self._tickets)
        self._items[ticket] = item
        heapq.heappush(self._heap, (-priority, start_tag, ticket))
        return ticket

    def count_before(self, account: str, priority: int) -> int:
        """Count the items that would go before a new one.

        :param account: the account of the new item
        :param priority: the priority of the new item
        """
        start_tag = max(
            self._virtual_time, self._finish_tags.get(account, 0.0)
        )
        return sum(
            ticket in self._items
            and (negated_priority, queued_tag) <= (-priority, start_tag)
            for negated_priority, queued_tag, ticket in self._heap
        )

    def peek_last(self) -> Item | None:
        """Return the item that would go last, or None if there is none."""
        queued = [entry for entry in self._heap if entry[2] in self._items]
        return self._items[max(queued)[2]] if queued else None

    def remove(self, ticket: int) -> None:
        """Remove an item by its ticket; an unknown ticket is ignored."""
        self._items.pop(ticket, None)

    def pop(self) -> Item | None:
        """Remove and return the next item, or None if the queue is empty."""
        while self._heap:
            _, start_tag, ticket = heapq.heappop(self._heap)
            item = self._items.pop(ticket, None)
            if item is not None:
                self._virtual_time = max(self._virtual_time, start_tag)
                return item
        self._finish_tags.clear()
        return None
