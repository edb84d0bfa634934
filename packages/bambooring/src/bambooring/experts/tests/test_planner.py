"""Test the planner of single layers."""

import hypothesis
from hypothesis import strategies
import numpy

from bambooring.experts import planner


@hypothesis.settings(deadline=None, max_examples=40)
@hypothesis.given(strategies.integers(0, 2**32 - 1))
def test_plan_is_complete_within_max_moves_and_no_worse(seed):
    """All experts are placed, moves are limited, the peak doesn't rise."""
    rng = numpy.random.default_rng(seed)
    loads = numpy.exp(rng.normal(0, 1, 32))
    speeds = rng.choice([1.0, 0.8], 8)
    expert_map = planner.place_round_robin(32, 8, 5)
    plan = planner.plan_layer(expert_map, loads, speeds, max_moves=12)
    assert set(plan.expert_map.ravel()) == set(range(32))
    assert planner.count_moves(expert_map, plan.expert_map) <= plan.moves <= 12
    longest_before = planner.compute_rank_times(
        expert_map, loads, speeds
    ).max()
    longest_after = planner.compute_rank_times(
        plan.expert_map, loads, speeds
    ).max()
    assert longest_after <= longest_before + 1e-9


def test_even_map_is_left_alone():
    """A balanced map needs no moves."""
    expert_map = planner.place_round_robin(8, 4, 2)
    plan = planner.plan_layer(
        expert_map, numpy.ones(8), numpy.ones(4), max_moves=100
    )
    assert plan.moves == 0
