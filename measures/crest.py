"""Measure service while demand jumps to three times capacity.

Every terminal reconnects within a second, and refused callers come back as
Retry-After tells them; two of ten accounts are large. Then the same with a
target lost at the crest.
"""

import collections
import contextlib
import pathlib
import random

from bambooring.routing import state as routing_state
from measures import report
from measures import service

BEFORE_S = 4.0
CREST_S = 6.0
AFTER_S = 14.0
CALM_SHARE = 0.6
CREST_SHARE = 3.0
TOKENS = (20, 60)
LARGE_ACCOUNTS = 2
LARGE_SHARE = 0.8

FIRST_P95_MS = 1100.0
USEFUL_SHARE = 0.95
FAIR_SHARE = 0.95
RECOVERED_S = 5.0


def _make_demands(
    seed: int, accounts: int, capacity: float
) -> list[service.Demand]:
    """Draw the same demands for every way."""
    rng = random.Random(seed)
    mean = sum(TOKENS) / 2
    demands = []
    at = 0.0
    while at < BEFORE_S + CREST_S + AFTER_S:
        is_crest = BEFORE_S <= at < BEFORE_S + CREST_S
        share = CREST_SHARE if is_crest else CALM_SHARE
        at += rng.expovariate(share * capacity / mean)
        is_large = rng.random() < LARGE_SHARE
        small = rng.randrange(LARGE_ACCOUNTS, accounts)
        account = rng.randrange(LARGE_ACCOUNTS) if is_large else small
        demands.append(
            service.Demand(
                account=account, tokens=rng.randint(*TOKENS), wanted_at=at
            )
        )
    return demands


def _run(
    seed: int, lose_target: bool = False, **limits: float
) -> dict[str, float]:
    """Run the crest once and return its figures."""
    run = service.ServiceRun(seed, **limits)
    run.start()
    demands = _make_demands(seed, run.accounts, run.capacity)
    start = run.world.now
    for demand in demands:
        run.world.schedule(
            demand.wanted_at, lambda demand=demand: run.send(demand)
        )
    capacity = run.capacity
    if lose_target:
        name = run.cluster.agents[0]
        run.world.schedule(
            BEFORE_S + 1.0, lambda: run.cluster.kill(name, 60.0)
        )
        capacity *= (len(run.cluster.agents) - 1) / len(run.cluster.agents)
    run.world.run_for(BEFORE_S + 1.5)
    made = run.count_tokens()
    run.world.run_for(CREST_S - 1.5)
    useful = (run.count_tokens() - made) / (CREST_S - 1.5) / capacity
    recovered = _wait_recovered(run, start)
    figures = run.first.make_figures('first_token')
    figures['useful_share'] = round(useful, 4)
    figures['smallest_share'] = round(_find_smallest_share(run, start), 4)
    figures['recovered_s'] = round(recovered, 2)
    figures['refused'] = run.refused
    figures['attempts_per_answer'] = round(
        run.attempts / max(1, sum(run.done.values())), 4
    )
    figures['lost'] = run.lost
    return figures


def _wait_recovered(run: service.ServiceRun, start: float) -> float:
    """Return how long after the crest new demands are served at once."""
    end = start + BEFORE_S + CREST_S
    while run.world.now < end + AFTER_S:
        run.world.run_for(0.5)
        fresh = [
            demand
            for demand in run.demands
            if end <= start + demand.wanted_at <= run.world.now - 1.0
            and start + demand.wanted_at > run.world.now - 2.0
        ]
        if fresh and all(demand.sent == 1 for demand in fresh):
            return run.world.now - 2.0 - end
    return AFTER_S


def _find_smallest_share(run: service.ServiceRun, start: float) -> float:
    """Return the least share of a small account's crest that was served.

    Small accounts ask less than their fair share of the capacity, so all
    they ask at the crest is due to them at the first sending.
    """
    asked: collections.Counter[int] = collections.Counter()
    served: collections.Counter[int] = collections.Counter()
    for demand in run.demands:
        is_crest = BEFORE_S <= demand.wanted_at < BEFORE_S + CREST_S
        if demand.account >= LARGE_ACCOUNTS and is_crest:
            asked[demand.account] += 1
            served[demand.account] += demand.sent == 1
    return min(served[account] / asked[account] for account in asked)


@contextlib.contextmanager
def _replace(name: str, value):
    """Put another way of choosing in place for one run."""
    kept = getattr(routing_state.Router, name)
    setattr(routing_state.Router, name, value)
    try:
        yield
    finally:
        setattr(routing_state.Router, name, kept)


def _choose_in_turn(self, query, now):
    """Choose by round robin."""
    usable = [
        target
        for target in self.get_targets(query.service)
        if target.is_usable and target.name not in query.excluded_targets
    ]
    if not usable:
        return None
    self._turn = getattr(self, '_turn', 0) + 1
    return usable[self._turn % len(usable)]


def _weigh_own(self, target, now):
    """Weigh by what this entry has in flight."""
    return target.own_attempts / target.slots


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the crest.

    :param seed: seeds arrivals and chances
    :param scale: multiplies the targets and with them the demand
    :param plot: unused
    :returns: the report
    """
    limits = {'targets_per_domain': max(1, int(2 * scale))}
    figures = _run(seed, **limits)
    lost = _run(seed, lose_target=True, **limits)
    for name, value in lost.items():
        figures[f'target_lost_{name}'] = value
    with _replace('choose', _choose_in_turn):
        in_turn = _run(seed, **limits)
    with _replace('weigh', _weigh_own):
        own = _run(seed, **limits)
    unlimited = _run(seed, start_within_s=120.0, queue_limit=10**6, **limits)
    targets = []
    for prefix in ('', 'target_lost_'):
        targets += [
            report.Threshold(
                figure=f'{prefix}first_token_p95_ms', at_most=FIRST_P95_MS
            ),
            report.Threshold(
                figure=f'{prefix}useful_share', at_least=USEFUL_SHARE
            ),
            report.Threshold(
                figure=f'{prefix}smallest_share', at_least=FAIR_SHARE
            ),
            report.Threshold(
                figure=f'{prefix}recovered_s', at_most=RECOVERED_S
            ),
        ]
    return report.Report(
        name='crest',
        seed=seed,
        figures=figures,
        baselines={
            'round robin': in_turn,
            'fewest in flight': own,
            'no limit': unlimited,
        },
        thresholds=targets,
    )
