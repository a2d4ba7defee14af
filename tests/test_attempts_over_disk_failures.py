"""Attempts under a cap, and what else an agent stores, over a disk that fails for a time; on simulated time."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import pytest
from attempts_rig import COUNTED_MS, SYNC_MS, WINDOW_MS, Processes, now_ms, run, sleep_ms, sleep_to_bin, slow_disk
from rig import service

from otterquay import interface as it
from otterquay.agent.http_agent import HttpAgent
from otterquay.agent.state_store import ALL_KEYS, AgentStateStore
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.protocol.news import Entry
from otterquay.store import Put, Store, open_store
from otterquay.store.repair import PAGE_BYTES
from otterquay.store.reserve import RESERVE_FILE

REPAIRED_MS = 1500.0  # by then a disk that works again has all


def fill(processes: Processes) -> None:
    processes.disk.capacity = sum(len(data) for data in processes.disk.contents().values())


def give_room(processes: Processes) -> None:
    processes.disk.capacity = None


def fail_syncs(processes: Processes) -> None:
    def fail(operation: str, name: str) -> None:
        if operation.startswith("sync"):
            raise OSError(errno.EIO, "Input/output error")

    processes.disk.fail = fail


def mend(processes: Processes) -> None:
    processes.disk.fail = lambda operation, name: None


def entry(server: int) -> Entry:
    return Entry(server, "a", "ready", 1, f"127.0.0.1:{server}", 1)


def trial(build: int) -> it.StageNews:
    return it.StageNews(build, 0, it.Phase.TRIAL, False, it.Status.OK, 0.1, 0.0)


FAILURES = [(fill, give_room), (fail_syncs, mend)]
Change = Callable[[Processes], None]


async def fail_after_three_attempts(processes: Processes, fail: Change) -> None:
    """Three attempts are stored, then five and four more meet a disk that fails."""
    await sleep_to_bin()
    processes.send(3)
    await processes.written()
    fail(processes)
    for count in (5, 4):
        processes.send(count)
        await sleep_ms(300.0)
    assert processes.store.failed


# --- attempts ---
@pytest.mark.parametrize(("fail", "work_again"), FAILURES)
@pytest.mark.parametrize("end", ["stop", "kill"])
def test_attempts_are_written_once_the_disk_works_again(fail: Change, work_again: Change, end: str) -> None:
    """Guards against a store that stays read-only until the process is restarted, and the counts it was handed."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fail)
        work_again(processes)
        await sleep_ms(REPAIRED_MS)
        if end == "stop":
            await processes.stop()
        else:
            processes.kill()
        await processes.start()
        assert processes.lost() == processes.invented() == {}
        assert sum(1 for _ in processes.restored) == 12 and not processes.is_incomplete

    run(work())


@pytest.mark.parametrize(("fail", "work_again"), FAILURES)
@pytest.mark.parametrize("end", ["stop", "kill"])
def test_a_process_that_ends_before_the_disk_works_tells_the_next_one(
    fail: Change, work_again: Change, end: str
) -> None:
    """Guards against a cap that is free again, as nothing tells that attempts are missing."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fail)
        if end == "stop":
            await processes.stop()
        else:
            processes.kill()
        give_room(processes)
        await processes.start()
        assert processes.is_incomplete
        await sleep_ms(COUNTED_MS / 2)
        processes.kill()
        await processes.start()
        assert processes.is_incomplete, "the process that knew ended while they still count"
        await sleep_ms(COUNTED_MS + 500.0)
        processes.kill()
        await processes.start()
        assert not processes.is_incomplete

    run(work())


def test_a_process_that_cannot_open_the_store_tells_the_next_one() -> None:
    """Guards against attempts that none knows of, as a process runs without its store while the disk is full."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.send(3)
        await processes.written()
        await processes.stop()
        fill(processes)
        with pytest.raises(OSError, match="No space left"):
            await processes.start()
        give_room(processes)
        await processes.start()
        assert processes.is_incomplete and processes.lost() == {}

    run(work())


def test_an_agent_without_its_store_keeps_caps_closed() -> None:
    """Guards against an agent whose store cannot be opened and that sends as if it had sent nothing before."""

    async def work() -> None:
        for is_state_missing in (False, True):
            agent = HttpAgent(service(), random.Random(1), silent(), is_state_missing=is_state_missing)
            assert list(agent._initial_events(now_ms())) == [it.AttemptsMissing()] * is_state_missing

    run(work())


def test_a_start_that_knows_of_nothing_missing_is_told_nothing() -> None:
    """Guards against agents that keep a cap closed after an ordinary restart, or with a folder of before."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        assert not processes.is_incomplete
        for end in ("kill", "stop", "kill"):
            processes.send(3)
            await sleep_ms(400.0)
            if end == "stop":
                await processes.stop()
            else:
                processes.kill()
            await processes.start()
            assert not processes.is_incomplete and processes.lost() == {}
        await processes.stop()
        del processes.disk.files[RESERVE_FILE]
        await processes.start()
        assert not processes.is_incomplete and processes.lost() == {}

    run(work())


def test_a_repair_does_not_end_the_doubt_about_an_earlier_process() -> None:
    """Guards against a mark that a process removes once all of its own is written, and not what was lost before."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        processes.kill()
        give_room(processes)
        await processes.start()
        fail_syncs(processes)
        processes.send(1)
        await sleep_ms(600.0)
        mend(processes)
        await sleep_ms(REPAIRED_MS)
        assert not processes.store.failed
        processes.kill()
        await processes.start()
        assert processes.is_incomplete

    run(work())


@pytest.mark.parametrize("failed_before_ms", range(0, 2500, 100))
@pytest.mark.parametrize("cut_after_ms", [150.0, 1000.0])
def test_the_end_of_the_doubt_does_not_remove_the_mark_of_a_later_failure(
    failed_before_ms: int, cut_after_ms: float
) -> None:
    """Guards against a mark that is removed as earlier attempts no longer count, while newer ones are missing."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        processes.kill()
        give_room(processes)
        slow_disk(SYNC_MS, processes.disk)
        await processes.start()
        assert processes.is_incomplete
        doubt_ends_ms = now_ms() + COUNTED_MS
        await sleep_ms(COUNTED_MS - 700.0 - failed_before_ms)
        fail_syncs(processes)
        processes.send(3)
        processes.state.answered(7, 2, True)
        await sleep_ms(700.0)
        mend(processes)
        await sleep_ms(doubt_ends_ms + cut_after_ms - now_ms())
        processes.cut_power()
        await processes.start()
        assert processes.is_incomplete or processes.lost() == {}
        assert processes.is_incomplete or processes.store.has("answered", (7).to_bytes(8))

    run(work())


@pytest.mark.parametrize("killed_after_ms", range(0, 6000, 50))
def test_the_mark_stays_until_a_slow_disk_has_what_was_missing(killed_after_ms: int) -> None:
    """Guards against a mark that is removed before the counts that it stands for are on the disk."""

    async def work() -> None:
        processes = Processes(slow_disk(SYNC_MS))
        await processes.start()
        fail_syncs(processes)
        processes.send(3)
        await sleep_ms(800.0)
        mend(processes)
        await sleep_ms(killed_after_ms)
        processes.kill()
        await processes.start()
        assert processes.is_incomplete or processes.lost() == {}

    run(work())


@dataclass
class FailingOnce:
    """A disk that fails at one more operation, the nth of those that change something."""

    number: int
    count: int = 0

    def __call__(self, operation: str, name: str) -> None:
        if operation != "read":
            self.count += 1
            if self.count == self.number:
                raise OSError(errno.EIO, "Input/output error")


def test_a_second_failure_at_any_operation_of_the_repair_loses_nothing_unnoticed() -> None:
    """Guards against a mark that is removed, or counts that are given up, by a repair that fails itself."""
    was_reached = True

    async def failed_again(number: int, killed_after_ms: float) -> None:
        nonlocal was_reached
        processes = Processes()
        await processes.start()
        processes.state.list({1: entry(1)})
        processes.state.answered(7, 2, True)
        await fail_after_three_attempts(processes, fill)
        give_room(processes)
        second = FailingOnce(number)
        processes.disk.fail = second
        await sleep_ms(killed_after_ms)
        processes.kill()
        await processes.start()
        assert processes.invented() == {}
        assert processes.is_incomplete or processes.lost() == {}, (number, killed_after_ms)
        was_reached = second.count >= number or killed_after_ms < REPAIRED_MS
        assert killed_after_ms < 2 * REPAIRED_MS or not processes.is_incomplete, number

    number = 0
    while was_reached:
        number += 1
        for killed_after_ms in (450.0, 500.0, 600.0, 1100.0, 2 * REPAIRED_MS):
            run(failed_again(number, killed_after_ms))
    assert number > 10


# --- what else a failed store is handed ---
def test_list_stage_and_answers_are_written_once_the_disk_works_again() -> None:
    """Guards against a cached list, a build and answered keys that stay as they were before the failure."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.state.list({1: entry(1), 2: entry(2)})
        processes.state.stage(trial(2))
        for key in (5, 6):
            processes.state.answered(key, 2, True)
        await fail_after_three_attempts(processes, fill)
        processes.state.list({2: entry(2), 3: entry(3)})
        processes.state.stage(trial(3))  # releases the keys of build 2
        processes.state.answered(7, 3, True)
        give_room(processes)
        await sleep_ms(REPAIRED_MS)
        assert not processes.state._unwritten_answers
        processes.kill()
        await processes.start()
        fleet, events = AgentStateStore(processes.store, WINDOW_MS, silent()).recall(now_ms())
        assert fleet and [e.server for e in fleet.entries] == [2, 3]
        assert [e.build for e in events if isinstance(e, it.StageNews)] == [2]  # the builds before 3 are settled
        assert [e.answered for e in events if isinstance(e, it.Restored)] == [((7, 3),)]

    run(work())


def test_a_list_of_before_is_not_replaced_by_what_was_readable_of_it() -> None:
    """Guards against servers that look as if they had left, as a repair came before the first list."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.state.list({1: entry(1)})
        await processes.store.commit([Put("list", (2).to_bytes(8), b"{ torn")])
        await processes.stop()
        await processes.start()
        fail_syncs(processes)
        processes.send(1)
        await sleep_ms(600.0)
        mend(processes)
        await sleep_ms(REPAIRED_MS)
        assert not processes.store.failed
        assert len(list(processes.store.scan("list"))) == 2

    run(work())


def test_answers_that_a_failed_store_could_not_keep_hold_for_every_key() -> None:
    """Guards against a key that goes back to an earlier build, as the process that knew better has ended."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        processes.state.answered(7, 2, True)
        processes.state.answered(8, 3, True)
        processes.kill()
        give_room(processes)
        for _ in range(2):  # of the second start the record tells
            await processes.start()
            stored = [(int.from_bytes(key), int(value)) for key, value in processes.store.scan("answered")]
            await sleep_ms(COUNTED_MS + 500.0)
            processes.kill()
        assert stored == [(int.from_bytes(ALL_KEYS), 3)]

    run(work())


def test_attempts_kept_for_a_failed_store_go_when_they_no_longer_count() -> None:
    """Guards against memory that grows for as long as the disk is full."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        await processes.send_evenly(50.0, 20_000.0)
        bins = (WINDOW_MS + 4 * 250.0) / 250.0 + 2
        assert len(processes.state._bin) <= bins and len(processes.state._written) <= bins

    run(work())


class Listener:
    """Counts how often a store fails and is repaired, and may act on it."""

    def __init__(self, store: Store) -> None:
        self.failures = self.repairs = 0
        self.on_failure: Callable[[], None] = lambda: None
        self.on_repair: Callable[[], None] = lambda: None
        store.listeners.append(self)

    def store_failed(self) -> None:
        self.failures += 1
        self.on_failure()

    def store_repaired(self) -> None:
        self.repairs += 1
        self.on_repair()


@pytest.mark.parametrize("room_bytes", [0, 1000, PAGE_BYTES])
def test_a_disk_with_little_room_is_not_taken_for_one_that_works(room_bytes: int) -> None:
    """Guards against a repair whose record fits and that ends with the next write, each half second."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        listener = Listener(processes.store)
        fill(processes)
        assert processes.disk.capacity is not None
        processes.disk.capacity += room_bytes
        await processes.send_evenly(50.0, 3000.0)
        assert (listener.repairs, listener.failures) == ((1, 0) if room_bytes == PAGE_BYTES else (0, 0))

    run(work())


def test_a_disk_that_fails_again_and_again_is_not_tried_more_and_more_often() -> None:
    """Guards against a series of trials of its own for each failure."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        listener = Listener(processes.store)
        listener.on_failure = partial(mend, processes)
        listener.on_repair = partial(fail_syncs, processes)
        tries, start_repair = 0, processes.store.start_repair

        def counted() -> None:
            nonlocal tries
            tries += 1
            start_repair()

        processes.store.start_repair = counted  # type: ignore[method-assign]
        fail_syncs(processes)
        processes.send(1)
        await sleep_ms(4250.0)
        assert 7 <= listener.repairs <= tries <= 8

    run(work())


# --- a store that is opened on a disk that works, by a version that knows no mark ---
def test_the_mark_is_a_file_that_opening_passes_over() -> None:
    """Guards against a mark that keeps a read-only opening from the store."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await fail_after_three_attempts(processes, fill)
        reader = await open_store(
            FaultDisk(processes.disk.contents()), silent(), asyncio.get_running_loop().time, read_only=True
        )
        assert reader.was_incomplete and reader.tables()["tried"]
        reader.start_repair()
        assert reader.failed == "opened read-only"

    run(work())
