"""Prove that a request that crashes its targets reaches at most two.

Callers resend such a poison request through any entry instance. Harmless
requests in flight on the same targets are retried and answered.
"""

import json

from proofs import cluster as cluster_module
from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
POISON_INTERVAL_S = 6.0
SENDS_PER_POISON = 8
MAX_TARGETS_PER_POISON = 2
MIN_COMPLETE_RATIO = 0.95


class PoisonProof(scenario.Scenario):
    """Send a few poison requests among many harmless ones.

    ``targets_by_poison`` has the targets that each poison request reached,
    by its text.
    """

    LOAD_INTERVAL_S = 0.06
    FAULT_INTERVAL_RANGE_S = (1.0, 4.0)
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.harmless_exchanges: list[exchanges.Exchange] = []
        self.targets_by_poison: dict[str, set[str]] = {}
        self.poison_count = 0
        self.cluster.execution_listeners.append(self.record_execution)
        self.world.schedule(10.0, self.start_poison)

    def make_cluster(self) -> cluster_module.Cluster:
        """Make a cluster with enough targets to lose some to crashes."""
        return cluster_module.Cluster(self.world, chat_targets_per_domain=3)

    def get_faults(self) -> list[scenario.Callback]:
        """Return the faults of links; poison requests crash the targets."""
        return [
            self.cluster.inject_link_break,
            self.cluster.inject_link_silence,
        ]

    def make_body(self, text: str) -> bytes:
        """Return the body of a chat request."""
        message = {'role': 'user', 'content': text}
        body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
        return json.dumps(body).encode()

    def generate_load(self) -> None:
        """Send a harmless request."""
        exchange = self.send_chat(
            self.make_body(f'ask {len(self.harmless_exchanges)}')
        )
        if exchange is not None:
            self.harmless_exchanges.append(exchange)

    def start_poison(self) -> None:
        """Start to send a new poison request, and schedule the next one."""
        if not self.is_injecting_faults:
            return
        self.world.schedule(POISON_INTERVAL_S, self.start_poison)
        self.poison_count += 1
        text = f'{engines.CRASH_MARKER} {self.poison_count}'
        self.world.record_fault('poison', text)
        self.targets_by_poison[text] = set()
        self.send_poison(text, SENDS_PER_POISON)

    def send_poison(self, text: str, sends_left: int) -> None:
        """Send a poison request, and resend it whenever it has failed.

        :param text: the text of its chat message
        :param sends_left: how often to send it, counting this time
        """
        exchange = self.send_chat(self.make_body(text))

        def handle_end() -> None:
            self.world.check(
                not exchange.is_complete, 'a poison request was answered'
            )
            if sends_left > 1:
                delay_s = self.world.rng.uniform(0.1, 2.0)
                self.world.schedule(
                    delay_s, lambda: self.send_poison(text, sends_left - 1)
                )

        if exchange is not None:
            scenario.call_on_end(exchange, handle_end)

    def record_execution(self, execution: engines.Execution) -> None:
        """Record a target that a poison request reached; check the limit."""
        body = json.loads(execution.body)
        text = body['messages'][0]['content']
        if text not in self.targets_by_poison:
            return
        self.world.facts['poisonous_runs'] += 1
        self.targets_by_poison[text].add(execution.target)
        self.world.check(
            len(self.targets_by_poison[text]) <= MAX_TARGETS_PER_POISON,
            f'{text!r} reached targets {sorted(self.targets_by_poison[text])}',
        )

    def check_final_state(self) -> None:
        """Check that most harmless requests were answered."""
        complete_count = sum(
            exchange.is_complete for exchange in self.harmless_exchanges
        )
        self.world.facts['innocent'] = len(self.harmless_exchanges)
        self.world.facts['innocent_whole'] = complete_count
        self.world.check(self.poison_count, 'no poison request was sent')
        self.world.check(
            complete_count
            >= MIN_COMPLETE_RATIO * len(self.harmless_exchanges),
            f'only {complete_count} of {len(self.harmless_exchanges)} harmless'
            ' requests were answered',
        )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('poison', seed, steps, PoisonProof)
