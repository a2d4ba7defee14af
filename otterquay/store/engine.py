"""The store itself. What is promised:

- `commit` returns once its batch is synced; then it survives anything but damage to the files.
- A batch is there whole or not at all, and batches are there in the order in which they were given.
- Readers see a batch once it is synced, never a part of it; a view sees what held when it was taken.
- After any error of writing or syncing the store takes no more writes and says why: what reached the disk is then
  unknown, and a second sync that succeeds would prove nothing. Reading goes on; opening anew finds out.
- Opening cuts a torn tail (logged, counted) and refuses damage anywhere else, with file and offset.
- A life given to an entry ends by store time, which only goes forward: by the clock while the clock does, and not
  at all while it is set back. What has ended does not come back.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterator, Sequence

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.definitions import (
    GROUP_MOST,
    MAX_PENDING_BYTES,
    MOVE_LEAST,
    MOVE_LOOKS,
    Change,
    Ops,
    Options,
    Put,
    Segment,
    StoreCorrupted,
    StoreFailed,
    hint_name,
    new_segment,
    segment_name,
)
from otterquay.store.files import Files
from otterquay.store.hints import write_hint
from otterquay.store.index import Index, Undo, place, unpack
from otterquay.store.view import View


class Store:
    """One open store; made by `otterquay.store.open_store`."""

    def __init__(self, files: Files, log: Logger, clock: Callable[[], float], options: Options) -> None:
        self.files, self.log, self.options = files, log, options
        self._clock = clock
        self.index = Index()
        self.segments: dict[int, Segment] = {}
        self.active_segment = self.sequence = 0  # of the segment that is written; of the last record
        self.oldest = 1
        self.trimmed = 1  # as the newest lasting TRIM has it: views keep segments before `oldest`
        self.truncated_bytes = 0
        self.failed: str | None = None
        self.damage: StoreCorrupted | OSError | None = None  # why compaction stopped
        self.time = self.clock_at = 0  # ms of store time at the last look, and what the clock said then
        self.ops: Ops = {}
        self.moved_bytes = self.written_bytes = 0
        self._pending: deque[tuple[Sequence[Change], asyncio.Future[None], int]] = deque()
        self._pending_bytes = 0  # bytes of those
        self._writer: asyncio.Task[None] | None = None
        self._others: set[asyncio.Task[None]] = set()
        self._cursor: Iterator[tuple[fm.Entry, int]] | None = None
        self._until = 0  # compaction is asked for up to this segment
        self._compacting: list[asyncio.Future[None]] = []
        self._doomed: list[int] = []
        self._last_group = 0

    # --- time ---
    def now(self) -> int:
        """Store time, ms: goes on as far as the clock went forward since the last look."""
        clock = int(self._clock() * 1e3)
        self.time += max(clock - self.clock_at, 0)
        self.clock_at = clock
        return self.time

    # --- reading ---
    def get(self, table: str, key: bytes) -> bytes | None:
        """The value of a key, None when there is none. OSError or Damaged: it cannot be read; others still can."""
        at = self.index.find(table, key, self.now())
        return None if at is None else self.value(at)

    def value(self, at: int) -> bytes:
        """The value at a place."""
        return self._entry(at).value or b""

    def _entry(self, at: int) -> fm.Entry:
        number, offset, length = unpack(at)
        data = self.files.read(segment_name(number), offset, length)
        try:
            return fm.read_entry(data, 0, number, offset)
        except fm.Bad as bad:
            raise StoreCorrupted(segment_name(number), bad.offset, bad.reason) from None

    def view(self) -> View:
        """The store as it is now, for as long as the view is open."""
        undo = Undo(self.now())
        self.index.undo.append(undo)
        return View(self, undo)

    def release(self, undo: Undo) -> None:
        """A view was closed; segments that waited for it can go."""
        self.index.undo.remove(undo)
        if self._doomed and not self.index.undo:
            self._wake()

    def scan(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `first` to under `before` in order, as they were when the first was asked for."""
        with self.view() as view:
            yield from view.scan(table, first, before)

    def tables(self) -> dict[str, int]:
        """How many keys each table holds."""
        now = self.now()
        while self.index.expire(now, 10_000):
            pass
        return {name: len(t.at) for name, t in sorted(self.index.tables.items()) if t.at}

    def total_bytes(self) -> int:
        """Bytes of all segments."""
        return sum(s.size for s in self.segments.values())

    # --- writing ---
    async def commit(self, changes: Sequence[Change]) -> None:
        """Make a batch last. Those given while a sync is under way share the next one.

        ValueError: a change is over the limits, nothing is written. StoreFailed: it may be there or not.
        """
        await self._take(changes)

    def submit(self, changes: Sequence[Change]) -> None:
        """As `commit`, without waiting: what fails is in the log, and the store is read-only then."""
        with contextlib.suppress(StoreFailed):
            self._take(changes).add_done_callback(lambda done: done.exception())

    def _take(self, changes: Sequence[Change]) -> asyncio.Future[None]:
        if self.failed:
            raise StoreFailed(self.failed)
        size = 0
        for change in changes:
            value = change.value if isinstance(change, Put) else b""
            if not 0 < len(change.table.encode()) <= fm.TABLE_MOST:
                raise ValueError(f"a table's name takes 1 to {fm.TABLE_MOST} bytes: {change.table[:40]!r}")
            if len(change.key) > fm.KEY_MOST or len(value) > fm.VALUE_MOST:
                raise ValueError(
                    f"a key of {len(change.key)} bytes and a value of {len(value)}: at most "
                    f"{fm.KEY_MOST} and {fm.VALUE_MOST} are taken"
                )
            size += fm.ENTRY_SIZE + fm.TABLE_MOST + len(change.key) + len(value)
        if size > fm.MAX_BATCH_BYTES:
            raise ValueError(f"a batch of about {size} bytes, at most {fm.MAX_BATCH_BYTES} are taken")
        if (
            self._pending_bytes + size > MAX_PENDING_BYTES
        ):  # to leave one out would break the order of those after it
            self._fail(OSError(f"the disk does not keep up, {self._pending_bytes} bytes wait"), [])
            raise StoreFailed(self.failed or "")
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append((list(changes), done, size))
        self._pending_bytes += size
        self._wake()
        return done

    async def compact(self) -> None:
        """Write all that is alive in today's segments again and remove them. StoreFailed; Damaged, OSError."""
        if self.failed:
            raise StoreFailed(self.failed)
        self._until = max(self._until, self.active_segment)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._compacting.append(done)
        self._wake()
        await done
        if self.failed:
            raise StoreFailed(self.failed)
        if self.damage:
            raise self.damage

    async def close(self) -> None:
        """Write what is pending, then let go of the files."""
        while self._writer and not self._writer.done():
            await asyncio.wait([self._writer])
        self.failed = self.failed or "closed"
        for task in self._others:
            task.cancel()
        await self.files.close()

    async def adopt(self, entries: Sequence[fm.Entry]) -> None:
        """Commit entries as they are, with their ends of life in store time."""
        for i in range(0, len(entries), MOVE_LOOKS):
            now = self.now()
            await self.commit(
                [
                    Put(e.table, e.key, e.value or b"", (e.ends - now) / 1e3 if e.ends else None)
                    for e in entries[i : i + MOVE_LOOKS]
                ]
            )

    def _wake(self) -> None:
        if (self._writer is None or self._writer.done()) and not self.failed:
            self._writer = asyncio.get_running_loop().create_task(self._write())

    def _behind(self) -> bool:
        """Whether compaction has work: asked for, or more space taken than the options allow."""
        if self.damage:
            return False
        if self.oldest <= self._until:
            return True
        total = sum(s.size for n, s in self.segments.items() if n >= self.oldest)
        return self.oldest < self.active_segment and total > (
            self.options.slack * self.index.live_bytes + 2 * self.options.segment_bytes
        )

    async def _write(self) -> None:
        """Write groups, one at a time, and what compaction moves, until there is nothing left to do."""
        try:
            while not self.failed and (self._pending or self._behind() or (self._doomed and not self.index.undo)):
                await self._group()
                if self.failed:
                    break
                if self._doomed and not self.index.undo:
                    await self._remove_doomed()
                if (
                    self.segments[self.active_segment].size >= self.options.segment_bytes
                    or self.active_segment <= self._until
                ):
                    await self._roll()
                if self._compacting and (self.damage or self.oldest > self._until):
                    self._compacted()
                await asyncio.sleep(0)
        except (OSError, ValueError) as error:
            self._fail(error, [])
        self._compacted()

    def _compacted(self) -> None:
        for future in self._compacting:
            if not future.done():
                future.set_result(None)
        self._compacting.clear()

    async def _group(self) -> None:
        now = self.now()
        self.index.expire(now, MOVE_LOOKS)
        moves = self._moves() if self._behind() else []
        group, size = [], 0
        while self._pending and size < GROUP_MOST:
            changes, future, waited = self._pending.popleft()
            group.append((changes, future))
            self._pending_bytes -= waited
            size += sum(len(c.key) + (len(c.value) if isinstance(c, Put) else 0) for c in group[-1][0])
        if not group and not moves:
            return
        number, start = self.active_segment, self.segments[self.active_segment].size + fm.RECORD_SIZE
        parts: list[bytes] = []
        done: list[tuple[str, bytes, int | None, int, bool]] = []  # table, key, place, end of life, whether moved
        try:
            for old, was in moves:
                name, ends = old.table, old.ends
                parts.append(fm.write_entry(number, name.encode(), old.key, old.value, ends))
                done.append((name, old.key, place(number, start, len(parts[-1])), ends, True))
                start += len(parts[-1])
                self.moved_bytes += was & 0xFFFFFFFF
            for changes, _ in group:
                for change in changes:
                    put = isinstance(change, Put)
                    life = change.life_s if isinstance(change, Put) else None
                    ends = 0 if life is None else max(now + int(life * 1e3), 1)
                    parts.append(
                        fm.write_entry(
                            number,
                            change.table.encode(),
                            change.key,
                            change.value if isinstance(change, Put) else None,
                            ends,
                        )
                    )
                    at = place(number, start, len(parts[-1])) if put else None
                    done.append((change.table, change.key, at, ends, False))
                    start += len(parts[-1])
            await self.append(fm.GROUP, b"".join(parts))
        except (OSError, ValueError) as error:
            return self._fail(error, [f for _, f in group])
        for name, key, at, ends, moved in done:
            if at is None:
                self.index.drop(name, key)
            elif moved:
                self.index.moved(name, key, at)
            else:
                self.index.put(name, key, at, ends)
            self.ops.setdefault(name, {})[key] = None if at is None else (at & (1 << 64) - 1, ends)
        for _, future in group:
            if not future.done():
                future.set_result(None)
        self._last_group = size

    async def append(self, kind: int, content: bytes) -> None:
        """One record and its sync. Nothing is appended to a segment before the last record is synced."""
        name, segment = segment_name(self.active_segment), self.segments[self.active_segment]
        sequence = self.sequence + (kind != fm.CLOSE)
        data = fm.write_record(self.active_segment, kind, sequence, self.time, max(self.clock_at, 0), content)
        self.files.append(name, data)
        await self.files.sync(name)
        self.sequence = sequence
        segment.size += len(data)
        self.written_bytes += len(data)

    def _fail(self, error: Exception, futures: list[asyncio.Future[None]]) -> None:
        self.failed = self.failed or f"{type(error).__name__}: {error}"
        self.log.error("store_read_only", reason=self.failed)
        for future in [*futures, *(f for _, f, _ in self._pending)]:
            if not future.done():
                future.set_exception(StoreFailed(self.failed))
        self._pending.clear()
        self._pending_bytes = 0

    async def _roll(self) -> None:
        """Close the segment. The next one lasts before the record that says it must be there."""
        number, first = self.active_segment + 1, self.sequence + 1
        await new_segment(self.files, number, first)
        await self.append(fm.CLOSE, b"")
        ops, closed, self.ops = self.ops, self.active_segment, {}
        self.active_segment = number
        self.segments[number] = Segment(fm.HEAD_SIZE, first)
        task = asyncio.get_running_loop().create_task(write_hint(self, closed, ops, self.sequence, self.trimmed))
        self._others.add(task)
        task.add_done_callback(self._others.discard)

    # --- compaction: the oldest segment's entries that are alive are written again at the end, then it goes ---
    def _moves(self) -> list[tuple[fm.Entry, int]]:
        """What the next step moves: at least as much as writers write, so that it is not outrun."""
        if self.oldest >= self.active_segment:
            return []
        if self._cursor is None:
            self._cursor = self._alive(self.oldest)
        most, size = max(MOVE_LEAST, 2 * self._last_group), 0
        found: list[tuple[fm.Entry, int]] = []
        try:
            for _ in range(MOVE_LOOKS):
                entry = next(self._cursor, None)
                if entry is None:
                    self._cursor = None
                    self._doomed.append(self.oldest)
                    self.oldest += 1
                    break
                if entry[1]:
                    found.append(entry)
                    size += entry[1] & 0xFFFFFFFF
                    if size >= most:
                        break
        except (StoreCorrupted, OSError) as error:
            self._cursor, self.damage = None, error
            self.log.error("compaction_stopped", reason=str(error))
        return found

    def _alive(self, number: int) -> Iterator[tuple[fm.Entry, int]]:
        """Each entry of a segment and its place, 0 for one that no longer counts when it is reached."""
        name = segment_name(number)
        try:
            for record in fm.records(self.files.read(name), number):
                if record.kind == fm.GROUP:
                    for entry in fm.entries(record, number):
                        at = place(number, entry.start, entry.end - entry.start)
                        table = self.index.tables.get(entry.table)
                        yield entry, at if table and table.at.get(entry.key) == at else 0
        except fm.Bad as bad:
            raise StoreCorrupted(name, bad.offset, bad.reason) from None

    async def _remove_doomed(self) -> None:
        """Say which segment is the oldest, then remove those before it, the oldest first and each for good."""
        doomed, self._doomed = self._doomed, []
        await self.append(fm.TRIM, fm.trim_content(doomed[-1] + 1))
        self.trimmed = doomed[-1] + 1
        for number in doomed:
            await self.remove_segment(number)

    async def remove_segment(self, number: int) -> None:
        """Remove a segment and its hint; its going lasts before the next one's."""
        self.segments.pop(number, None)
        if hint_name(number) in self.files.names():
            self.files.remove(hint_name(number))
        self.files.remove(segment_name(number))
        await self.files.sync_folder()
