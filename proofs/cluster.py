"""Run entry instances, control replicas and agents over the network.

The processes are the real ones; only their sockets, clocks, disks and
targets are stand-ins.
"""

import collections
import collections.abc
import dataclasses
import itertools
import json
import typing

from bambooring.callers import errors as callers_errors
from bambooring.callers import state as callers_state
from bambooring.configuration import messages as configuration
from bambooring.configuration import records
from bambooring import control as control_module
from bambooring.dispatch import messages as dispatch
from bambooring import entry as entry_module
from bambooring_agent import process as agent_module
from bambooring_core import codec
from bambooring_core.dispatch import messages as wire
from bambooring_core import settings
from proofs import disk as disk_module
from proofs import network as network_module
from proofs import world as world_module

DOMAINS = ('rajkot', 'amreli', 'junagadh')
CHAT = 'rota-llm'
PLAIN = 'rota-app'
KEYS = ('key-of-account-one', 'key-of-account-two')
CHUNKS = 12
CHUNK_S = 0.05
CRASH_MARK = 'crash-the-target'


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Hold one run of a request on a target."""

    request_id: str
    target: str
    at: float
    is_booking: bool
    body: bytes


class SimTarget:
    """Stand in for a target, apart from its agent's process."""

    def __init__(self, cluster: 'Cluster', name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.is_alive = True
        self.generation = 0
        self.engine: 'SimEngine | None' = None

    def die(self) -> None:
        """End every call, as a crash does, and come back later."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.generation += 1
        if self.engine is not None:
            self.engine.lose_all()
        self.cluster.world.schedule(
            self.cluster.world.rng.uniform(0.5, 3.0), self.come_back
        )

    def come_back(self) -> None:
        """Answer again."""
        self.is_alive = True


class SimEngine:
    """Be the agent's engine: call the target in simulated time."""

    def __init__(
        self,
        *,
        reactor: network_module.SimReactor,
        url: str,
        health_path: str | None,
        sink: typing.Any,
        target: SimTarget,
    ) -> None:
        self.reactor = reactor
        self.sink = sink
        self.target = target
        self.world = reactor.world
        self._running: dict[int, wire.Start] = {}
        target.engine = self
        reactor.call_every(0.5, self._check_health)

    def _check_health(self) -> None:
        self.sink.health_changed(self.target.is_alive)

    def call(self, start: wire.Start) -> None:
        """Run an attempt on the target."""
        if not self.target.is_alive:
            self._end_later(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.note_run(self.target, start)
        self._running[start.attempt] = start
        if CRASH_MARK.encode() in start.body:
            self.world.schedule(
                self.world.rng.uniform(0.01, 0.2), self.target.die
            )
        parts = make_answer(start.request_id, start.body)
        if not start.is_chat:
            parts = [b''.join(parts)]
        self._later(0.005, lambda: self._open(start))
        for index, part in enumerate(parts, 1):
            self._later(index * CHUNK_S, self._make_writer(start, part))
        end_s = len(parts) * CHUNK_S + 0.001
        self._later(end_s, lambda: self._finish(start))

    def _later(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        generation = self.target.generation

        def act() -> None:
            if self.target.generation == generation:
                action()

        self.reactor.call_later(delay_s, act)

    def _end_later(
        self, start: wire.Start, outcome: wire.Outcome, reason: str
    ) -> None:
        self.reactor.call_later(
            0.002,
            lambda: self.sink.call_ended(start.attempt, outcome, reason),
        )

    def _open(self, start: wire.Start) -> None:
        if start.attempt in self._running:
            kind = 'text/event-stream' if start.is_chat else 'text/plain'
            headers = [wire.Header(name='Content-Type', value=kind)]
            self.sink.call_opened(start.attempt, 200, headers)

    def _make_writer(
        self, start: wire.Start, part: bytes
    ) -> collections.abc.Callable[[], None]:
        def write() -> None:
            if start.attempt in self._running:
                self.sink.call_output(start.attempt, part)

        return write

    def _finish(self, start: wire.Start) -> None:
        if self._running.pop(start.attempt, None) is not None:
            self.sink.call_ended(start.attempt, wire.Outcome.COMPLETE, '')

    def abort(self, attempt: int) -> None:
        """End a call."""
        self._running.pop(attempt, None)

    def lose_all(self) -> None:
        """Lose every call, as when the target crashes."""
        running, self._running = self._running, {}
        for start in running.values():
            self._end_later(start, wire.Outcome.UNKNOWN, 'target_lost')


def make_answer(request_id: str, body: bytes) -> list[bytes]:
    """Return the parts of the answer to a request's body."""
    digest = settings.compute_digest(body.decode())[:12]
    return [f'{digest}:{index};'.encode() for index in range(CHUNKS)]


class Exchange:
    """Hold what one caller hears of one request."""

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.head: dispatch.Head | None = None
        self.parts: list[bytes] = []
        self.end: dispatch.Finished | dispatch.Failure | None = None
        self.on_end: collections.abc.Callable[[], None] = lambda: None

    @property
    def text(self) -> bytes:
        """Return the body so far."""
        return b''.join(self.parts)

    @property
    def is_whole(self) -> bool:
        """Tell whether it ended as a whole answer."""
        return isinstance(self.end, dispatch.Finished)

    def put(self, event: dispatch.Event) -> None:
        """Hear an event."""
        if self.end is not None:
            return
        match event:
            case dispatch.Head():
                self.head = event
            case dispatch.Data():
                self.parts.append(event.data)
            case dispatch.Finished() | dispatch.Failure():
                self.end = event
                self.on_end()

    def fail(
        self, reason: str, outcome: wire.Outcome, status: int = 0
    ) -> None:
        """Hear a failure that dispatch did not tell."""
        self.put(
            dispatch.Failure(status=status, reason=reason, outcome=outcome)
        )


class Cluster:
    """Own the simulated processes."""

    def __init__(
        self,
        world: world_module.World,
        *,
        domains: collections.abc.Sequence[str] = DOMAINS,
        entries_per_domain: int = 2,
        chat_per_domain: int = 1,
        plain_per_domain: int = 1,
        slots: int = 16,
        queue_limit: int = 64,
        make_engine: collections.abc.Callable[..., SimEngine] = SimEngine,
        make_exchange: collections.abc.Callable[..., Exchange] = Exchange,
        declarations: list[configuration.Edit] | None = None,
    ) -> None:
        self._queue_limit = queue_limit
        self._make_engine = make_engine
        self._make_exchange = make_exchange
        self._declarations = declarations or make_declarations()
        self.world = world
        self.network = network_module.Network(world)
        self.domains = list(domains)
        self.nodes: dict[str, network_module.Node] = {}
        self.disks: dict[str, disk_module.MemoryDisk] = {}
        self.targets: dict[str, SimTarget] = {}
        self.runs: list[Run] = []
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.on_run: list[collections.abc.Callable[[Run], None]] = []
        self.faulty: dict[str, str] = {}
        self.parsers: dict[str, typing.Any] = {}
        self.exchanges: dict[str, dict[int, Exchange]] = {}
        self._calls = itertools.count(1)
        self._slots = slots
        self._addresses: dict[str, str] = {}
        self._services: dict[str, str] = {}
        self.controls = [f'control-{index}' for index in range(1, 4)]
        self.entries = [
            f'entry-{domain}-{number}'
            for domain in self.domains
            for number in range(1, entries_per_domain + 1)
        ]
        self.agents: list[str] = []
        for index, name in enumerate(self.controls):
            self._add(name, self.domains[index % len(self.domains)])
        for name in self.entries:
            self._add(name, name.split('-')[1])
        for domain in self.domains:
            for number in range(1, chat_per_domain + 1):
                self._add_agent(f'{CHAT}-{domain}-{number}', CHAT, domain)
            for number in range(1, plain_per_domain + 1):
                self._add_agent(f'{PLAIN}-{domain}-{number}', PLAIN, domain)

    def _add(self, name: str, domain: str) -> None:
        self.nodes[name] = network_module.Node(self.world, name, domain)
        self._addresses[name] = f'10.0.0.{len(self.nodes)}:7000'

    def _add_agent(self, name: str, service: str, domain: str) -> None:
        self._add(name, domain)
        self.agents.append(name)
        self._services[name] = service
        self.targets[name] = SimTarget(self, name)

    def start_all(self) -> None:
        """Start every process and wait for the configuration."""
        for name in self.nodes:
            self.start(name)
        self.world.run_for(4.0)
        self.apply('initial', self._declarations)
        self.world.run_for(4.0)

    def start(self, name: str) -> None:
        """Start a process."""
        node = self.nodes[name]
        reactor = node.begin()
        reactor.on_stop = lambda: self.end(name)
        run = node.run
        if name in self.controls:
            process = self._make_control(node, reactor)
        elif name in self.entries:
            process = self._make_entry(node, reactor)
        else:
            process = self._make_agent(node, reactor)
        node.process = process
        reactor.post(process.set_up)
        assert node.run == run

    def _make_common(self, node: network_module.Node) -> dict:
        return {
            'cluster': 'proof',
            'instance': node.name,
            'failure_domain': node.domain,
            'listen': {
                'peers': self._addresses[node.name],
                'operators': '',
                'callers': '',
            },
            'leave_grace_s': 1.0,
            'max_running': 500,
            'control': [self._addresses[name] for name in self.controls],
            'peers': [
                self._addresses[name]
                for name in self.entries
                if name != node.name
            ],
            'replicas': {
                name: self._addresses[name] for name in self.controls
            },
            'operator_key_digests': [],
        }

    def _draw_incarnation(self) -> int:
        drawn = self.world.rng.getrandbits(20)
        return int(self.world.now * 1000) << 20 | drawn

    def _make_hub(self, **more: typing.Any) -> network_module.SimHub:
        return network_module.SimHub(network=self.network, **more)

    def _make_control(
        self,
        node: network_module.Node,
        reactor: typing.Any,
    ) -> control_module.Control:
        disk = self.disks.setdefault(
            node.name, disk_module.MemoryDisk(self.world.rng)
        )
        return control_module.Control(
            self._make_common(node),
            reactor=reactor,
            key=b'',
            incarnation=self._draw_incarnation(),
            disk=disk,
            get_time=lambda: self.world.now,
            make_hub=self._make_hub,
        )

    def _make_entry(
        self,
        node: network_module.Node,
        reactor: typing.Any,
    ) -> entry_module.Entry:
        self.exchanges[node.name] = {}
        return entry_module.Entry(
            self._make_common(node),
            reactor=reactor,
            key=b'',
            incarnation=self._draw_incarnation(),
            make_hub=self._make_hub,
            parse=self.parsers.get(node.name, records.parse),
        )

    def _make_agent(
        self,
        node: network_module.Node,
        reactor: typing.Any,
    ) -> agent_module.Agent:
        service = self._services[node.name]
        value = self._make_common(node) | {
            'target': node.name,
            'service': service,
            'entries': [self._addresses[name] for name in self.entries],
            'engine': {
                'url': '',
                'health_path': '/health',
                'slots': self._slots,
                'long_slots': 4,
                'queue_limit': self._queue_limit,
            },
        }
        target = self.targets[node.name]
        return agent_module.Agent(
            value,
            reactor=reactor,
            key=b'',
            incarnation=self._draw_incarnation(),
            make_hub=self._make_hub,
            make_engine=lambda **more: self._make_engine(
                target=target, **more
            ),
        )

    def end(self, name: str) -> None:
        """End a process; what hung on it fails."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        node.end()
        if name in self.targets:
            engine = self.targets[name].engine
            if engine is not None:
                engine._running.clear()
        for exchange in self.exchanges.pop(name, {}).values():
            exchange.fail('connection_lost', wire.Outcome.UNKNOWN)

    def kill(self, name: str, restart_s: float | None = None) -> None:
        """Kill a process, and start it again after a while."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        self.end(name)
        run = node.run
        if restart_s is None:
            return

        def restart() -> None:
            if node.run == run and not node.is_alive:
                self.start(name)

        self.world.schedule(restart_s, restart)

    def note_run(self, target: SimTarget, start: wire.Start) -> None:
        """Take note that a request runs on a target."""
        run = Run(
            request_id=start.request_id,
            target=target.name,
            at=self.world.now,
            is_booking=start.kind is wire.Kind.BOOKING,
            body=start.body,
        )
        self.runs.append(run)
        self.runs_by_request[run.request_id] += 1
        for hear in self.on_run:
            hear(run)

    # Operators.

    def apply(
        self,
        change: str,
        edits: list[configuration.Edit],
        replica: str | None = None,
        timeout_s: float = 3.0,
    ) -> list[configuration.ChangeAnswer | None]:
        """Send a change to a replica; its answer will be in the list."""
        answers: list[configuration.ChangeAnswer | None] = []
        name = replica or self.world.rng.choice(self.controls)
        node = self.nodes[name]
        if not node.is_alive:
            answers.append(None)
            return answers
        command = configuration.Change(change=change, edits=edits)

        def hear(data: bytes | None) -> None:
            answers.append(codec.unpack(data) if data else None)

        process = node.process
        assert node.hub is not None
        node.hub.reactor.post(lambda: process.submit(command, timeout_s, hear))
        return answers

    # Callers.

    def send(
        self,
        entry: str,
        *,
        path: str,
        body: bytes,
        key: str = '',
        account: str = KEYS[0],
        method: str = 'POST',
    ) -> Exchange:
        """Send a request through an entry instance.

        :returns: what the caller hears
        """
        number = next(self._calls)
        request_id = f'request-{number}'
        exchange = self._make_exchange(request_id, body)
        node = self.nodes[entry]
        if not node.is_alive:
            exchange.fail('connection_refused', wire.Outcome.NOT_RUN)
            return exchange
        headers = [('Idempotency-Key', key)] if key else []
        request = callers_state.Request(
            id=number,
            request_id=request_id,
            method=method,
            path=path,
            headers=headers,
            body=body,
        )
        process = node.process
        assert node.hub is not None
        node.hub.reactor.post(
            lambda: self._submit(entry, process, request, account, exchange)
        )
        self.exchanges[entry][number] = exchange
        return exchange

    def _submit(
        self,
        name: str,
        process: entry_module.Entry,
        request: callers_state.Request,
        account: str,
        exchange: Exchange,
    ) -> None:
        if exchange.end is not None:
            # The caller was gone before the request was read.
            return
        refusal = process.get_refusal()
        if refusal is not None:
            exchange.fail(refusal, wire.Outcome.NOT_RUN, 503)
            return
        view = process.get_view()
        try:
            found = callers_state.find_account(f'Bearer {account}', view)
            call = callers_state.make_call(request, found, view)
        except callers_errors.CallerError as error:
            exchange.fail(error.reason, error.outcome, error.status)
            return
        process.begin()
        hear = exchange.on_end

        def end() -> None:
            self.exchanges.get(name, {}).pop(request.id, None)
            if self.nodes[name].process is process:
                process.release(call)
                process.end()
            hear()

        exchange.on_end = end
        process.submit(call, exchange)

    def go_away(self, exchange: Exchange) -> None:
        """Let a caller go away in the middle."""
        for name, exchanges in self.exchanges.items():
            for number, known in exchanges.items():
                if known is exchange:
                    self.nodes[name].process.cancel(number)
                    exchange.fail('caller_gone', wire.Outcome.UNKNOWN)
                    return

    def get_live_entries(self) -> list[str]:
        """Return the entry instances that run now."""
        return [name for name in self.entries if self.nodes[name].is_alive]

    # Faults.

    def draw_link(self) -> network_module.SimLink | None:
        """Draw one of the links between processes."""
        links = [
            link
            for hub in self.network.hubs.values()
            for link in hub.links
            if link.is_up
        ]
        return self.world.rng.choice(links) if links else None

    def fault_break(self) -> None:
        """Break a link."""
        link = self.draw_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.fault('break', peers)
            self.network.break_links(link)

    def fault_silence(self) -> None:
        """Let a link go silent for good."""
        link = self.draw_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.fault('silence', peers)
            self.network.silence(link)

    def fault_cut(self, longest_s: float = 8.0) -> None:
        """Cut a failure domain off from the others."""
        domain = self.world.rng.choice(self.domains)
        self.world.fault('cut', domain)
        self.cut_domain(domain, self.world.rng.uniform(0.5, longest_s))

    def cut_domain(self, domain: str, span_s: float) -> None:
        """Cut a domain off for some time."""
        cuts = {
            frozenset((domain, other))
            for other in self.domains
            if other != domain
        }
        self.network.cuts |= cuts

        def mend() -> None:
            self.network.cuts -= cuts

        self.world.schedule(span_s, mend)

    def fault_freeze(self, names: list[str]) -> None:
        """Stop a process for a while."""
        name = self.world.rng.choice(names)
        self.world.fault('freeze', name)
        span_s = self.world.rng.uniform(0.1, 4.0)
        self.nodes[name].frozen_until = self.world.now + span_s

    def fault_kill(self, names: list[str]) -> None:
        """Kill a process; it comes back."""
        name = self.world.rng.choice(names)
        if self.nodes[name].is_alive:
            self.world.fault('kill', name)
            self.kill(name, self.world.rng.uniform(0.2, 4.0))

    def fault_target(self, names: list[str]) -> None:
        """Crash a target under its agent."""
        name = self.world.rng.choice(names)
        self.world.fault('target_death', name)
        self.targets[name].die()

    def heal(self) -> None:
        """End every fault and start what is down."""
        self.network.cuts.clear()
        self.network.one_way.clear()
        self.network.late_share = 0.0
        self.network.repeat_share = 0.0
        for name, node in self.nodes.items():
            node.frozen_until = 0.0
            if not node.is_alive:
                self.start(name)
        for target in self.targets.values():
            target.is_alive = True


def make_edit(content: dict, expected: int) -> configuration.Edit:
    """Return the edit that a declaration asks for."""
    return configuration.Edit(
        kind=content['kind'],
        name=content['name'],
        expected=expected,
        content=json.dumps(content).encode(),
    )


def make_declarations() -> list[configuration.Edit]:
    """Return the first configuration."""
    services = [
        {
            'kind': 'service',
            'name': CHAT,
            'schema': 1,
            'protocol': 'chat',
            'end_within_s': 30,
            'start_within_s': 5,
        },
        {
            'kind': 'service',
            'name': PLAIN,
            'schema': 1,
            'protocol': 'http',
            'end_within_s': 15,
            'start_within_s': 5,
        },
    ]
    accounts = [
        {
            'kind': 'client_account',
            'name': f'account-{index}',
            'schema': 2,
            'keys': [{'digest': settings.compute_digest(key)}],
            'limits': {
                'in_flight': 1000,
                'requests_per_s': 1000,
                'burst': 1000,
            },
        }
        for index, key in enumerate(KEYS, 1)
    ]
    return [make_edit(content, 0) for content in services + accounts]
