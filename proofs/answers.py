"""Prove that every caller gets the whole of their own answer, or an error.

Chat answers stream through links that break, go silent, repeat messages
late and reorder them across links, while agents, targets, entry instances
and control replicas die; some callers go away in the middle.
"""

import json

from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
GONE_SHARE = 0.05
MIN_WHOLE = 0.75


class AnswersProof(scenario.Scenario):
    """Stream answers and compare each with what it must be."""

    LOAD_INTERVAL_S = 0.1
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.sent: list[exchanges.Exchange] = []
        self.gone: set[str] = set()

    def generate_load(self) -> None:
        """Send a request; the caller may go away in the middle."""
        number = len(self.sent) + 1
        body = json.dumps(
            {
                'model': declarations.CHAT_SERVICE,
                'stream': True,
                'messages': [{'role': 'user', 'content': f'ask {number}'}],
            }
        ).encode()
        exchange = self.send_chat(body)
        if exchange is None:
            return
        self.sent.append(exchange)
        scenario.call_on_end(exchange, lambda: self.check_answer(exchange))
        if self.world.rng.random() < GONE_SHARE:
            delay_s = self.world.rng.uniform(0.0, 1.0)
            self.world.schedule(delay_s, lambda: self.leave(exchange))

    def leave(self, exchange: exchanges.Exchange) -> None:
        """Let the caller go away."""
        if exchange.end_event is not None:
            return
        self.world.record_fault('caller_gone', exchange.request_id)
        self.gone.add(exchange.request_id)
        self.cluster.disconnect_caller(exchange)

    def check_answer(self, exchange: exchanges.Exchange) -> None:
        """Compare an answer with what it must be."""
        parts = engines.make_response_chunks('', exchange.body)
        expected = b''.join(parts)
        if exchange.is_complete:
            self.world.check(
                exchange.response_body == expected,
                f'{exchange.request_id}: {exchange.response_body!r} is not'
                f' {expected!r}',
            )
            return
        self.world.check(
            expected.startswith(exchange.response_body),
            f'{exchange.request_id}: {exchange.response_body!r} is no'
            f' beginning of {expected!r}',
        )

    def check_final_state(self) -> None:
        """Require that every caller heard an end, most a whole answer."""
        open_ones = [
            exchange.request_id
            for exchange in self.sent
            if exchange.end_event is None
            and exchange.request_id not in self.gone
        ]
        self.world.check(not open_ones, f'no end for {open_ones[:3]}')
        whole = sum(exchange.is_complete for exchange in self.sent)
        self.world.facts['sent'] = len(self.sent)
        self.world.facts['whole'] = whole
        self.world.check(
            whole >= len(self.sent) * MIN_WHOLE,
            f'{whole} of {len(self.sent)} whole',
        )
        self.check_nothing_held()

    def check_nothing_held(self) -> None:
        """Require that no process holds on to anything."""
        for name in self.cluster.entries:
            process = self.cluster.nodes[name].process
            held = len(process._dispatcher)
            self.world.check(not held, f'{name} holds {held} calls')
            running = process._admission.running
            self.world.check(not running, f'{name} counts {running}')
        for name in self.cluster.agents:
            scheduler = self.cluster.nodes[name].process._scheduler
            self.world.check(scheduler.is_idle, f'{name} holds attempts')
            self.world.check(
                scheduler.running_count == 0,
                f'{name} counts {scheduler.running_count}',
            )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('answers', seed, steps, AnswersProof)
