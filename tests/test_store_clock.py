"""Store time: what lives by it over clocks set back, restarts, reboots and moves to another machine."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path

import pytest
from store_rig import open_test_store, values

from otterquay.lab import torture as tt
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.store import Put, hints, open_store, read_boot_id
from otterquay.store import format as fm
from otterquay.store import salvage as rc
from otterquay.store.clock import boot_tag


def test_expired_entries_stay_expired_when_the_clock_is_set_back() -> None:
    async def run() -> None:
        disk, clock = FaultDisk(), tt.Clock(5000.0)
        store = await open_test_store(disk, clock=clock)
        await store.commit(
            [Put("t", b"short", b"1", 10.0), Put("t", b"long", b"2", 100.0), Put("t", b"ever", b"3")]
        )
        clock.now += 9.9
        assert store.get("t", b"short") == b"1"
        clock.now = 0.0  # set back: store time stays as it is, then advances with the clock again
        assert store.get("t", b"short") == b"1"
        clock.now = 0.2
        assert store.get("t", b"short") is None and store.get("t", b"long") == b"2"
        with store.view() as view:
            clock.now += 200
            assert store.tables() == {"t": 1} and store.get("t", b"long") is None
            assert view.get("t", b"long") == b"2" and [k for k, _ in view.scan("t")] == [b"ever", b"long"]
        await store.commit([Put("t", b"more", b"4", 50.0)])
        await store.close()
        clock.now = 3.0  # a reboot: the clock starts at zero
        again = await open_test_store(disk.after_kill(), clock=clock)
        assert [k for k, _ in again.scan("t")] == [b"ever", b"more"]
        clock.now += 49.9
        assert again.get("t", b"more") == b"4"
        clock.now += 0.2
        assert again.get("t", b"more") is None
        await again.commit([Put("t", b"more", b"5")])
        await again.compact()
        clock.now += 1e6
        assert values(again) == {("t", b"ever"): b"3", ("t", b"more"): b"5"}

    asyncio.run(run())


# what version 2 wrote at 1,000 s of its clock, before records had the tag of a boot: one key for 5 s, one for ever
FOLDER_WITHOUT_BOOTS = {
    f"{1:016x}.seg": bytes.fromhex(
        "6f7173746f7265000200030000000000010000000000000001000000000000001ce2e61f4c3d3da1"
        "d76f71723900000001000000010000000000000040420f000000000040420f00000000000979dd9649c52924"
        "a3b0e20e0001090001000000c8550f0000000000746c697665732035207331"
        "5bafd79400010400010000000000000000000000746576657232"
    ),
    "format": bytes.fromhex("6f7173746f726500020005000000000000000000000000000000000000000000287773eedc0e97da"),
}
FIRST_STORE_TIME_MS = 1_000_000


@pytest.mark.parametrize("boot_id", ["boot 1", None])
@pytest.mark.parametrize("clock_s", [3.0, 1001.0, 9999.0])
def test_a_folder_of_before_boots_opens_with_all_that_lived(boot_id: str | None, clock_s: float) -> None:
    async def run() -> None:
        disk, clock = FaultDisk(FOLDER_WITHOUT_BOOTS), tt.Clock(clock_s)
        store = await open_test_store(disk, clock=clock, boot_id=boot_id)
        assert values(store) == {("t", b"lives 5 s"): b"1", ("t", b"ever"): b"2"}
        assert store.time == FIRST_STORE_TIME_MS and store.sequence == (1 if boot_id is None else 2)
        clock.now += 4.9
        assert store.get("t", b"lives 5 s") == b"1"
        clock.now += 0.2
        assert store.get("t", b"lives 5 s") is None
        await store.close()

    asyncio.run(run())


def test_records_without_a_boot_are_those_of_before_boots() -> None:
    segment = FOLDER_WITHOUT_BOOTS[f"{1:016x}.seg"]
    record = next(fm.records(segment, 1))
    timestamp = fm.Timestamp(FIRST_STORE_TIME_MS, FIRST_STORE_TIME_MS, fm.UNKNOWN_BOOT)
    assert record.timestamp == timestamp
    assert fm.write_record(1, fm.GROUP, 1, timestamp, record.content) == segment[record.start : record.end]


@pytest.mark.parametrize(
    ("boot_ids", "elapsed_ms"),
    [(("a", "a"), 7000), (("a", "b"), 0), ((None, "a"), 0), (("a", None), 0), ((None, None), 0)],
)
@pytest.mark.parametrize("opened_by", ["agent", "reader", "repair"])
def test_the_time_since_the_last_record_counts_within_one_boot(
    boot_ids: tuple[str | None, str | None], elapsed_ms: int, opened_by: str
) -> None:
    """Guards against the difference between clocks of two boots taken for elapsed time."""

    async def run() -> None:
        disk, clock = FaultDisk(), tt.Clock(50.0)
        first, second = boot_ids
        store = await open_test_store(disk, clock=clock, boot_id=first)
        await store.commit([Put("t", b"key", b"value", 5.0)])
        before = store.time
        clock.now += 7.0
        moved = disk.after_kill()
        if opened_by == "reader":
            store = await open_store(moved, silent(), clock, read_only=True, boot_id=second)
        else:
            if opened_by == "repair":
                damaged, moved = moved, FaultDisk()
                await rc.salvage(damaged, moved, silent(), clock, second)
            store = await open_test_store(moved, clock=clock, boot_id=second)
        assert store.time == before + elapsed_ms
        assert store.get("t", b"key") == (None if elapsed_ms else b"value")

    asyncio.run(run())


def test_a_crash_while_a_store_opens_on_another_machine_advances_no_time() -> None:
    """Guards against a record that recovery writes with the clock of one boot and the tag of another."""
    clock, crashed, opened = tt.Clock(50.0), list[FaultDisk](), 0

    async def write() -> None:
        disk, rng = FaultDisk(), random.Random(3)
        disk.before_change = lambda: crashed.append(disk.after_kill())
        store = await open_test_store(disk, clock=clock, boot_id=clock.boot_id)
        for _ in range(40):
            await store.commit(tt.random_batch(rng))
            for _ in range(4):
                await asyncio.sleep(0)  # lets the next segment and the hint follow

    def open_and_check_time(disk: FaultDisk) -> None:
        nonlocal opened
        opened += 1
        store = tt.run_sync(open_test_store(disk, clock=clock, boot_id=clock.boot_id))
        assert store.time == (written_ms if store.sequence else int(clock.now * 1e3))

    asyncio.run(write())
    written_ms = int(clock.now * 1e3)
    clock.reboot(now=9000.0)
    for disk in list(crashed):
        crashed_again = list[FaultDisk]()
        disk.before_change = lambda disk=disk, left=crashed_again: left.append(disk.after_kill())  # type: ignore[misc]
        open_and_check_time(disk)
        for left in crashed_again:
            open_and_check_time(left)
    assert opened > 200


def test_processes_of_one_boot_and_time_namespace_read_one_boot_id(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "from otterquay.store import read_boot_id; print(read_boot_id())"]
    found = subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()
    assert found == str(read_boot_id())
    boot, offsets = tmp_path / "boot_id", tmp_path / "offsets"
    assert read_boot_id(boot, offsets) is None, "no such file"
    boot.write_text("")
    assert read_boot_id(boot, offsets) is None, "empty"
    boot.write_text("2cd36009\n")
    without_namespaces = read_boot_id(boot, offsets)
    offsets.write_text("monotonic           0         0\n")
    first_namespace = read_boot_id(boot, offsets)
    offsets.write_text("monotonic        3600         0\n")
    assert len({without_namespaces, first_namespace, read_boot_id(boot, offsets), None}) == 4
    offsets.unlink()
    offsets.mkdir()
    assert read_boot_id(boot, offsets) is None, "not readable"


def test_no_boot_has_the_tag_of_records_without_one() -> None:
    tags = [boot_tag(f"boot {number}") for number in range(10_000)]
    assert min(tags) > fm.UNKNOWN_BOOT == boot_tag(None) and max(tags) <= fm.MAX_BOOT_TAG
    assert len(set(tags)) > 9_990


def test_a_hint_that_is_newer_than_the_records_after_it_advances_no_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against store time of a slow hint put together with the clock reading of an earlier record."""
    monkeypatch.setattr(hints, "HINT_KEYS", 1)  # keys between two turns of the event loop

    async def run() -> None:
        disk, clock = FaultDisk(), tt.Clock(50.0)
        store = await open_test_store(disk, clock=clock)
        key_count = 0
        while store.active_segment == 1:
            key_count += 1
            await store.commit([Put("t", b"%d" % key_count, b"value")])
        await store.commit([Put("t", b"last", b"", 5.0)])
        clock.now += 0.5
        written_ms = store.now()
        for _ in range(2 * key_count):
            await asyncio.sleep(0)
        assert fm.read_closing(list(fm.records(disk.read(f"{1:016x}.hint"), 1))[-1].content)
        again = await open_test_store(disk.after_kill(), clock=clock)
        assert again.time == written_ms

    asyncio.run(run())
