"""Run events in simulated time, drawn from one seed."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import json
import random
import typing

TRACE_LINES = 60

Action = collections.abc.Callable[[], None]


class ViolationError(Exception):
    """Report an invariant that did not hold."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """Hold how a proof's run ended."""

    name: str
    seed: int
    steps: int
    faults: dict[str, int]
    facts: dict[str, int]
    violations: list[str]
    trace: list[str]

    def render(self) -> str:
        """Return the run's last line."""
        value = dataclasses.asdict(self)
        del value['trace']
        return json.dumps(value)


class World:
    """Hold the time, the chance, the events to come and the trace."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.steps = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.facts: collections.Counter[str] = collections.Counter()
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()
        self._trace: collections.deque[str] = collections.deque(
            maxlen=TRACE_LINES
        )

    def schedule(self, delay_s: float, action: Action) -> None:
        """Do something after a delay.

        :param delay_s: the delay in seconds
        :param action: what to do
        """
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def trace(self, text: str) -> None:
        """Add a line to the trace."""
        self._trace.append(f'{self.now:10.4f} {text}')

    def record_fault(self, kind: str, text: str = '') -> None:
        """Count a fault and trace it."""
        self.faults[kind] += 1
        self.trace(f'FAULT {kind} {text}')

    def check(self, condition: object, text: str) -> None:
        """Assert an invariant.

        :param condition: what must hold
        :param text: what is wrong if it does not
        :raises ViolationError: if it does not
        """
        if not condition:
            raise ViolationError(text)

    def run_steps(self, steps: int) -> None:
        """Run a number of events."""
        end = self.steps + steps
        while self._events and self.steps < end:
            self._run_one()

    def run_for(self, seconds: float) -> None:
        """Run the events of some time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self._run_one()
        self.now = end

    def _run_one(self) -> None:
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
    """Run one proof; made with its world."""

    def run(self, steps: int) -> None:
        """Run and assert; raises ViolationError."""


def run_proof(
    name: str,
    seed: int,
    steps: int,
    make: collections.abc.Callable[[World], Proof],
) -> Result:
    """Run a proof and catch its violation.

    :param name: the proof's name
    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :param make: makes the proof in its world
    :returns: the result
    """
    world = World(seed)
    violations = []
    try:
        make(world).run(steps)
    except ViolationError as violation:
        violations.append(str(violation))
        world.trace(f'VIOLATION {violation}')
    return world.make_result(name, seed, violations)
