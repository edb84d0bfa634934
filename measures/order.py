"""Measure what the order of service costs per decision."""

import collections.abc
import pathlib
import random
import time
import types
import typing

from bambooring.balancing import messages as balancing_messages
from bambooring.balancing import state as balancing
from bambooring.forwarding import arrivals
from bambooring.forwarding import decisions
from bambooring.forwarding import ordering
from bambooring.forwarding import service_order
from bambooring.targets import messages as targets
from measures import report

INSTANCE_COUNT = 72
TARGET_COUNT = 64
LARGE_TARGET_COUNT = 660
SLOTS = 5
REPEATS = 400
# Longer than the count of free slots is kept, so that each decision includes
# a scan of the targets. All are made before the load reports expire.
STEP_S = 0.003
QUEUE_LENGTH = 8
MAX_DECISION_US = 50.0
# With ten times the targets a decision may take ten times as long.
MAX_GROWTH_RATIO = LARGE_TARGET_COUNT / TARGET_COUNT


def _make_balancer(target_count: int) -> balancing.Balancer:
    """Return a balancer whose targets are full, with load elsewhere."""
    balancer = balancing.Balancer('a', random.Random(1))
    balancer.set_targets(
        targets.Target(
            id=str(number),
            service='llm',
            address='127.0.0.1:1',
            failure_domain='a',
            slots=SLOTS,
            state=targets.State.READY,
            born_ms=1,
            sequence=1,
        )
        for number in range(target_count)
    )
    for sender in range(INSTANCE_COUNT - 1):
        balancer.loads.add_report(
            targets.Load(
                sender=str(sender),
                incarnation=1,
                sequence=1,
                targets=[
                    targets.TargetLoad(
                        target=str(number), running=SLOTS, tokens=9
                    )
                    for number in range(
                        sender, target_count, INSTANCE_COUNT - 1
                    )
                ],
                services=[
                    targets.ServiceLoad(
                        service='llm', waiting=2, waiting_by_urgency=[1, 1]
                    )
                ],
            ),
            0.0,
        )
    return balancer


def _make_request(number: int) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        service='llm',
        request=types.SimpleNamespace(attempt_id='1'),
        progress=decisions.Progress(),
        first_received_s=0.0,
        objective_s=0.4,
        admitted_s=0.0,
        deadline_s=8.0,
        get_time_left_s=lambda: 8.0,
        standing=ordering.Standing(
            urgency=number % 3,
            is_returning=False,
            first_received_s=0.0,
            objective_s=0.4,
            deadline_s=8.0,
            route_key='route r',
            account_key='account a',
            size_key='size large r',
            subject_key='subject 1',
        ),
    )


def _time_us(act: collections.abc.Callable[[float], object]) -> float:
    """Return the median time of one act, in microseconds."""
    times_s = []
    for number in range(REPEATS):
        started_s = time.perf_counter()
        act(number * STEP_S)
        times_s.append(time.perf_counter() - started_s)
    return round(sorted(times_s)[REPEATS // 2] * 1e6, 2)


def _measure(target_count: int) -> dict[str, float]:
    balancer = _make_balancer(target_count)
    order = service_order.ServiceOrder(
        balancer, lambda: None, random.Random(1)
    )
    tracker = arrivals.ArrivalTracker()
    rng = random.Random(1)
    queue: typing.Any = [_make_request(item) for item in range(QUEUE_LENGTH)]
    request: typing.Any = _make_request(2)

    def decide(now_s: float) -> None:
        order.compute_key(request.standing, request, now_s)
        order.may_take_slot(request, queue, now_s)
        order.decide(
            request,
            request.standing,
            ahead=4,
            waiting=QUEUE_LENGTH,
            now_s=now_s,
        )

    return {
        'classify_us': _time_us(
            lambda now_s: tracker.classify('r', rng.randrange(9999), 8.0)
        ),
        'decide_us': _time_us(decide),
        'choose_us': _time_us(
            lambda now_s: balancer.choose(
                balancing_messages.TargetQuery(service='llm'), now_s
            )
        ),
    }


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure the decisions about one request at a full service.

    ``decide_us`` is for the sort key, the free slots and the admission
    together; ``choose_us`` is the choice of a target, which isn't part of it.

    :param seed: unused
    :param scale: unused
    :param plot: unused
    :returns: the report
    """
    figures = _measure(TARGET_COUNT)
    large = _measure(LARGE_TARGET_COUNT)
    figures['growth_ratio'] = round(
        large['decide_us'] / figures['decide_us'], 2
    )
    figures['own_us'] = round(figures['classify_us'] + figures['decide_us'], 2)
    return report.Report(
        name='order',
        seed=seed,
        figures=figures,
        baselines={f'{LARGE_TARGET_COUNT} targets': large},
        thresholds=[
            report.Threshold(figure='own_us', at_most=MAX_DECISION_US),
            report.Threshold(figure='growth_ratio', at_most=MAX_GROWTH_RATIO),
        ],
    )
