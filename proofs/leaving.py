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
NO_WORK_AFTER_S = 3.0
BACK_S = 3.0


class LeavingProof(scenario.Scenario):
    """Let targets and entries leave under load."""

    LOAD_INTERVAL_S = 0.05
    FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.left_at: dict[str, float] = {}
        self.left_run: dict[str, int] = {}
        self.kept: dict[str, exchanges.Exchange] = {}
        self.protected: set[str] = set()
        self.cluster.execution_listeners.append(self.check_run)

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
            self.leave_target,
            self.leave_target,
            self.leave_entry,
        ]

    def freeze_entry(self) -> None:
        """Stop an entry for less than its calls can bear."""
        name = self.world.rng.choice(self.cluster.entries)
        self.world.record_fault('freeze', name)
        span_s = self.world.rng.uniform(0.1, 2.0)
        self.cluster.nodes[name].frozen_until_s = self.world.now + span_s

    def leave_target(self) -> None:
        """Let a target leave and come back as a new run."""
        name = self.world.rng.choice(self.cluster.agents)
        node = self.cluster.nodes[name]
        if name in self.left_at or not node.is_alive:
            return
        self.world.record_fault('leave_target', name)
        assert node.hub is not None
        node.hub.reactor.post(lambda: self.begin_leave(name))

    def begin_leave(self, name: str) -> None:
        """Order a target to leave now."""
        self.left_at[name] = self.world.now
        self.left_run[name] = self.cluster.nodes[name].generation
        self.cluster.nodes[name].process._leave()
        self.watch_end(name)

    def watch_end(self, name: str) -> None:
        """Start a target again once it has ended by itself."""
        if self.cluster.nodes[name].is_alive:
            self.world.schedule(0.5, lambda: self.watch_end(name))
            return
        self.world.facts['targets_left'] += 1

        def come_back() -> None:
            if not self.cluster.nodes[name].is_alive:
                self.left_at.pop(name, None)
                self.cluster.start(name)

        self.world.schedule(BACK_S, come_back)

    def leave_entry(self) -> None:
        """Let an entry leave, if its domain has another."""
        live = self.cluster.get_live_entries()
        if len(live) < len(self.cluster.entries):
            return
        name = self.world.rng.choice(live)
        node = self.cluster.nodes[name]
        self.world.record_fault('leave_entry', name)
        self.protected.add(name)
        node.process.leave()
        self.watch_entry(name)

    def watch_entry(self, name: str) -> None:
        """Start an entry again once it has ended by itself."""
        if self.cluster.nodes[name].is_alive:
            self.world.schedule(0.5, lambda: self.watch_entry(name))
            return
        self.world.facts['entries_left'] += 1
        self.protected.discard(name)
        self.world.schedule(BACK_S, lambda: self.cluster.start(name))

    def generate_load(self) -> None:
        """Send a chat request or a booking without a key."""
        number = len(self.kept) + 1
        entries = [
            name
            for name in self.cluster.get_live_entries()
            if name not in self.protected
        ]
        if not entries:
            return
        entry = self.world.rng.choice(entries)
        if self.world.rng.random() < 0.7:
            message = {'role': 'user', 'content': f'ask {number}'}
            body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
            path = '/v1/chat/completions'
        else:
            body = {'slot': number}
            path = f'/services/{declarations.HTTP_SERVICE}/slots'
        exchange = self.cluster.send(
            entry, path=path, body=json.dumps(body).encode()
        )
        self.kept[exchange.request_id] = exchange

    def check_run(self, run: engines.Execution) -> None:
        """Check that no run begins long after its target began to leave."""
        self.world.facts['runs'] += 1
        left_at = self.left_at.get(run.target)
        is_same = (
            self.left_run.get(run.target)
            == self.cluster.nodes[run.target].generation
        )
        if left_at is not None and is_same:
            self.world.check(
                run.started_s <= left_at + NO_WORK_AFTER_S,
                f'{run.request_id} began on {run.target}'
                f' {run.started_s - left_at:.2f} s after it began to leave',
            )

    def check_final_state(self) -> None:
        """Require that everything that began ended whole."""
        for run in self.cluster.executions:
            exchange = self.kept[run.request_id]
            expected = b''.join(
                engines.make_response_chunks('', exchange.body)
            )
            self.world.check(
                exchange.is_complete and exchange.response_body == expected,
                f'{run.request_id} began on {run.target} and ended as'
                f' {exchange.end_event}',
            )
        self.world.check(
            self.world.facts['targets_left'], 'no target has left'
        )
        whole = sum(item.is_complete for item in self.kept.values())
        self.world.facts['sent'] = len(self.kept)
        self.world.facts['whole'] = whole


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('leaving', seed, steps, LeavingProof)
