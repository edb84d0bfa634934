"""Prove that a request refused as not run has not run and never will.

Targets with few slots refuse many requests. Copies of start messages arrive
late, on whichever link is up then, and responses are lost.
"""

import json

from proofs import cluster as cluster_module
from proofs import declarations
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
SLOT_COUNT = 2


class RefusalsProof(scenario.Scenario):
    """Overload targets, and check that refused requests never run."""

    LOAD_INTERVAL_S = 0.02
    REPEAT_PROBABILITY = 0.3
    DELAY_PROBABILITY = 0.05

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.refused_ids: set[str] = set()
        self.sent_count = 0
        self.cluster.execution_listeners.append(
            lambda execution: self.check_refused(execution.request_id)
        )

    def make_cluster(self) -> cluster_module.Cluster:
        """Make a cluster whose targets have few slots."""
        return cluster_module.Cluster(self.world, slots=SLOT_COUNT)

    def generate_load(self) -> None:
        """Send a chat request, or a booking with or without a key."""
        self.sent_count += 1
        kind = self.world.rng.choice(('chat', 'keyed', 'bare'))
        exchange = self.send_request(kind)
        if exchange is not None:
            scenario.call_on_end(exchange, lambda: self.handle_end(exchange))

    def send_request(self, kind: str) -> exchanges.Exchange | None:
        """Send a request of a kind through any live entry instance.

        :param kind: ``chat``, ``keyed`` (a booking with an idempotency key)
            or ``bare`` (a booking without one)
        """
        if kind == 'chat':
            message = {'role': 'user', 'content': f'ask {self.sent_count}'}
            body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
            return self.send_chat(json.dumps(body).encode())
        live = self.cluster.get_live_entries()
        if not live:
            return None
        return self.cluster.send(
            self.world.rng.choice(live),
            path=f'/services/{declarations.HTTP_SERVICE}/slots',
            body=json.dumps({'slot': self.sent_count}).encode(),
            idempotency_key=f'slot-{self.sent_count}'
            if kind == 'keyed'
            else '',
        )

    def handle_end(self, exchange: exchanges.Exchange) -> None:
        """Record a refusal, and check it against the runs so far."""
        if scenario.is_not_run(exchange):
            self.world.facts['refused'] += 1
            self.refused_ids.add(exchange.request_id)
            self.check_refused(exchange.request_id)
        elif exchange.is_complete:
            self.world.facts['whole'] += 1

    def check_refused(self, request_id: str) -> None:
        """Check that a request has not run if it was refused as not run."""
        if request_id in self.refused_ids:
            self.world.check(
                not self.cluster.execution_counts[request_id],
                f'{request_id} was refused as not run and ran',
            )

    def check_final_state(self) -> None:
        """Check that any request was refused."""
        self.world.facts['sent'] = self.sent_count
        self.world.check(self.refused_ids, 'nothing was refused')


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('refusals', seed, steps, RefusalsProof)
