"""Elect the entry instance that speaks for a failure domain.

The relay is the living instance with the lowest address. It sends a message to
all instances of its domain at each interval. If it is silent, the next lowest
address takes over, and the one after it if that is silent too. Nothing is
agreed upon: for a moment there may be two relays, or none. Two are harmless,
because a receiver follows one of them at a time, and the sums of both are
made from the same reports.
"""

import collections.abc

from bambooring.loads import const


class RelayElection:
    """Tell whether this instance is the relay of its failure domain.

    Times are in seconds of a clock that also advances while the machine is
    suspended.
    """

    __slots__ = (
        '_eligible_from_s',
        '_heard_s',
        '_lower_addresses',
        '_own_address',
        '_relay_address',
        '_silent_addresses',
        '_updated_s',
    )

    def __init__(self, own_address: str, now_s: float) -> None:
        self._own_address = own_address
        self._lower_addresses: list[str] = []
        self._silent_addresses: set[str] = set()
        self._relay_address = ''
        self._updated_s = now_s
        self._eligible_from_s = now_s + const.RELAY_WARM_UP_S
        self._heard_s = self._eligible_from_s

    def set_members(self, addresses: collections.abc.Iterable[str]) -> None:
        """Replace the instances of the failure domain.

        :param addresses: their link addresses, with or without the own one
        """
        self._lower_addresses = sorted(
            address for address in addresses if address < self._own_address
        )
        self._silent_addresses.intersection_update(self._lower_addresses)

    def record_relay(self, address: str, now_s: float) -> None:
        """Record a message by which another instance acts as the relay."""
        self._silent_addresses.discard(address)
        if address < self._own_address or not self.is_relay(now_s):
            self._relay_address = address
        if address < self._own_address:
            self._heard_s = now_s

    def update(self, now_s: float) -> None:
        """Pass over a silent relay; to be called at each relay interval.

        An instance that was frozen itself has outdated reports, so it collects
        new ones before it acts as the relay.
        """
        if now_s - self._updated_s > const.RELAY_TIMEOUT_S:
            self._eligible_from_s = now_s + const.RELAY_WARM_UP_S
            self._heard_s = now_s
        self._updated_s = now_s
        if now_s - self._heard_s <= const.RELAY_TIMEOUT_S:
            return
        for address in self._lower_addresses:
            if address not in self._silent_addresses:
                self._silent_addresses.add(address)
                self._heard_s = now_s
                return

    def is_relay(self, now_s: float) -> bool:
        """Return whether this instance acts as the relay."""
        return now_s >= self._eligible_from_s and all(
            address in self._silent_addresses
            for address in self._lower_addresses
        )

    @property
    def relay_address(self) -> str:
        """Return the other instance last seen as the relay, or ''."""
        return self._relay_address
