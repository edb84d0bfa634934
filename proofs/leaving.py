"""Prove that a leaving target gets no new work and loses none.

Targets and entry instances leave one after another, by their own signal or
an operator's order, while links break and go silent, messages come late
and entry instances freeze, so that some act on stale knowledge.
"""

import json

from proofs import cluster as cluster_module
from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
MAX_START_DELAY_S = 3.0
RESTART_DELAY_S = 3.0


class LeavingProof(scenario.Scenario):
    """Let targets and entries leave under load."""

    LOAD_INTERVAL_S = 0.05
    FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.leaving_since_s: dict[str, float] = {}
        self.leaving_generations: dict[str, int] = {}
        self.exchanges_by_id: dict[str, exchanges.Exchange] = {}
        self.leaving_entries: set[str] = set()
        self.cluster.execution_listeners.append(self.check_execution)

    def make_cluster(self) -> cluster_module.Cluster:
        """Make a cluster with targets to spare."""
        return cluster_module.Cluster(self.world, chat_targets_per_domain=2)

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults that kill nobody, and planned stops."""
        cluster = self.cluster
        return [
            cluster.inject_link_break,
            cluster.inject_link_silence,
            self.freeze_entry,
            self.stop_target,
            self.stop_target,
            self.stop_entry,
        ]

    def freeze_entry(self) -> None:
        """Stop an entry for less than its calls can bear."""
        name = self.world.rng.choice(self.cluster.entries)
        self.world.record_fault('freeze', name)
        duration_s = self.world.rng.uniform(0.1, 2.0)
        self.cluster.nodes[name].frozen_until_s = self.world.now + duration_s

    def stop_target(self) -> None:
        """Let a target leave and come back as a new run."""
        name = self.world.rng.choice(self.cluster.agents)
        node = self.cluster.nodes[name]
        if name in self.leaving_since_s or not node.is_alive:
            return
        self.world.record_fault('leave_target', name)
        assert node.hub is not None
        node.hub.reactor.post(lambda: self.start_leaving(name))

    def start_leaving(self, name: str) -> None:
        """Order a target to leave now."""
        self.leaving_since_s[name] = self.world.now
        self.leaving_generations[name] = self.cluster.nodes[name].generation
        self.cluster.nodes[name].process._leave()
        self.restart_target_after_exit(name)

    def restart_target_after_exit(self, name: str) -> None:
        """Start a target again once it has ended by itself."""
        if self.cluster.nodes[name].is_alive:
            self.world.schedule(
                0.5, lambda: self.restart_target_after_exit(name)
            )
            return
        self.world.facts['targets_left'] += 1

        def restart() -> None:
            if not self.cluster.nodes[name].is_alive:
                self.leaving_since_s.pop(name, None)
                self.cluster.start(name)

        self.world.schedule(RESTART_DELAY_S, restart)

    def stop_entry(self) -> None:
        """Let an entry leave, if its domain has another."""
        live = self.cluster.get_live_entries()
        if len(live) < len(self.cluster.entries):
            return
        name = self.world.rng.choice(live)
        node = self.cluster.nodes[name]
        self.world.record_fault('leave_entry', name)
        self.leaving_entries.add(name)
        node.process.leave()
        self.restart_entry_after_exit(name)

    def restart_entry_after_exit(self, name: str) -> None:
        """Start an entry again once it has ended by itself."""
        if self.cluster.nodes[name].is_alive:
            self.world.schedule(
                0.5, lambda: self.restart_entry_after_exit(name)
            )
            return
        self.world.facts['entries_left'] += 1
        self.leaving_entries.discard(name)
        self.world.schedule(RESTART_DELAY_S, lambda: self.cluster.start(name))

    def generate_load(self) -> None:
        """Send a chat request or a booking without a key."""
        request_number = len(self.exchanges_by_id) + 1
        entries = [
            name
            for name in self.cluster.get_live_entries()
            if name not in self.leaving_entries
        ]
        if not entries:
            return
        entry = self.world.rng.choice(entries)
        if self.world.rng.random() < 0.7:
            message = {'role': 'user', 'content': f'ask {request_number}'}
            body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
            path = '/v1/chat/completions'
        else:
            body = {'slot': request_number}
            path = f'/services/{declarations.HTTP_SERVICE}/slots'
        exchange = self.cluster.send(
            entry, path=path, body=json.dumps(body).encode()
        )
        self.exchanges_by_id[exchange.request_id] = exchange

    def check_execution(self, execution: engines.Execution) -> None:
        """Check that no run begins long after its target began to leave."""
        self.world.facts['runs'] += 1
        leaving_since_s = self.leaving_since_s.get(execution.target)
        is_same_generation = (
            self.leaving_generations.get(execution.target)
            == self.cluster.nodes[execution.target].generation
        )
        if leaving_since_s is not None and is_same_generation:
            self.world.check(
                execution.started_s <= leaving_since_s + MAX_START_DELAY_S,
                f'{execution.request_id} began on {execution.target}'
                f' {execution.started_s - leaving_since_s:.2f} s after it began to leave',
            )

    def check_final_state(self) -> None:
        """Require that everything that began ended whole."""
        for execution in self.cluster.executions:
            exchange = self.exchanges_by_id[execution.request_id]
            expected = b''.join(
                engines.make_response_chunks('', exchange.body)
            )
            self.world.check(
                exchange.is_complete and exchange.response_body == expected,
                f'{execution.request_id} began on {execution.target} and ended as'
                f' {exchange.end_event}',
            )
        self.world.check(
            self.world.facts['targets_left'], 'no target has left'
        )
        complete_count = sum(
            exchange.is_complete for exchange in self.exchanges_by_id.values()
        )
        self.world.facts['sent'] = len(self.exchanges_by_id)
        self.world.facts['whole'] = complete_count


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('leaving', seed, steps, LeavingProof)
