"""The scoring functions against values computed by hand and against scipy."""

import math
import random

import pytest
from scipy import stats

from otterquay.policy.scoring import distance, dtw, metric_score, scaled, settled, tail


def test_scaling_brings_to_unit_range_and_flat_to_zeros() -> None:
    assert scaled([5, 10, 5]) == [0.0, 1.0, 0.0]
    assert scaled([3, 3, 3]) == [0.0, 0.0, 0.0]


def test_scaling_erases_level() -> None:
    assert distance([1, 2, 1, 2], [10, 20, 10, 20]) == 0.0


def test_dtw_by_hand() -> None:
    assert dtw([0, 1, 0], [0, 0, 1, 0]) == 0.0  # a shift in time costs nothing
    assert dtw([0, 0], [1, 1]) == 2.0
    assert dtw([0, 1], [1, 0]) == 2.0  # every path pays at both ends
    assert dtw([0, 2, 0], [0, 1, 0]) == 1.0


def test_distance_uses_the_bins_both_have() -> None:
    assert distance([9, 9, 0, 1], [0, 1]) == 0.0


def test_metric_score_edges() -> None:
    past = [0.0, 2.0]  # mean 1, variance 1, maximum 2
    assert metric_score(2.0, past) == 1.0
    assert metric_score(2.1, past) == 0.0
    past = [0.0, 0.0, 0.0, 1.0]  # mean 0.25, variance 0.1875, edge 0.4375
    assert metric_score(0.4375, past) == 1.0
    assert metric_score(1.0, past) == pytest.approx(0.9)
    assert metric_score((0.4375 + 1.0) / 2, past) == pytest.approx(0.95)


def test_settled_is_a_t_test_at_five_per_cent_as_in_scipy() -> None:
    rng, counts = random.Random(5), {True: 0, False: 0}
    for shift in (0.0, 0.8, 1.5, 3.0) * 20:
        for size in range(4, 13):
            points = [rng.gauss(0 if i < size // 2 else shift, 1) for i in range(size)]
            p = stats.ttest_ind(points[: size // 2], points[size // 2 :]).pvalue
            if abs(p - 0.05) > 0.001:  # the critical values are rounded
                assert settled(points) is bool(p >= 0.05)
                counts[bool(p >= 0.05)] += 1
    assert min(counts.values()) > 50


def test_settled_needs_points_and_alike_halves() -> None:
    assert not settled([1.0, 1.0, 1.0])
    assert settled([1.0] * 4)
    assert not settled([0.5] * 4 + [1.0] * 4)
    assert not settled([0.50, 0.51, 0.50, 0.51, 0.90, 0.91, 0.90, 0.91])
    assert settled([0.95, 1.0, 0.9, 1.0, 0.95, 0.9, 1.0, 0.95])


@pytest.mark.parametrize(("n", "x", "p"), [(10, 3, 0.05), (40, 8, 0.02), (500, 20, 0.03), (5, 5, 0.5), (7, 0, 0.1)])
def test_tail_against_scipy_never_underestimates(n: int, x: int, p: float) -> None:
    if p <= 0.05:  # for rare errors the Poisson distribution does not underestimate the tail
        assert tail(n, x, p) >= stats.binom.sf(x - 1, n, p) - 1e-12
    assert tail(n, x, p) == pytest.approx(stats.poisson.sf(x - 1, n * p), abs=1e-12)


def test_tail_edges() -> None:
    assert tail(5, 0, 0.3) == 1.0
    assert tail(5000, 4000, 0.9) > 0.99  # nothing underflows
    assert math.isfinite(tail(3, 9, 0.1))
