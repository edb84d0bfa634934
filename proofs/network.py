"""Run processes in simulated time, with links that behave like TCP.

While a link is open it keeps the order of messages and loses none. It can
break (each end notices at a time of its own, and what is in transit may still
arrive), become silent for good, or stall while its two failure domains are
cut off from each other. Messages of some types may also be delivered a second
time, late, on whichever link the two processes have by then.
"""

import collections
import collections.abc
import dataclasses
import typing

from bambooring_core import const
from bambooring_core.dispatch import messages as wire
from bambooring_core import frames
from bambooring_core import identity as identity_module
from bambooring_core import reactor as reactor_module
from proofs import world as world_module

SILENCE_TIMEOUT_S = const.HEARTBEAT_INTERVAL_S * const.MAX_MISSED_HEARTBEATS
STALL_CHECK_INTERVAL_S = 0.1
REPEATABLE_TYPES = (
    wire.Start,
    wire.Output,
    wire.Refused,
    wire.Ended,
    wire.Acknowledge,
    wire.Cancel,
    wire.Resume,
)


class Node:
    """A process that can be started, stopped and frozen repeatedly.

    ``generation`` is incremented by each start and stop, to cancel the
    callbacks of earlier runs. ``process`` and ``hub`` are None while it does
    not run. Times are seconds of the simulated clock.
    """

    def __init__(
        self, world: world_module.World, name: str, domain: str
    ) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.generation = 0
        self.is_alive = False
        self.frozen_until_s = 0.0
        self.started_s = 0.0
        self.hub: 'SimHub | None' = None
        self.process: typing.Any = None

    @property
    def is_frozen(self) -> bool:
        """Return whether the process is frozen, as if it got no CPU time."""
        return self.frozen_until_s > self.world.now

    def start(self) -> 'SimReactor':
        """Start the process and return its new reactor."""
        self.generation += 1
        self.is_alive = True
        self.started_s = self.world.now
        self.frozen_until_s = 0.0
        return SimReactor(self)

    def stop(self) -> None:
        """Stop the process at once; its peers notice later."""
        self.is_alive = False
        self.generation += 1
        if self.hub is not None:
            self.hub.abort_links()
            self.hub = None
        self.process = None


class SimReactor:
    """The reactor of one run of a process, in simulated time.

    ``on_stop`` is called when the process stops itself.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.world = node.world
        self._generation = node.generation
        self._soon_callbacks: collections.deque[reactor_module.Callback] = (
            collections.deque()
        )
        self.on_stop: reactor_module.Callback = lambda: None

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.world.now

    def execute(self, callback: reactor_module.Callback) -> None:
        """Run a callback now, or when the process is no longer frozen.

        It is dropped once the process has stopped.
        """
        if self.node.generation != self._generation:
            return
        if self.node.is_frozen:
            delay_s = self.node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self.execute(callback))
            return
        callback()
        while (
            self._soon_callbacks and self.node.generation == self._generation
        ):
            self._soon_callbacks.popleft()()

    def post(self, callback: reactor_module.Callback) -> None:
        """Run a callback as an event of its own, at the current time."""
        self.world.schedule(0.0, lambda: self.execute(callback))

    def stop(self) -> None:
        """Stop the process, on its own request."""
        self.post(self.on_stop)

    def call_later(
        self, delay_s: float, callback: reactor_module.Callback
    ) -> reactor_module.Timer:
        """Run a callback after a delay."""
        timer = reactor_module.Timer(self.world.now + delay_s, callback)

        def run_unless_cancelled() -> None:
            if timer.callback is not None:
                timer.callback()

        self.world.schedule(
            delay_s, lambda: self.execute(run_unless_cancelled)
        )
        return timer

    def call_every(
        self, interval_s: float, callback: reactor_module.Callback
    ) -> None:
        """Run a callback at an interval, first after a random part of it."""

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        first_delay_s = self.world.rng.uniform(0.0, interval_s)
        self.call_later(first_delay_s, run)

    def call_soon(self, callback: reactor_module.Callback) -> None:
        """Run a callback at the end of this event."""
        self._soon_callbacks.append(callback)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Channel:
    """What is in transit in one direction of a connection.

    ``queue`` has pairs of a due time and the bytes, or None for a close.
    ``last_due_s`` keeps the order: nothing is due before what was sent
    earlier.
    """

    receiver: 'SimLink'
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    last_due_s: float = 0.0
    is_delivery_scheduled: bool = False


class SimLink:
    """One end of a connection; it replaces a link of the real hub.

    ``dialled_address`` is None at the end that accepted. While ``is_silent``
    is set, nothing arrives at either end.
    """

    def __init__(
        self,
        hub: 'SimHub',
        peer: identity_module.Identity,
        dialled_address: str | None,
    ) -> None:
        self.hub = hub
        self.peer = peer
        self.dialled_address = dialled_address
        self.is_up = False
        self.is_open = True
        self.is_silent = False
        self.last_received_s = hub.reactor.now()
        self.channel: _Channel | None = None

    @property
    def name(self) -> str:
        """Return the instance name of the peer."""
        return self.peer.instance

    def send(self, message: typing.Any) -> None:
        """Send a message, and some time later perhaps a copy of it."""
        if not self.is_open or self.channel is None:
            return
        network = self.hub.network
        data = frames.encode(message)
        network.sent_bytes[self.hub.identity.role] += len(data)
        network.sent_messages[self.hub.identity.role] += 1
        network.enqueue(self, data)
        if isinstance(message, REPEATABLE_TYPES):
            network.schedule_copy(self, data)

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded frame."""
        self.hub.network.enqueue(self, frame)

    def close(self, reason: str) -> None:
        """Close this end, and the other one when it receives the close."""
        if not self.is_open:
            return
        self.is_open = False
        self.hub.network.enqueue(self, None)
        self.hub.remove_link(self)

    def receive(self, data: bytes | None) -> None:
        """Handle bytes from the other end, or None for its close."""
        if not self.is_open:
            return
        self.last_received_s = self.hub.reactor.now()
        if data is None:
            self.is_open = False
            self.hub.remove_link(self)
            return
        for message in frames.FrameReader().feed(data):
            self.hub.handler.handle_message(self, message)


class SimHub:
    """The links of one process; it replaces the real hub.

    Heartbeats are not sent as messages: at their interval, each link that
    they would reach counts as having received one.
    """

    def __init__(
        self,
        *,
        reactor: SimReactor,
        identity: identity_module.Identity,
        key: bytes,
        handler: typing.Any,
        network: 'Network',
    ) -> None:
        self.reactor = reactor
        self.identity = identity
        self.handler = handler
        self.network = network
        self.node = reactor.node
        self.links: list[SimLink] = []
        self._dials: dict[str, SimLink | None] = {}
        self.node.hub = self
        network.hubs[identity.address] = self
        reactor.call_every(const.HEARTBEAT_INTERVAL_S, self._check_links)

    def get_links(self, role: str) -> list[SimLink]:
        """Return the links that are up to peers of one role."""
        return [
            link
            for link in self.links
            if link.is_up and link.peer.role == role
        ]

    def keep_connected(self, address: str) -> None:
        """Maintain a link to an address, redialling when it ends."""
        if address in self._dials or address == self.identity.address:
            return
        self._dials[address] = None
        self._schedule_dial(address, 0.001)

    def disconnect(self, address: str) -> None:
        """Close the link dialled to an address and stop redialling."""
        link = self._dials.pop(address, None)
        if link is not None:
            link.close('dropped')

    def get_dialled_addresses(self) -> set[str]:
        """Return the addresses to which links are maintained."""
        return set(self._dials)

    def _schedule_dial(self, address: str, delay_s: float) -> None:
        self.reactor.call_later(delay_s, lambda: self._dial(address))

    def _dial(self, address: str) -> None:
        if address not in self._dials or self._dials[address] is not None:
            return
        link = self.network.connect(self, address)
        if link is None:
            self._schedule_dial(
                address, self.reactor.world.rng.uniform(0.1, 1)
            )
            return
        self._dials[address] = link

    def remove_link(self, link: SimLink) -> None:
        """Remove a closed link and schedule a redial if it was dialled."""
        if link in self.links:
            self.links.remove(link)
        if (
            link.dialled_address
            and self._dials.get(link.dialled_address) is link
        ):
            self._dials[link.dialled_address] = None
            self._schedule_dial(
                link.dialled_address, self.reactor.world.rng.uniform(0.02, 0.1)
            )
        if link.is_up:
            link.is_up = False
            self.handler.handle_link_down(link)

    def _check_links(self) -> None:
        """Close the links on which no heartbeat has arrived for too long."""
        now = self.reactor.now()
        for link in list(self.links):
            if self.network.receives_heartbeats(link):
                link.last_received_s = now
            elif now - link.last_received_s > SILENCE_TIMEOUT_S:
                link.close('silent')

    def abort_links(self) -> None:
        """Close all links without calling the handler, as a crash does.

        The other ends close when the close arrives, or after they have missed
        too many heartbeats.
        """
        self.network.hubs.pop(self.identity.address, None)
        for link in self.links:
            link.is_open = False
            link.is_up = False
            self.network.enqueue(link, None)
        self.links = []


class Network:
    """The network that connects the hubs, with its faults.

    ``cut_domain_pairs`` are the pairs of failure domains, and
    ``cut_directions`` the pairs of the sending and the receiving node, between
    which nothing passes. ``sent_bytes`` and ``sent_messages`` are counted by
    the sender's role.
    """

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.hubs: dict[str, SimHub] = {}
        self.cut_domain_pairs: set[frozenset[str]] = set()
        self.cut_directions: set[tuple[str, str]] = set()
        self.repeat_probability = 0.0
        self.delay_probability = 0.0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()

    def is_cut(self, sender: Node, receiver: Node) -> bool:
        """Return whether nothing passes from one node to another now."""
        if (sender.name, receiver.name) in self.cut_directions:
            return True
        if sender.domain == receiver.domain:
            return False
        return (
            frozenset((sender.domain, receiver.domain))
            in self.cut_domain_pairs
        )

    def connect(self, hub: SimHub, address: str) -> SimLink | None:
        """Connect a hub to an address.

        :param hub: the hub that dials
        :param address: the address of another hub
        :returns: the dialling end, or None if nobody can be reached there
        """
        accepting_hub = self.hubs.get(address)
        if accepting_hub is None or accepting_hub.node.is_frozen:
            return None
        nodes = (hub.node, accepting_hub.node)
        if self.is_cut(*nodes) or self.is_cut(*reversed(nodes)):
            return None
        dialled_link = SimLink(hub, accepting_hub.identity, address)
        accepted_link = SimLink(accepting_hub, hub.identity, None)
        dialled_link.channel = _Channel(receiver=accepted_link)
        accepted_link.channel = _Channel(receiver=dialled_link)
        hub.links.append(dialled_link)
        accepting_hub.links.append(accepted_link)
        accepting_hub.reactor.call_later(
            0.001, lambda: self._bring_up(accepted_link)
        )
        hub.reactor.call_later(0.002, lambda: self._bring_up(dialled_link))
        return dialled_link

    def _bring_up(self, link: SimLink) -> None:
        if link.is_open:
            link.is_up = True
            link.hub.handler.handle_link_up(link)

    def receives_heartbeats(self, link: SimLink) -> bool:
        """Return whether the heartbeats of the other end reach this end."""
        assert link.channel is not None
        peer_link = link.channel.receiver
        if (
            link.is_silent
            or not peer_link.is_open
            or peer_link.hub.node.is_frozen
        ):
            return False
        return not self.is_cut(peer_link.hub.node, link.hub.node)

    def enqueue(self, link: SimLink, data: bytes | None) -> None:
        """Queue bytes, or None for a close, for delivery to the other end."""
        channel = link.channel
        assert channel is not None
        delay_s = self.world.rng.uniform(0.0003, 0.002)
        if self.world.rng.random() < self.delay_probability:
            delay_s += self.world.rng.uniform(0.01, 0.4)
        channel.last_due_s = max(channel.last_due_s, self.world.now + delay_s)
        channel.queue.append((channel.last_due_s, data))
        if not channel.is_delivery_scheduled:
            channel.is_delivery_scheduled = True
            self.world.schedule(
                channel.last_due_s - self.world.now,
                lambda: self._deliver_due(link),
            )

    def _deliver_due(self, link: SimLink) -> None:
        """Deliver in order what is due at the other end of a link.

        Delivery waits while the direction is cut and while the other end is
        frozen or not up yet. Nothing is delivered once the other end has
        closed or the link is silent.
        """
        channel = link.channel
        assert channel is not None
        receiver = channel.receiver
        if not receiver.is_open or link.is_silent:
            channel.is_delivery_scheduled = False
            return
        if self.is_cut(link.hub.node, receiver.hub.node):
            self.world.schedule(
                STALL_CHECK_INTERVAL_S, lambda: self._deliver_due(link)
            )
            return
        if receiver.hub.node.is_frozen:
            delay_s = receiver.hub.node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self._deliver_due(link))
            return
        if not receiver.is_up:
            self.world.schedule(0.001, lambda: self._deliver_due(link))
            return
        while channel.queue and channel.queue[0][0] <= self.world.now:
            _, data = channel.queue.popleft()
            self._deliver(receiver, data)
        if channel.queue:
            delay_s = channel.queue[0][0] - self.world.now
            self.world.schedule(delay_s, lambda: self._deliver_due(link))
        else:
            channel.is_delivery_scheduled = False

    def _deliver(self, link: SimLink, data: bytes | None) -> None:
        link.hub.reactor.execute(lambda: link.receive(data))

    def schedule_copy(self, link: SimLink, data: bytes) -> None:
        """Deliver a copy up to 4 s later, with ``repeat_probability``.

        It arrives on a link that the two processes have by then, if any.
        """
        if self.world.rng.random() >= self.repeat_probability:
            return
        self.world.faults['late_copy'] += 1
        sender = link.hub.identity.instance
        address = link.peer.address

        def deliver_copy() -> None:
            hub = self.hubs.get(address)
            if hub is None:
                return
            for current_link in hub.links:
                if current_link.is_up and current_link.name == sender:
                    self._deliver(current_link, data)
                    return

        self.world.schedule(self.world.rng.uniform(0.0, 4.0), deliver_copy)

    def break_connection(self, link: SimLink) -> None:
        """Close both ends of a connection, each after a delay of up to 1 s."""
        assert link.channel is not None
        for end in (link, link.channel.receiver):
            end.hub.reactor.call_later(
                self.world.rng.uniform(0.0, 1.0),
                lambda end=end: end.close('broken'),
            )

    def silence(self, link: SimLink) -> None:
        """Deliver nothing more on a connection, in either direction."""
        assert link.channel is not None
        link.is_silent = True
        link.channel.receiver.is_silent = True
