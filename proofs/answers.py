"""Prove that every caller gets a complete response of its own, or an error.

Chat responses are streamed over links that break, stop delivering without
an error, deliver copies of messages late and reorder messages across links,
while agents, targets, entry instances and control replicas crash. Some
callers disconnect during the response.
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
    """Stream chat responses and compare each with the expected one."""

    LOAD_INTERVAL_S = 0.1
    RECOVERY_S = 45.0

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.exchanges: list[exchanges.Exchange] = []
        self.disconnected_ids: set[str] = set()

    def generate_load(self) -> None:
        """Send a chat request whose caller may disconnect early."""
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
        """Disconnect a caller unless its request has ended."""
        if exchange.end_event is not None:
            return
        self.world.record_fault('caller_gone', exchange.request_id)
        self.disconnected_ids.add(exchange.request_id)
        self.cluster.disconnect_caller(exchange)

    def check_response(self, exchange: exchanges.Exchange) -> None:
        """Check that a response is the expected one.

        A response that ended with an error must be a prefix of it.
        """
        chunks = engines.make_response_chunks('', exchange.body)
        expected = b''.join(chunks)
        if exchange.is_complete:
            self.world.check(
                exchange.response_body == expected,
                f'{exchange.request_id}: response is'
                f' {exchange.response_body!r}, expected {expected!r}',
            )
            return
        self.world.check(
            expected.startswith(exchange.response_body),
            f'{exchange.request_id}: partial response'
            f' {exchange.response_body!r} is not a prefix of {expected!r}',
        )

    def check_final_state(self) -> None:
        """Check that all requests have ended and most of them completely.

        Requests whose callers have disconnected need not have ended.
        """
        unended_ids = [
            exchange.request_id
            for exchange in self.exchanges
            if exchange.end_event is None
            and exchange.request_id not in self.disconnected_ids
        ]
        self.world.check(
            not unended_ids, f'requests have not ended: {unended_ids[:3]}'
        )
        complete_count = sum(
            exchange.is_complete for exchange in self.exchanges
        )
        self.world.facts['sent'] = len(self.exchanges)
        self.world.facts['whole'] = complete_count
        self.world.check(
            complete_count >= len(self.exchanges) * MIN_COMPLETE_RATIO,
            f'only {complete_count} of {len(self.exchanges)} responses are'
            ' complete',
        )
        self.check_all_released()

    def check_all_released(self) -> None:
        """Check that no process has calls or attempts left."""
        for name in self.cluster.entries:
            process = self.cluster.nodes[name].process
            call_count = len(process._dispatcher)
            self.world.check(
                not call_count, f'{name} has {call_count} calls left'
            )
            running_count = process._admission.running
            self.world.check(
                not running_count,
                f'{name} counts {running_count} running requests',
            )
        for name in self.cluster.agents:
            scheduler = self.cluster.nodes[name].process._scheduler
            self.world.check(scheduler.is_idle, f'{name} has attempts left')
            self.world.check(
                scheduler.running_count == 0,
                f'{name} counts {scheduler.running_count} running attempts',
            )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('answers', seed, steps, AnswersProof)
