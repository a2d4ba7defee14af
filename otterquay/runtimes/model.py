"""A median and an interval of the run time for each class and kind, from kinds alike where a kind is new.

On the log of the time: y = class + build + family + kind + (class, kind) + server + noise, with figures of
the kinds (log of cores, clock, memory) as a regression under the families. All but the classes are drawn
towards nothing, each by the variance of its own kind of effect, which is found by maximum likelihood over a
few rounds (partial pooling: Gelman and Hill, 2007, chapters 12, 13; Robinson, 1991, for the predictor). A
kind never seen keeps its family's and its figures' part, and its interval has the variance of all that is not
known of it.

Each agent's cells are medians of its own bins, and where several agents saw the same, their median counts:
one that tells nonsense moves little. Cells of waited and of given-up attempts bound a median; they are not
one by themselves.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from otterquay.runtimes.machine import Estimate, Machine
from otterquay.runtimes.rows import BINS, Key, Row, middle

FADE = 0.7  # an epoch's weight against the next one's
LEAST_SEEN = 3.0  # attempts of an agent's cell that make a median
ROUNDS = 12
WIDE = 1.645  # of the normal distribution: 90% lie within
FLOOR = {"family": 0.15, "kind": 0.08, "both": 0.05, "server": 0.03, "noise": 0.05}
CHANGED = 0.25  # log: by how much a kind's newest epochs differ from those before, in most of its classes


UNKNOWN = float("nan")


@dataclass(slots=True)
class Cell:
    """One class, kind, server and build: the median over agents of the log time, and how many attempts are
    behind it.
    """

    cls: str
    kind: str
    server: int
    build: int
    y: float
    n: float


def _median(bins: Mapping[int, float]) -> tuple[float, float]:
    total = sum(bins.values())
    reached = 0.0
    for at in range(BINS):
        here = bins.get(at, 0.0)
        if here and reached + here >= total / 2:
            inside = (total / 2 - reached) / here - 0.5
            return middle(at) + inside * 0.125, total
        reached += here
    return 0.0, 0.0


def cells(rows: Iterable[tuple[Key, Row]], newest: int) -> list[Cell]:
    """Cells from rows, in an order of their own, so that the order of the rows does not matter."""
    by_agent: dict[tuple[str, str, int, int], dict[int, dict[int, float]]] = defaultdict(dict)
    for key, row in sorted(rows, key=lambda item: item[0]):
        weight = FADE ** max(newest - key.epoch, 0)
        spot = (key.cls, key.kind, key.server, key.build)
        bins = by_agent[spot].setdefault(key.agent, {})
        for at, count in row.exact.items():
            bins[at] = bins.get(at, 0.0) + weight * min(count, 1000)
        # what was given up ran at least so long: it stands at the far end, where it moves the median as it must
        for _, count in row.at_least.items():
            bins[BINS - 1] = bins.get(BINS - 1, 0.0) + weight * min(count, 1000)
    found = []
    for spot, agents in sorted(by_agent.items()):
        told = [(y, n) for y, n in (_median(bins) for _, bins in sorted(agents.items())) if n >= LEAST_SEEN]
        if told:
            ys = sorted(y for y, _ in told)
            middle_y = ys[len(ys) // 2] if len(ys) % 2 else (ys[len(ys) // 2 - 1] + ys[len(ys) // 2]) / 2
            seen = min(sum(n for _, n in told), 400.0)
            found.append(Cell(*spot, middle_y, seen))
    return found


def trimmed(found: Sequence[Cell]) -> list[Cell]:
    """Cells without those that stand far from the others of their class and kind: a server that is sick, or a
    liar.
    """
    groups: dict[tuple[str, str, int], list[Cell]] = defaultdict(list)
    for cell in found:
        groups[cell.cls, cell.kind, cell.build].append(cell)
    kept = []
    for cells_here in groups.values():
        ys = sorted(c.y for c in cells_here)
        mid = ys[len(ys) // 2]
        spread = max(1.4826 * sorted(abs(y - mid) for y in ys)[len(ys) // 2], 0.1)
        kept += [c for c in cells_here if len(cells_here) < 3 or abs(c.y - mid) <= 4 * spread]
    return kept


@dataclass(slots=True)
class Model:
    """A fit. `estimate` answers for any class and kind."""

    machines: Mapping[str, Machine]
    classes: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    families: list[str] = field(default_factory=list)
    variances: dict[str, float] = field(default_factory=lambda: dict(FLOOR))
    builds: dict[int, float] = field(default_factory=dict)  # log factors against the reference, the commonest build
    reference: int = 0
    _names: list[tuple[str, object]] = field(default_factory=list)
    _beta: NDArray[np.float64] = field(default_factory=lambda: np.zeros(0))
    _cov: NDArray[np.float64] = field(default_factory=lambda: np.zeros((0, 0)))
    _mean: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])

    def _figures(self, kind: str) -> list[float]:
        """Logs of the figures, less the mean; what is missing counts as the mean."""
        machine = self.machines.get(kind, Machine())
        return [math.log(f) - m if f else 0.0 for f, m in zip(machine.specs, self._mean, strict=True)]

    def _family(self, kind: str) -> str:
        return self.machines.get(kind, Machine()).family

    def _spread(self, name: str) -> float:
        return {"figure": 0.5, "build": 1.0}.get(name) or self.variances.get(name, 25.0)

    def _row(self, cls: str, kind: str, server: int | None, build: int | None) -> dict[tuple[str, object], float]:
        parts: dict[tuple[str, object], float] = {("class", cls): 1.0}
        for i, value in enumerate(self._figures(kind)):
            if value:
                parts["figure", i] = value
        if self._family(kind):
            parts["family", self._family(kind)] = 1.0
        parts["kind", kind] = 1.0
        parts["both", (cls, kind)] = 1.0
        if server is not None:
            parts["server", server] = 1.0
        if build is not None and build != self.reference:
            parts["build", build] = 1.0
        return parts

    def fit(self, found: Sequence[Cell]) -> Model:
        """Effects and their variances from cells."""
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
        rows = [self._row(c.cls, c.kind, c.server, c.build) for c in found]
        self._names = sorted({name for row in rows for name in row}, key=repr)
        at = {name: i for i, name in enumerate(self._names)}
        x = np.zeros((len(found), len(self._names)))
        for i, row in enumerate(rows):
            for name, value in row.items():
                x[i, at[name]] = value
        y = np.array([c.y for c in found])
        groups = {g: [i for i, n in enumerate(self._names) if n[0] == g] for g in FLOOR if g != "noise"}
        per_cell = np.array([1.57 * 0.15 / c.n for c in found])  # of a median of n, spread about 0.4
        for _ in range(ROUNDS):
            weight = 1.0 / (self.variances["noise"] ** 2 + per_cell)
            prior = np.array([1.0 / self._spread(n[0]) ** 2 for n in self._names])
            precision = (x.T * weight) @ x + np.diag(prior)
            self._cov = np.asarray(np.linalg.inv(precision), dtype=np.float64)
            self._beta = self._cov @ ((x.T * weight) @ y)
            for group, members in groups.items():
                if members:
                    mass = float(np.sum(self._beta[members] ** 2) + np.trace(self._cov[np.ix_(members, members)]))
                    weak = 2.0 if group in ("family", "kind") else 1.0  # so many more, as if seen near the floor
                    spread = (mass + weak * (2 * FLOOR[group]) ** 2) / (len(members) + weak)
                    self.variances[group] = max(math.sqrt(spread), FLOOR[group] / 3)
            rest = y - x @ self._beta
            left = float(np.mean(rest**2 + np.einsum("ij,jk,ik->i", x, self._cov, x)) - np.mean(per_cell))
            self.variances["noise"] = math.sqrt(max(left, (FLOOR["noise"] / 2) ** 2))
        self.builds = {int(str(n[1])): float(self._beta[i]) for i, n in enumerate(self._names) if n[0] == "build"}
        return self

    def estimate(self, cls: str, kind: str) -> Estimate:
        """Of one request alone on a server of that kind, as the released builds do it."""
        if cls not in self.classes:
            return Estimate(UNKNOWN, UNKNOWN, UNKNOWN, "no attempt of this class was seen")
        seen, family = kind in self.kinds, self._family(kind)
        alike = family in self.families
        near = any(self._figures(kind)) and any(any(self._figures(k)) for k in self.kinds)
        if not (seen or alike or near):
            return Estimate(
                UNKNOWN,
                UNKNOWN,
                UNKNOWN,
                "this kind, its family and its figures are all unknown"
                if not family
                else f"no kind of family {family} was seen, and no figures are known to compare",
            )
        at = {name: i for i, name in enumerate(self._names)}
        part = np.zeros(len(self._names))
        variance = self.variances["server"] ** 2
        for name, value in self._row(cls, kind, None, None).items():
            if name in at:
                part[at[name]] = value
            else:
                variance += (value * self._spread(name[0])) ** 2
        mean = float(part @ self._beta)
        variance += float(part @ self._cov @ part)
        few = WIDE * (1.0 if seen else 1.0 + 1.0 / max(len(self.kinds), 1))
        half = few * math.sqrt(variance)
        why = "seen" if seen else f"family {family}" if alike else "kinds near by figures"
        return Estimate(math.exp(mean), math.exp(mean - half), math.exp(mean + half), why)


def changed(rows: Sequence[tuple[Key, Row]], newest: int) -> dict[str, float]:
    """Kinds whose newest epochs differ from those before, in most of their classes: by how much, in log."""

    def spots(some: Sequence[tuple[Key, Row]]) -> dict[tuple[str, str, int, int], Cell]:
        return {(c.cls, c.kind, c.server, c.build): c for c in cells(some, newest)}

    late = spots([r for r in rows if r[0].epoch >= newest - 1])
    before = spots([r for r in rows if r[0].epoch < newest - 1])
    shifts: dict[str, list[float]] = defaultdict(list)
    for spot in sorted(late.keys() & before.keys()):
        shifts[spot[1]].append(late[spot].y - before[spot].y)
    found = {}
    for kind, moved in shifts.items():
        mid = sorted(moved)[len(moved) // 2]
        if len(moved) >= 2 and abs(mid) > CHANGED:
            found[kind] = mid
    return found


def fit(
    rows: Sequence[tuple[Key, Row]],
    machines: Mapping[str, Machine],
    newest: int,
) -> tuple[Model, dict[str, float]]:
    """A model from rows; of kinds that have changed only what came since counts, and they are named."""
    moved = changed(rows, newest)
    since = [r for r in rows if r[0].kind not in moved or r[0].epoch >= newest - 1]
    return Model(machines).fit(trimmed(cells(since, newest))), moved
