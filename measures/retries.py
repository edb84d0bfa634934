"""Measure retries while a third of the targets is slow, killed or failing."""

import contextlib
import pathlib
import random

from bambooring.dispatch import builders
from bambooring.routing import budget
from bambooring_core.dispatch import messages as wire
from measures import report
from measures import service

DURATION_S = 30.0
UTILISATION_RATIO = 0.4
TOKENS_RANGE = (20, 60)
SLOW_STEP_RATIO = 6.0
KILL_INTERVAL_S = 5.0

MAX_ATTEMPTS_PER_REQUEST = 1.1


class FaultyEngine(service.BatchEngine):
    """Engine that is slow or fails at once.

    The cluster's ``engine_faults`` says which fault a target has, if any.
    """

    def get_step_duration_s(self) -> float:
        """Return the duration of the next step."""
        duration_s = super().get_step_duration_s()
        return (
            duration_s * SLOW_STEP_RATIO
            if self._has_fault('slow')
            else duration_s
        )

    def _has_fault(self, fault: str) -> bool:
        return self.target.cluster.engine_faults.get(self.target.name) == fault

    def call(self, start: wire.Start) -> None:
        """Add an attempt to the batch, or respond with an error at once."""
        if not self._has_fault('error') or not self.target.is_alive:
            super().call(start)
            return
        self._running_calls[start.attempt] = start
        self._call_later(0.002, lambda: self._send_error_response(start))

    def _send_error_response(self, start: wire.Start) -> None:
        self.listener.handle_response_head(start.attempt, 500, [])
        self.listener.handle_response_data(start.attempt, b'error')
        self._complete_call(start)


def _run_load(seed: int) -> dict[str, float]:
    """Run the load with faulty targets and count the started attempts."""
    started_targets = []
    original_make_start = builders.make_start

    def record_and_make_start(active_call, attempt, now):
        started_targets.append(attempt.target)
        return original_make_start(active_call, attempt, now)

    builders.make_start = record_and_make_start
    try:
        return _run_with_faults(seed, started_targets)
    finally:
        builders.make_start = original_make_start


def _run_with_faults(
    seed: int, started_targets: list[str]
) -> dict[str, float]:
    run = service.ServiceRun(
        seed, targets_per_domain=3, make_engine=FaultyEngine
    )
    slow, restarted, failing = run.cluster.agents[::3]
    run.cluster.engine_faults = {slow: 'slow', failing: 'error'}
    run.start()
    started_targets.clear()
    rng = random.Random(seed)
    arrival_offset_s = 0.0
    while arrival_offset_s < DURATION_S:
        mean_tokens = sum(TOKENS_RANGE) / 2
        arrival_offset_s += rng.expovariate(
            UTILISATION_RATIO * run.capacity_tokens_per_s / mean_tokens
        )
        request = service.CallerRequest(
            account_index=rng.randrange(10),
            tokens=rng.randint(*TOKENS_RANGE),
            arrival_offset_s=arrival_offset_s,
        )
        run.world.schedule(
            arrival_offset_s, lambda request=request: run.send_request(request)
        )

    def kill_regularly() -> None:
        run.world.schedule(KILL_INTERVAL_S, kill_regularly)
        run.cluster.kill(restarted, KILL_INTERVAL_S / 2)

    kill_regularly()
    run.world.run_for(DURATION_S + 20.0)
    total_sends = sum(request.send_count for request in run.requests)
    answered_at_first = sum(
        request.send_count == 1 and request.answered_s > 0
        for request in run.requests
    )
    figures = run.first_token_latencies.make_figures('first_token')
    figures['attempts_per_request'] = round(
        len(started_targets) / total_sends, 4
    )
    figures['answered_at_first'] = round(
        answered_at_first / len(run.requests), 4
    )
    figures['errors_passed_on'] = run.server_error_count
    figures['unanswered'] = run.count_unanswered()
    return figures


@contextlib.contextmanager
def _without_retry_budget():
    """Allow all retries, however few requests succeed."""
    original_try_withdraw = budget.RetryBudget.try_withdraw
    budget.RetryBudget.try_withdraw = lambda self, now: True
    try:
        yield
    finally:
        budget.RetryBudget.try_withdraw = original_try_withdraw


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the attempts per request and the retry budget's effect.

    :param seed: random seed of the arrivals and the simulation
    :param scale: unused
    :param plot: unused
    :returns: the report
    """
    figures = _run_load(seed)
    with _without_retry_budget():
        without_budget = _run_load(seed)
    return report.Report(
        name='retries',
        seed=seed,
        figures=figures,
        baselines={'retry three times': without_budget},
        thresholds=[
            report.Threshold(
                figure='attempts_per_request', at_most=MAX_ATTEMPTS_PER_REQUEST
            ),
            report.Threshold(figure='unanswered', at_most=0),
        ],
    )
