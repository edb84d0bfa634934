"""Measure what choosing a target costs with shared health and domain shares.

One entry instance chooses, with a report of every other one in force.
"""

import pathlib
import random
import time

from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.loads import const as loads_const
from bambooring.targets import messages
from measures import report

INSTANCE_COUNT = 72
TARGET_COUNT = 64
DOMAINS = 'abc'
REQUESTS_PER_S = 27.5
MAX_ADDED_US = 50.0
# The fastest round counts: other processes on the machine only add time.
ROUNDS = 200
# By column: the settings of the balancer.
VARIANTS = {
    'bambooring': {'shares_health': True, 'prefers_own_domain': True},
    'health only': {'shares_health': True},
    'neither': {},
}


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the time of a choice, for ranks of a group and plain targets.

    :param seed: random seed of the load
    :param scale: factor of the number of instances and targets
    :param plot: unused
    :returns: the report
    """
    columns = {
        column: {
            f'{kind}_choice_us': _measure_choice(
                random.Random(seed), scale, group, settings
            )
            for kind, group in (('rank', 'g'), ('plain', ''))
        }
        for column, settings in VARIANTS.items()
    }
    figures = columns.pop('bambooring')
    for kind in ('rank', 'plain'):
        figures[f'{kind}_added_us'] = (
            figures[f'{kind}_choice_us']
            - columns['neither'][f'{kind}_choice_us']
        )
    return report.Report(
        name='spill',
        seed=seed,
        figures=figures,
        baselines=columns,
        thresholds=[
            report.Threshold(figure=f'{kind}_added_us', at_most=MAX_ADDED_US)
            for kind in ('rank', 'plain')
        ],
    )


def _measure_choice(
    rng: random.Random, scale: float, group: str, settings: dict[str, bool]
) -> float:
    """Return the processor time of a choice in microseconds."""
    return min(
        _time_choices(_make_balancer(rng, scale, group, settings))
        for _ in range(ROUNDS)
    )


def _make_balancer(
    rng: random.Random, scale: float, group: str, settings: dict[str, bool]
) -> state.Balancer:
    balancer = state.Balancer('a', rng, own_address='e0', **settings)
    all_targets = _make_targets(round(TARGET_COUNT * scale), group)
    balancer.set_targets(all_targets)
    names = [f'e{number}' for number in range(round(INSTANCE_COUNT * scale))]
    balancer.set_instances({name: rng.choice(DOMAINS) for name in names[1:]})
    for name in names[1:]:
        balancer.loads.add_report(_make_report(name, all_targets, rng), 0.0)
    return balancer


def _time_choices(balancer: state.Balancer) -> float:
    """Return the mean processor time of a choice in microseconds."""
    # Afterwards the reports are too old.
    count = int(loads_const.PEER_LOAD_TTL_S * REQUESTS_PER_S)
    began_s = time.process_time()
    for number in range(count):
        balancer.choose(
            balancing.TargetQuery(service='llm'), number / REQUESTS_PER_S
        )
    return (time.process_time() - began_s) / count * 1e6


def _make_targets(count: int, group: str) -> list[messages.Target]:
    return [
        messages.Target(
            id=f't{number}',
            service='llm',
            address='10.0.0.1:80',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=5,
            state=messages.State.READY,
            born_ms=1,
            sequence=1,
            group=group,
        )
        for number in range(count)
    ]


def _make_report(
    sender: str, all_targets: list[messages.Target], rng: random.Random
) -> messages.Load:
    return messages.Load(
        sender=sender,
        incarnation=1,
        sequence=1,
        targets=[
            messages.TargetLoad(target=target.id, running=1, tokens=100)
            for target in rng.sample(all_targets, 3)
        ],
        services=[messages.ServiceLoad(service='llm', waiting=1)],
        suspicions=[
            messages.Suspicion(target=target.id, born_ms=1, failures=1)
            for target in all_targets[:2]
        ],
    )
