"""Measure the balance of ranks and the moves as expert loads drift."""

import collections.abc
import dataclasses
import pathlib
import time

import numpy

from bambooring.experts import planner
from measures import report

REPORT_COUNT = 288
REPORT_INTERVAL_S = 300.0
LAYER_COUNT = 4
EXPERT_COUNT = 64
RANK_COUNT = 16
SLOTS_PER_RANK = 5
MAX_MOVES_PER_S = 2.0
SLOW_RANK_INDEX = 3
SLOW_RANK_SPEED_RATIO = 0.85
DRIFT_STD = 0.06
PREVIOUS_LOADS_WEIGHT = 0.5
LARGE_RANK_COUNT = 256
LARGE_EXPERT_COUNT = 128
LARGE_SLOTS_PER_RANK = 1

MAX_TO_MEAN_LIMIT_RATIO = 1.10
MAX_MOVES_RATIO = 0.25
MAX_PLANNING_S = 1.0

Array = numpy.ndarray
PlanFunction = collections.abc.Callable[[Array, Array, Array], Array]


@dataclasses.dataclass(slots=True, kw_only=True)
class _DayResult:
    """Result of planning through a simulated day.

    ``mean_max_to_mean`` is the mean over all reports of the ratio of the
    slowest rank's time to the mean time of the ranks.
    """

    mean_max_to_mean: float
    moves: int
    longest_planning_s: float


def _generate_day_loads(
    rng: numpy.random.Generator, expert_count: int, report_count: int
) -> collections.abc.Iterator[Array]:
    """Yield the expert loads of a layer at each report of a day.

    Each of two shifts has its own loads; the second one lasts from about
    14:00 to 22:00. Drift and noise are added. The loads sum to 1.

    :param rng: random source
    :param expert_count: number of experts of the layer
    :param report_count: number of reports in the day
    """
    morning = rng.normal(0, 0.8, expert_count)
    evening = rng.normal(0, 0.8, expert_count)
    drift = numpy.zeros(expert_count)
    for index in range(report_count):
        hour = index / report_count * 24
        evening_ratio = 1 / (1 + numpy.exp(-(hour - 14)))
        evening_ratio *= 1 / (1 + numpy.exp(hour - 22))
        drift = drift * 0.98 + rng.normal(0, DRIFT_STD, expert_count)
        noise = rng.normal(0, 0.03, expert_count)
        log_loads = (
            morning * (1 - evening_ratio)
            + evening * evening_ratio
            + drift
            + noise
        )
        loads = numpy.exp(log_loads)
        yield loads / loads.sum()


def _keep_map(expert_map: Array, loads: Array, speeds: Array) -> Array:
    return expert_map


def _plan_from_scratch(
    expert_map: Array, loads: Array, speeds: Array
) -> Array:
    return planner.plan_from_scratch(loads, speeds, expert_map.shape[1])


def _plan_ignoring_move_cost(
    expert_map: Array, loads: Array, speeds: Array
) -> Array:
    """Improve the map without regard to the number and cost of moves."""
    return planner.plan_layer(
        expert_map, loads, speeds, max_moves=10**9, move_cost=0.0
    ).expert_map


def _plan_with_move_limit(
    expert_map: Array, loads: Array, speeds: Array
) -> Array:
    max_moves = int(MAX_MOVES_PER_S * REPORT_INTERVAL_S / LAYER_COUNT)
    return planner.plan_layer(
        expert_map, loads, speeds, max_moves=max_moves
    ).expert_map


def _run_day(
    plan: PlanFunction,
    seed: int,
    rank_count: int,
    expert_count: int,
    slots_per_rank: int,
    report_count: int,
) -> _DayResult:
    """Plan after each report of a day and apply the plan to the next loads.

    :param plan: function that returns the next map
    :param seed: random seed of the loads
    :param rank_count: number of ranks, one of which is slow
    :param expert_count: number of experts of each layer
    :param slots_per_rank: number of experts that a rank holds in a layer
    :param report_count: number of reports in the day
    :returns: the balance, the moves and the longest time to plan a layer
    """
    speeds = numpy.ones(rank_count)
    speeds[SLOW_RANK_INDEX] = SLOW_RANK_SPEED_RATIO
    max_to_mean_ratios = []
    moves = 0
    longest_planning_s = 0.0
    for layer in range(LAYER_COUNT):
        rng = numpy.random.default_rng([seed, layer])
        expert_map = planner.place_round_robin(
            expert_count, rank_count, slots_per_rank
        )
        smoothed_loads = None
        for loads in _generate_day_loads(rng, expert_count, report_count):
            times = planner.compute_rank_times(expert_map, loads, speeds)
            max_to_mean_ratios.append(times.max() / times.mean())
            smoothed_loads = (
                loads
                if smoothed_loads is None
                else smoothed_loads * PREVIOUS_LOADS_WEIGHT
                + loads * (1 - PREVIOUS_LOADS_WEIGHT)
            )
            start = time.perf_counter()
            planned_map = plan(expert_map, smoothed_loads, speeds)
            longest_planning_s = max(
                longest_planning_s, time.perf_counter() - start
            )
            moves += planner.count_moves(expert_map, planned_map)
            expert_map = planned_map
    return _DayResult(
        mean_max_to_mean=float(numpy.mean(max_to_mean_ratios)),
        moves=moves,
        longest_planning_s=longest_planning_s,
    )


def measure(
    *, seed: int, scale: float, plot: pathlib.Path | None
) -> report.Report:
    """Measure a day of a small group and the planning of a large one.

    :param seed: random seed of the loads
    :param scale: factor of the number of ranks of the small group
    :param plot: unused
    :returns: the report
    """
    rank_count = int(RANK_COUNT * scale)
    plan_functions = {
        'bambooring': _plan_with_move_limit,
        'never': _keep_map,
        'every report': _plan_from_scratch,
        'greedy': _plan_ignoring_move_cost,
    }
    figures_by_column = {}
    for column, plan in plan_functions.items():
        result = _run_day(
            plan, seed, rank_count, EXPERT_COUNT, SLOTS_PER_RANK, REPORT_COUNT
        )
        figures_by_column[column] = {
            'max_over_mean': round(result.mean_max_to_mean, 4),
            'moves': result.moves,
            'planning_s': round(result.longest_planning_s, 4),
        }
    figures = figures_by_column.pop('bambooring')
    every_report_moves = figures_by_column['every report']['moves']
    figures['moves_share'] = round(
        figures['moves'] / max(1, every_report_moves), 4
    )
    figures['moves_per_s'] = round(
        figures['moves'] / (REPORT_COUNT * REPORT_INTERVAL_S), 5
    )
    large = _run_day(
        _plan_with_move_limit,
        seed,
        LARGE_RANK_COUNT,
        LARGE_EXPERT_COUNT,
        LARGE_SLOTS_PER_RANK,
        12,
    )
    figures['large_max_over_mean'] = round(large.mean_max_to_mean, 4)
    figures['large_planning_s'] = round(large.longest_planning_s, 4)
    return report.Report(
        name='skew',
        seed=seed,
        figures=figures,
        baselines=figures_by_column,
        thresholds=[
            report.Threshold(
                figure='max_over_mean', at_most=MAX_TO_MEAN_LIMIT_RATIO
            ),
            report.Threshold(figure='moves_share', at_most=MAX_MOVES_RATIO),
            report.Threshold(figure='moves_per_s', at_most=MAX_MOVES_PER_S),
            report.Threshold(
                figure='large_planning_s', at_most=MAX_PLANNING_S
            ),
        ],
    )
