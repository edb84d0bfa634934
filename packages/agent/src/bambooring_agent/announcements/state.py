"""Make a target's announcements and choose the entries to link to."""

import random

from bambooring_agent.announcements import const
from bambooring_agent.announcements import messages


class Announcer:
    """Makes the announcements of one run of an agent.

    Their sequence numbers increase from 1. The incarnation names the run, so
    that receivers can tell it from earlier runs.
    """

    def __init__(
        self,
        *,
        target: str,
        service: str,
        failure_domain: str,
        address: str,
        incarnation: int,
        slots: int,
    ) -> None:
        self._target = target
        self._service = service
        self._failure_domain = failure_domain
        self._address = address
        self._incarnation = incarnation
        self._slots = slots
        self._sequence = 0

    def make_announcement(
        self, *, is_leaving: bool, is_ready: bool
    ) -> messages.Announcement:
        """Make the announcement with the next sequence number.

        :param is_leaving: whether the target is leaving
        :param is_ready: whether the engine passes its health checks
        :returns: the announcement
        """
        self._sequence += 1
        return messages.Announcement(
            target=self._target,
            service=self._service,
            failure_domain=self._failure_domain,
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            slots=self._slots,
            is_leaving=is_leaving,
            is_ready=is_ready,
        )


def choose_entry_addresses(
    configured: list[str], linked: set[str], rng: random.Random
) -> list[str]:
    """Choose the entry addresses to keep links to.

    Addresses with a link come first, so that links are kept; the others
    follow in random order.

    :param configured: all entry addresses of the settings
    :param linked: those with a link that is up
    :param rng: the random number generator
    :returns: at most ENTRY_LINK_COUNT addresses
    """
    with_link = [address for address in configured if address in linked]
    without_link = [address for address in configured if address not in linked]
    rng.shuffle(without_link)
    return (with_link + without_link)[: const.ENTRY_LINK_COUNT]
