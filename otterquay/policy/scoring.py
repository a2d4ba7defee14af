"""Evidence and scoring: small pure functions."""

import math
from collections.abc import Sequence
from statistics import fmean, pvariance, variance

T_CRITICAL = (12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)  # DESIGN: 0.05, by freedom
MIN_BIN_SCORES = 4  # ours: points for a vote


def scaled(series: Sequence[float]) -> list[float]:  # to 0..1; a flat one becomes zeros
    low, high = min(series), max(series)
    return [(x - low) / (high - low) if high > low else 0.0 for x in series]


def dtw(a: Sequence[float], b: Sequence[float]) -> float:  # dynamic time warping, absolute differences
    row = [0.0] + [math.inf] * len(b)
    for x in a:
        last, row[0] = row[0], math.inf
        for j, y in enumerate(b, 1):
            last, row[j] = row[j], abs(x - y) + min(last, row[j], row[j - 1])
    return row[-1]


def distance(a: Sequence[float], b: Sequence[float]) -> float:  # a bin, over the bins both have
    depth = min(len(a), len(b))
    one, other = scaled(list(a)[-depth:]), scaled(list(b)[-depth:])
    return dtw(one, other) / depth if any(one) or any(other) else 0.0


def metric_score(found: float, baseline: Sequence[float]) -> float:  # DESIGN: by mean, variance, maximum
    edge, most = fmean(baseline) + pvariance(baseline), max(baseline)
    return 1.0 if found <= edge else 0.0 if found > most else 1.0 - 0.1 * (found - edge) / (most - edge)


def settled(points: Sequence[float]) -> bool:  # DESIGN: halves that a t-test finds alike, or flat ones
    if len(points) < MIN_BIN_SCORES:
        return False
    a, b, df = points[: len(points) // 2], points[len(points) // 2 :], len(points) - 2
    spread = ((len(a) - 1) * variance(a) + (len(b) - 1) * variance(b)) / df * (1 / len(a) + 1 / len(b))
    return abs(fmean(a) - fmean(b)) <= T_CRITICAL[min(df, len(T_CRITICAL)) - 1] * math.sqrt(spread)


def tail(n: float, x: float, p: float) -> float:  # chance of x or more errors in n, by Poisson's law
    if x < 1 or n * p >= 700:
        return 1.0
    term = total = math.exp(-n * p)
    for k in range(1, round(x)):
        term, total = term * n * p / k, total + term * n * p / k
        if k > n * p and total + term == total:  # what follows is less still, however many the errors
            break
    return max(0.0, 1.0 - total)
