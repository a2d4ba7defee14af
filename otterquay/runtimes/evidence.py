"""The fleet's run-time rows as one agent holds them, and the table that the owner of `capacity` publishes."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from otterquay.runtimes import rows as rw
from otterquay.runtimes.machine import Estimate, Machine
from otterquay.runtimes.model import fit

EPOCH_S = 60.0
MAX_ROWS_PER_MESSAGE = 400


class RunTimeTable(msgspec.Struct, array_like=True):
    """The published table: by class and kind the median, low and high in ms and their basis; and the kinds whose
    run times changed, with the change in log time.
    """

    epoch: int
    times: dict[str, dict[str, tuple[float, float, float, str]]]
    changed: dict[str, float]


class SharedEvidence:
    """Rows of all agents, this one included, each in its newest version. Times are seconds of the local clock."""

    def __init__(self, me: int, incarnation: int, machines: Mapping[str, Machine]) -> None:
        self.me, self.incarnation, self.machines = me, incarnation, machines
        self.version = 0
        self.published: RunTimeTable | None = None
        self.rows = rw.Rows()
        self._epoch_start = 0
        self._sent_versions: dict[rw.Key, int] = {}
        self.on_kinds_changed: Callable[[dict[str, float]], None] = lambda kinds: None

    def epoch(self, now: float) -> int:
        """Return the epoch by this agent's clock; the leader announces its own to all others."""
        self._epoch_start = self._epoch_start or int(now)
        return self.rows.newest + 1 if now - self._epoch_start >= EPOCH_S else self.rows.newest

    def set_epoch(self, now: float, epoch: int) -> None:
        """Enter the group's epoch, as announced by a heartbeat."""
        if epoch > self.rows.newest:
            self.rows.set_epoch(epoch)
            self._epoch_start = int(now)

    def set_incarnation(self, incarnation: int) -> None:
        """Continue under another incarnation; rows recorded so far keep theirs."""
        self.incarnation = incarnation

    def record(
        self, now: float, cls: str, kind: str, server: int, build: int, ms: float, alone: bool, timed_out: bool
    ) -> None:
        """Record one of this agent's ended attempts."""
        key = rw.Key(self.me, self.incarnation, self.rows.newest, cls, kind, server, build)
        self.rows.record(key, ms, alone, timed_out)

    def changed_rows(self) -> bytes:
        """Return this agent's rows changed since they were last sent, oldest first; empty if there are none."""
        own_rows = [(k, r) for k, r in self.rows.rows_of(self.me) if self._sent_versions.get(k, 0) < r.version][
            :MAX_ROWS_PER_MESSAGE
        ]
        for key, row in own_rows:
            self._sent_versions[key] = row.version
        if len(self._sent_versions) > 2 * rw.MAX_ROWS:
            self._sent_versions = {k: v for k, v in self._sent_versions.items() if k in self.rows.rows}
        return rw.encode(own_rows) if own_rows else b""

    def resend_all(self) -> None:
        """Send all rows again: a new receiver may have none of them."""
        self._sent_versions.clear()

    def merge(self, data: bytes, sender: int) -> int:
        """Merge another agent's rows and return how many were accepted; a malformed message is ignored."""
        try:
            return self.rows.merge(rw.decode(data), sender)
        except ValueError:
            return 0

    def receive_table(self, version: int, table: bytes) -> None:
        """Adopt the group's table if it is newer and well-formed."""
        if version > self.version and table:
            try:
                self.published = msgspec.msgpack.decode(table, type=RunTimeTable)
            except ValueError:
                return
            self.version = version

    def build_table(self) -> bytes:
        """Fit a table to all rows; empty if there are none."""
        all_rows = list(self.rows.rows.items())
        if not all_rows:
            return b""
        model, changed_kinds = fit(all_rows, self.machines, self.rows.newest)
        if changed_kinds:
            self.on_kinds_changed(changed_kinds)
        times: dict[str, dict[str, tuple[float, float, float, str]]] = {}
        for cls in model.classes:
            for kind in sorted({*model.kinds, *self.machines}):
                estimate = model.estimate(cls, kind)
                if estimate.known:
                    times.setdefault(cls, {})[kind] = (estimate.median, estimate.low, estimate.high, estimate.why)
        return msgspec.msgpack.encode(RunTimeTable(self.rows.newest, times, changed_kinds))

    def estimate(self, cls: str, kind: str) -> Estimate:
        """Return the estimate of the table published last."""
        row = self.published.times.get(cls, {}).get(kind) if self.published else None
        if row is None:
            return Estimate(float("nan"), float("nan"), float("nan"), "not in the fleet's table")
        return Estimate(*row)
