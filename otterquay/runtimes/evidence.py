"""A fleet's rows of run times as one agent holds them, and the table that the owner of `capacity` publishes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from otterquay.runtimes import rows as rw
from otterquay.runtimes.machine import Estimate, Machine
from otterquay.runtimes.model import fit

EPOCH_S = 60.0
SENT_MOST = 400  # rows in one message
AGAIN_S = 1.0


class Published(msgspec.Struct, array_like=True):
    """The table: by class and kind median, low, high in ms and what they rest on; kinds that have changed, by
    log.
    """

    epoch: int
    times: dict[str, dict[str, tuple[float, float, float, str]]]
    changed: dict[str, float]


class SharedEvidence:
    """Rows of all agents, each at its newest version; our own among them. Times are seconds of our own clock."""

    def __init__(self, me: int, life: int, machines: Mapping[str, Machine]) -> None:
        self.me, self.life, self.machines = me, life, machines
        self.version = 0
        self.published: Published | None = None
        self.evidence = rw.Rows()
        self._first = 0
        self._sent: dict[rw.Key, int] = {}
        self.changed: Callable[[dict[str, float]], None] = lambda kinds: None

    def epoch(self, now: float) -> int:
        """What the leader counts by; others go by what it tells them."""
        self._first = self._first or int(now)
        return self.evidence.newest + 1 if now - self._first >= EPOCH_S else self.evidence.newest

    def begin(self, now: float, epoch: int) -> None:
        """The group's epoch, as a beat tells it."""
        if epoch > self.evidence.newest:
            self.evidence.age(epoch)
            self._first = int(now)

    def reborn(self, life: int) -> None:
        """This agent goes on under another life; what it noted stays under the one it was noted in."""
        self.life = life

    def record(
        self, now: float, cls: str, kind: str, server: int, build: int, ms: float, alone: bool, timed_out: bool
    ) -> None:
        """An attempt of our own has ended."""
        key = rw.Key(self.me, self.life, self.evidence.newest, cls, kind, server, build)
        self.evidence.record(key, ms, alone, timed_out)

    def rows(self) -> bytes:
        """Our rows that have changed since they were last sent, oldest first; empty for none."""
        mine = [(k, r) for k, r in self.evidence.of(self.me) if self._sent.get(k, 0) < r.version][:SENT_MOST]
        for key, row in mine:
            self._sent[key] = row.version
        if len(self._sent) > 2 * rw.MAX_ROWS:
            self._sent = {k: v for k, v in self._sent.items() if k in self.evidence.rows}
        return rw.encode(mine) if mine else b""

    def all_again(self) -> None:
        """Whoever listens now may have heard none of them."""
        self._sent.clear()

    def merge(self, data: bytes, sender: int) -> int:
        """Rows of another agent; what is none is passed over whole. How many were news."""
        try:
            return self.evidence.merge(rw.decode(data), sender)
        except ValueError:
            return 0

    def told(self, version: int, table: bytes) -> None:
        """The group's table."""
        if version > self.version and table:
            try:
                self.published = msgspec.msgpack.decode(table, type=Published)
            except ValueError:
                return
            self.version = version

    def table(self) -> bytes:
        """A table from all rows held; empty where there are none."""
        held = list(self.evidence.rows.items())
        if not held:
            return b""
        model, moved = fit(held, self.machines, self.evidence.newest)
        if moved:
            self.changed(moved)
        times: dict[str, dict[str, tuple[float, float, float, str]]] = {}
        for cls in model.classes:
            for kind in sorted({*model.kinds, *self.machines}):
                found = model.estimate(cls, kind)
                if found.known:
                    times.setdefault(cls, {})[kind] = (found.median, found.low, found.high, found.why)
        return msgspec.msgpack.encode(Published(self.evidence.newest, times, moved))

    def estimate(self, cls: str, kind: str) -> Estimate:
        """From the table that was published last."""
        row = self.published.times.get(cls, {}).get(kind) if self.published else None
        if row is None:
            return Estimate(float("nan"), float("nan"), float("nan"), "not in the fleet's table")
        return Estimate(*row)
