"""The store itself. What is promised:

- `commit` returns once its batch is synced; then it survives anything but damage to the files.
- A batch is there whole or not at all, and batches are there in the order in which they were given.
- Readers see a batch once it is synced, never a part of it.
- After any error of writing or syncing the store takes no more writes and says why: what reached the disk is then
  unknown, and a second sync that succeeds would prove nothing. Reading goes on; opening anew finds out.
- Opening cuts a torn tail (logged, counted) and refuses damage anywhere else, with file and offset.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.files import Files

PART = ".part"
PIECE_KEYS = 256  # entries a piece of a base holds; between pieces other work of the loop goes on


class Damaged(Exception):
    """A file is damaged where no crash can have left it so; nothing was changed."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name}: offset {offset}: {reason}")
        self.name, self.offset = name, offset


class StoreFailed(Exception):
    """The store takes no writes: another process has it, or a write or sync failed."""


@dataclass(slots=True)
class _Table:
    values: dict[bytes, bytes] = field(default_factory=dict)
    order: list[bytes] | None = None  # sorted keys, made when first asked for and dropped by a new key


def log_name(number: int) -> str:
    """The name of the log segment of this number."""
    return f"{number:016x}.log"


def base_name(number: int) -> str:
    """The name of the base that stands for all segments up to this number."""
    return f"{number:016x}.base"


def _numbers(names: Sequence[str], ending: str) -> list[int]:
    return sorted(int(n[:16], 16) for n in names if n.endswith(ending) and len(n) == 16 + len(ending))


class Store:
    """One open store; made by `open`."""

    def __init__(self, files: Files, log: Logger, segment_bytes: int) -> None:
        self._files, self._log, self._segment_bytes = files, log, segment_bytes
        self._tables: dict[str, _Table] = {}
        self._number, self._size, self._sequence = 0, 0, 0
        self._pending: list[tuple[list[fm.Change], asyncio.Future[None]]] = []
        self._scheduled = False
        self.failed: str | None = None
        self.cut_bytes = 0

    @staticmethod
    def open(files: Files, log: Logger, segment_bytes: int = 16 * 1024 * 1024) -> Store:
        """Recover what is there, or begin; StoreFailed when another has it, Damaged when it cannot be trusted."""
        if not files.lock():
            raise StoreFailed("another process has this store open")
        store = Store(files, log, segment_bytes)
        try:
            store._recover()
        except BaseException:
            files.close()
            raise
        return store

    def close(self) -> None:
        """Write what is pending, then let go of the files."""
        self._flush()
        self.failed = self.failed or "closed"
        self._files.close()

    # --- reading ---
    def get(self, table: str, key: bytes) -> bytes | None:
        """The value of a key, None when there is none."""
        found = self._tables.get(table)
        return found.values.get(key) if found else None

    def scan(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `first` to under `before` in order, as they were when the scan began."""
        found = self._tables.get(table)
        if found is None:
            return
        if found.order is None:
            found.order = sorted(found.values)
        order = found.order
        end = len(order) if before is None else bisect_left(order, before)
        keys = order[bisect_left(order, first) : end]
        yield from [(key, found.values[key]) for key in keys]

    def tables(self) -> dict[str, int]:
        """How many keys each table holds."""
        return {name: len(t.values) for name, t in sorted(self._tables.items()) if t.values}

    # --- writing ---
    async def commit(self, changes: Sequence[fm.Change]) -> None:
        """Make a batch last. Those given in one turn of the loop share one sync. StoreFailed: it may or may not."""
        if self.failed:
            raise StoreFailed(self.failed)
        loop = asyncio.get_running_loop()
        done: asyncio.Future[None] = loop.create_future()
        self._pending.append((list(changes), done))
        if not self._scheduled:
            self._scheduled = True
            loop.call_soon(self._flush)
        await done

    def _flush(self) -> None:
        self._scheduled = False
        group, self._pending = self._pending, []
        if not group:
            return
        try:
            if self.failed:
                raise OSError(self.failed)
            data, synced = [], self._sequence
            for changes, _ in group:
                self._sequence += 1
                data.append(fm.write_record(self._number, fm.BATCH, self._sequence, synced, changes))
            whole = b"".join(data)
            self._files.append(log_name(self._number), whole)
            self._files.sync(log_name(self._number))
            self._size += len(whole)
        except (OSError, ValueError) as error:
            return self._fail(error, group)
        for changes, done in group:
            self._apply(changes)
            if not done.done():
                done.set_result(None)
        if self._size >= self._segment_bytes:
            try:
                self._roll()
            except OSError as error:
                self._fail(error, [])

    def _fail(self, error: Exception, group: list[tuple[list[fm.Change], asyncio.Future[None]]]) -> None:
        self.failed = self.failed or f"{type(error).__name__}: {error}"
        self._log.error("store_read_only", reason=self.failed)
        for _, done in group:
            if not done.done():
                done.set_exception(StoreFailed(self.failed))

    def _apply(self, changes: Sequence[fm.Change]) -> None:
        for name, key, value in changes:
            table = self._tables.setdefault(name, _Table())
            if value is None:
                if table.values.pop(key, None) is not None:
                    table.order = None
            else:
                if key not in table.values:
                    table.order = None
                table.values[key] = value

    def _roll(self) -> None:
        """Begin the next segment; its name lasts before anything in it counts."""
        number = self._number + 1
        self._files.create(log_name(number))
        self._files.append(log_name(number), fm.write_head(fm.LOG, number))
        self._files.sync(log_name(number))
        self._files.sync_folder()
        self._number, self._size = number, fm.HEAD_SIZE

    # --- compaction ---
    async def compact(self) -> None:
        """Write all that is held into a base, then remove the segments that it stands for.

        Takes as much extra space as what is held. StoreFailed when the disk fails on the way.
        """
        if self.failed:
            raise StoreFailed(self.failed)
        try:
            self._flush()
            upto, sequence = self._number, self._sequence
            self._roll()
            held = [(name, key, value) for name, t in sorted(self._tables.items())
                    for key, value in t.values.items()]
            part = base_name(upto) + PART
            if part in self._files.names():
                self._files.remove(part)
            self._files.create(part)
            self._files.append(part, fm.write_head(fm.BASE, upto))
            for at in range(0, len(held), PIECE_KEYS):
                piece: list[fm.Change] = list(held[at : at + PIECE_KEYS])
                self._files.append(part, fm.write_record(upto, fm.PIECE, sequence, sequence, piece))
                await asyncio.sleep(0)
            self._files.append(part, fm.write_record(upto, fm.END, sequence, sequence, []))
            self._files.sync(part)
            self._files.rename(part, base_name(upto))
            self._files.sync_folder()
            self._remove_behind(upto)
        except OSError as error:
            self._fail(error, [])
            raise StoreFailed(self.failed) from error

    def _remove_behind(self, upto: int) -> None:
        """Remove what the base of this number stands for. Any part of it may last: recovery does the rest."""
        names = self._files.names()
        for number in _numbers(names, ".base"):
            if number < upto:
                self._files.remove(base_name(number))
        for number in _numbers(names, ".log"):
            if number <= upto:
                self._files.remove(log_name(number))

    # --- recovery ---
    def _recover(self) -> None:
        names = self._files.names()
        for name in names:
            if name.endswith(PART):  # a base that was not finished
                self._files.remove(name)
        bases, logs = _numbers(names, ".base"), _numbers(names, ".log")
        upto = bases[-1] if bases else 0
        if bases:
            self._load_base(upto)
        self._remove_behind(upto)
        logs = [number for number in logs if number > upto]
        if not logs:
            if bases:  # the segment after a base lasts before the base gets its name
                raise Damaged(log_name(upto + 1), 0, "the segment after the base is gone")
            self._number = 0
            return self._roll()
        for expected, number in enumerate(logs, upto + 1):
            if number != expected:
                raise Damaged(log_name(expected), 0, "a segment is gone")
        for number in logs:
            self._replay(number, last=number == logs[-1])

    def _load_base(self, number: int) -> None:
        data, name = self._files.read(base_name(number)), base_name(number)
        ended = False
        try:
            fm.read_head(data, fm.BASE, number)
            for record in fm.records(data, number):
                if ended or record.kind not in (fm.PIECE, fm.END):
                    raise fm.Bad(record.start, "a record that no base holds")
                self._apply(record.changes)
                self._sequence, ended = record.sequence, record.kind == fm.END
        except fm.Bad as bad:
            raise Damaged(name, bad.offset, bad.reason) from None
        if not ended:
            raise Damaged(name, len(data), "the base has no end")

    def _replay(self, number: int, last: bool) -> None:
        name = log_name(number)
        data = self._files.read(name)
        good = 0
        try:
            fm.read_head(data, fm.LOG, number)
            good = fm.HEAD_SIZE
            for record in fm.records(data, number):
                if record.kind != fm.BATCH or record.sequence != self._sequence + 1:
                    raise Damaged(name, record.start, f"sequence {record.sequence} after {self._sequence}")
                self._apply(record.changes)
                self._sequence, good = record.sequence, record.end
        except fm.Bad as bad:
            # only the last group of the last segment can be torn, and a head only while nothing follows it;
            # a later record that was written once this one had been synced shows damage
            later = fm.later_record(data, bad.offset, number, self._sequence + 1) if good else None
            if not last or later is not None or (good == 0 and len(data) > fm.HEAD_SIZE):
                raise Damaged(name, bad.offset, bad.reason) from None
            self.cut_bytes = len(data) - good
            self._log.warning("store_tail_cut", file=name, offset=good, bytes=self.cut_bytes, reason=bad.reason)
            self._files.truncate(name, good)
            if good == 0:
                self._files.append(name, fm.write_head(fm.LOG, number))
                good = fm.HEAD_SIZE
            self._files.sync(name)
        self._number, self._size = number, good
