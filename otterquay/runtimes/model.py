"""Estimates median and interval of the run time by class and kind; unseen kinds are inferred from similar ones.

A mixed-effects model of the log time: y = class + build + family + kind + (class, kind) + server + noise, with a
regression on the kinds' specs (log of cores, clock, memory) below the families. All effects but the classes are
shrunk towards zero by the variance of their group, which is estimated by maximum likelihood in a few iterations
(partial pooling: Gelman and Hill, 2007, chapters 12, 13; Robinson, 1991, for the predictor). An unseen kind keeps
the effects of its family and specs, and its interval includes the variance of all unknown effects.

Each agent's cells are medians of its own histograms, and the median over agents is used, so a single agent with
wrong data has little influence. Queued and timed-out attempts bound a median; alone they do not give one.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from otterquay.runtimes.machine import Estimate, Machine
from otterquay.runtimes.rows import BIN_COUNT, Key, Row, bin_center

EPOCH_DECAY = 0.7  # weight of an epoch relative to the next one
MIN_ATTEMPTS = 3.0  # attempts that an agent's cell needs for a median
FIT_ROUNDS = 12
Z_90_PERCENT = 1.645  # normal distribution: 90% lie within this many standard deviations
# in log time: initial standard deviations of the effects; `fit` derives their priors and lower limits from them
MIN_STD = {"family": 0.15, "kind": 0.08, "both": 0.05, "server": 0.03, "noise": 0.05}
CHANGE_THRESHOLD = 0.25  # in log time: larger median shifts mean that a kind has changed


NOT_KNOWN = float("nan")


@dataclass(slots=True)
class Cell:
    """Median log time `y` over agents of one class, kind, server and build, from `n` weighted attempts."""

    cls: str
    kind: str
    server: int
    build: int
    y: float
    n: float


def _histogram_median(bins: Mapping[int, float]) -> tuple[float, float]:
    total = sum(bins.values())
    cumulative = 0.0
    for index in range(BIN_COUNT):
        bin_weight = bins.get(index, 0.0)
        if bin_weight and cumulative + bin_weight >= total / 2:
            fraction = (total / 2 - cumulative) / bin_weight - 0.5
            return bin_center(index) + fraction * 0.125, total
        cumulative += bin_weight
    return 0.0, 0.0


def build_cells(rows: Iterable[tuple[Key, Row]], newest: int) -> list[Cell]:
    """Aggregate rows into cells. The result does not depend on the order of the rows."""
    by_agent: dict[tuple[str, str, int, int], dict[int, dict[int, float]]] = defaultdict(dict)
    for key, row in sorted(rows, key=lambda item: item[0]):
        weight = EPOCH_DECAY ** max(newest - key.epoch, 0)
        cell_key = (key.cls, key.kind, key.server, key.build)
        bins = by_agent[cell_key].setdefault(key.agent, {})
        for index, count in row.exact.items():
            bins[index] = bins.get(index, 0.0) + weight * min(count, 1000)
        # timed-out attempts ran at least that long: counted in the last bin, they shift the median upwards
        for _, count in row.at_least.items():
            bins[BIN_COUNT - 1] = bins.get(BIN_COUNT - 1, 0.0) + weight * min(count, 1000)
    found = []
    for cell_key, agents in sorted(by_agent.items()):
        medians = [
            (y, n) for y, n in (_histogram_median(bins) for _, bins in sorted(agents.items())) if n >= MIN_ATTEMPTS
        ]
        if medians:
            ys = sorted(y for y, _ in medians)
            median_y = ys[len(ys) // 2] if len(ys) % 2 else (ys[len(ys) // 2 - 1] + ys[len(ys) // 2]) / 2
            attempts = min(sum(n for _, n in medians), 400.0)
            found.append(Cell(*cell_key, median_y, attempts))
    return found


def without_outliers(found: Sequence[Cell]) -> list[Cell]:
    """Drop outliers among the cells of a class, kind and build: faulty servers or agents with wrong data."""
    groups: dict[tuple[str, str, int], list[Cell]] = defaultdict(list)
    for cell in found:
        groups[cell.cls, cell.kind, cell.build].append(cell)
    inliers = []
    for group in groups.values():
        ys = sorted(c.y for c in group)
        median = ys[len(ys) // 2]
        scaled_mad = max(1.4826 * sorted(abs(y - median) for y in ys)[len(ys) // 2], 0.1)
        inliers += [c for c in group if len(group) < 3 or abs(c.y - median) <= 4 * scaled_mad]
    return inliers


@dataclass(slots=True)
class Model:
    """A fitted model; `estimate` works for any class and kind."""

    machines: Mapping[str, Machine]
    classes: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    families: list[str] = field(default_factory=list)
    stds: dict[str, float] = field(default_factory=lambda: dict(MIN_STD))
    # log factors relative to the reference, the most common build
    builds: dict[int, float] = field(default_factory=dict)
    reference: int = 0
    _columns: list[tuple[str, object]] = field(default_factory=list)
    _beta: NDArray[np.float64] = field(default_factory=lambda: np.zeros(0))
    _cov: NDArray[np.float64] = field(default_factory=lambda: np.zeros((0, 0)))
    _mean: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])

    def _centered_log_specs(self, kind: str) -> list[float]:
        """Return the centered logs of the specs; a missing spec counts as the mean."""
        machine = self.machines.get(kind, Machine())
        return [math.log(f) - m if f else 0.0 for f, m in zip(machine.specs, self._mean, strict=True)]

    def _family(self, kind: str) -> str:
        return self.machines.get(kind, Machine()).family

    def _prior_std(self, name: str) -> float:
        """Prior standard deviation of an effect; that of a class is so wide that classes are hardly shrunk."""
        return {"figure": 0.5, "build": 1.0}.get(name) or self.stds.get(name, 25.0)

    def _design_row(
        self, cls: str, kind: str, server: int | None, build: int | None
    ) -> dict[tuple[str, object], float]:
        terms: dict[tuple[str, object], float] = {("class", cls): 1.0}
        for i, value in enumerate(self._centered_log_specs(kind)):
            if value:
                terms["figure", i] = value
        if self._family(kind):
            terms["family", self._family(kind)] = 1.0
        terms["kind", kind] = 1.0
        terms["both", (cls, kind)] = 1.0
        if server is not None:
            terms["server", server] = 1.0
        if build is not None and build != self.reference:
            terms["build", build] = 1.0
        return terms

    def fit(self, found: Sequence[Cell]) -> Model:
        """Fit effects and their standard deviations to cells."""
        if not found:
            return self
        self.classes = sorted({c.cls for c in found})
        self.kinds = sorted({c.kind for c in found})
        self.families = sorted({self._family(k) for k in self.kinds} - {""})
        for i in range(3):
            known = [math.log(f) for k in self.kinds if (f := self.machines.get(k, Machine()).specs[i])]
            self._mean[i] = sum(known) / len(known) if known else 0.0
        common = Counter(c.build for c in found)
        self.reference = min(common, key=lambda b: (-common[b], b))
        rows = [self._design_row(c.cls, c.kind, c.server, c.build) for c in found]
        self._columns = sorted({name for row in rows for name in row}, key=repr)
        column_index = {name: i for i, name in enumerate(self._columns)}
        x = np.zeros((len(found), len(self._columns)))
        for i, row in enumerate(rows):
            for name, value in row.items():
                x[i, column_index[name]] = value
        y = np.array([c.y for c in found])
        groups = {g: [i for i, n in enumerate(self._columns) if n[0] == g] for g in MIN_STD if g != "noise"}
        # variance of a median of n samples with a standard deviation of about 0.4
        median_variance = np.array([1.57 * 0.15 / c.n for c in found])
        for _ in range(FIT_ROUNDS):
            weight = 1.0 / (self.stds["noise"] ** 2 + median_variance)
            prior = np.array([1.0 / self._prior_std(n[0]) ** 2 for n in self._columns])
            precision = (x.T * weight) @ x + np.diag(prior)
            self._cov = np.asarray(np.linalg.inv(precision), dtype=np.float64)
            self._beta = self._cov @ ((x.T * weight) @ y)
            for group, members in groups.items():
                if members:
                    sum_of_squares = float(
                        np.sum(self._beta[members] ** 2) + np.trace(self._cov[np.ix_(members, members)])
                    )
                    # pseudo-observations near the minimum
                    prior_weight = 2.0 if group in ("family", "kind") else 1.0
                    variance = (sum_of_squares + prior_weight * (2 * MIN_STD[group]) ** 2) / (
                        len(members) + prior_weight
                    )
                    self.stds[group] = max(math.sqrt(variance), MIN_STD[group] / 3)
            residuals = y - x @ self._beta
            noise_variance = float(
                np.mean(residuals**2 + np.einsum("ij,jk,ik->i", x, self._cov, x)) - np.mean(median_variance)
            )
            self.stds["noise"] = math.sqrt(max(noise_variance, (MIN_STD["noise"] / 2) ** 2))
        self.builds = {int(str(n[1])): float(self._beta[i]) for i, n in enumerate(self._columns) if n[0] == "build"}
        return self

    def estimate(self, cls: str, kind: str) -> Estimate:
        """Estimate a request that runs alone on a server of that kind, with the reference build."""
        if cls not in self.classes:
            return Estimate(NOT_KNOWN, NOT_KNOWN, NOT_KNOWN, "no attempt of this class was seen")
        seen, family = kind in self.kinds, self._family(kind)
        family_seen = family in self.families
        specs_comparable = any(self._centered_log_specs(kind)) and any(
            any(self._centered_log_specs(k)) for k in self.kinds
        )
        if not (seen or family_seen or specs_comparable):
            return Estimate(
                NOT_KNOWN,
                NOT_KNOWN,
                NOT_KNOWN,
                "this kind, its family and its figures are all unknown"
                if not family
                else f"no kind of family {family} was seen, and no figures are known to compare",
            )
        column_index = {name: i for i, name in enumerate(self._columns)}
        row = np.zeros(len(self._columns))
        variance = self.stds["server"] ** 2
        for name, value in self._design_row(cls, kind, None, None).items():
            if name in column_index:
                row[column_index[name]] = value
            else:
                variance += (value * self._prior_std(name[0])) ** 2
        mean = float(row @ self._beta)
        variance += float(row @ self._cov @ row)
        # the interval of an unseen kind is wider, the more so the fewer kinds its variance was estimated from
        z = Z_90_PERCENT * (1.0 if seen else 1.0 + 1.0 / max(len(self.kinds), 1))
        half_width = z * math.sqrt(variance)
        why = "seen" if seen else f"family {family}" if family_seen else "kinds near by figures"
        return Estimate(math.exp(mean), math.exp(mean - half_width), math.exp(mean + half_width), why)


def find_changed_kinds(rows: Sequence[tuple[Key, Row]], newest: int) -> dict[str, float]:
    """Return the kinds whose newest epochs differ from earlier ones, with the median shift in log time."""

    def cells_by_key(selected_rows: Sequence[tuple[Key, Row]]) -> dict[tuple[str, str, int, int], Cell]:
        return {(c.cls, c.kind, c.server, c.build): c for c in build_cells(selected_rows, newest)}

    recent = cells_by_key([r for r in rows if r[0].epoch >= newest - 1])
    earlier = cells_by_key([r for r in rows if r[0].epoch < newest - 1])
    shifts: dict[str, list[float]] = defaultdict(list)
    for cell_key in sorted(recent.keys() & earlier.keys()):
        shifts[cell_key[1]].append(recent[cell_key].y - earlier[cell_key].y)
    found = {}
    for kind, kind_shifts in shifts.items():
        median = sorted(kind_shifts)[len(kind_shifts) // 2]
        if len(kind_shifts) >= 2 and abs(median) > CHANGE_THRESHOLD:
            found[kind] = median
    return found


def fit(
    rows: Sequence[tuple[Key, Row]],
    machines: Mapping[str, Machine],
    newest: int,
) -> tuple[Model, dict[str, float]]:
    """Fit a model to rows and return it with the changed kinds, of which only the newest epochs are used."""
    changed_kinds = find_changed_kinds(rows, newest)
    valid_rows = [r for r in rows if r[0].kind not in changed_kinds or r[0].epoch >= newest - 1]
    return Model(machines).fit(without_outliers(build_cells(valid_rows, newest))), changed_kinds
