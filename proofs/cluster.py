"""Run entry instances, control replicas and agents on a simulated network.

The code of the processes is the real one; only their sockets, clocks, disks
and targets are simulated.
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
    """The simulated processes and targets of one cluster.

    Processes are identified by name; ``controls``, ``entries`` and ``agents``
    are the names of each role. An agent and its target have the same name.
    ``executions`` has the executions of requests by all targets,
    ``execution_counts`` their number by request id, and each of
    ``execution_listeners`` is called with every new one. ``engine_faults`` has
    faults by target, for engine clients that simulate them. ``record_parsers``
    has the parsers, by entry instance, that replace the current one.
    ``exchanges`` has the open exchanges by entry instance and request number.

    :param chat_targets_per_domain: the number of targets of the chat service
        in each failure domain
    :param http_targets_per_domain: the same for the HTTP service
    :param slots: the number of slots of each target
    :param queue_limit: the length of each target's queue
    :param make_engine: makes the engine client of an agent
    :param make_exchange: makes the exchange of a request
    :param initial_edits: the configuration to start with, if not the default
    """

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
        self._request_numbers = itertools.count(1)
        self._slots = slots
        self._addresses: dict[str, str] = {}
        self._service_names: dict[str, str] = {}
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
        self._service_names[name] = service
        self.targets[name] = engines.SimTarget(self, name)

    def start_all(self) -> None:
        """Start every process and put the configuration in force."""
        for name in self.nodes:
            self.start(name)
        self.world.run_for(4.0)
        self.submit_change('initial', self._initial_edits)
        self.world.run_for(4.0)

    def start(self, name: str) -> None:
        """Start a process that does not run."""
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

    def _make_common_settings(self, node: network_module.Node) -> dict:
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
        random_bits = self.world.rng.getrandbits(20)
        return int(self.world.now * 1000) << 20 | random_bits

    def _make_hub(self, **arguments: typing.Any) -> network_module.SimHub:
        return network_module.SimHub(network=self.network, **arguments)

    def _make_control(
        self,
        node: network_module.Node,
        reactor: typing.Any,
    ) -> control_module.Control:
        disk = self.disks.setdefault(
            node.name, disk_module.MemoryDisk(self.world.rng)
        )
        return control_module.Control(
            self._make_common_settings(node),
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
            self._make_common_settings(node),
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
        service = self._service_names[node.name]
        settings = self._make_common_settings(node) | {
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
            settings,
            reactor=reactor,
            key=b'',
            incarnation=self._draw_incarnation(),
            make_hub=self._make_hub,
            make_engine_client=lambda **arguments: self._make_engine(
                target=target, **arguments
            ),
        )

    def stop(self, name: str) -> None:
        """Stop a process at once.

        The calls of an agent end, and callers lose their connections to an
        entry instance.
        """
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

    def kill(self, name: str, restart_after_s: float | None = None) -> None:
        """Kill a process, and start it again if a delay is given."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        self.stop(name)
        generation = node.generation
        if restart_after_s is None:
            return

        def restart() -> None:
            if node.generation == generation and not node.is_alive:
                self.start(name)

        self.world.schedule(restart_after_s, restart)

    def record_execution(
        self, target: engines.SimTarget, start: wire.Start
    ) -> None:
        """Record that a target starts to execute a request."""
        execution = engines.Execution(
            request_id=start.request_id,
            target=target.name,
            started_s=self.world.now,
            is_booking=start.kind is wire.Kind.BOOKING,
            body=start.body,
        )
        self.executions.append(execution)
        self.execution_counts[execution.request_id] += 1
        for listener in self.execution_listeners:
            listener(execution)

    def submit_change(
        self,
        change: str,
        edits: list[configuration.Edit],
        replica: str | None = None,
        timeout_s: float = 3.0,
    ) -> list[configuration.ChangeAnswer | None]:
        """Send a change of the configuration to a control replica.

        :param change: the id of the change
        :param edits: the edits to apply
        :param replica: the name of the replica, by default a random one
        :param timeout_s: how long the replica may take
        :returns: a list to which the answer is added, or None if the replica
            does not run or gave no answer
        """
        answers: list[configuration.ChangeAnswer | None] = []
        replica_name = replica or self.world.rng.choice(self.controls)
        node = self.nodes[replica_name]
        if not node.is_alive:
            answers.append(None)
            return answers
        command = configuration.Change(change=change, edits=edits)

        def add_answer(data: bytes | None) -> None:
            answers.append(codec.unpack(data) if data else None)

        process = node.process
        assert node.hub is not None
        node.hub.reactor.post(
            lambda: process.submit(command, timeout_s, add_answer)
        )
        return answers

    def send(
        self,
        entry: str,
        *,
        path: str,
        body: bytes,
        idempotency_key: str = '',
        api_key: str = declarations_module.API_KEYS[0],
        method: str = 'POST',
    ) -> exchanges.Exchange:
        """Send a caller's request to an entry instance.

        :param entry: the name of the entry instance
        :param path: the path of the request
        :param body: the request body
        :param idempotency_key: the idempotency key, if any
        :param api_key: the API key of the client account
        :param method: the HTTP method
        :returns: the exchange, which receives the response
        """
        number = next(self._request_numbers)
        request_id = f'request-{number}'
        exchange = self._make_exchange(request_id, body)
        node = self.nodes[entry]
        if not node.is_alive:
            exchange.fail('connection_refused', wire.Outcome.NOT_RUN)
            return exchange
        headers = (
            [('Idempotency-Key', idempotency_key)] if idempotency_key else []
        )
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
            lambda: self._submit(entry, process, request, api_key, exchange)
        )
        self.exchanges[entry][number] = exchange
        return exchange

    def _submit(
        self,
        name: str,
        process: entry_module.Entry,
        request: callers_state.Request,
        api_key: str,
        exchange: exchanges.Exchange,
    ) -> None:
        if exchange.end_event is not None:
            # The caller disconnected before the request was read.
            return
        refusal_reason = process.get_refusal_reason()
        if refusal_reason is not None:
            exchange.fail(refusal_reason, wire.Outcome.NOT_RUN, 503)
            return
        view = process.get_view()
        try:
            account = callers_state.find_account(f'Bearer {api_key}', view)
            call = callers_state.make_call(request, account, view)
        except callers_errors.RequestRefusedError as error:
            exchange.fail(error.reason, error.outcome, error.status)
            return
        process.begin_request()
        previous_callback = exchange.on_end

        def finish() -> None:
            self.exchanges.get(name, {}).pop(request.id, None)
            if self.nodes[name].process is process:
                process.release_call(call)
                process.end_request()
            previous_callback()

        exchange.on_end = finish
        process.submit(call, exchange)

    def disconnect_caller(self, exchange: exchanges.Exchange) -> None:
        """Disconnect a caller that may still be waiting for its response."""
        for name, open_exchanges in self.exchanges.items():
            for number, open_exchange in open_exchanges.items():
                if open_exchange is exchange:
                    self.nodes[name].process.cancel(number)
                    exchange.fail('caller_gone', wire.Outcome.UNKNOWN)
                    return

    def get_live_entries(self) -> list[str]:
        """Return the names of the entry instances that run now."""
        return [name for name in self.entries if self.nodes[name].is_alive]

    def choose_link(self) -> network_module.SimLink | None:
        """Return a random link end that is up, or None if there is none."""
        links = [
            link
            for hub in self.network.hubs.values()
            for link in hub.links
            if link.is_up
        ]
        return self.world.rng.choice(links) if links else None

    def inject_link_break(self) -> None:
        """Break a random connection."""
        link = self.choose_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.record_fault('break', peers)
            self.network.break_connection(link)

    def inject_link_silence(self) -> None:
        """Make a random connection silent for good."""
        link = self.choose_link()
        if link is not None:
            peers = f'{link.hub.identity.instance} {link.name}'
            self.world.record_fault('silence', peers)
            self.network.silence(link)

    def inject_domain_cut(self, max_duration_s: float = 8.0) -> None:
        """Cut a random failure domain off from the others for a while."""
        domain = self.world.rng.choice(self.domains)
        self.world.record_fault('cut', domain)
        self.cut_domain(domain, self.world.rng.uniform(0.5, max_duration_s))

    def cut_domain(self, domain: str, duration_s: float) -> None:
        """Cut a failure domain off from the others for a time."""
        domain_pairs = {
            frozenset((domain, other))
            for other in self.domains
            if other != domain
        }
        self.network.cut_domain_pairs |= domain_pairs

        def reconnect() -> None:
            self.network.cut_domain_pairs -= domain_pairs

        self.world.schedule(duration_s, reconnect)

    def inject_freeze(self, names: list[str]) -> None:
        """Freeze one of the processes for a while."""
        name = self.world.rng.choice(names)
        self.world.record_fault('freeze', name)
        duration_s = self.world.rng.uniform(0.1, 4.0)
        self.nodes[name].frozen_until_s = self.world.now + duration_s

    def inject_kill(self, names: list[str]) -> None:
        """Kill one of the processes and start it again after a while."""
        name = self.world.rng.choice(names)
        if self.nodes[name].is_alive:
            self.world.record_fault('kill', name)
            self.kill(name, self.world.rng.uniform(0.2, 4.0))

    def inject_target_crash(self, names: list[str]) -> None:
        """Crash one of the targets while its agent keeps running."""
        name = self.world.rng.choice(names)
        self.world.record_fault('target_death', name)
        self.targets[name].crash()

    def heal(self) -> None:
        """Repair every fault and start all processes that do not run."""
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
