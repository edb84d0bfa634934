"""Run events in simulated time and draw all random numbers from one seed.

The same seed gives the same run. Times are seconds of the simulated clock.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import json
import random
import typing

MAX_TRACE_LINES = 60

Action = collections.abc.Callable[[], None]


class ViolationError(Exception):
    """Raised when an invariant does not hold."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The result of one run of a proof.

    ``steps`` is the number of events run. ``faults`` and ``facts`` count by
    kind the faults injected and whatever else the proof counts. ``trace`` has
    the last lines of the trace.
    """

    name: str
    seed: int
    steps: int
    faults: dict[str, int]
    facts: dict[str, int]
    violations: list[str]
    trace: list[str]

    def render(self) -> str:
        """Return the result without its trace as one line of JSON."""
        fields = dataclasses.asdict(self)
        del fields['trace']
        return json.dumps(fields)


class World:
    """The clock, random numbers, scheduled events and trace of one run.

    ``steps`` counts the events that have run.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.steps = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.facts: collections.Counter[str] = collections.Counter()
        # A heap of the due time, a number that orders equal times, and the
        # action.
        self._events: list[tuple[float, int, Action]] = []
        self._sequence_numbers = itertools.count()
        self._trace: collections.deque[str] = collections.deque(
            maxlen=MAX_TRACE_LINES
        )

    def schedule(self, delay_s: float, action: Action) -> None:
        """Schedule an action as an event.

        :param delay_s: the simulated time until it runs
        :param action: what to run
        """
        event = (self.now + delay_s, next(self._sequence_numbers), action)
        heapq.heappush(self._events, event)

    def trace(self, text: str) -> None:
        """Add a line to the trace, with the current time."""
        self._trace.append(f'{self.now:10.4f} {text}')

    def record_fault(self, kind: str, text: str = '') -> None:
        """Count an injected fault by its kind and add it to the trace."""
        self.faults[kind] += 1
        self.trace(f'FAULT {kind} {text}')

    def check(self, condition: object, text: str) -> None:
        """Assert an invariant.

        :param condition: what must be true
        :param text: the violation to report if it is false
        :raises ViolationError: if the condition is false
        """
        if not condition:
            raise ViolationError(text)

    def run_steps(self, steps: int) -> None:
        """Run a number of events, or fewer if none are left."""
        last_step = self.steps + steps
        while self._events and self.steps < last_step:
            self._run_next_event()

    def run_for(self, seconds: float) -> None:
        """Run the events that are due within a time, and advance the clock."""
        end_s = self.now + seconds
        while self._events and self._events[0][0] <= end_s:
            self._run_next_event()
        self.now = end_s

    def _run_next_event(self) -> None:
        self.now, _, action = heapq.heappop(self._events)
        self.steps += 1
        action()

    def make_result(
        self, name: str, seed: int, violations: list[str]
    ) -> Result:
        """Return the result of the run so far."""
        return Result(
            name=name,
            seed=seed,
            steps=self.steps,
            faults=dict(sorted(self.faults.items())),
            facts=dict(sorted(self.facts.items())),
            violations=violations,
            trace=list(self._trace),
        )


class Proof(typing.Protocol):
    """A proof, made for one run in its own :class:`World`."""

    def run(self, steps: int) -> None:
        """Run that many events under faults and check the invariants.

        :raises ViolationError: if an invariant does not hold
        """


def run_proof(
    name: str,
    seed: int,
    steps: int,
    make_proof: collections.abc.Callable[[World], Proof],
) -> Result:
    """Run a proof once and return its result, with a violation if any.

    :param name: the name of the proof, for the result
    :param seed: the seed of all random numbers
    :param steps: the number of events to run under faults
    :param make_proof: makes the proof for a world
    """
    world = World(seed)
    violations = []
    try:
        make_proof(world).run(steps)
    except ViolationError as violation:
        violations.append(str(violation))
        world.trace(f'VIOLATION {violation}')
    return world.make_result(name, seed, violations)
