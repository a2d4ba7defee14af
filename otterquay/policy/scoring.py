"""Pure functions that compare series and score a build."""

import math
from collections.abc import Sequence
from statistics import fmean, pvariance, variance

# Critical values of Student's t at the 0.05 level (two-sided) by degrees of freedom, from 1; the last one serves
# for all higher ones. Prescribed by the published design.
T_CRITICAL = (12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
# Scores that a vote needs.
MIN_BIN_SCORES = 4


def scaled(series: Sequence[float]) -> list[float]:
    """Scale a series to the range 0 to 1; a constant series becomes zeros."""
    low, high = min(series), max(series)
    return [(x - low) / (high - low) if high > low else 0.0 for x in series]


def dtw(a: Sequence[float], b: Sequence[float]) -> float:
    """Dynamic time warping distance with absolute differences."""
    row = [0.0] + [math.inf] * len(b)
    for x in a:
        diagonal, row[0] = row[0], math.inf
        for j, y in enumerate(b, 1):
            diagonal, row[j] = row[j], abs(x - y) + min(diagonal, row[j], row[j - 1])
    return row[-1]


def distance(a: Sequence[float], b: Sequence[float]) -> float:
    """Dynamic time warping distance per bin of two series, each scaled, over the bins that both have."""
    depth = min(len(a), len(b))
    first, second = scaled(list(a)[-depth:]), scaled(list(b)[-depth:])
    return dtw(first, second) / depth if any(first) or any(second) else 0.0


def metric_score(found: float, baseline: Sequence[float]) -> float:
    """Score a mean distance by the mean, variance and maximum of the baseline.

    Prescribed by the published design.
    """
    edge, highest = fmean(baseline) + pvariance(baseline), max(baseline)
    return 1.0 if found <= edge else 0.0 if found > highest else 1.0 - 0.1 * (found - edge) / (highest - edge)


def settled(scores: Sequence[float]) -> bool:
    """Tell whether a t-test finds both halves of the scores alike, or both are constant and equal.

    Prescribed by the published design.
    """
    if len(scores) < MIN_BIN_SCORES:
        return False
    a, b, df = scores[: len(scores) // 2], scores[len(scores) // 2 :], len(scores) - 2
    spread = ((len(a) - 1) * variance(a) + (len(b) - 1) * variance(b)) / df * (1 / len(a) + 1 / len(b))
    return abs(fmean(a) - fmean(b)) <= T_CRITICAL[min(df, len(T_CRITICAL)) - 1] * math.sqrt(spread)


def tail(n: float, x: float, p: float) -> float:
    """Probability of `x` or more errors in `n` trials of error probability `p`, by the Poisson distribution."""
    # Beyond 700 expected errors exp(-n * p) is close to underflow; 1.0 never trips the breaker.
    if x < 1 or n * p >= 700:
        return 1.0
    term = total = math.exp(-n * p)
    for k in range(1, round(x)):
        term, total = term * n * p / k, total + term * n * p / k
        # Beyond the mean the terms only shrink, so the sum is complete however many errors there are.
        if k > n * p and total + term == total:
            break
    return max(0.0, 1.0 - total)
