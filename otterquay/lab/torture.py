"""Torture tests of the store: truncation and bit flips at every byte, crashes at every step, processes killed.

Each trial counts the cases and the violated guarantees: acknowledged data that is `lost`, data that was never
written (`invented`) and partial batches (`half_shown`). The command is `otterquay lab store-torture`; the tests run
the same trials with small numbers.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from xxhash import xxh3_64_digest

from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.store import (
    Change,
    Delete,
    Options,
    Put,
    Store,
    StoreCorrupted,
    StoreFailed,
    open_store,
    read_boot_id,
)
from otterquay.store import format as fm
from otterquay.store.files import BackgroundSyncDisk, Disk

T = TypeVar("T")
State = dict[tuple[str, bytes], tuple[bytes, int]]  # value and expiry in ms of store time, 0 for none
SMALL_OPTIONS = Options(segment_bytes=700, slack=1.5)


@dataclass(slots=True)
class Count:
    """Counts of the cases tried and of the guarantees violated."""

    cuts: int = 0
    flips: int = 0
    crash_states: int = 0
    kills: int = 0
    lost: int = 0
    invented: int = 0
    half_shown: int = 0
    notes: list[str] = field(default_factory=list)

    def add(self, other: Count) -> None:
        """Add the counts of another trial."""
        for name, value in asdict(other).items():
            setattr(self, name, getattr(self, name) + value)

    def failure_count(self) -> int:
        """Number of violated guarantees."""
        return self.lost + self.invented + self.half_shown

    def check_state(self, found: State | None, allowed: list[State], where: str) -> None:
        """Count a violation unless `found` is one of the `allowed` states, the oldest of which comes first.

        `found` is None for a store that had to open and did not.
        """
        if found is not None and found in allowed:
            return
        required, possible = (set(allowed[0]), set(allowed[0])) if allowed else (set(), set())
        for state in allowed:
            required, possible = required & set(state), possible | set(state)
        if found is None or required - set(found):
            self.lost += 1
        elif set(found) - possible:
            self.invented += 1
        else:
            self.half_shown += 1
        self.notes.append(where)


class Clock:
    """A settable clock, in seconds, and the boot that it counts from."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        self.boots = 1

    def __call__(self) -> float:
        return self.now

    @property
    def boot_id(self) -> str:
        """The name of the boot that the clock counts from."""
        return f"boot {self.boots}"

    def reboot(self, now: float) -> None:
        """Count from another boot, as after a move to a machine that has been up for `now` seconds."""
        self.boots += 1
        self.now = now


def run_sync(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that never suspends, as with a simulated disk; usable inside a running event loop."""
    try:
        work.send(None)
    except StopIteration as done:
        value: T = done.value
        return value
    raise RuntimeError("the coroutine suspended")


def read_all(store: Store) -> State:
    """Read all entries; StoreCorrupted if one cannot be read."""
    found = State()
    for name in store.tables():
        expiry_times = store.index.tables[name].expiry_times
        for key, value in store.scan(name):
            found[name, key] = value, expiry_times.get(key, 0)
    return found


def apply_changes(state: State, changes: list[Change], now: int) -> State:
    """The reference model: the state after a batch that is committed at store time `now`."""
    after = dict(state)
    for change in changes:
        table_key = change.table, change.key
        if isinstance(change, Delete):
            after.pop(table_key, None)
        else:
            after[table_key] = change.value, 0 if change.ttl_s is None else max(now + int(change.ttl_s * 1e3), 1)
    return after


def unexpired(state: State, now: int) -> State:
    """The entries of a state that have not expired at `now`."""
    return {key: (value, expires_at) for key, (value, expires_at) in state.items() if not 0 < expires_at <= now}


def random_batch(rng: random.Random) -> list[Change]:
    """A few changes over two tables and a dozen keys; some expire soon."""
    changes: list[Change] = []
    for _ in range(rng.randint(1, 4)):
        table, key = rng.choice(["votes", "ledger"]), b"k%d" % rng.randrange(12)
        if rng.random() < 0.2:
            changes.append(Delete(table, key))
        else:
            ttl = rng.choice([None, None, None, 5.0])
            changes.append(Put(table, key, rng.randbytes(rng.choice([0, 3, 40])), ttl))
    return changes


class Reference:
    """A small store that uses all features, with its state after every record."""

    def __init__(self, seed: int) -> None:
        self.disk, self.clock = FaultDisk(), Clock()
        self.states: dict[int, State] = {0: {}}  # by sequence number of the newest record
        asyncio.run(self._fill(random.Random(seed)))
        self.files = self.disk.contents()
        self.last = max(n for n in self.files if n.endswith(".seg"))

    async def _fill(self, rng: random.Random) -> None:
        store = await open_store(self.disk, silent(), self.clock, SMALL_OPTIONS, boot_id=self.clock.boot_id)
        state: State = {}
        while (
            store.oldest < 4
            or store.active_segment - store.oldest < 3
            or not (300 < store.segments[store.active_segment].size < 700)
        ):
            self.clock.now += rng.random()
            changes = random_batch(rng)
            before = store.sequence
            await store.commit(changes)
            state = apply_changes(state, changes, store.time)
            for _ in range(4):
                await asyncio.sleep(0)  # lets compaction and the next segment follow the commit
            for sequence in range(before + 1, store.sequence + 1):
                self.states[sequence] = state
        await store.close()
        for sequence in range(1, store.sequence + 1):
            self.states.setdefault(sequence, self.states[sequence - 1])

    def open_and_read(self, files: dict[str, bytes]) -> tuple[Store | None, State | None]:
        """Open a store and read all entries; None if either reports damage."""
        try:
            store = run_sync(
                open_store(FaultDisk(files), silent(), self.clock, SMALL_OPTIONS, boot_id=self.clock.boot_id)
            )
            return store, read_all(store)
        except StoreCorrupted:
            return None, None

    def expected(self, sequence: int, store: Store) -> State:
        """The state that readers must see after this record."""
        return unexpired(self.states[sequence], store.time)


def truncate_everywhere(reference: Reference) -> Count:
    """Truncate each file at each byte.

    The store must reject the truncation of any segment but the last, which loses its torn tail only.
    """
    count = Count()
    last_sequence = max(reference.states)
    for name, data in reference.files.items():
        for length in range(len(data)):
            count.cuts += 1
            store, found = reference.open_and_read({**reference.files, name: data[:length]})
            where = f"{name} truncated at {length}"
            if name == reference.last and length >= fm.HEADER_SIZE:
                number = int(name[:16], 16)
                lost_records = sum(1 for r in fm.records(data, number) if r.end > length)
                allowed = reference.expected(last_sequence - lost_records, store) if store else {}
                count.check_state(found, [allowed], where)
            elif name.endswith(".hint"):
                count.check_state(found, [reference.expected(last_sequence, store)] if store else [], where)
            elif store is not None:
                count.check_state({("shown", b""): (b"", 0)}, [reference.expected(last_sequence, store)], where)
    return count


def flip_everywhere(reference: Reference) -> Count:
    """Flip a bit in each byte of each file.

    The flip must be reported or have no effect, or the newest record is taken for a torn tail.
    """
    count = Count()
    last_sequence = max(reference.states)
    for name, data in reference.files.items():
        for at in range(len(data)):
            count.flips += 1
            flipped = bytearray(data)
            flipped[at] ^= 1 << at % 8
            store, found = reference.open_and_read({**reference.files, name: bytes(flipped)})
            if store is None or found is None:
                continue
            allowed = [reference.expected(last_sequence, store)]
            if store.truncated_bytes and name == reference.last:
                newest = list(fm.records(data, int(name[:16], 16)))[-1]
                if at >= newest.start:
                    allowed.append(reference.expected(last_sequence - 1, store))
            count.check_state(found, allowed, f"{name} flipped at {at}")
    return count


def crash_everywhere(seed: int, steps: int = 30, variants: int = 4) -> Count:
    """Crash before every operation of a random workload, in several ways, and again during some recoveries."""
    rng, crashes, count = random.Random(seed), random.Random(seed + 1), Count()
    disk, clock = FaultDisk(), Clock()
    acknowledged: State = {}
    in_flight: list[State] = []

    def check(crashed: FaultDisk, depth: int) -> None:
        count.crash_states += 1
        if depth and crashes.random() < 0.1:
            crashed.before_change = lambda: check(crashed.after_power_loss(crashes), depth - 1)
        try:
            store = run_sync(open_store(crashed, silent(), clock, SMALL_OPTIONS, boot_id=clock.boot_id))
            found: State | None = read_all(store)
            allowed = [unexpired(s, store.time) for s in (acknowledged, *in_flight)]
        except StoreCorrupted as error:
            found, allowed = None, [{}]
            count.notes.append(str(error))
        count.check_state(found, allowed, f"seed {seed}: crash state {count.crash_states}")

    def crash_now() -> None:
        for _ in range(variants):
            check(disk.after_power_loss(crashes), 1)
        check(disk.after_kill(), 1)

    async def run() -> None:
        nonlocal disk, acknowledged
        disk.before_change = crash_now
        store = await open_store(disk, silent(), clock, SMALL_OPTIONS, boot_id=clock.boot_id)
        for _ in range(steps):
            clock.now += rng.random()
            if rng.random() < 0.1:
                await store.compact()
            if rng.random() < 0.1:  # restart the process, perhaps on another machine
                disk.before_change = lambda: None
                await store.close()
                disk = disk.after_kill()
                if rng.random() < 0.5:
                    clock.reboot(now=rng.uniform(0.0, 2000.0))
                disk.before_change = crash_now
                store = await open_store(disk, silent(), clock, SMALL_OPTIONS, boot_id=clock.boot_id)
            group = [random_batch(rng) for _ in range(rng.choice([1, 1, 3]))]
            store.now()
            for changes in group:
                in_flight.append(apply_changes(in_flight[-1] if in_flight else acknowledged, changes, store.time))
            await asyncio.gather(*(store.commit(b) for b in group))
            acknowledged = in_flight[-1]
            in_flight.clear()
        disk.before_change = lambda: None
        await store.close()

    try:
        asyncio.run(run())
    except (StoreFailed, StoreCorrupted) as error:  # must not happen on a disk without faults
        count.check_state(None, [{}], f"seed {seed}: {error}")
    return count


# --- real processes ---
WRITER_COUNT = 16
ROWS_PER_WRITER = 40


def expected_value(writer: int, number: int) -> bytes:
    """The value that a writer's batch with this number writes."""
    return xxh3_64_digest(b"%d/%d" % (writer, number)) * (1 + number % 20)


async def write_until_killed(folder: Path, background_sync: bool) -> None:
    """Run in the process that is killed: 16 writers, each committing one batch over three tables at a time."""
    disk = BackgroundSyncDisk(folder) if background_sync else Disk(folder)
    store = await open_store(
        disk, silent(), asyncio.get_running_loop().time, Options(segment_bytes=64 * 1024), boot_id=read_boot_id()
    )

    async def write(writer: int) -> None:
        name = b"%d" % writer
        number = int(store.get("first", name) or b"0")
        os.write(1, b"%d %d\n" % (writer, number))
        while True:
            number += 1
            await store.commit(
                [
                    Put("first", name, b"%d" % number),
                    Put("rows", b"%d/%d" % (writer, number), expected_value(writer, number)),
                    Delete("rows", b"%d/%d" % (writer, number - ROWS_PER_WRITER)),
                    Put("second", name, b"%d" % number),
                ]
            )
            os.write(1, b"%d %d\n" % (writer, number))

    await asyncio.gather(*(write(w) for w in range(WRITER_COUNT)))


async def kill_repeatedly(seed: int, kills: int, folder: Path, on_kill: Callable[[], None] = lambda: None) -> Count:
    """Kill the writing process at random times; the store must have what it acknowledged on its pipe."""
    rng, count = random.Random(seed), Count()
    acknowledged = dict.fromkeys(range(WRITER_COUNT), 0)
    for kill in range(kills):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "otterquay.lab.torture",
            str(folder),
            "aside" if kill % 2 else "",
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        lines, max_lines = 0, rng.choice([rng.randint(0, 40), rng.randint(100, 2000)])
        while lines < max_lines and (line := await process.stdout.readline()):
            writer_number, _, last = line.partition(b" ")
            acknowledged[int(writer_number)], lines = int(last), lines + 1
        process.kill()
        for line in (await process.stdout.read()).splitlines(keepends=True):
            if line.endswith(b"\n"):  # a complete line: acknowledged before the kill
                writer_number, _, last = line.partition(b" ")
                acknowledged[int(writer_number)] = int(last)
        await process.wait()
        count.kills += 1
        on_kill()
        try:
            clock = asyncio.get_running_loop().time
            store = await open_store(Disk(folder), silent(), clock, boot_id=read_boot_id())
        except StoreCorrupted as error:
            count.lost += 1
            count.notes.append(str(error))
            return count
        for writer, number in acknowledged.items():
            name = b"%d" % writer
            first, second = (int(store.get(t, name) or b"0") for t in ("first", "second"))
            rows = {key: value for key, value in store.scan("rows", name + b"/", name + b"0")}
            wanted = {
                b"%d/%d" % (writer, n): expected_value(writer, n)
                for n in range(max(first - ROWS_PER_WRITER, 0) + 1, first + 1)
            }
            count.lost += first < number
            count.invented += first > number + 1
            count.half_shown += first != second or rows != wanted
            acknowledged[writer] = first
        await store.close()
    return count


if __name__ == "__main__":
    asyncio.run(write_until_killed(Path(sys.argv[1]), bool(sys.argv[2:] and sys.argv[2])))
