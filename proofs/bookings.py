"""Prove that a booking runs at most once, and once where nothing is lost.

Callers send bookings under keys and send them again, through any entry
instance, after errors, lost answers and too long a wait, while processes
and targets die and freeze, links break, go silent and repeat messages
late, and failure domains are cut off.
"""

import collections
import json

from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import scenario
from proofs import world as world_module

DEFAULT_STEPS = 60_000
CALLER_TIMEOUT_S = 12.0
MAX_SENDS_PER_KEY = 12
MIN_ANSWERED_RATIO = 0.5


class BookingsProof(scenario.Scenario):
    """Book under faults and count the effects."""

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.booking_count = 0
        self.execution_counts: collections.Counter[str] = collections.Counter()
        self.responses: dict[str, bytes] = {}
        self.not_run_ids: set[str] = set()
        self.answered_keys: set[str] = set()
        self.unanswered_keys: set[str] = set()
        self.cluster.execution_listeners.append(self.record_execution)

    def generate_load(self) -> None:
        """Begin a booking under a new key."""
        self.booking_count += 1
        self.send_booking(f'slot-{self.booking_count}', MAX_SENDS_PER_KEY)

    def send_booking(self, key: str, sends_left: int) -> None:
        """Send a booking, again if it comes to that."""
        live = self.cluster.get_live_entries()
        if not live:
            self.world.schedule(
                1.0, lambda: self.send_booking(key, sends_left)
            )
            return
        entry = self.world.rng.choice(live)
        body = json.dumps({'slot': key}).encode()
        exchange = self.cluster.send(
            entry,
            path=f'/services/{declarations.HTTP_SERVICE}/slots',
            body=body,
            idempotency_key=key,
        )
        self.world.facts['sent'] += 1
        handled_ends = []

        def handle_end_once() -> None:
            if not handled_ends:
                handled_ends.append(True)
                self.handle_end(key, exchange, sends_left)

        scenario.call_on_end(exchange, handle_end_once)
        # A caller whose answer is lost sends again.
        self.world.schedule(CALLER_TIMEOUT_S, handle_end_once)

    def handle_end(
        self, key: str, exchange: exchanges.Exchange, sends_left: int
    ) -> None:
        """Judge an answer."""
        if exchange.is_complete:
            self.record_response(key, exchange)
            if self.world.rng.random() < 0.3:
                self.world.schedule(0.5, lambda: self.send_booking(key, 1))
            return
        if scenario.is_not_run(exchange):
            self.world.facts['refused'] += 1
            self.not_run_ids.add(exchange.request_id)
            self.check_not_run(exchange.request_id)
        if sends_left > 1:
            self.world.schedule(
                self.world.rng.uniform(0.5, 3.0),
                lambda: self.send_booking(key, sends_left - 1),
            )
        else:
            self.unanswered_keys.add(key)

    def record_response(self, key: str, exchange: exchanges.Exchange) -> None:
        """Check a whole answer: whose it is and that it stays the same."""
        expected = b''.join(engines.make_response_chunks('', exchange.body))
        self.world.check(
            exchange.response_body == expected, f'{key}: wrong answer'
        )
        self.world.check(self.execution_counts[key] == 1, f'{key}: no effect')
        self.responses.setdefault(key, exchange.response_body)
        self.answered_keys.add(key)

    def record_execution(self, execution: engines.Execution) -> None:
        """Count an effect and check it at once."""
        key = json.loads(execution.body)['slot']
        self.execution_counts[key] += 1
        self.world.trace(
            f'{key} runs on {execution.target} {execution.request_id}'
        )
        self.world.check(
            self.execution_counts[key] <= 1,
            f'{key} ran {self.execution_counts[key]} times',
        )
        self.check_not_run(execution.request_id)

    def check_not_run(self, request_id: str) -> None:
        """Check that what was refused as not run did not run."""
        if request_id in self.not_run_ids:
            self.world.check(
                not self.cluster.execution_counts[request_id],
                f'{request_id} was refused as not run and ran',
            )

    def check_final_state(self) -> None:
        """Require that most bookings were answered, each with an effect."""
        for key in self.answered_keys:
            self.world.check(
                self.execution_counts[key] == 1,
                f'{key}: answered without effect',
            )
        self.world.facts['bookings'] = self.booking_count
        self.world.facts['answered'] = len(self.answered_keys)
        self.world.facts['unknown'] = len(
            self.unanswered_keys - self.answered_keys
        )
        self.world.check(
            len(self.answered_keys) >= self.booking_count * MIN_ANSWERED_RATIO,
            f'{len(self.answered_keys)} of {self.booking_count} answered',
        )
        unexecuted_keys = [
            key
            for key in self.unanswered_keys - self.answered_keys
            if not self.execution_counts[key]
        ]
        self.world.facts['unrun'] = len(unexecuted_keys)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('bookings', seed, steps, BookingsProof)
