"""Prove that a booking runs at most once, and once if it is answered.

Callers send bookings with idempotency keys. They resend them, through any
entry instance, after errors, lost responses and timeouts, while processes
and targets crash and freeze, links break, stop delivering without an error
and deliver copies of messages late, and failure domains are cut off.
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
    """Send bookings under faults and count how often each of them runs.

    ``unanswered_keys`` has the keys that were sent the permitted number of
    times without a complete response to the last of these requests.
    """

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
        """Start a booking with a new key."""
        self.booking_count += 1
        self.send_booking(f'slot-{self.booking_count}', MAX_SENDS_PER_KEY)

    def send_booking(self, key: str, sends_left: int) -> None:
        """Send a booking, and resend it until it is answered.

        :param key: the idempotency key
        :param sends_left: the number of requests permitted, with this one
        """
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
        # A caller whose response is lost sends the booking again.
        self.world.schedule(CALLER_TIMEOUT_S, handle_end_once)

    def handle_end(
        self, key: str, exchange: exchanges.Exchange, sends_left: int
    ) -> None:
        """Check how a request has ended, and resend the booking.

        Some bookings are resent although they have been answered.

        :param key: the idempotency key
        :param exchange: the request; it has not ended if it timed out
        :param sends_left: the number of requests permitted, with this one
        """
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
        """Record that a booking was answered, and check the response.

        The expected response depends on the request body only, so repeated
        requests must get the same response. The booking must have run once.
        """
        expected = b''.join(engines.make_response_chunks('', exchange.body))
        self.world.check(
            exchange.response_body == expected, f'{key}: wrong response'
        )
        self.world.check(
            self.execution_counts[key] == 1, f'{key}: answered but did not run'
        )
        self.responses.setdefault(key, exchange.response_body)
        self.answered_keys.add(key)

    def record_execution(self, execution: engines.Execution) -> None:
        """Count a run of a booking, and check that it is the first."""
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
        """Check that a request did not run if it was refused as not run."""
        if request_id in self.not_run_ids:
            self.world.check(
                not self.cluster.execution_counts[request_id],
                f'{request_id} was refused as not run and ran',
            )

    def check_final_state(self) -> None:
        """Check that most bookings were answered and that these have run."""
        for key in self.answered_keys:
            self.world.check(
                self.execution_counts[key] == 1,
                f'{key}: answered but did not run',
            )
        self.world.facts['bookings'] = self.booking_count
        self.world.facts['answered'] = len(self.answered_keys)
        self.world.facts['unknown'] = len(
            self.unanswered_keys - self.answered_keys
        )
        self.world.check(
            len(self.answered_keys) >= self.booking_count * MIN_ANSWERED_RATIO,
            f'only {len(self.answered_keys)} of {self.booking_count}'
            ' bookings were answered',
        )
        unexecuted_keys = [
            key
            for key in self.unanswered_keys - self.answered_keys
            if not self.execution_counts[key]
        ]
        self.world.facts['unrun'] = len(unexecuted_keys)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('bookings', seed, steps, BookingsProof)
