"""Replicate which failure domains are evacuated."""

import collections.abc
import typing

from bambooring.evacuation import const
from bambooring.evacuation import errors
from bambooring.evacuation import messages


class EvacuationStore:
    """The evacuated failure domains, as replicated through the log.

    ``evacuations`` is replaced with each change, never modified.
    """

    __slots__ = ('evacuations',)

    def __init__(self) -> None:
        self.evacuations = messages.Evacuations(revision=0, failure_domains=[])

    def apply(self, command: messages.Order) -> messages.Ordered:
        """Carry out an order; a repeated or superseded one changes nothing.

        :param command: the order
        :returns: the outcome, and the revision after it
        """
        domains = set(self.evacuations.failure_domains)
        outcome = messages.Outcome.CHANGED
        if (command.failure_domain in domains) is command.is_evacuated:
            outcome = messages.Outcome.REPEATED
        elif command.revision < self.evacuations.revision:
            outcome = messages.Outcome.SUPERSEDED
        elif not command.is_evacuated:
            domains.remove(command.failure_domain)
        elif len(domains) >= const.MAX_FAILURE_DOMAINS:
            outcome = messages.Outcome.REFUSED
        else:
            domains.add(command.failure_domain)
        if outcome is messages.Outcome.CHANGED:
            self.evacuations = messages.Evacuations(
                revision=self.evacuations.revision + 1,
                failure_domains=sorted(domains),
            )
        return messages.Ordered(
            outcome=outcome, revision=self.evacuations.revision
        )

    def save(self) -> collections.abc.Iterator[messages.Evacuations]:
        """Yield the messages of a snapshot, for :meth:`restore`."""
        if self.evacuations.revision:
            yield self.evacuations

    def restore(self, message: typing.Any) -> bool:
        """Restore the state from a message of a snapshot.

        :returns: whether the message belongs to this store
        """
        if not isinstance(message, messages.Evacuations):
            return False
        self.evacuations = message
        return True


def check_domain(
    failure_domain: str,
    known_domains: collections.abc.Collection[str],
    evacuations: messages.Evacuations,
) -> None:
    """Check that an order names a failure domain of the cluster.

    The evacuation of one that the settings no longer list can be withdrawn.

    :param failure_domain: the failure domain of the order
    :param known_domains: those of the cluster; if empty, any name is accepted
    :param evacuations: the failure domains that are evacuated now
    :raises UnknownDomainError: if it is unknown
    """
    if not known_domains or failure_domain in known_domains:
        return
    if failure_domain not in evacuations.failure_domains:
        raise errors.UnknownDomainError('unknown failure domain')
