"""Measure the latency of short requests next to a few 50 times as long."""

import pathlib
import random

from bambooring.callers import state as callers_state
from bambooring_core.dispatch import messages as wire
from measures import report
from measures import service

DURATION_S = 40.0
UTILISATION_RATIO = 0.9
SHORT_TOKENS_RANGE = (10, 30)
LONG_TO_SHORT_RATIO = 50
LONG_REQUEST_RATIO = 0.03

MAX_SHORT_P95_RATIO = 1.2
MAX_LONG_SLOWDOWN_P95_RATIO = 2.0


def _generate_requests(
    seed: int, capacity_tokens_per_s: float, long_ratio: float
) -> list[service.CallerRequest]:
    """Draw requests that cause the same utilisation at any ratio of long ones.

    :param seed: random seed of the arrivals
    :param capacity_tokens_per_s: tokens per second of all targets
    :param long_ratio: ratio of long requests to all requests
    :returns: the requests in the order of arrival
    """
    rng = random.Random(seed)
    mean_tokens = sum(SHORT_TOKENS_RANGE) / 2
    mean_tokens *= 1 + long_ratio * (LONG_TO_SHORT_RATIO - 1)
    requests = []
    arrival_offset_s = 0.0
    while arrival_offset_s < DURATION_S:
        arrival_offset_s += rng.expovariate(
            UTILISATION_RATIO * capacity_tokens_per_s / mean_tokens
        )
        tokens = rng.randint(*SHORT_TOKENS_RANGE)
        if rng.random() < long_ratio:
            tokens *= LONG_TO_SHORT_RATIO
        requests.append(
            service.CallerRequest(
                account_index=rng.randrange(10),
                tokens=tokens,
                arrival_offset_s=arrival_offset_s,
            )
        )
    return requests


def _run_load(seed: int, long_ratio: float) -> dict[str, float]:
    """Send the requests and return figures of short and of long ones."""
    run = service.ServiceRun(seed, start_within_s=60.0)
    run.start()
    start = run.world.now
    for request in _generate_requests(
        seed, run.capacity_tokens_per_s, long_ratio
    ):
        run.world.schedule(
            request.arrival_offset_s,
            lambda request=request: run.send_request(request),
        )
    run.world.run_for(DURATION_S + 120.0)
    short, long = report.Latencies(), report.Latencies()
    slowdowns = []
    for request in run.requests:
        latency_s = request.answered_s - (start + request.arrival_offset_s)
        if request.tokens > SHORT_TOKENS_RANGE[1]:
            long.add(latency_s)
            # Slowdown is relative to a full batch without queueing.
            full_batch_s = (
                service.PREFILL_S + request.tokens * service.FULL_BATCH_STEP_S
            )
            slowdowns.append(latency_s / full_batch_s)
        else:
            short.add(latency_s / request.tokens)
    figures = short.make_figures('short_per_token')
    if slowdowns:
        slowdowns.sort()
        slowdown_p95 = slowdowns[int(len(slowdowns) * 0.95)]
        figures['long_slowdown_p95'] = round(slowdown_p95, 3)
    figures['unanswered'] = run.count_unanswered()
    return figures


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure head-of-line blocking by long requests.

    :param seed: random seed of the arrivals and the simulation
    :param scale: unused
    :param plot: unused
    :returns: the report
    """
    without_long = _run_load(seed, 0.0)
    figures = _run_load(seed, LONG_REQUEST_RATIO)
    original_estimate_chat = callers_state.estimate_chat
    callers_state.estimate_chat = lambda body, chat_service: (
        _put_in_short_lane(original_estimate_chat(body, chat_service))
    )
    try:
        single_lane = _run_load(seed, LONG_REQUEST_RATIO)
    finally:
        callers_state.estimate_chat = original_estimate_chat
    figures['short_ratio_p95'] = round(
        figures['short_per_token_p95_ms']
        / without_long['short_per_token_p95_ms'],
        3,
    )
    single_lane['short_ratio_p95'] = round(
        single_lane['short_per_token_p95_ms']
        / without_long['short_per_token_p95_ms'],
        3,
    )
    return report.Report(
        name='blocking',
        seed=seed,
        figures=figures,
        baselines={'no long ones': without_long, 'one queue': single_lane},
        thresholds=[
            report.Threshold(
                figure='short_ratio_p95', at_most=MAX_SHORT_P95_RATIO
            ),
            report.Threshold(
                figure='long_slowdown_p95', at_most=MAX_LONG_SLOWDOWN_P95_RATIO
            ),
            report.Threshold(figure='unanswered', at_most=0),
        ],
    )


def _put_in_short_lane(
    estimate: callers_state.Estimate,
) -> callers_state.Estimate:
    """Assign a request to the lane and cost that all requests share."""
    estimate.lane = wire.Lane.SHORT
    estimate.cost = 1.0
    return estimate
