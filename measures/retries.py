"""Measure retries while a third of the targets is slow, dead or failing."""

import contextlib
import pathlib
import random

from bambooring.dispatch import builders
from bambooring.routing import budget
from bambooring_core.dispatch import messages as wire
from measures import report
from measures import service

SPAN_S = 30.0
UTILISATION = 0.4
TOKENS = (20, 60)
SLOW_FACTOR = 6.0
FLAP_S = 5.0

ATTEMPTS_PER_REQUEST = 1.1


class FaultyEngine(service.BatchEngine):
    """Be slow or answer with errors at once, by the target's number."""

    def get_step_s(self) -> float:
        """Return how long the next step takes."""
        step_s = super().get_step_s()
        return step_s * SLOW_FACTOR if self._is('slow') else step_s

    def _is(self, fault: str) -> bool:
        return self.target.cluster.engine_faults.get(self.target.name) == fault

    def call(self, start: wire.Start) -> None:
        """Run an attempt, or answer with an error at once."""
        if not self._is('error') or not self.target.is_alive:
            super().call(start)
            return
        self._running_calls[start.attempt] = start
        self._call_later(0.002, lambda: self._answer_error(start))

    def _answer_error(self, start: wire.Start) -> None:
        self.listener.handle_response_head(start.attempt, 500, [])
        self.listener.handle_response_data(start.attempt, b'error')
        self._complete_call(start)


def _run(seed: int) -> dict[str, float]:
    """Run demands beside faulty targets."""
    starts = []
    kept = builders.make_start

    def count(active_call, attempt, now):
        starts.append(attempt.target)
        return kept(active_call, attempt, now)

    builders.make_start = count
    try:
        return _drive(seed, starts)
    finally:
        builders.make_start = kept


def _drive(seed: int, starts: list[str]) -> dict[str, float]:
    run = service.ServiceRun(
        seed, targets_per_domain=3, make_engine=FaultyEngine
    )
    slow, dead, failing = run.cluster.agents[::3]
    run.cluster.engine_faults = {slow: 'slow', failing: 'error'}
    run.start()
    starts.clear()
    rng = random.Random(seed)
    at = 0.0
    while at < SPAN_S:
        mean = sum(TOKENS) / 2
        at += rng.expovariate(UTILISATION * run.capacity / mean)
        demand = service.Demand(
            account=rng.randrange(10),
            tokens=rng.randint(*TOKENS),
            wanted_at=at,
        )
        run.world.schedule(at, lambda demand=demand: run.send(demand))

    def flap() -> None:
        run.world.schedule(FLAP_S, flap)
        run.cluster.kill(dead, FLAP_S / 2)

    flap()
    run.world.run_for(SPAN_S + 20.0)
    requests = sum(demand.sent for demand in run.demands)
    first = sum(
        demand.sent == 1 and demand.answered_at > 0 for demand in run.demands
    )
    figures = run.first.make_figures('first_token')
    figures['attempts_per_request'] = round(len(starts) / requests, 4)
    figures['answered_at_first'] = round(first / len(run.demands), 4)
    figures['errors_passed_on'] = run.errors
    figures['unanswered'] = run.count_waiting()
    return figures


@contextlib.contextmanager
def _without_budget():
    """Retry whatever the successes were."""
    kept = budget.RetryBudget.try_withdraw
    budget.RetryBudget.try_withdraw = lambda self, now: True
    try:
        yield
    finally:
        budget.RetryBudget.try_withdraw = kept


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure retries.

    :param seed: seeds arrivals and chances
    :param scale: unused
    :param plot: unused
    :returns: the report
    """
    figures = _run(seed)
    with _without_budget():
        three_times = _run(seed)
    return report.Report(
        name='retries',
        seed=seed,
        figures=figures,
        baselines={'retry three times': three_times},
        thresholds=[
            report.Threshold(
                figure='attempts_per_request', at_most=ATTEMPTS_PER_REQUEST
            ),
            report.Threshold(figure='unanswered', at_most=0),
        ],
    )
