"""Prove that a leaving target gets no new requests and loses none.

Targets and entry instances are told to leave, one after another, under
load. Meanwhile links break or stop delivering without an error, messages
arrive late and entry instances freeze, so that some of them use outdated
state.
"""

import json

from proofs import cluster as cluster_module
from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
# A request may still start on a target this long after the target began to
# leave.
MAX_START_DELAY_S = 3.0
RESTART_DELAY_S = 3.0


class LeavingProof(scenario.Scenario):
    """Let targets and entry instances leave under load.

    ``leaving_since_s`` has the times at which targets began to leave, and
    ``leaving_generations`` the generations of their nodes then. Callers send
    nothing to ``leaving_entries``.
    """

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
        """Make a cluster with a spare chat target in each domain."""
        return cluster_module.Cluster(self.world, chat_targets_per_domain=2)

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults that crash no process, and planned stops."""
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
        """Freeze an entry instance for a time that its calls survive."""
        name = self.world.rng.choice(self.cluster.entries)
        self.world.record_fault('freeze', name)
        duration_s = self.world.rng.uniform(0.1, 2.0)
        self.cluster.nodes[name].frozen_until_s = self.world.now + duration_s

    def stop_target(self) -> None:
        """Tell a target to leave; it is restarted after it has stopped."""
        name = self.world.rng.choice(self.cluster.agents)
        node = self.cluster.nodes[name]
        if name in self.leaving_since_s or not node.is_alive:
            return
        self.world.record_fault('leave_target', name)
        assert node.hub is not None
        node.hub.reactor.post(lambda: self.start_leaving(name))

    def start_leaving(self, name: str) -> None:
        """Record that a target begins to leave now, and tell its agent."""
        self.leaving_since_s[name] = self.world.now
        self.leaving_generations[name] = self.cluster.nodes[name].generation
        self.cluster.nodes[name].process._leave()
        self.restart_target_after_exit(name)

    def restart_target_after_exit(self, name: str) -> None:
        """Restart a target once its agent has stopped itself."""
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
        """Tell an entry instance to leave, unless another one is down.

        As each failure domain has two, it keeps a live entry instance.
        """
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
        """Restart an entry instance once it has stopped itself."""
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
        """Check that no request starts long after its target began to leave.

        A target that has been restarted since is no longer leaving.
        """
        self.world.facts['runs'] += 1
        leaving_since_s = self.leaving_since_s.get(execution.target)
        is_same_generation = (
            self.leaving_generations.get(execution.target)
            == self.cluster.nodes[execution.target].generation
        )
        if leaving_since_s is not None and is_same_generation:
            self.world.check(
                execution.started_s <= leaving_since_s + MAX_START_DELAY_S,
                f'{execution.request_id} started on {execution.target}'
                f' {execution.started_s - leaving_since_s:.2f} s after it'
                ' began to leave',
            )

    def check_final_state(self) -> None:
        """Check that every request that started was answered completely."""
        for execution in self.cluster.executions:
            exchange = self.exchanges_by_id[execution.request_id]
            expected = b''.join(
                engines.make_response_chunks('', exchange.body)
            )
            self.world.check(
                exchange.is_complete and exchange.response_body == expected,
                f'{execution.request_id} started on {execution.target} and'
                f' ended with {exchange.end_event}',
            )
        self.world.check(
            self.world.facts['targets_left'], 'no target has left'
        )
        complete_count = sum(
            sent_exchange.is_complete
            for sent_exchange in self.exchanges_by_id.values()
        )
        self.world.facts['sent'] = len(self.exchanges_by_id)
        self.world.facts['whole'] = complete_count


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('leaving', seed, steps, LeavingProof)
