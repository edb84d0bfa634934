"""Measure short requests beside a few that run fifty times longer."""

import pathlib
import random

from bambooring.callers import state as callers_state
from bambooring_core.dispatch import messages as wire
from measures import report
from measures import service

SPAN_S = 40.0
UTILISATION = 0.9
SHORT_TOKENS = (10, 30)
LONG_FACTOR = 50
LONG_SHARE = 0.03

SHORT_RATIO = 1.2
LONG_SLOWDOWN = 2.0


def _make_demands(
    seed: int, capacity: float, long_share: float
) -> list[service.Demand]:
    """Draw demands of the same utilisation, with or without long ones."""
    rng = random.Random(seed)
    mean = sum(SHORT_TOKENS) / 2
    mean *= 1 + long_share * (LONG_FACTOR - 1)
    demands = []
    at = 0.0
    while at < SPAN_S:
        at += rng.expovariate(UTILISATION * capacity / mean)
        tokens = rng.randint(*SHORT_TOKENS)
        if rng.random() < long_share:
            tokens *= LONG_FACTOR
        demands.append(
            service.Demand(
                account=rng.randrange(10), tokens=tokens, wanted_at=at
            )
        )
    return demands


def _run(seed: int, long_share: float) -> dict[str, float]:
    """Run the demands and time short and long ones apart."""
    run = service.ServiceRun(seed, start_within_s=60.0)
    run.start()
    start = run.world.now
    for demand in _make_demands(seed, run.capacity, long_share):
        run.world.schedule(
            demand.wanted_at, lambda demand=demand: run.send(demand)
        )
    run.world.run_for(SPAN_S + 120.0)
    short, long = report.Latencies(), report.Latencies()
    slowdowns = []
    for demand in run.demands:
        took_s = demand.answered_at - (start + demand.wanted_at)
        if demand.tokens > SHORT_TOKENS[1]:
            long.add(took_s)
            alone_s = service.PREFILL_S + demand.tokens * service.FULL_STEP_S
            slowdowns.append(took_s / alone_s)
        else:
            short.add(took_s / demand.tokens)
    figures = short.make_figures('short_per_token')
    if slowdowns:
        slowdowns.sort()
        middle = slowdowns[int(len(slowdowns) * 0.95)]
        figures['long_slowdown_p95'] = round(middle, 3)
    figures['unanswered'] = run.count_waiting()
    return figures


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure head-of-line blocking.

    :param seed: seeds arrivals and chances
    :param scale: unused
    :param plot: unused
    :returns: the report
    """
    alone = _run(seed, 0.0)
    figures = _run(seed, LONG_SHARE)
    kept = callers_state.estimate_chat
    callers_state.estimate_chat = lambda body, found: _without_lane(
        kept(body, found)
    )
    try:
        one_queue = _run(seed, LONG_SHARE)
    finally:
        callers_state.estimate_chat = kept
    figures['short_ratio_p95'] = round(
        figures['short_per_token_p95_ms'] / alone['short_per_token_p95_ms'],
        3,
    )
    one_queue['short_ratio_p95'] = round(
        one_queue['short_per_token_p95_ms'] / alone['short_per_token_p95_ms'],
        3,
    )
    return report.Report(
        name='blocking',
        seed=seed,
        figures=figures,
        baselines={'no long ones': alone, 'one queue': one_queue},
        thresholds=[
            report.Threshold(figure='short_ratio_p95', at_most=SHORT_RATIO),
            report.Threshold(
                figure='long_slowdown_p95', at_most=LONG_SLOWDOWN
            ),
            report.Threshold(figure='unanswered', at_most=0),
        ],
    )


def _without_lane(
    estimate: callers_state.Estimate,
) -> callers_state.Estimate:
    """Put a request into the lane of all others."""
    estimate.lane = wire.Lane.SHORT
    estimate.cost = 1.0
    return estimate
