"""Run entry instances, control replicas and agents over the network.

The processes are the real ones; only their sockets, clocks, disks and
targets are stand-ins.
"""

import collections
import collections.abc
import itertools
import typing

from bambooring.callers import errors as callers_errors
from bambooring.callers import state as callers_state
from bambooring.configuration import messages as configuration
from bambooring.configuration import records
from bambooring import control as control_module
from bambooring import entry as entry_module
from bambooring_agent import process as agent_module
from bambooring_core import codec
from bambooring_core.dispatch import messages as wire
from proofs import declarations as declarations_module
from proofs import disk as disk_module
from proofs import engines
from proofs import exchanges
from proofs import network as network_module
from proofs import world as world_module

FAILURE_DOMAINS = ('rajkot', 'amreli', 'junagadh')


class Cluster:
    """Own the simulated processes."""

    def __init__(
        self,
        world: world_module.World,
        *,
        domains: collections.abc.Sequence[str] = FAILURE_DOMAINS,
        entries_per_domain: int = 2,
        chat_targets_per_domain: int = 1,
        http_targets_per_domain: int = 1,
        slots: int = 16,
        queue_limit: int = 64,
        make_engine: collections.abc.Callable[
            ..., engines.SimEngine
        ] = engines.SimEngine,
        make_exchange: collections.abc.Callable[
            ..., exchanges.Exchange
        ] = exchanges.Exchange,
        initial_edits: list[configuration.Edit] | None = None,
    ) -> None:
        self._queue_limit = queue_limit
        self._make_engine = make_engine
        self._make_exchange = make_exchange
        self._initial_edits = (
            initial_edits or declarations_module.make_initial_edits()
        )
        self.world = world
        self.network = network_module.Network(world)
        self.domains = list(domains)
        self.nodes: dict[str, network_module.Node] = {}
        self.disks: dict[str, disk_module.MemoryDisk] = {}
        self.targets: dict[str, engines.SimTarget] = {}
        self.executions: list[engines.Execution] = []
        self.execution_counts: collections.Counter[str] = collections.Counter()
        self.execution_listeners: list[
            collections.abc.Callable[[engines.Execution], None]
        ] = []
        self.engine_faults: dict[str, str] = {}
        self.record_parsers: dict[str, typing.Any] = {}
        self.exchanges: dict[str, dict[int, exchanges.Exchange]] = {}
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
            self._add_node(name, self.domains[index % len(self.domains)])
        for name in self.entries:
            self._add_node(name, name.split('-')[1])
        for domain in self.domains:
            for number in range(1, chat_targets_per_domain + 1):
                self._add_agent(
                    f'{declarations_module.CHAT_SERVICE}-{domain}-{number}',
                    declarations_module.CHAT_SERVICE,
                    domain,
                )
            for number in range(1, http_targets_per_domain + 1):
                self._add_agent(
                    f'{declarations_module.HTTP_SERVICE}-{domain}-{number}',
                    declarations_module.HTTP_SERVICE,
                    domain,
                )

    def _add_node(self, name: str, domain: str) -> None:
        self.nodes[name] = network_module.Node(self.world, name, domain)
        self._addresses[name] = f'10.0.0.{len(self.nodes)}:7000'

    def _add_agent(self, name: str, service: str, domain: str) -> None:
        self._add_node(name, domain)
        self.agents.append(name)
        self._services[name] = service
        self.targets[name] = engines.SimTarget(self, name)

    def start_all(self) -> None:
        """Start every process and wait for the configuration."""
        for name in self.nodes:
            self.start(name)
        self.world.run_for(4.0)
        self.submit_change('initial', self._initial_edits)
        self.world.run_for(4.0)

    def start(self, name: str) -> None:
        """Start a process."""
        node = self.nodes[name]
        reactor = node.start()
        reactor.on_stop = lambda: self.stop(name)
        generation = node.generation
        if name in self.controls:
            process = self._make_control(node, reactor)
        elif name in self.entries:
            process = self._make_entry(node, reactor)
        else:
            process = self._make_agent(node, reactor)
        node.process = process
        reactor.post(process.set_up)
        assert node.generation == generation

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
            parse=self.record_parsers.get(node.name, records.parse),
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
            make_engine_client=lambda **more: self._make_engine(
                target=target, **more
            ),
        )

    def stop(self, name: str) -> None:
        """End a process; what hung on it fails."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        node.stop()
        if name in self.targets:
            engine = self.targets[name].engine
            if engine is not None:
                engine._running_calls.clear()
        for exchange in self.exchanges.pop(name, {}).values():
            exchange.fail('connection_lost', wire.Outcome.UNKNOWN)

    def kill(self, name: str, restart_s: float | None = None) -> None:
        """Kill a process, and start it again after a while."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        self.stop(name)
        generation = node.generation
        if restart_s is None:
            return

        def restart() -> None:
            if node.generation == generation and not node.is_alive:
                self.start(name)

        self.world.schedule(restart_s, restart)

    def record_execution(
        self, target: engines.SimTarget, start: wire.Start
    ) -> None:
        """Take note that a request runs on a target."""
        run = engines.Execution(
            request_id=start.request_id,
            target=target.name,
            started_s=self.world.now,
            is_booking=start.kind is wire.Kind.BOOKING,
            body=start.body,
        )
        self.executions.append(run)
        self.execution_counts[run.request_id] += 1
        for hear in self.execution_listeners:
            hear(run)

    # Operators.

    def submit_change(
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
        account: str = declarations_module.API_KEYS[0],
        method: str = 'POST',
    ) -> exchanges.Exchange:
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
        exchange: exchanges.Exchange,
    ) -> None:
        if exchange.end_event is not None:
            # The caller was gone before the request was read.
            return
        refusal = process.get_refusal_reason()
        if refusal is not None:
            exchange.fail(refusal, wire.Outcome.NOT_RUN, 503)
            return
        view = process.get_view()
        try:
            found = callers_state.find_account(f'Bearer {account}', view)
            call = callers_state.make_call(request, found, view)
        except callers_errors.RequestRefusedError as error:
            exchange.fail(error.reason, error.outcome, error.status)
            return
        process.begin_request()
        hear = exchange.on_end

        def end() -> None:
            self.exchanges.get(name, {}).pop(request.id, None)
            if self.nodes[name].process is process:
                process.release_call(call)
                process.end_request()
            hear()

        exchange.on_end = end
        process.submit(call, exchange)

    def disconnect_caller(self, exchange: exchanges.Exchange) -> None:
        """Let a caller go away in the middle."""
        for name, calls in self.exchanges.items():
            for number, known in calls.items():
                if known is exchange:
                    self.nodes[name].process.cancel(number)
                    exchange.fail('caller_gone', wire.Outcome.UNKNOWN)
                    return

    def get_live_entries(self) -> list[str]:
        """Return the entry instances that run now."""
        return [name for name in self.entries if self.nodes[name].is_alive]

    # Faults.

    def choose_link(self) -> network_module.SimLink | None:
        """Draw one of the links between processes."""
        links = [
            link
            for hub in self.network.hubs.values()
            for link in hub.links
            if link.is_up
        ]
        return self.world.rng.choice(links) if links else None

    def inject_link_break(self) -> None:
        """Break a link."""
        link = self.choose_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.record_fault('break', peers)
            self.network.break_connection(link)

    def inject_link_silence(self) -> None:
        """Let a link go silent for good."""
        link = self.choose_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.record_fault('silence', peers)
            self.network.silence(link)

    def inject_domain_cut(self, longest_s: float = 8.0) -> None:
        """Cut a failure domain off from the others."""
        domain = self.world.rng.choice(self.domains)
        self.world.record_fault('cut', domain)
        self.cut_domain(domain, self.world.rng.uniform(0.5, longest_s))

    def cut_domain(self, domain: str, span_s: float) -> None:
        """Cut a domain off for some time."""
        cuts = {
            frozenset((domain, other))
            for other in self.domains
            if other != domain
        }
        self.network.cut_domain_pairs |= cuts

        def mend() -> None:
            self.network.cut_domain_pairs -= cuts

        self.world.schedule(span_s, mend)

    def inject_freeze(self, names: list[str]) -> None:
        """Stop a process for a while."""
        name = self.world.rng.choice(names)
        self.world.record_fault('freeze', name)
        span_s = self.world.rng.uniform(0.1, 4.0)
        self.nodes[name].frozen_until_s = self.world.now + span_s

    def inject_kill(self, names: list[str]) -> None:
        """Kill a process; it comes back."""
        name = self.world.rng.choice(names)
        if self.nodes[name].is_alive:
            self.world.record_fault('kill', name)
            self.kill(name, self.world.rng.uniform(0.2, 4.0))

    def inject_target_crash(self, names: list[str]) -> None:
        """Crash a target under its agent."""
        name = self.world.rng.choice(names)
        self.world.record_fault('target_death', name)
        self.targets[name].crash()

    def heal(self) -> None:
        """End every fault and start what is down."""
        self.network.cut_domain_pairs.clear()
        self.network.cut_directions.clear()
        self.network.delay_probability = 0.0
        self.network.repeat_probability = 0.0
        for name, node in self.nodes.items():
            node.frozen_until_s = 0.0
            if not node.is_alive:
                self.start(name)
        for target in self.targets.values():
            target.is_alive = True
