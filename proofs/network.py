"""Run processes in simulated time, with links that behave like TCP.

A link keeps order and loses nothing while it lasts; it can break (each end
notices at its own time, what is under way may still arrive), go silent for
good, or stall while its two domains are cut off. Chosen messages also come
a second time, late, on whichever link the two have then.
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

SILENCE_S = const.HEARTBEAT_INTERVAL_S * const.MAX_MISSED_HEARTBEATS
STALL_CHECK_S = 0.1
REPEATED = (
    wire.Start,
    wire.Output,
    wire.Refused,
    wire.Ended,
    wire.Acknowledge,
    wire.Cancel,
    wire.Resume,
)


class Node:
    """Hold one process: its runs, its freezes and its reactor."""

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
        """Tell whether the process stands still."""
        return self.frozen_until_s > self.world.now

    def start(self) -> 'SimReactor':
        """Begin a new run and return its reactor."""
        self.generation += 1
        self.is_alive = True
        self.started_s = self.world.now
        self.frozen_until_s = 0.0
        return SimReactor(self)

    def stop(self) -> None:
        """End the run; its links' other ends notice later."""
        self.is_alive = False
        self.generation += 1
        if self.hub is not None:
            self.hub.die()
            self.hub = None
        self.process = None


class SimReactor:
    """Run one process's callbacks in simulated time."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.world = node.world
        self._generation = node.generation
        self._soon: collections.deque[reactor_module.Callback] = (
            collections.deque()
        )
        self.on_stop: reactor_module.Callback = lambda: None

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.world.now

    def execute(self, callback: reactor_module.Callback) -> None:
        """Run a callback now, or once the process goes on."""
        if self.node.generation != self._generation:
            return
        if self.node.is_frozen:
            delay_s = self.node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self.execute(callback))
            return
        callback()
        while self._soon and self.node.generation == self._generation:
            self._soon.popleft()()

    def post(self, callback: reactor_module.Callback) -> None:
        """Run a callback in a loop iteration of its own."""
        self.world.schedule(0.0, lambda: self.execute(callback))

    def stop(self) -> None:
        """End the process by its own will."""
        self.post(self.on_stop)

    def call_later(
        self, delay_s: float, callback: reactor_module.Callback
    ) -> reactor_module.Timer:
        """Run a callback after a delay."""
        timer = reactor_module.Timer(self.world.now + delay_s, callback)

        def fire() -> None:
            if timer.callback is not None:
                timer.callback()

        self.world.schedule(delay_s, lambda: self.execute(fire))
        return timer

    def call_every(
        self, interval_s: float, callback: reactor_module.Callback
    ) -> None:
        """Run a callback at an interval."""

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        first_s = self.world.rng.uniform(0.0, interval_s)
        self.call_later(first_s, run)

    def call_soon(self, callback: reactor_module.Callback) -> None:
        """Run a callback at the end of this iteration of the loop."""
        self._soon.append(callback)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Way:
    """Hold what is under way in one direction of a connection."""

    to: 'SimLink'
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    last: float = 0.0
    is_pumping: bool = False


class SimLink:
    """Be one end of a connection."""

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
        self.way: _Way | None = None

    @property
    def name(self) -> str:
        """Return the peer's instance name."""
        return self.peer.instance

    def send(self, message: typing.Any) -> None:
        """Send a message."""
        if not self.is_open or self.way is None:
            return
        network = self.hub.network
        data = frames.encode(message)
        network.sent_bytes[self.hub.identity.role] += len(data)
        network.sent_messages[self.hub.identity.role] += 1
        network.put(self, data)
        if isinstance(message, REPEATED):
            network.repeat_late(self, data)

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded frame."""
        self.hub.network.put(self, frame)

    def close(self, reason: str) -> None:
        """Close this end; the other one is told."""
        if not self.is_open:
            return
        self.is_open = False
        self.hub.network.put(self, None)
        self.hub.remove_link(self)

    def receive(self, data: bytes | None) -> None:
        """Take what the other end sent; None for its close."""
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
    """Keep links for one process in the simulated network."""

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
        reactor.call_every(const.HEARTBEAT_INTERVAL_S, self._check)

    def get_links(self, role: str) -> list[SimLink]:
        """Return the links that are up to peers of one role."""
        return [
            link
            for link in self.links
            if link.is_up and link.peer.role == role
        ]

    def keep_connected(self, address: str) -> None:
        """Keep a link to an address."""
        if address in self._dials or address == self.identity.address:
            return
        self._dials[address] = None
        self._dial_later(address, 0.001)

    def disconnect(self, address: str) -> None:
        """Stop keeping a link to an address."""
        link = self._dials.pop(address, None)
        if link is not None:
            link.close('dropped')

    def get_dialled_addresses(self) -> set[str]:
        """Return the addresses that are kept connected."""
        return set(self._dials)

    def _dial_later(self, address: str, delay_s: float) -> None:
        self.reactor.call_later(delay_s, lambda: self._dial(address))

    def _dial(self, address: str) -> None:
        if address not in self._dials or self._dials[address] is not None:
            return
        link = self.network.connect(self, address)
        if link is None:
            self._dial_later(address, self.reactor.world.rng.uniform(0.1, 1))
            return
        self._dials[address] = link

    def remove_link(self, link: SimLink) -> None:
        """Take note that a link has closed."""
        if link in self.links:
            self.links.remove(link)
        if (
            link.dialled_address
            and self._dials.get(link.dialled_address) is link
        ):
            self._dials[link.dialled_address] = None
            self._dial_later(
                link.dialled_address, self.reactor.world.rng.uniform(0.02, 0.1)
            )
        if link.is_up:
            link.is_up = False
            self.handler.handle_link_down(link)

    def _check(self) -> None:
        """Do what heartbeats do."""
        now = self.reactor.now()
        for link in list(self.links):
            if self.network.passes(link):
                link.last_received_s = now
            elif now - link.last_received_s > SILENCE_S:
                link.close('silent')

    def die(self) -> None:
        """Leave the other ends to notice."""
        self.network.hubs.pop(self.identity.address, None)
        for link in self.links:
            link.is_open = False
            link.is_up = False
            self.network.put(link, None)
        self.links = []


class Network:
    """Carry bytes between hubs."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.hubs: dict[str, SimHub] = {}
        self.cut_domain_pairs: set[frozenset[str]] = set()
        self.cut_directions: set[tuple[str, str]] = set()
        self.repeat_probability = 0.0
        self.delay_probability = 0.0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()

    def is_cut(self, first: Node, second: Node) -> bool:
        """Tell whether nothing passes from one node to another now."""
        if (first.name, second.name) in self.cut_directions:
            return True
        if first.domain == second.domain:
            return False
        return (
            frozenset((first.domain, second.domain)) in self.cut_domain_pairs
        )

    def connect(self, hub: SimHub, address: str) -> SimLink | None:
        """Connect to an address, or return None."""
        other = self.hubs.get(address)
        if other is None or other.node.is_frozen:
            return None
        pair = (hub.node, other.node)
        if self.is_cut(*pair) or self.is_cut(*reversed(pair)):
            return None
        near = SimLink(hub, other.identity, address)
        far = SimLink(other, hub.identity, None)
        near.way = _Way(to=far)
        far.way = _Way(to=near)
        hub.links.append(near)
        other.links.append(far)
        other.reactor.call_later(0.001, lambda: self._come_up(far))
        hub.reactor.call_later(0.002, lambda: self._come_up(near))
        return near

    def _come_up(self, link: SimLink) -> None:
        if link.is_open:
            link.is_up = True
            link.hub.handler.handle_link_up(link)

    def passes(self, link: SimLink) -> bool:
        """Tell whether the other end's heartbeats reach this end."""
        assert link.way is not None
        other = link.way.to
        if link.is_silent or not other.is_open or other.hub.node.is_frozen:
            return False
        return not self.is_cut(other.hub.node, link.hub.node)

    def put(self, link: SimLink, data: bytes | None) -> None:
        """Put bytes, or None for a close, on their way."""
        way = link.way
        assert way is not None
        delay_s = self.world.rng.uniform(0.0003, 0.002)
        if self.world.rng.random() < self.delay_probability:
            delay_s += self.world.rng.uniform(0.01, 0.4)
        way.last = max(way.last, self.world.now + delay_s)
        way.queue.append((way.last, data))
        if not way.is_pumping:
            way.is_pumping = True
            self.world.schedule(
                way.last - self.world.now, lambda: self._pump(link)
            )

    def _pump(self, link: SimLink) -> None:
        """Deliver what is due in one direction, in order."""
        way = link.way
        assert way is not None
        other = way.to
        if not other.is_open or link.is_silent:
            way.is_pumping = False
            return
        if self.is_cut(link.hub.node, other.hub.node):
            self.world.schedule(STALL_CHECK_S, lambda: self._pump(link))
            return
        if other.hub.node.is_frozen:
            delay_s = other.hub.node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self._pump(link))
            return
        if not other.is_up:
            self.world.schedule(0.001, lambda: self._pump(link))
            return
        while way.queue and way.queue[0][0] <= self.world.now:
            _, data = way.queue.popleft()
            self._hand_over(other, data)
        if way.queue:
            delay_s = way.queue[0][0] - self.world.now
            self.world.schedule(delay_s, lambda: self._pump(link))
        else:
            way.is_pumping = False

    def _hand_over(self, link: SimLink, data: bytes | None) -> None:
        link.hub.reactor.execute(lambda: link.receive(data))

    def repeat_late(self, link: SimLink, data: bytes) -> None:
        """Let a copy come late, on the link that the two have then."""
        if self.world.rng.random() >= self.repeat_probability:
            return
        self.world.faults['late_copy'] += 1
        sender = link.hub.identity.instance
        address = link.peer.address

        def deliver() -> None:
            hub = self.hubs.get(address)
            if hub is None:
                return
            for other in hub.links:
                if other.is_up and other.name == sender:
                    self._hand_over(other, data)
                    return

        self.world.schedule(self.world.rng.uniform(0.0, 4.0), deliver)

    def break_connection(self, link: SimLink) -> None:
        """Break a connection; each end notices at its own time."""
        assert link.way is not None
        for end in (link, link.way.to):
            end.hub.reactor.call_later(
                self.world.rng.uniform(0.0, 1.0),
                lambda end=end: end.close('broken'),
            )

    def silence(self, link: SimLink) -> None:
        """Let a connection go silent for good."""
        assert link.way is not None
        link.is_silent = True
        link.way.to.is_silent = True
