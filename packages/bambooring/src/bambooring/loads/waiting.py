"""Count the requests that wait for a service by their urgency."""

import collections.abc

from bambooring.loads import messages
from bambooring.policy import urgency
from bambooring.targets import messages as targets

Counts = list[int]


def list_counts(
    entry: targets.ServiceLoad | messages.ServiceTotal,
) -> Counts:
    """Return how many requests of each urgency wait, the most urgent first.

    Those of a sender that doesn't tell their urgency count as least urgent.
    """
    counts = (entry.waiting_by_urgency + [0] * urgency.CLASS_COUNT)[
        : urgency.CLASS_COUNT
    ]
    counts[urgency.LEAST_URGENT] += max(0, entry.waiting - sum(counts))
    return counts


def add_counts(total: Counts, added: Counts, sign: int = 1) -> None:
    """Add counts to a total, or subtract them with a sign of -1."""
    for index, count in enumerate(added):
        total[index] += sign * count


def sum_counts(
    entries: collections.abc.Iterable[
        targets.ServiceLoad | messages.ServiceTotal
    ],
) -> Counts:
    """Return the sum over the senders."""
    total = [0] * urgency.CLASS_COUNT
    for entry in entries:
        add_counts(total, list_counts(entry))
    return total
