"""The store: group commit, reads, views, segment rolling and compaction.

Guarantees:

- `commit` returns once its batch is synced; from then on it survives anything but damage to the files.
- Batches are atomic, and are applied in the order in which they were submitted.
- Readers see a batch once it is synced, never part of it; a view sees the state at the time it was opened.
- After any write or sync error the store is read-only and reports the reason: what reached the disk is unknown, and
  a second sync that succeeds would prove nothing. Reads go on. `start_repair` discards what was not synced and
  makes the store writable again (`repair.py`); a mark on the disk tells later processes that writes are missing
  (`reserve.py`), until `declare_complete` removes it.
- Opening truncates a torn tail (logged and counted) and rejects damage anywhere else, with file and offset.
- Entries expire by store time (`clock.py`), which never goes back and never runs faster than real time: it stands
  while the clock is set back and over a reboot. An expired entry does not reappear while the store is open.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Protocol

from otterquay.logs import Logger
from otterquay.ordered_set import OrderedSet
from otterquay.store import format as fm
from otterquay.store.clock import StoreClock
from otterquay.store.definitions import (
    MAX_GROUP_BYTES,
    MAX_PENDING_BYTES,
    MAX_STEP_ENTRIES,
    MIN_MOVE_LIMIT_BYTES,
    Change,
    KeyChanges,
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
from otterquay.store.index import Index, Undo, pack_place, unpack_place
from otterquay.store.repair import repair_log
from otterquay.store.reserve import Reserve
from otterquay.store.view import View


class StoreListener(Protocol):
    """Is told when a store fails and when it is writable again."""

    def store_failed(self) -> None:
        """All batches that wait have failed, and no more are taken."""
        ...

    def store_repaired(self) -> None:
        """Batches are taken again; those that failed are not stored."""
        ...


class Store:
    """An open store, created by `otterquay.store.open_store`."""

    def __init__(self, files: Files, log: Logger, clock: StoreClock, options: Options) -> None:
        self.files, self.log, self.options = files, log, options
        self.clock = clock
        self.index = Index()
        self.segments: dict[int, Segment] = {}
        self.active_segment = self.sequence = 0  # number of the segment being written; of the last record
        self.oldest = 1  # oldest segment that compaction has not finished
        self.trimmed_to = 1  # oldest segment by the newest durable TRIM; open views keep segments before `oldest`
        self.truncated_bytes = 0  # torn bytes that opening cut off
        self.failed: str | None = None
        self.is_repairable = True  # not if it was opened read-only or is closed
        self.reserve = Reserve(files, log)
        self.was_incomplete = False  # whether, when it was opened, writes of an earlier process were missing
        self.listeners: list[StoreListener] = []
        self.compaction_error: StoreCorrupted | OSError | None = None  # reason why compaction stopped
        self.key_changes: KeyChanges = {}  # of the active segment, for its hint
        self.moved_bytes = self.written_bytes = 0
        self._pending: deque[tuple[Sequence[Change], asyncio.Future[None], int]] = deque()
        self._pending_bytes = 0
        self._writer: asyncio.Task[None] | None = None
        self._hint_tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._compaction_cursor: Iterator[tuple[fm.Entry, int]] | None = None
        self._compact_up_to = 0  # newest segment that `compact` asked to compact
        self._compaction_waiters: list[asyncio.Future[None]] = []
        self._removable_segments: list[int] = []
        self._last_group_bytes = 0
        self._is_reserve_requested = False

    # --- time ---
    def now(self) -> int:
        """Store time in ms."""
        return self.clock.now()

    @property
    def time(self) -> int:
        """Store time in ms at the last call of `now`."""
        return self.clock.time

    # --- reading ---
    def get(self, table: str, key: bytes) -> bytes | None:
        """The value of a key, or None.

        OSError or StoreCorrupted: this value cannot be read; others still can.
        """
        place = self.index.find(table, key, self.now())
        return None if place is None else self.read_value(place)

    def has(self, table: str, key: bytes) -> bool:
        """Whether a key has a value; its record is not read."""
        return self.index.find(table, key, self.now()) is not None

    def read_value(self, place: int) -> bytes:
        """The value of the entry at a place."""
        return self._entry(place).value or b""

    def _entry(self, place: int) -> fm.Entry:
        number, offset, length = unpack_place(place)
        data = self.files.read(segment_name(number), offset, length)
        try:
            return fm.read_entry(data, 0, number, offset)
        except fm.FormatError as error:
            raise StoreCorrupted(segment_name(number), error.offset, error.reason) from None

    def view(self) -> View:
        """A consistent snapshot of the store as it is now."""
        undo = Undo(self.now())
        self.index.open_views.append(undo)
        return View(self, undo)

    def close_view(self, undo: Undo) -> None:
        """Drop a view's undo log; once no view is open, compacted segments can be removed."""
        self.index.open_views.remove(undo)
        if self._removable_segments and not self.index.open_views:
            self._ensure_writer()

    def scan(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `first` up to but without `before` in order, as of the first call of the iterator."""
        with self.view() as view:
            yield from view.scan(table, first, before)

    def tables(self) -> dict[str, int]:
        """The number of live keys in each table."""
        now = self.now()
        while self.index.expire(now, 10_000):
            pass
        return {name: len(t.places) for name, t in sorted(self.index.tables.items()) if t.places}

    def total_bytes(self) -> int:
        """Total size of all segments."""
        return sum(s.size for s in self.segments.values())

    # --- writing ---
    async def commit(self, changes: Sequence[Change]) -> None:
        """Write a batch and wait until it is durable. Batches submitted during a sync share the next one.

        ValueError: a change exceeds the limits and nothing is written. StoreFailed: the batch may be stored or not.
        """
        await self._enqueue(changes)

    def submit(self, changes: Sequence[Change]) -> asyncio.Future[None] | None:
        """Like `commit`, without waiting: a failure is logged and makes the store read-only.

        Returns what is done once the batch is durable or has failed; None if the store takes no writes.
        """
        try:
            written = self._enqueue(changes)
        except StoreFailed:
            return None
        written.add_done_callback(lambda done: done.exception())
        return written

    def _enqueue(self, changes: Sequence[Change]) -> asyncio.Future[None]:
        if self.failed:
            raise StoreFailed(self.failed)
        size = 0
        for change in changes:
            value = change.value if isinstance(change, Put) else b""
            if not 0 < len(change.table.encode()) <= fm.MAX_TABLE_BYTES:
                raise ValueError(f"table name must have 1 to {fm.MAX_TABLE_BYTES} bytes: {change.table[:40]!r}")
            if len(change.key) > fm.MAX_KEY_BYTES or len(value) > fm.MAX_VALUE_BYTES:
                raise ValueError(
                    f"key of {len(change.key)} bytes and value of {len(value)} bytes: "
                    f"the limits are {fm.MAX_KEY_BYTES} and {fm.MAX_VALUE_BYTES}"
                )
            size += fm.ENTRY_HEADER_SIZE + fm.MAX_TABLE_BYTES + len(change.key) + len(value)
        if size > fm.MAX_BATCH_BYTES:
            raise ValueError(f"a batch of about {size} bytes exceeds the limit of {fm.MAX_BATCH_BYTES}")
        # the whole store fails: dropping only this batch would break the order of the later ones
        if self._pending_bytes + size > MAX_PENDING_BYTES:
            self.fail(OSError(f"the disk does not keep up, {self._pending_bytes} bytes are pending"))
            raise StoreFailed(self.failed or "")
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append((list(changes), done, size))
        self._pending_bytes += size
        self._ensure_writer()
        return done

    async def compact(self) -> None:
        """Rewrite the live entries of all current segments and remove those.

        StoreFailed: the store is read-only. StoreCorrupted, OSError: compaction stopped.
        """
        if self.failed:
            raise StoreFailed(self.failed)
        self._compact_up_to = max(self._compact_up_to, self.active_segment)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._compaction_waiters.append(done)
        self._ensure_writer()
        await done
        if self.failed:
            raise StoreFailed(self.failed)
        if self.compaction_error:
            raise self.compaction_error

    async def close(self) -> None:
        """Write all pending batches, then close the files."""
        while self._writer and not self._writer.done():
            await asyncio.wait([self._writer])
        self.is_repairable = False
        self.failed = self.failed or "closed"
        for task in self._hint_tasks:
            task.cancel()
        await self.files.close()

    async def commit_entries(self, entries: Sequence[fm.Entry]) -> None:
        """Commit entries as they are, with their expiry in store time."""
        for i in range(0, len(entries), MAX_STEP_ENTRIES):
            now = self.now()
            await self.commit(
                [
                    Put(e.table, e.key, e.value or b"", (e.expires_at - now) / 1e3 if e.expires_at else None)
                    for e in entries[i : i + MAX_STEP_ENTRIES]
                ]
            )

    def _ensure_writer(self) -> None:
        if (self._writer is None or self._writer.done()) and not self.failed:
            self._writer = asyncio.get_running_loop().create_task(self._run_writer())

    def _needs_compaction(self) -> bool:
        """Whether compaction was requested, or the segments take more space than the options allow."""
        if self.compaction_error:
            return False
        if self.oldest <= self._compact_up_to:
            return True
        total = sum(s.size for n, s in self.segments.items() if n >= self.oldest)
        return self.oldest < self.active_segment and total > (
            self.options.slack * self.index.live_bytes + 2 * self.options.segment_bytes
        )

    async def _run_writer(self) -> None:
        """Write pending batches and the entries that compaction moves, one group at a time, until none are left."""
        try:
            while not self.failed and (
                self._pending
                or self._needs_compaction()
                or self._is_reserve_requested
                or (self._removable_segments and not self.index.open_views)
            ):
                await self._write_group()
                if self.failed:
                    break
                if self._removable_segments and not self.index.open_views:
                    await self._remove_compacted_segments()
                if (
                    self.segments[self.active_segment].size >= self.options.segment_bytes
                    or self.active_segment <= self._compact_up_to
                ):
                    await self._roll_segment()
                if self._compaction_waiters and (self.compaction_error or self.oldest > self._compact_up_to):
                    self._finish_compaction()
                if self._is_reserve_requested and not self._pending:
                    self._is_reserve_requested = False
                    await self.reserve.restore()
                await asyncio.sleep(0)
        except (OSError, ValueError) as error:
            self.fail(error)
        self._finish_compaction()

    def _finish_compaction(self) -> None:
        for future in self._compaction_waiters:
            if not future.done():
                future.set_result(None)
        self._compaction_waiters.clear()

    async def _write_group(self) -> None:
        """Write one record with pending batches and compaction's moves, sync it, then update the index."""
        now = self.now()
        self.index.expire(now, MAX_STEP_ENTRIES)
        moves = self._next_moves() if self._needs_compaction() else []
        group, size = [], 0
        while self._pending and size < MAX_GROUP_BYTES:
            changes, future, size_estimate = self._pending.popleft()
            group.append((changes, future))
            self._pending_bytes -= size_estimate
            size += sum(len(c.key) + (len(c.value) if isinstance(c, Put) else 0) for c in group[-1][0])
        if not group and not moves:
            return
        number, offset = self.active_segment, self.segments[self.active_segment].size + fm.RECORD_HEADER_SIZE
        encoded: list[bytes] = []
        done: list[tuple[str, bytes, int | None, int, bool]] = []  # table, key, place, expiry, whether it is a move
        try:
            # before the batches: a change of the same key in this group is newer and must be applied later
            for entry, old_place in moves:
                name, expires_at = entry.table, entry.expires_at
                encoded.append(fm.write_entry(number, name.encode(), entry.key, entry.value, expires_at))
                done.append((name, entry.key, pack_place(number, offset, len(encoded[-1])), expires_at, True))
                offset += len(encoded[-1])
                self.moved_bytes += old_place & 0xFFFFFFFF
            for changes, _ in group:
                for change in changes:
                    is_put = isinstance(change, Put)
                    ttl_s = change.ttl_s if isinstance(change, Put) else None
                    expires_at = 0 if ttl_s is None else max(now + int(ttl_s * 1e3), 1)
                    encoded.append(
                        fm.write_entry(
                            number,
                            change.table.encode(),
                            change.key,
                            change.value if isinstance(change, Put) else None,
                            expires_at,
                        )
                    )
                    place = pack_place(number, offset, len(encoded[-1])) if is_put else None
                    done.append((change.table, change.key, place, expires_at, False))
                    offset += len(encoded[-1])
            await self.append(fm.GROUP, b"".join(encoded))
        except (OSError, ValueError) as error:
            return self.fail(error, [f for _, f in group])
        for name, key, place, expires_at, is_move in done:
            if place is None:
                self.index.remove(name, key)
            elif is_move:
                self.index.relocate(name, key, place)
            else:
                self.index.put(name, key, place, expires_at)
            self.key_changes.setdefault(name, {})[key] = (
                None if place is None else (place & (1 << 64) - 1, expires_at)
            )
        for _, future in group:
            if not future.done():
                future.set_result(None)
        self._last_group_bytes = size

    async def append(self, kind: int, content: bytes) -> None:
        """Append a record and sync it. No record is appended before the one before it is synced."""
        name, segment = segment_name(self.active_segment), self.segments[self.active_segment]
        sequence = self.sequence + (kind != fm.CLOSE)
        data = fm.write_record(self.active_segment, kind, sequence, self.clock.timestamp(), content)
        self.files.append(name, data)
        await self.files.sync(name)
        self.sequence = sequence
        segment.size += len(data)
        self.written_bytes += len(data)

    def fail(self, error: Exception, futures: Sequence[asyncio.Future[None]] = ()) -> None:
        """Make the store read-only and fail the given and all pending batches."""
        had_failed = self.failed is not None
        self.failed = self.failed or f"{type(error).__name__}: {error}"
        self.log.error("store_read_only", reason=self.failed)
        for future in [*futures, *(f for _, f, _ in self._pending)]:
            if not future.done():
                future.set_exception(StoreFailed(self.failed))
        self._pending.clear()
        self._pending_bytes = 0
        if not had_failed:
            self._is_reserve_requested = False
            self.reserve.spend()
            for listener in self.listeners:
                listener.store_failed()

    # --- after a failure ---
    def request_reserve(self) -> None:
        """Set the space for the mark aside after the next write, if it is not there."""
        self._is_reserve_requested = True

    def declare_complete(self) -> None:
        """Remove the mark that writes are missing, once all batches submitted so far are durable."""
        if not self.failed:
            self.request_reserve()
            self._ensure_writer()

    def start_repair(self) -> None:
        """Try to make a failed store writable again, in the background; the listeners are told when it is."""
        is_writing = self._writer is not None and not self._writer.done()
        if self.failed and self.is_repairable and not is_writing:
            self._writer = asyncio.get_running_loop().create_task(self._run_repair())

    async def _run_repair(self) -> None:
        try:
            await repair_log(self)
        except OSError as error:
            self.log.debug("store_not_repaired", reason=str(error))
            return
        self.failed = None
        self.log.warning("store_writable_again")
        for listener in self.listeners:
            listener.store_repaired()
        await self._run_writer()

    def restart_compaction(self) -> None:
        """Begin compaction again at the oldest segment that the log needs."""
        self._compaction_cursor = None
        self._removable_segments = []
        self.oldest = self.trimmed_to

    async def _roll_segment(self) -> None:
        """Start the next segment, then close this one: the CLOSE requires that the next segment is durable."""
        number, first = self.active_segment + 1, self.sequence + 1
        await new_segment(self.files, number, first)
        await self.append(fm.CLOSE, b"")
        key_changes, closed, self.key_changes = self.key_changes, self.active_segment, {}
        self.active_segment = number
        self.segments[number] = Segment(fm.HEADER_SIZE, first)
        task = asyncio.get_running_loop().create_task(
            write_hint(self, closed, key_changes, self.sequence, self.trimmed_to)
        )
        self._hint_tasks.add(task)
        task.add_done_callback(self._hint_tasks.discard)

    # --- compaction: live entries of the oldest segment are rewritten to the active one, then it is removed ---
    def _next_moves(self) -> list[tuple[fm.Entry, int]]:
        """The entries that the next step moves: twice what writers just wrote, so that compaction keeps up."""
        if self.oldest >= self.active_segment:
            return []
        if self._compaction_cursor is None:
            self._compaction_cursor = self._live_entries(self.oldest)
        max_bytes, size = max(MIN_MOVE_LIMIT_BYTES, 2 * self._last_group_bytes), 0
        found: list[tuple[fm.Entry, int]] = []
        try:
            for _ in range(MAX_STEP_ENTRIES):
                entry = next(self._compaction_cursor, None)
                if entry is None:
                    self._compaction_cursor = None
                    self._removable_segments.append(self.oldest)
                    self.oldest += 1
                    break
                if entry[1]:
                    found.append(entry)
                    size += entry[1] & 0xFFFFFFFF
                    if size >= max_bytes:
                        break
        except (StoreCorrupted, OSError) as error:
            self._compaction_cursor, self.compaction_error = None, error
            self.log.error("compaction_stopped", reason=str(error))
        return found

    def _live_entries(self, number: int) -> Iterator[tuple[fm.Entry, int]]:
        """Each entry of a segment with its place, or 0 if the entry is no longer live when it is reached."""
        name = segment_name(number)
        try:
            for record in fm.records(self.files.read(name), number):
                if record.kind == fm.GROUP:
                    for entry in fm.entries(record, number):
                        place = pack_place(number, entry.start, entry.end - entry.start)
                        table = self.index.tables.get(entry.table)
                        yield entry, place if table and table.places.get(entry.key) == place else 0
        except fm.FormatError as error:
            raise StoreCorrupted(name, error.offset, error.reason) from None

    async def _remove_compacted_segments(self) -> None:
        """Write a TRIM that names the oldest segment left, then remove those before it, the oldest first."""
        removable, self._removable_segments = self._removable_segments, []
        await self.append(fm.TRIM, fm.write_trim(removable[-1] + 1))
        self.trimmed_to = removable[-1] + 1
        for number in removable:
            await self.remove_segment(number)

    async def remove_segment(self, number: int) -> None:
        """Remove a segment and its hint durably, before the next one is removed."""
        self.segments.pop(number, None)
        if hint_name(number) in self.files.names():
            self.files.remove(hint_name(number))
        self.files.remove(segment_name(number))
        await self.files.sync_folder()
