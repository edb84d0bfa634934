"""Measure the service while the load peaks at three times the capacity.

The peak is that of all terminals reconnecting within a second. Refused
callers retry after the Retry-After time; two of ten client accounts are
large. The same load is also run with a target lost at the peak.
"""

import collections
import contextlib
import pathlib
import random

from bambooring.routing import state as routing_state
from measures import report
from measures import service

BEFORE_PEAK_S = 4.0
PEAK_S = 6.0
AFTER_PEAK_S = 14.0
OFF_PEAK_UTILISATION_RATIO = 0.6
PEAK_UTILISATION_RATIO = 3.0
TOKENS_RANGE = (20, 60)
LARGE_ACCOUNT_COUNT = 2
LARGE_ACCOUNT_REQUEST_RATIO = 0.8

MAX_FIRST_TOKEN_P95_MS = 1100.0
MIN_USEFUL_RATIO = 0.95
MIN_SERVED_RATIO = 0.95
MAX_RECOVERY_S = 5.0


def _generate_requests(
    seed: int, account_count: int, capacity_tokens_per_s: float
) -> list[service.CallerRequest]:
    """Draw requests; the same arguments give the same ones for each run.

    :param seed: random seed of the arrivals
    :param account_count: number of client accounts
    :param capacity_tokens_per_s: tokens per second of all targets
    :returns: the requests in the order of arrival
    """
    rng = random.Random(seed)
    mean_tokens = sum(TOKENS_RANGE) / 2
    requests = []
    arrival_offset_s = 0.0
    while arrival_offset_s < BEFORE_PEAK_S + PEAK_S + AFTER_PEAK_S:
        is_peak = BEFORE_PEAK_S <= arrival_offset_s < BEFORE_PEAK_S + PEAK_S
        utilisation = (
            PEAK_UTILISATION_RATIO if is_peak else OFF_PEAK_UTILISATION_RATIO
        )
        arrival_offset_s += rng.expovariate(
            utilisation * capacity_tokens_per_s / mean_tokens
        )
        is_large = rng.random() < LARGE_ACCOUNT_REQUEST_RATIO
        small_account = rng.randrange(LARGE_ACCOUNT_COUNT, account_count)
        account_index = (
            rng.randrange(LARGE_ACCOUNT_COUNT) if is_large else small_account
        )
        requests.append(
            service.CallerRequest(
                account_index=account_index,
                tokens=rng.randint(*TOKENS_RANGE),
                arrival_offset_s=arrival_offset_s,
            )
        )
    return requests


def _run_load(
    seed: int, lose_target: bool = False, **limits: float
) -> dict[str, float]:
    """Run the load once and return its figures.

    :param seed: random seed of the arrivals and the simulation
    :param lose_target: whether a target is killed at the peak
    :param limits: options of the service run
    :returns: the figures by name
    """
    run = service.ServiceRun(seed, **limits)
    run.start()
    requests = _generate_requests(
        seed, run.account_count, run.capacity_tokens_per_s
    )
    start = run.world.now
    for request in requests:
        run.world.schedule(
            request.arrival_offset_s,
            lambda request=request: run.send_request(request),
        )
    capacity_tokens_per_s = run.capacity_tokens_per_s
    if lose_target:
        name = run.cluster.agents[0]
        run.world.schedule(
            BEFORE_PEAK_S + 1.0, lambda: run.cluster.kill(name, 60.0)
        )
        capacity_tokens_per_s *= (len(run.cluster.agents) - 1) / len(
            run.cluster.agents
        )
    run.world.run_for(BEFORE_PEAK_S + 1.5)
    tokens_before = run.count_generated_tokens()
    run.world.run_for(PEAK_S - 1.5)
    useful_ratio = (
        (run.count_generated_tokens() - tokens_before)
        / (PEAK_S - 1.5)
        / capacity_tokens_per_s
    )
    recovery_s = _measure_recovery_s(run, start)
    figures = run.first_token_latencies.make_figures('first_token')
    figures['useful_share'] = round(useful_ratio, 4)
    figures['smallest_share'] = round(_get_min_served_ratio(run, start), 4)
    figures['recovered_s'] = round(recovery_s, 2)
    figures['refused'] = run.refusal_count
    figures['attempts_per_answer'] = round(
        run.attempt_count / max(1, sum(run.answers_by_account.values())), 4
    )
    figures['lost'] = run.lost_count
    return figures


def _measure_recovery_s(run: service.ServiceRun, start: float) -> float:
    """Run on until new requests succeed at the first sending.

    :param run: run at the end of the peak
    :param start: simulated time of the start of the load
    :returns: seconds from the end of the peak, ``AFTER_PEAK_S`` at most
    """
    peak_end = start + BEFORE_PEAK_S + PEAK_S
    while run.world.now < peak_end + AFTER_PEAK_S:
        run.world.run_for(0.5)
        recent = [
            request
            for request in run.requests
            if peak_end
            <= start + request.arrival_offset_s
            <= run.world.now - 1.0
            and start + request.arrival_offset_s > run.world.now - 2.0
        ]
        if recent and all(request.send_count == 1 for request in recent):
            return run.world.now - 2.0 - peak_end
    return AFTER_PEAK_S


def _get_min_served_ratio(run: service.ServiceRun, start: float) -> float:
    """Return the lowest ratio of peak requests served at the first sending.

    Only small accounts count. They request less than their fair share of the
    capacity, so all their requests at the peak should be served at the first
    sending.

    :param run: finished run
    :param start: simulated time of the start of the load
    :returns: the ratio of the small account with the lowest one
    """
    request_counts: collections.Counter[int] = collections.Counter()
    served_counts: collections.Counter[int] = collections.Counter()
    for request in run.requests:
        is_peak = (
            BEFORE_PEAK_S <= request.arrival_offset_s < BEFORE_PEAK_S + PEAK_S
        )
        if request.account_index >= LARGE_ACCOUNT_COUNT and is_peak:
            request_counts[request.account_index] += 1
            served_counts[request.account_index] += request.send_count == 1
    return min(
        served_counts[account_index] / request_counts[account_index]
        for account_index in request_counts
    )


@contextlib.contextmanager
def _patch_router(name: str, method):
    """Replace a method of the router within a context."""
    original = getattr(routing_state.Router, name)
    setattr(routing_state.Router, name, method)
    try:
        yield
    finally:
        setattr(routing_state.Router, name, original)


def _choose_round_robin(self, query, now):
    """Choose the usable targets in turn, whatever their load."""
    usable = [
        target
        for target in self.get_targets(query.service)
        if target.is_usable and target.name not in query.excluded_targets
    ]
    if not usable:
        return None
    self._choice_count = getattr(self, '_choice_count', 0) + 1
    return usable[self._choice_count % len(usable)]


def _weigh_by_own_attempts(self, target, now):
    """Weigh a target only by the attempts of this entry instance."""
    return target.own_attempts / target.slots


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the service before, at and after the peak.

    :param seed: random seed of the arrivals and the simulation
    :param scale: factor of the number of targets and so of the load
    :param plot: unused
    :returns: the report
    """
    limits = {'targets_per_domain': max(1, int(2 * scale))}
    figures = _run_load(seed, **limits)
    with_lost_target = _run_load(seed, lose_target=True, **limits)
    for name, value in with_lost_target.items():
        figures[f'target_lost_{name}'] = value
    with _patch_router('choose', _choose_round_robin):
        round_robin = _run_load(seed, **limits)
    with _patch_router('weigh', _weigh_by_own_attempts):
        fewest_attempts = _run_load(seed, **limits)
    unlimited = _run_load(
        seed, start_within_s=120.0, queue_limit=10**6, **limits
    )
    thresholds = []
    for prefix in ('', 'target_lost_'):
        thresholds += [
            report.Threshold(
                figure=f'{prefix}first_token_p95_ms',
                at_most=MAX_FIRST_TOKEN_P95_MS,
            ),
            report.Threshold(
                figure=f'{prefix}useful_share', at_least=MIN_USEFUL_RATIO
            ),
            report.Threshold(
                figure=f'{prefix}smallest_share', at_least=MIN_SERVED_RATIO
            ),
            report.Threshold(
                figure=f'{prefix}recovered_s', at_most=MAX_RECOVERY_S
            ),
        ]
    return report.Report(
        name='crest',
        seed=seed,
        figures=figures,
        baselines={
            'round robin': round_robin,
            'fewest in flight': fewest_attempts,
            'no limit': unlimited,
        },
        thresholds=thresholds,
    )
