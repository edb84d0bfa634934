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
PATIENCE_S = 12.0
ATTEMPTS = 12
MIN_SHARE = 0.5


class BookingsProof(scenario.Scenario):
    """Book under faults and count the effects."""

    def __init__(self, world: world_module.World) -> None:
        super().__init__(world)
        self.bookings = 0
        self.effects: collections.Counter[str] = collections.Counter()
        self.answers: dict[str, bytes] = {}
        self.not_run: set[str] = set()
        self.done: set[str] = set()
        self.unknown: set[str] = set()
        self.cluster.execution_listeners.append(self.note_effect)

    def generate_load(self) -> None:
        """Begin a booking under a new key."""
        self.bookings += 1
        self.send(f'slot-{self.bookings}', ATTEMPTS)

    def send(self, key: str, attempts: int) -> None:
        """Send a booking, again if it comes to that."""
        live = self.cluster.get_live_entries()
        if not live:
            self.world.schedule(1.0, lambda: self.send(key, attempts))
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
        handled = []

        def hear() -> None:
            if not handled:
                handled.append(True)
                self.hear(key, exchange, attempts)

        scenario.call_on_end(exchange, hear)
        # A caller whose answer is lost sends again.
        self.world.schedule(PATIENCE_S, hear)

    def hear(
        self, key: str, exchange: exchanges.Exchange, attempts: int
    ) -> None:
        """Judge an answer."""
        if exchange.is_complete:
            self.note_answer(key, exchange)
            if self.world.rng.random() < 0.3:
                self.world.schedule(0.5, lambda: self.send(key, 1))
            return
        if scenario.is_not_run(exchange):
            self.world.facts['refused'] += 1
            self.not_run.add(exchange.request_id)
            self.check_not_run(exchange.request_id)
        if attempts > 1:
            self.world.schedule(
                self.world.rng.uniform(0.5, 3.0),
                lambda: self.send(key, attempts - 1),
            )
        else:
            self.unknown.add(key)

    def note_answer(self, key: str, exchange: exchanges.Exchange) -> None:
        """Check a whole answer: whose it is and that it stays the same."""
        expected = b''.join(engines.make_response_chunks('', exchange.body))
        self.world.check(
            exchange.response_body == expected, f'{key}: wrong answer'
        )
        self.world.check(self.effects[key] == 1, f'{key}: no effect')
        self.answers.setdefault(key, exchange.response_body)
        self.done.add(key)

    def note_effect(self, run: engines.Execution) -> None:
        """Count an effect and check it at once."""
        key = json.loads(run.body)['slot']
        self.effects[key] += 1
        self.world.trace(f'{key} runs on {run.target} {run.request_id}')
        self.world.check(
            self.effects[key] <= 1, f'{key} ran {self.effects[key]} times'
        )
        self.check_not_run(run.request_id)

    def check_not_run(self, request_id: str) -> None:
        """Check that what was refused as not run did not run."""
        if request_id in self.not_run:
            self.world.check(
                not self.cluster.execution_counts[request_id],
                f'{request_id} was refused as not run and ran',
            )

    def check_final_state(self) -> None:
        """Require that most bookings were answered, each with an effect."""
        for key in self.done:
            self.world.check(
                self.effects[key] == 1, f'{key}: answered without effect'
            )
        self.world.facts['bookings'] = self.bookings
        self.world.facts['answered'] = len(self.done)
        self.world.facts['unknown'] = len(self.unknown - self.done)
        self.world.check(
            len(self.done) >= self.bookings * MIN_SHARE,
            f'{len(self.done)} of {self.bookings} answered',
        )
        unrun = [
            key for key in self.unknown - self.done if not self.effects[key]
        ]
        self.world.facts['unrun'] = len(unrun)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('bookings', seed, steps, BookingsProof)
