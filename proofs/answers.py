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
DISCONNECT_PROBABILITY = 0.05
MIN_COMPLETE_RATIO = 0.75


class AnswersProof(scenario.Scenario):
    """Stream answers and compare each with what it must be."""

    LOAD_INTERVAL_S = 0.1
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.exchanges: list[exchanges.Exchange] = []
        self.disconnected_ids: set[str] = set()

    def generate_load(self) -> None:
        """Send a request; the caller may go away in the middle."""
        request_number = len(self.exchanges) + 1
        body = json.dumps(
            {
                'model': declarations.CHAT_SERVICE,
                'stream': True,
                'messages': [
                    {'role': 'user', 'content': f'ask {request_number}'}
                ],
            }
        ).encode()
        exchange = self.send_chat(body)
        if exchange is None:
            return
        self.exchanges.append(exchange)
        scenario.call_on_end(exchange, lambda: self.check_response(exchange))
        if self.world.rng.random() < DISCONNECT_PROBABILITY:
            delay_s = self.world.rng.uniform(0.0, 1.0)
            self.world.schedule(
                delay_s, lambda: self.disconnect_caller(exchange)
            )

    def disconnect_caller(self, exchange: exchanges.Exchange) -> None:
        """Let the caller go away."""
        if exchange.end_event is not None:
            return
        self.world.record_fault('caller_gone', exchange.request_id)
        self.disconnected_ids.add(exchange.request_id)
        self.cluster.disconnect_caller(exchange)

    def check_response(self, exchange: exchanges.Exchange) -> None:
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
            f'{exchange.request_id}: {exchange.response_body!r} is no beginning of'
            f' {expected!r}',
        )

    def check_final_state(self) -> None:
        """Require that every caller heard an end, most a whole answer."""
        unended_ids = [
            exchange.request_id
            for exchange in self.exchanges
            if exchange.end_event is None
            and exchange.request_id not in self.disconnected_ids
        ]
        self.world.check(not unended_ids, f'no end for {unended_ids[:3]}')
        complete_count = sum(
            exchange.is_complete for exchange in self.exchanges
        )
        self.world.facts['sent'] = len(self.exchanges)
        self.world.facts['whole'] = complete_count
        self.world.check(
            complete_count >= len(self.exchanges) * MIN_COMPLETE_RATIO,
            f'{complete_count} of {len(self.exchanges)} whole',
        )
        self.check_all_released()

    def check_all_released(self) -> None:
        """Require that no process holds on to anything."""
        for name in self.cluster.entries:
            process = self.cluster.nodes[name].process
            call_count = len(process._dispatcher)
            self.world.check(
                not call_count, f'{name} holds {call_count} calls'
            )
            running_count = process._admission.running
            self.world.check(
                not running_count, f'{name} counts {running_count}'
            )
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
