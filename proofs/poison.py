"""Prove that a request that crashes targets stops after two of them.

Callers send such a request again through any entry instance; the innocent
requests in flight beside it are tried again and answered.
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
    """Send requests that crash targets among many that do not."""

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
        """Make a cluster with targets to lose."""
        return cluster_module.Cluster(self.world, chat_targets_per_domain=3)

    def get_faults(self) -> list[scenario.Callback]:
        """Return faults of links; the requests crash the targets."""
        return [
            self.cluster.inject_link_break,
            self.cluster.inject_link_silence,
        ]

    def make_body(self, text: str) -> bytes:
        """Make a chat request."""
        message = {'role': 'user', 'content': text}
        body = {'model': declarations.CHAT_SERVICE, 'messages': [message]}
        return json.dumps(body).encode()

    def generate_load(self) -> None:
        """Send an innocent request."""
        exchange = self.send_chat(
            self.make_body(f'ask {len(self.harmless_exchanges)}')
        )
        if exchange is not None:
            self.harmless_exchanges.append(exchange)

    def start_poison(self) -> None:
        """Send a new request that crashes its target."""
        if not self.is_injecting_faults:
            return
        self.world.schedule(POISON_INTERVAL_S, self.start_poison)
        self.poison_count += 1
        text = f'{engines.CRASH_MARKER} {self.poison_count}'
        self.world.record_fault('poison', text)
        self.targets_by_poison[text] = set()
        self.send_poison(text, SENDS_PER_POISON)

    def send_poison(self, text: str, sends_left: int) -> None:
        """Send it again and again, through any entry instance."""
        exchange = self.send_chat(self.make_body(text))

        def handle_end() -> None:
            self.world.check(
                not exchange.is_complete, 'a poisonous request was answered'
            )
            if sends_left > 1:
                delay_s = self.world.rng.uniform(0.1, 2.0)
                self.world.schedule(
                    delay_s, lambda: self.send_poison(text, sends_left - 1)
                )

        if exchange is not None:
            scenario.call_on_end(exchange, handle_end)

    def record_execution(self, execution: engines.Execution) -> None:
        """Count the targets that a poisonous request reached."""
        body = json.loads(execution.body)
        text = body['messages'][0]['content']
        if text not in self.targets_by_poison:
            return
        self.world.facts['poisonous_runs'] += 1
        self.targets_by_poison[text].add(execution.target)
        self.world.check(
            len(self.targets_by_poison[text]) <= MAX_TARGETS_PER_POISON,
            f'{text!r} reached {sorted(self.targets_by_poison[text])}',
        )

    def check_final_state(self) -> None:
        """Require that the innocent were answered."""
        complete_count = sum(
            exchange.is_complete for exchange in self.harmless_exchanges
        )
        self.world.facts['innocent'] = len(self.harmless_exchanges)
        self.world.facts['innocent_whole'] = complete_count
        self.world.check(self.poison_count, 'no poisonous request was sent')
        self.world.check(
            complete_count
            >= MIN_COMPLETE_RATIO * len(self.harmless_exchanges),
            f'{complete_count} of {len(self.harmless_exchanges)} innocent requests answered',
        )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('poison', seed, steps, PoisonProof)
