"""Measure skew and moves as expert popularity drifts over a day."""

import collections.abc
import dataclasses
import pathlib
import time

import numpy

from bambooring.experts import planner
from measures import report

REPORTS = 288
REPORT_S = 300.0
LAYERS = 4
EXPERTS = 64
RANKS = 16
SLOTS = 5
MOVES_PER_S = 2.0
SLOW_RANK = 3
SLOW_SPEED = 0.85
DRIFT = 0.06
SMOOTHING = 0.5
LARGE_RANKS = 256
LARGE_EXPERTS = 128
LARGE_SLOTS = 1

MAX_OVER_MEAN = 1.10
MOVES_SHARE = 0.25
PLAN_S = 1.0

Array = numpy.ndarray
Planner = collections.abc.Callable[[Array, Array, Array], Array]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Outcome:
    """Hold what a way of planning came to."""

    ratio: float
    moves: int
    longest_s: float


def _make_day(
    rng: numpy.random.Generator, experts: int, reports: int
) -> collections.abc.Iterator[Array]:
    """Yield the loads of one layer: two shifts, drift and noise."""
    morning = rng.normal(0, 0.8, experts)
    evening = rng.normal(0, 0.8, experts)
    drift = numpy.zeros(experts)
    for index in range(reports):
        hour = index / reports * 24
        share = 1 / (1 + numpy.exp(-(hour - 14)))
        share *= 1 / (1 + numpy.exp(hour - 22))
        drift = drift * 0.98 + rng.normal(0, DRIFT, experts)
        noise = rng.normal(0, 0.03, experts)
        mixed = morning * (1 - share) + evening * share + drift + noise
        loads = numpy.exp(mixed)
        yield loads / loads.sum()


def _never(slots: Array, loads: Array, speeds: Array) -> Array:
    return slots


def _anew(slots: Array, loads: Array, speeds: Array) -> Array:
    return planner.plan_from_scratch(loads, speeds, slots.shape[1])


def _greedy(slots: Array, loads: Array, speeds: Array) -> Array:
    """Improve whatever the moves cost."""
    return planner.plan_layer(
        slots, loads, speeds, max_moves=10**9, move_cost=0.0
    ).expert_map


def _planned(slots: Array, loads: Array, speeds: Array) -> Array:
    budget = int(MOVES_PER_S * REPORT_S / LAYERS)
    return planner.plan_layer(
        slots, loads, speeds, max_moves=budget
    ).expert_map


def _run(
    plan: Planner,
    seed: int,
    ranks: int,
    experts: int,
    slots_per_rank: int,
    reports: int,
) -> _Outcome:
    """Run a day: plan by what was reported, suffer what comes next."""
    speeds = numpy.ones(ranks)
    speeds[SLOW_RANK] = SLOW_SPEED
    ratios = []
    moves = 0
    longest_s = 0.0
    for layer in range(LAYERS):
        rng = numpy.random.default_rng([seed, layer])
        slots = planner.place_round_robin(experts, ranks, slots_per_rank)
        seen = None
        for loads in _make_day(rng, experts, reports):
            times = planner.compute_rank_times(slots, loads, speeds)
            ratios.append(times.max() / times.mean())
            seen = (
                loads
                if seen is None
                else seen * SMOOTHING + loads * (1 - SMOOTHING)
            )
            start = time.perf_counter()
            planned = plan(slots, seen, speeds)
            longest_s = max(longest_s, time.perf_counter() - start)
            moves += planner.count_moves(slots, planned)
            slots = planned
    return _Outcome(
        ratio=float(numpy.mean(ratios)), moves=moves, longest_s=longest_s
    )


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure a day at today's size and planning at the letter's size.

    :param seed: seeds the day
    :param scale: multiplies the ranks of the day
    :param plot: unused
    :returns: the report
    """
    ranks = int(RANKS * scale)
    ways = {
        'bambooring': _planned,
        'never': _never,
        'every report': _anew,
        'greedy': _greedy,
    }
    found = {}
    for name, way in ways.items():
        outcome = _run(way, seed, ranks, EXPERTS, SLOTS, REPORTS)
        found[name] = {
            'max_over_mean': round(outcome.ratio, 4),
            'moves': outcome.moves,
            'planning_s': round(outcome.longest_s, 4),
        }
    figures = found.pop('bambooring')
    every = found['every report']['moves']
    figures['moves_share'] = round(figures['moves'] / max(1, every), 4)
    figures['moves_per_s'] = round(figures['moves'] / (REPORTS * REPORT_S), 5)
    large = _run(_planned, seed, LARGE_RANKS, LARGE_EXPERTS, LARGE_SLOTS, 12)
    figures['large_max_over_mean'] = round(large.ratio, 4)
    figures['large_planning_s'] = round(large.longest_s, 4)
    return report.Report(
        name='skew',
        seed=seed,
        figures=figures,
        baselines=found,
        targets=[
            report.Target(figure='max_over_mean', at_most=MAX_OVER_MEAN),
            report.Target(figure='moves_share', at_most=MOVES_SHARE),
            report.Target(figure='moves_per_s', at_most=MOVES_PER_S),
            report.Target(figure='large_planning_s', at_most=PLAN_S),
        ],
    )
