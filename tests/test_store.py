"""The store under cuts, flips, lost and torn writes, and failing disks: what was acknowledged is there."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from otterquay.cli import main
from otterquay.logs import silent
from otterquay.store import Damaged, Store, StoreFailed
from otterquay.store import engine as en
from otterquay.store import format as fm
from otterquay.store.files import Disk

State = dict[tuple[str, bytes], bytes]


class Memory:
    """A disk in memory that knows what was synced. `fail` may raise before an operation."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.files = {name: bytearray(data) for name, data in (files or {}).items()}
        self.synced = {name: len(data) for name, data in self.files.items()}
        self.named = set(self.files)  # names as the folder last synced has them
        self.gone: dict[str, tuple[bytes, int]] = {}
        self.fail: Callable[[str, str], None] = lambda operation, name: None
        self.locked = False
        self.moment: Callable[[], None] = lambda: None

    def _do(self, operation: str, name: str) -> None:
        self.moment()
        self.fail(operation, name)

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def create(self, name: str) -> None:
        self._do("create", name)
        if name in self.files:
            raise FileExistsError(name)
        self.files[name], self.synced[name] = bytearray(), 0

    def append(self, name: str, data: bytes) -> None:
        self._do("append", name)
        self.files[name] += data

    def truncate(self, name: str, size: int) -> None:
        self._do("truncate", name)
        del self.files[name][size:]
        self.synced[name] = min(self.synced[name], size)

    def sync(self, name: str) -> None:
        self._do("sync", name)
        self.synced[name] = len(self.files[name])

    def rename(self, old: str, new: str) -> None:
        self._do("rename", old)
        self.files[new], self.synced[new] = self.files.pop(old), self.synced.pop(old)

    def remove(self, name: str) -> None:
        self._do("remove", name)
        self.gone[name] = bytes(self.files.pop(name)), self.synced.pop(name)

    def sync_folder(self) -> None:
        self._do("sync_folder", "")
        self.gone = {}
        self.named = set(self.files)

    def lock(self) -> bool:
        was, self.locked = self.locked, True
        return not was

    def close(self) -> None:
        self.locked = False

    def crashed(self, rng: random.Random) -> dict[str, bytes]:
        """A state that a crash now may leave: unsynced bytes lost, torn, out of order; names too."""
        left: dict[str, bytes] = {}
        for name, data in self.files.items():
            if name not in self.named and rng.random() < 0.5:
                continue  # its name never reached the folder
            sure, rest = bytes(data[: self.synced[name]]), bytearray(data[self.synced[name] :])
            rest = rest[: rng.randint(0, len(rest))]
            if rest and rng.random() < 0.5:  # pages reach the disk in any order: a hole of zeros
                at = rng.randrange(len(rest))
                hole = rest[at : at + rng.randint(1, 40)]
                rest[at : at + len(hole)] = bytes(len(hole))
            left[name] = sure + bytes(rest)
        for name, (data, _) in self.gone.items():
            if rng.random() < 0.5:
                left[name] = data  # its removal never reached the folder
        return left


def held(store: Store) -> State:
    return {(name, key): value for name in store.tables() for key, value in store.scan(name)}


def apply(state: State, changes: list[fm.Change]) -> State:
    after = dict(state)
    for table, key, value in changes:
        if value is None:
            after.pop((table, key), None)
        else:
            after[table, key] = value
    return after


def open_(files: Any, segment: int = 600) -> Store:
    return Store.open(files, silent(), segment)


def batch(rng: random.Random) -> list[fm.Change]:
    return [(rng.choice(["votes", "ledger"]), b"k%d" % rng.randrange(12),
             None if rng.random() < 0.2 else rng.randbytes(rng.choice([0, 3, 40])))
            for _ in range(rng.randint(1, 4))]


async def work(store: Store, rng: random.Random, states: list[State], steps: int, compact: bool = True) -> None:
    """Groups of batches, and now and then a compaction; `states` gets what holds after each acknowledged batch."""
    for _ in range(steps):
        if compact and rng.random() < 0.15:
            await store.compact()
            continue
        group = [batch(rng) for _ in range(rng.choice([1, 1, 3]))]
        waiting = [asyncio.ensure_future(store.commit(b)) for b in group]
        for one, changes in zip(waiting, group, strict=True):
            await one
            states.append(apply(states[-1], changes))


def test_what_is_written_is_there_after_opening_anew(tmp_path: Path) -> None:
    async def run() -> None:
        rng, states = random.Random(1), [State()]
        for _ in range(5):
            store = open_(Disk(tmp_path / "s"))
            assert held(store) == states[-1]
            await work(store, rng, states, 40)
            assert list(store.scan("votes", b"k1", b"k3")) == sorted(
                (k, v) for (t, k), v in states[-1].items() if t == "votes" and b"k1" <= k < b"k3")
            store.close()
            with pytest.raises(StoreFailed, match="closed"):
                await store.commit([("a", b"b", b"c")])
        assert len(list((tmp_path / "s").glob("*.base"))) == 1
    asyncio.run(run())


def filled() -> tuple[dict[str, bytes], list[State], list[tuple[str, int]]]:
    """A store with base and segments, all states it went through, and where each batch of the last segment ends."""
    files, states, ends = Memory(), [State()], list[tuple[str, int]]()

    async def run() -> None:
        store, rng = open_(files), random.Random(3)
        await work(store, rng, states, 25)
        await store.compact()
        for _ in range(14):
            await work(store, rng, states, 1, compact=False)
            ends.append((en.log_name(store._number), len(files.files[en.log_name(store._number)])))

    asyncio.run(run())
    return {n: bytes(d) for n, d in files.files.items()}, states, ends


def test_cut_at_every_byte_of_every_file() -> None:
    whole, states, _ = filled()
    last = max(n for n in whole if n.endswith(".log"))
    assert len(whole) >= 3
    opened = refused = 0
    for name, data in whole.items():
        for cut in range(len(data)):
            try:
                store = open_(Memory({**whole, name: data[:cut]}))
            except Damaged as damage:
                refused += 1
                assert name <= damage.name <= last and name != last, "a cut between records shows in the next file"
                continue
            opened += 1
            assert name == last and held(store) in states, "a state that once held, no half batch"
            offset, keep = fm.HEAD_SIZE, 0
            for record in fm.records(data, int(name[:16], 16)):
                keep += record.end <= cut
                offset = record.end
            lost = sum(1 for _ in fm.records(data, int(name[:16], 16))) - keep
            assert held(store) == states[len(states) - 1 - lost], "all that ends before the cut is there"
            assert offset == len(data)
    assert opened == len(whole[last]) and refused > 200


def test_a_flip_at_every_byte_is_detected_or_harmless() -> None:
    whole, states, _ = filled()
    last = max(n for n in whole if n.endswith(".log"))
    records = list(fm.records(whole[last], int(last[:16], 16)))
    group = [r for r in records if r.synced == records[-1].synced]
    for name, data in whole.items():
        for at in range(len(data)):
            flipped = bytearray(data)
            flipped[at] ^= 1 << at % 8
            try:
                store = open_(Memory({**whole, name: bytes(flipped)}))
            except Damaged as damage:
                assert damage.name == name
                continue
            assert held(store) in states
            if held(store) != states[-1]:  # only the last group may look torn, and that is said
                assert store.cut_bytes > 0 and name == last and at >= group[0].start


def test_a_file_that_is_gone_is_missed() -> None:
    whole, _, _ = filled()
    last = max(n for n in whole if n.endswith(".log"))
    for name in whole:
        if name != last:
            with pytest.raises(Damaged):
                open_(Memory({n: d for n, d in whole.items() if n != name}))


def crash_everywhere(seed: int) -> int:
    """Crash at every operation of a workload, in several ways each; AssertionError where a promise is broken."""
    files, states, rng = Memory(), [State()], random.Random(seed)
    crashes = random.Random(seed + 1)
    tried, broken = 0, list[str]()

    def moment() -> None:
        nonlocal tried
        for _ in range(8):
            left = files.crashed(crashes)
            tried += 1
            try:  # what goes wrong is told at the end: an error raised here would end in the loop's log
                if held(open_(Memory(left))) not in [*states[-1:], *inside]:
                    broken.append("an acknowledged batch is lost, or a half one shown")
            except Exception as error:
                broken.append(f"what a crash left does not open: {error!r}")

    inside: list[State] = []

    async def run() -> None:
        store = open_(files)
        files.moment = moment
        for _ in range(18):
            inside.clear()
            if rng.random() < 0.25:
                await store.compact()
                continue
            group = [batch(rng) for _ in range(rng.choice([1, 3]))]
            state = states[-1]
            for changes in group:
                state = apply(state, changes)
                inside.append(state)
            await asyncio.gather(*(store.commit(b) for b in group))
            states.append(state)
            inside.clear()
        files.moment = lambda: None

    asyncio.run(run())
    assert not broken, broken[:3]
    return tried


@pytest.mark.parametrize("seed", range(6))
def test_a_crash_at_every_step_leaves_all_that_was_acknowledged(seed: int) -> None:
    assert crash_everywhere(seed) > 300


def no_sync(self: Memory, name: str) -> None:
    self._do("sync", name)


def no_folder(self: Memory) -> None:
    self._do("sync_folder", "")


def no_tag(number: int, kind: int, sequence: int, synced: int, content: bytes) -> int:
    return 7


@pytest.mark.parametrize("mutant", ["no sync", "no folder sync", "no tag", "removed before the base lasts"])
def test_each_promise_has_a_mutant_that_is_caught(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if mutant == "no sync":
        monkeypatch.setattr(Memory, "sync", no_sync)
    elif mutant == "no folder sync":
        monkeypatch.setattr(Memory, "sync_folder", no_folder)
    elif mutant == "no tag":
        monkeypatch.setattr(fm, "_tag", no_tag)
    else:
        roll = Store._roll

        def early(self: Store) -> None:
            roll(self)  # the first step of a compaction, and here also its last
            if self._number > 1:
                self._files.remove(en.log_name(self._number - 1))
                self._files.sync_folder()

        monkeypatch.setattr(Store, "_roll", early)
    caught = 0
    for seed in range(6):
        try:
            crash_everywhere(seed)
        except AssertionError:
            caught += 1
    assert caught >= 3


@pytest.mark.parametrize("operation", ["append", "sync", "create", "rename", "sync_folder"])
def test_after_an_error_of_the_disk_nothing_more_is_taken_and_reading_goes_on(operation: str) -> None:
    async def run() -> None:
        files = Memory()
        store = open_(files)
        await store.commit([("t", b"a", b"1")])

        def full(what: str, name: str) -> None:
            if what == operation:
                raise OSError(28, "No space left on device")

        files.fail = full
        with pytest.raises(StoreFailed, match="No space left"):
            if operation in ("append", "sync"):
                await asyncio.gather(store.commit([("t", b"b", b"2")]), store.commit([("t", b"c", b"3")]))
            else:
                await store.compact()
        files.fail = lambda *_: None
        with pytest.raises(StoreFailed, match="No space left"):
            await store.commit([("t", b"d", b"4")])
        assert store.get("t", b"a") == b"1" and store.get("t", b"b") is None
        again = open_(Memory({n: bytes(d) for n, d in files.files.items()}))
        assert again.get("t", b"a") == b"1" and again.get("t", b"d") is None
    asyncio.run(run())


def test_a_second_writer_is_refused_and_a_killed_one_leaves_the_lock(tmp_path: Path) -> None:
    store = open_(Disk(tmp_path))
    code = ("import sys; from pathlib import Path\nfrom otterquay.store import Store, StoreFailed\n"
            "from otterquay.store.files import Disk\nfrom otterquay.logs import silent\n"
            "try:\n    Store.open(Disk(Path(sys.argv[1])), silent())\n"
            "except StoreFailed as error:\n    sys.exit(7)\nimport os; os._exit(0)")

    def other() -> int:
        return subprocess.run([sys.executable, "-c", code, str(tmp_path)], check=False).returncode

    assert other() == 7
    store.close()
    assert other() == 0
    open_(Disk(tmp_path)).close()


def test_the_commands_tell_what_is_there_and_what_is_damaged(tmp_path: Path) -> None:
    async def run() -> None:
        store = open_(Disk(tmp_path))
        await store.commit([("t", b"\x01", b"\x02")])
        await store.compact()
        store.close()

    def call(*words: str) -> tuple[int, str]:
        found = CliRunner().invoke(main, ["store", *words, str(tmp_path)])
        return found.exit_code, found.output

    asyncio.run(run())
    assert call("verify") == (0, f"{tmp_path}: whole\n")
    assert call("dump") == (0, '{"table": "t", "key": "01", "value": "02"}\n')
    assert '"t": 1' in call("stat")[1]
    base = next(tmp_path.glob("*.base"))
    data = bytearray(base.read_bytes())
    data[40] ^= 1
    base.write_bytes(bytes(data))
    code, text = call("verify")
    assert code == 1 and f"{base.name}: offset 32" in text


def test_a_later_version_is_refused_and_a_torn_group_is_cut_whole() -> None:
    files = Memory()

    async def run() -> None:
        store = open_(files, 10000)
        await store.commit([("t", b"a", b"1")])
        await asyncio.gather(*(store.commit([("t", b"%d" % i, b"x" * 30)]) for i in range(3)))

    asyncio.run(run())
    name = next(iter(files.files))
    data = bytes(files.files[name])
    records = list(fm.records(data, 1))
    hole = bytearray(data)  # the group's first record never reached the disk, the later ones did
    hole[records[1].start + 4 : records[1].end] = b"\0" * (records[1].end - records[1].start - 4)
    store = open_(Memory({name: bytes(hole)}))
    assert held(store) == {("t", b"a"): b"1"} and store.cut_bytes == len(data) - records[1].start
    damaged = bytearray(data)
    damaged[records[0].start + fm.RECORD_SIZE] ^= 1
    with pytest.raises(Damaged, match=f"offset {records[0].start}"):
        open_(Memory({name: bytes(damaged)}))
    later = bytearray(data)
    later[8] = 9
    with pytest.raises(Damaged, match="written by version 9"):
        open_(Memory({name: bytes(later)}))
