"""Make the announcements of one target and choose who gets them."""

import random

from bambooring_agent.announcements import const
from bambooring_agent.announcements import messages


class Announcer:
    """Number the announcements of one run of an agent."""

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
        """Make the next announcement.

        :param is_leaving: whether the target is leaving
        :param is_ready: whether the target answers
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

    :param configured: every address from the settings
    :param linked: the addresses with a link that is up
    :param rng: the source of chance
    :returns: addresses, those with a link first
    """
    with_link = [address for address in configured if address in linked]
    without_link = [address for address in configured if address not in linked]
    rng.shuffle(without_link)
    return (with_link + without_link)[: const.ENTRY_LINK_COUNT]
