"""The agent state that survives a restart, and how much of it is restored to the decision module.

Restored state must never let an agent break a rule that an agent without a store would keep:

- The server list is restored as a cached list, which the first list received replaces.
- Of the stage, only what later events cannot revoke: builds before the newest one are not on trial. The newest
  build's stage may have changed, as well as whether it was released or withdrawn, so it is treated as unknown, as
  without a store.
- Attempts on builds under a cap within the exposure window: they can only forbid further attempts. The number of
  requests that the share is measured by is not stored, nor what each server was sent.
- With one-way releases, the build that answered an idempotency key: it can only forbid builds. Above
  `MAX_ANSWERED_KEYS`, once the build is released, a single record stands for all keys.
- Votes are stored for operators and not restored, as the evidence behind them is gone.

Times are those of the store's clock; an attempt is stored at the end of its `BIN_MS` interval.

When the store fails, it is repaired as soon as the disk allows, and what it could not take is written then:
attempts first, then the stage, the list and answered keys. Votes of that time are not stored. If the process ends
before that, the next one is told that attempts may be missing; it sends nothing to a build under a cap until they
no longer count. If answers were missing, the newest build that gave one stands for every key.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from itertools import islice
from typing import TypeVar

import msgspec

from otterquay import interface as it
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.store import Change, Delete, Put, Store, StoreCorrupted, StoreFailed

BIN_MS = 250  # the attempts of one interval are stored as one count per build and class
LIST, STAGE, TRIED, ANSWERED, VOTES = "list", "stage", "tried", "answered", "votes"
_TRIED = struct.Struct(">QIH")  # end of the bin in store time, build, class
VOTE_RETENTION_S = 7 * 86400.0
MAX_ANSWERED_KEYS = 2**18
CLEAR_BATCH_KEYS = 1024  # keys removed in one turn of the event loop
ALL_KEYS = (0).to_bytes(8)
REPAIR_INTERVAL_S = 0.5  # between attempts to repair a failed store
MAX_UNREADABLE_RECORDS = 16  # of a table; the rest is left out, as a failing disk may take seconds for each

T = TypeVar("T")


class AgentStateStore:
    """Writes an agent's state to its store, without waiting for the disk; an attempt counts for `window_ms`."""

    def __init__(self, store: Store, window_ms: float, log: Logger) -> None:
        self._store, self._window_ms, self._log = store, window_ms, log
        self._bin: dict[bytes, int] = {}  # attempts since the last flush, or not taken by the store, by key
        # counts handed to the store of bins that have not ended or are not durable, by key
        self._written: dict[bytes, int] = {}
        self._flushes: dict[bytes, int] = {}  # writes that wait for the disk, by key
        self._timer: asyncio.TimerHandle | None = None
        self._build = 0
        self._vote_count = self._all_keys_build = 0  # votes cast; the build that answered all keys
        self._stored_list: dict[int, news.Entry] = {}
        self._is_list_known = False  # whether this process has received a list
        self._unwritten_answers: dict[bytes, int] = {}  # builds in records that wait for the disk, by key
        self._noted_build = 0  # the newest build that is known on the disk to have given answers that are missing
        self._released_build = 0  # keys answered by builds up to this one are released
        self._is_in_doubt = False  # attempts of an earlier process that still count may be missing
        self._lacks_writes = False  # the store has not taken all that this process had for it
        self._repair_timer: asyncio.TimerHandle | None = None
        self._rewriting: asyncio.Task[None] | None = None
        store.listeners.append(self)
        if store.failed:
            self.store_failed()

    # --- restoring ---
    def recall(self, now_ms: float) -> tuple[news.FleetNews | None, list[it.Event]]:
        """Return the stored list and the events that restore the rest.

        A record that cannot be read is logged and left out; it costs no other record but those of the list, as
        servers missing from it would look as if they had left.
        """
        entries: list[news.Entry] = self._readable(LIST, lambda _, data: msgspec.json.decode(data, type=news.Entry))
        self._stored_list = {entry.server: entry for entry in entries}
        is_whole = len(entries) == self._store.tables().get(LIST, 0)
        fleet = news.FleetNews(0, entries) if entries and is_whole else None
        events: list[it.Event] = []
        self._build = max(self._readable(STAGE, lambda _, value: int(value)), default=0)
        if self._build > 0:
            events.append(
                it.StageNews(self._build - 1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, float("inf"))
            )
        attempts = self._stored_attempts(now_ms)
        answered = self._readable(ANSWERED, lambda key, value: (int.from_bytes(key), int(value)))
        self._all_keys_build = dict(answered).get(0, 0)
        if self._store.was_incomplete:
            answered += self._missing_answers()
            self._doubt()
            events.append(it.AttemptsMissing())
        elif not self._store.failed:
            self._store.request_reserve()
        if attempts or answered:
            events.append(it.Restored(tuple(attempts), tuple(answered)))
        return fleet, events

    def _missing_answers(self) -> list[tuple[int, int]]:
        """Let the newest build whose answers are missing stand for every key, as it is not known for which."""
        build = max(self._store.reserve.numbers(), default=0)
        self._noted_build = build
        if build <= self._all_keys_build:
            return []
        self._all_keys_build = build
        self._write_answer(ALL_KEYS, build)
        return [(0, build)]

    def _doubt(self) -> None:
        """Keep the mark until what may be missing no longer counts: this process may end before."""
        self._is_in_doubt = True
        asyncio.get_running_loop().call_later(self._window_ms / 1e3, self._end_doubt)

    def _end_doubt(self) -> None:
        self._is_in_doubt = False
        self._declare_complete()

    def _readable(self, table: str, decode: Callable[[bytes, bytes], T]) -> list[T]:
        """Decode the key and value of each record of a table, without those that cannot be read."""
        decoded: list[T] = []
        unreadable: list[str] = []
        with self._store.view() as view:
            for key in view.keys(table):
                try:
                    decoded.append(decode(key, view.get(table, key) or b""))
                except Exception as error:  # damage of any kind must not prevent the start
                    unreadable.append(f"{type(error).__name__}: {error}")
                    if len(unreadable) == MAX_UNREADABLE_RECORDS:
                        break
        if unreadable:
            self._log.warning("recall_failed", table=table, records=len(unreadable), reason=unreadable[0])
        return decoded

    def _stored_attempts(self, now_ms: float) -> list[tuple[int, int, float]]:
        store_now = self._store.now()
        shift = now_ms - store_now
        attempts: list[tuple[int, int, float]] = []
        for key, count in self._readable(TRIED, lambda key, value: (_TRIED.unpack(key), int(value))):
            until, build, cls = key
            if until > store_now:  # the bin has not ended: this process may write it again
                self._written[_TRIED.pack(until, build, cls)] = count
            attempts += [(build, cls, min(until + shift, now_ms))] * count
        return attempts

    # --- storing ---
    def list(self, entries: Mapping[int, news.Entry]) -> None:
        """Store the changes of the server list since the last call."""
        self._is_list_known = True
        changes: list[Change] = [
            Delete(LIST, server.to_bytes(8)) for server in self._stored_list if server not in entries
        ]
        changes += [
            Put(LIST, server.to_bytes(8), msgspec.json.encode(entry))
            for server, entry in entries.items()
            if self._stored_list.get(server) != entry
        ]
        self._stored_list = dict(entries)
        if changes:
            self._store.submit(changes)

    def stage(self, stage: it.StageNews) -> None:
        """Store the newest build; a build that is rolled back releases the keys that it answered."""
        back = stage.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN)
        if not back:
            self._released_build = min(self._released_build, stage.build - 1)
        if back or stage.build > self._build:
            self._all_keys_build = 0
            self._release_keys(stage.build if back else stage.build - 1)
        if stage.build > self._build:
            self._build = stage.build
            self._store.submit([Put(STAGE, b"", b"%d" % stage.build)])

    def _release_keys(self, build: int) -> None:
        """Remove keys answered by builds up to this one, also those whose records wait for the disk."""
        self._released_build = max(self._released_build, build)
        unwritten = [key for key, answered_by in self._unwritten_answers.items() if answered_by <= build]
        for start in range(0, len(unwritten), CLEAR_BATCH_KEYS):  # all of them may exceed a store batch
            batch = unwritten[start : start + CLEAR_BATCH_KEYS]
            self._store.submit([Delete(ANSWERED, key) for key in batch])
        for key in unwritten:
            del self._unwritten_answers[key]
        self._clear(build)

    def _clear(self, build: int, first: bytes = b"") -> None:
        """Remove keys answered by builds up to this one, in batches, as all of them may exceed a store batch."""
        if self._store.failed:
            return
        try:
            batch = list(islice(self._store.scan(ANSWERED, first), CLEAR_BATCH_KEYS))
            deletes = [
                Delete(ANSWERED, key)
                for key, value in batch
                if self._unwritten_answers.get(key, int(value)) <= build
            ]
        except (OSError, StoreCorrupted, ValueError) as error:  # the keys stay, and forbid until a later build
            self._log.warning("answered_keys_not_cleared", reason=f"{type(error).__name__}: {error}")
            return
        if deletes:
            self._store.submit(deletes)
        if len(batch) == CLEAR_BATCH_KEYS:
            asyncio.get_running_loop().call_soon(self._clear, build, batch[-1][0] + b"\0")

    def tried(self, build: int, cls: int) -> None:
        """Record an attempt on a build under a cap."""
        until = (self._store.now() // BIN_MS + 1) * BIN_MS
        key = _TRIED.pack(until, build, cls)
        self._bin[key] = self._bin.get(key, 0) + 1
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(BIN_MS / 1e3, self.flush)

    def flush(self) -> None:
        """Write the attempts since the last flush to the store, added to what their bins already have there.

        A bin may be written several times: by flushes in the middle of it, by processes that follow one another
        within it, and for as long as store time stands.
        """
        self._submit_attempts()

    def _submit_attempts(self) -> asyncio.Future[None] | None:
        """Like `flush`; returns what is done once the attempts are durable, None if nothing was submitted."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        added = self._bin
        if not added:
            return None
        counts = {key: self._written.get(key, 0) + count for key, count in added.items()}
        retention_s = (self._window_ms + 4 * BIN_MS) / 1e3
        written = self._store.submit([Put(TRIED, key, b"%d" % count, retention_s) for key, count in counts.items()])
        if written is None:
            self._forget_ended(retention_s * 1e3)
            return None
        self._bin = {}
        self._written |= counts
        for key in added:
            self._flushes[key] = self._flushes.get(key, 0) + 1
        written.add_done_callback(partial(self._flushed, added))
        return written

    def _flushed(self, added: Mapping[bytes, int], written: asyncio.Future[None]) -> None:
        """Forget counts of bins that have ended; counts that were not written are written with the next flush."""
        is_lost = written.exception() is not None
        now = self._store.now()
        for key, count in added.items():
            self._flushes[key] -= 1
            if is_lost:
                self._bin[key] = self._bin.get(key, 0) + count
                self._written[key] -= count
            if not self._flushes[key]:
                del self._flushes[key]
        self._written = {
            key: count
            for key, count in self._written.items()
            if key in self._bin or key in self._flushes or _TRIED.unpack(key)[0] > now
        }

    def _forget_ended(self, retention_ms: float) -> None:
        """Drop the attempts, kept for a store that takes no writes, that would have ended there."""
        oldest = self._store.now() - retention_ms
        self._bin = {key: count for key, count in self._bin.items() if _TRIED.unpack(key)[0] > oldest}

    # --- a store that fails and is repaired ---
    def store_failed(self) -> None:
        """Note on the disk that answers are missing, and try to repair the store until that succeeds."""
        self._lacks_writes = True
        if self._unwritten_answers:
            self._note_missing_answer(max(self._unwritten_answers.values()))
        self._schedule_repair()

    def _schedule_repair(self) -> None:
        if self._repair_timer is None:
            self._repair_timer = asyncio.get_running_loop().call_later(REPAIR_INTERVAL_S, self._repair)

    def _repair(self) -> None:
        self._repair_timer = None
        if self._store.failed and self._store.is_repairable:
            self._store.start_repair()
            self._schedule_repair()

    def store_repaired(self) -> None:
        """Write what the store could not take."""
        self._rewriting = asyncio.get_running_loop().create_task(self._rewrite())

    async def _rewrite(self) -> None:
        try:
            if attempts := self._submit_attempts():
                await attempts
            for batch in self._state_batches():
                await self._store.commit(batch)
            self._clear(self._released_build)
            await self._rewrite_answers()
        except StoreFailed:
            return  # it is repaired again
        except (OSError, StoreCorrupted, ValueError) as error:  # the mark stays
            self._log.warning("state_not_rewritten", reason=f"{type(error).__name__}: {error}")
            return
        self._lacks_writes = False
        self._declare_complete()

    async def _rewrite_answers(self) -> None:
        records = list(self._unwritten_answers.items())
        for start in range(0, len(records), CLEAR_BATCH_KEYS):
            written = [self._write_answer(*record) for record in records[start : start + CLEAR_BATCH_KEYS]]
            await asyncio.gather(*(future for future in written if future))

    def _state_batches(self) -> Iterator[Sequence[Change]]:
        """The newest build, and the server list whole."""
        if self._build > 0:
            yield [Put(STAGE, b"", b"%d" % self._build)]
        if self._is_list_known:
            entries = {server.to_bytes(8): entry for server, entry in self._stored_list.items()}
            with self._store.view() as view:
                gone = [Delete(LIST, key) for key in view.keys(LIST) if key not in entries]
            puts = [Put(LIST, key, msgspec.json.encode(entry)) for key, entry in entries.items()]
            yield [*gone, *puts]

    def _declare_complete(self) -> None:
        """Remove the mark that writes are missing, unless some are, or those of an earlier process still count."""
        if not self._lacks_writes and not self._is_in_doubt:
            self._noted_build = 0
            self._store.declare_complete()

    def _note_missing_answer(self, build: int) -> None:
        if build <= self._noted_build:
            return
        try:
            self._store.reserve.note(build)
            self._noted_build = build
        except OSError as error:
            self._log.error("missing_answer_not_noted", build=build, reason=str(error))

    def answered(self, key: int, build: int, capped: bool) -> None:
        """Record the build that answered a keyed request under one-way releases; `capped`: it is on trial."""
        record_key = key.to_bytes(8)
        if (
            build < self._build
            or build <= self._all_keys_build
            or self._unwritten_answers.get(record_key, 0) >= build
            or self._stored_answer(record_key) >= build
        ):
            return
        kept = self._store.tables().get(ANSWERED, 0) + len(self._unwritten_answers)
        if not capped and kept >= MAX_ANSWERED_KEYS:
            record_key, self._all_keys_build = ALL_KEYS, build
        self._write_answer(record_key, build)
        if record_key == ALL_KEYS:  # after the write, so that no key is unprotected in between
            self._clear(build, ALL_KEYS + b"\0")

    def _stored_answer(self, record_key: bytes) -> int:
        """The build of a record; 0 if there is none or it cannot be read, so that it is written anew."""
        try:
            return int(self._store.get(ANSWERED, record_key) or b"0")
        except (OSError, StoreCorrupted, ValueError) as error:
            self._log.warning("answered_key_unreadable", reason=f"{type(error).__name__}: {error}")
            return 0

    def _write_answer(self, record_key: bytes, build: int) -> asyncio.Future[None] | None:
        """Write a record that readers of the store see only once it is synced; one that fails is written again."""

        def done(written: asyncio.Future[None]) -> None:
            if written.exception() is None and self._unwritten_answers.get(record_key) == build:
                del self._unwritten_answers[record_key]

        self._unwritten_answers[record_key] = build
        written = self._store.submit([Put(ANSWERED, record_key, b"%d" % build)])
        if written:
            written.add_done_callback(done)
        else:
            self._note_missing_answer(build)
        return written

    def voted(self, vote: it.CastVote) -> None:
        """Record a vote."""
        self._vote_count += 1
        key = self._vote_key()
        while self._store.has(VOTES, key):  # of a process that voted in the same millisecond of store time
            self._vote_count += 1
            key = self._vote_key()
        self._store.submit(
            [
                Put(
                    VOTES,
                    key,
                    msgspec.json.encode(
                        {"build": vote.build, "stage": vote.stage, "verdict": vote.verdict.name.lower()}
                    ),
                    VOTE_RETENTION_S,
                )
            ]
        )

    def _vote_key(self) -> bytes:
        return self._store.now().to_bytes(8) + self._vote_count.to_bytes(4)
