"""Exchange gossip with chosen peers over an entry instance's links."""

import collections.abc

from bambooring.membership import const
from bambooring.membership import messages
from bambooring.membership import state
from bambooring_core import const as core_const
from bambooring_core import links
from bambooring_core import reactor as reactor_module

# Makes the announcement of this instance with a sequence number.
MakePresence = collections.abc.Callable[[int], messages.Presence]


class Gossiper:
    """Keep links to peers and send them the news that they don't know.

    :param seeds: addresses of entry instances from the settings
    :param make_presence: makes the announcement of this instance
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        hub: links.Hub,
        directory: state.Directory,
        seeds: list[str],
        make_presence: MakePresence,
    ) -> None:
        self._reactor = reactor
        self._hub = hub
        self._directory = directory
        self._seeds = seeds
        self._make_presence = make_presence
        self._sequence = 0
        self._peer_addresses: set[str] = set()
        self._is_send_scheduled = False

    def set_up(self) -> None:
        """Start to dial peers and to gossip at intervals."""
        self._update_peers()
        self._reactor.call_every(const.PRESENCE_INTERVAL_S, self.gossip)

    def gossip(self) -> None:
        """Announce this instance again and send all news to the peers."""
        self._sequence += 1
        presence = self._make_presence(self._sequence)
        self._directory.handle_presence(presence, self._reactor.now())
        self._update_peers()
        self._send_news()

    def send_news_soon(self) -> None:
        """Send news after a short delay, with what else arrives meanwhile."""
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._reactor.call_later(
                const.SEND_NEWS_DELAY_S, self._send_scheduled_news
            )

    def _send_scheduled_news(self) -> None:
        self._is_send_scheduled = False
        self._send_news()

    def _update_peers(self) -> None:
        """Keep links to the chosen peers, and to all seeds if peers are few.

        Otherwise the seeds take turns to be linked, one at a time, so that
        groups of instances that have lost contact find each other again.
        """
        chosen_addresses = set(self._directory.choose_peer_addresses())
        if len(chosen_addresses) < const.PEER_LINKS:
            chosen_addresses |= set(self._seeds)
        elif self._seeds:
            seed_turn = self._sequence // const.PRESENCES_PER_SEED
            chosen_addresses.add(self._seeds[seed_turn % len(self._seeds)])
        for address in chosen_addresses:
            self._hub.keep_connected(address)
        for address in self._peer_addresses - chosen_addresses:
            self._hub.disconnect(address)
        self._peer_addresses = chosen_addresses

    def _send_news(self) -> None:
        now = self._reactor.now()
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            if link.dialled_address is None:
                continue
            gossip = self._directory.make_gossip(link.name, now)
            if gossip is not None:
                link.send(gossip)
