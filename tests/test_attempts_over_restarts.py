"""Attempts on builds under a cap over restarts: each order of events that could lose one, on simulated time.

`docs/limits.md` states what a kill, a power loss and a failed disk may cost.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable

import pytest
from attempts_rig import (
    BOOTS,
    COUNTED_MS,
    HOUR_S,
    SYNC_MS,
    WINDOW_MS,
    Processes,
    now_ms,
    one_boot,
    run,
    sleep_ms,
    sleep_to_bin,
    slow_disk,
)
from hypothesis import example, given, settings
from hypothesis import strategies as st
from rig import service

from otterquay import interface as it
from otterquay.agent import state_store
from otterquay.agent.http_agent import HttpAgent
from otterquay.agent.state_store import BIN_MS, MAX_UNREADABLE_RECORDS, AgentStateStore
from otterquay.logs import silent
from otterquay.protocol.news import Entry
from otterquay.store import Put


# --- several writes of one bin ---
def test_a_bin_that_is_written_twice_keeps_both_parts() -> None:
    """Guards against a flush in the middle of a bin whose count the next flush of the bin replaced."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await sleep_to_bin()
        for count in (3, 2, 1):
            processes.send(count)
            processes.send(1, cls=1)
            await processes.written()
        await processes.restart()
        assert processes.lost() == processes.invented() == {}

    run(work())


@pytest.mark.parametrize("gap_ms", [5.0, 20.0, 90.0, 300.0])
def test_even_traffic_is_restored_to_the_last_attempt(gap_ms: float) -> None:
    """Guards against the same with the flushes that the timer makes."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await processes.send_evenly(gap_ms, 3000.0)
        await processes.restart()
        assert processes.lost() == processes.invented() == {}

    run(work())


@pytest.mark.parametrize("end", ["stop", "kill"])
def test_processes_within_one_bin_add_to_its_count(end: str) -> None:
    """Guards against a new process that writes its own count over that of the process before it."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await sleep_to_bin()
        for count in (4, 3, 2, 1):
            processes.send(count)
            await processes.written()
            await sleep_ms(20.0)
            if end == "stop":
                await processes.stop()
            else:
                processes.kill()
            await processes.start()
        assert processes.lost() == processes.invented() == {}

    run(work())


# --- a clock that is set back, or begins anew with the machine ---
@pytest.mark.parametrize("boot_of", BOOTS)
def test_a_clock_set_back_at_each_restart_loses_no_attempt(boot_of: Callable[[float], str | None]) -> None:
    """Guards against the same while store time stands: one bin then spans restarts that are seconds apart."""

    async def work() -> None:
        processes = Processes(clock_offset_s=10 * HOUR_S, boot_of=boot_of)
        await processes.start()
        for _ in range(5):
            processes.send(2)
            await processes.written()
            await processes.stop()
            await sleep_ms(500.0)
            processes.clock_offset_s -= HOUR_S
            await processes.start()
            assert processes.lost() == processes.invented() == {}

    run(work())


@pytest.mark.parametrize("boot_of", BOOTS)
def test_a_clock_set_back_in_a_running_process_loses_no_attempt(boot_of: Callable[[float], str | None]) -> None:
    """Guards against a bin that store time enters once and does not leave for longer than a flush takes."""

    async def work() -> None:
        processes = Processes(clock_offset_s=10 * HOUR_S, boot_of=boot_of)
        await processes.start()
        for _ in range(8):
            processes.send(2)
            processes.clock_offset_s -= 0.3
            await sleep_ms(300.0)
        await processes.restart()
        assert processes.lost() == processes.invented() == {}

    run(work())


# --- a clock that counts from another start of a machine ---
@pytest.mark.parametrize("clock_ahead_s", [4.5, 10.0])  # the attempts are stored for 5 s and count for 4 s
def test_a_store_moved_to_a_machine_that_has_been_up_for_longer_forgets_no_attempt(clock_ahead_s: float) -> None:
    """Guards against the difference between the clocks of two machines taken for elapsed time."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.send(5)
        await processes.written()
        await processes.stop()
        processes.clock_offset_s += clock_ahead_s
        await processes.start()
        assert processes.lost() == processes.invented() == {}

    run(work())


@pytest.mark.parametrize("clock_ahead_s", [None, -100.0, 10.0])  # None: no other machine
def test_attempts_age_over_restarts_within_one_boot(clock_ahead_s: float | None) -> None:
    """Guards against attempts that count anew after each restart, also on a machine where nothing is written."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.send(5)
        await processes.written()
        counted_from_ms = now_ms()
        if clock_ahead_s is not None:
            await sleep_ms(1000.0)
            await processes.stop()
            processes.clock_offset_s += clock_ahead_s
            await processes.start()
            counted_from_ms = now_ms()  # the time before is unknown
        for _ in range(4):
            await sleep_ms(900.0)
            await processes.restart()
            latest_ms = counted_from_ms + BIN_MS + 1.0
            assert [at <= latest_ms for _, _, at in processes.restored] == [True] * 5
            assert processes.lost() == processes.invented() == {}
        await sleep_ms(WINDOW_MS)
        await processes.restart()
        assert processes.restored == []

    run(work())


def test_attempts_are_restored_on_another_machine_whose_disk_is_full() -> None:
    """Guards against a start that needs space on the disk before it restores anything."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.send(5)
        await processes.written()
        await processes.stop()

        def full(operation: str, name: str) -> None:
            if operation == "append":
                raise OSError(errno.ENOSPC, "No space left on device")

        processes.disk.fail = full
        processes.clock_offset_s += 10.0
        await processes.start()
        assert processes.lost() == processes.invented() == {}
        assert processes.store.failed and "No space left" in processes.store.failed
        processes.kill()
        await processes.start()
        assert processes.lost() == processes.invented() == {} and not processes.store.failed

    run(work())


# --- kills and power losses ---
@pytest.mark.parametrize("sync_ms", [0.0, SYNC_MS])
def test_a_kill_at_any_moment_of_a_bin_costs_one_interval_and_the_sync_under_way(sync_ms: float) -> None:
    """Guards against a kill that costs more than the attempts of the last `BIN_MS`."""
    most_lost = 0

    async def killed(offset_ms: float, gap_ms: float) -> None:
        nonlocal most_lost
        processes = Processes(slow_disk(sync_ms))
        await processes.start()
        await sleep_to_bin()
        await processes.send_evenly(gap_ms, 3000.0 + offset_ms)
        processes.kill()
        killed_at = now_ms()
        await processes.start()
        assert processes.lost(killed_at - BIN_MS - sync_ms) == {}, offset_ms
        assert processes.invented() == {}
        most_lost = max(most_lost, sum(processes.lost().values()))

    for offset_ms in range(0, BIN_MS, 5):
        run(killed(float(offset_ms), 5.0))
    assert 0 < most_lost <= (BIN_MS + sync_ms) / 5.0


def test_a_power_loss_costs_one_interval_and_two_syncs() -> None:
    """Guards against a write that waits for longer than the sync before it."""

    async def cut(offset_ms: float) -> None:
        processes = Processes(slow_disk(SYNC_MS))
        await processes.start()
        await processes.send_evenly(20.0, 3000.0 + offset_ms)
        processes.cut_power()
        await processes.start()
        assert processes.lost(now_ms() - BIN_MS - 2 * SYNC_MS) == {}, offset_ms

    for offset_ms in range(0, 900, 20):
        run(cut(float(offset_ms)))


def test_a_restart_keeps_in_memory_no_counts_of_bins_that_have_ended() -> None:
    """Guards against counts that stay in memory until the next attempt under a cap, which may never come."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await processes.send_evenly(50.0, 3000.0)
        await sleep_to_bin(1.0)
        processes.send(2)
        await processes.restart()
        assert list(processes.state._written.values()) == [2]

    run(work())


# --- the edges of the window ---
@pytest.mark.parametrize("offset_ms", [0.0, 0.4, 1.0, 124.7, 249.0, 249.9])
@pytest.mark.parametrize("age_ms", [0.0, 1.0, BIN_MS, WINDOW_MS - BIN_MS, WINDOW_MS, COUNTED_MS - 0.01])
@pytest.mark.parametrize(
    ("clock_step_s", "boot_of"),
    [(0.0, one_boot), (-HOUR_S, one_boot), (-HOUR_S, Processes.boot_of), (HOUR_S, Processes.boot_of)],
)
def test_an_attempt_is_restored_as_long_as_it_counts(
    offset_ms: float, age_ms: float, clock_step_s: float, boot_of: Callable[[float], str | None]
) -> None:
    """Guards against attempts at the edge of a bin or of the window that a restart, or the second one, forgets."""

    async def work() -> None:
        processes = Processes(clock_offset_s=10 * HOUR_S, boot_of=boot_of)
        await processes.start()
        await sleep_to_bin(offset_ms)
        processes.send(3)
        started = now_ms()
        await processes.written()
        for share in (0.5, 1.0, 1.0):
            await sleep_ms(max(started + age_ms * share - now_ms(), 0.0))
            processes.clock_offset_s += clock_step_s
            await processes.restart()
            assert processes.lost() == processes.invented() == {}
            assert all(at <= now_ms() for _, _, at in processes.restored)

    run(work())


def test_attempts_are_kept_as_long_as_a_slow_tick_makes_them_count() -> None:
    """Guards against a life in the store shorter than what the decision module counts: window and two ticks."""

    async def work() -> None:
        slow_tick = service().model_copy(update={"tick": 2000.0})
        processes = Processes()
        await processes.start()

        def agent_state() -> AgentStateStore:
            state = HttpAgent(slow_tick, random.Random(1), silent(), store=processes.store)._state_store
            assert state
            return state

        processes.state = agent_state()
        processes.send(3)
        await processes.written()
        await sleep_ms(slow_tick.rollout.window + 2 * slow_tick.tick - 10.0)
        await processes.restart()
        _, events = agent_state().recall(now_ms())
        assert [len(event.attempts) for event in events if isinstance(event, it.Restored)] == [3]

    run(work())


# --- a disk that is slow or fails ---
def test_what_waits_for_a_slow_disk_is_written_in_the_end() -> None:
    """Guards against counts that are dropped, or replaced by later ones of their bin, while a sync takes long."""

    async def work() -> None:
        processes = Processes(slow_disk(1300.0))
        await processes.start()
        await processes.send_evenly(10.0, 3000.0)
        await processes.stop()
        await processes.start()
        assert processes.lost() == processes.invented() == {}

    run(work())


def test_a_failed_write_costs_what_came_after_the_last_good_one() -> None:
    """Guards against a full disk that costs more than what could not be written while it was full."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        await sleep_to_bin()
        processes.send(5)
        await processes.written()

        def full(operation: str, name: str) -> None:
            if operation != "read":
                raise OSError(errno.ENOSPC, "No space left on device")

        failed_at = now_ms()
        processes.disk.fail = full
        await processes.send_evenly(20.0, 1000.0)
        assert processes.store.failed
        processes.kill()
        await processes.start()
        assert processes.lost(failed_at) == processes.invented() == {}

    run(work())


# --- damage ---
@pytest.mark.parametrize(
    "damaged",
    [("list", b"\0" * 8), ("stage", b""), ("tried", b"\0" * 14), ("tried", b"\xff" * 14), ("answered", b"\0" * 8)],
)
def test_a_damaged_record_costs_no_attempt_of_another(damaged: tuple[str, bytes]) -> None:
    """Guards against one unreadable record that left out all that was read after it."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.send(3)
        await processes.store.commit([Put(*damaged, b"{ torn")])
        await processes.restart()
        assert processes.lost() == processes.invented() == {}

    run(work())


def test_each_record_that_cannot_be_read_costs_no_other() -> None:
    """Guards against one unreadable record that left out those after it in its table: the newest attempts."""

    async def work() -> None:
        processes, reads = Processes(), 0
        await processes.start()
        for number in (1, 2, 3):
            processes.send(build=number)
            await processes.store.commit([Put("answered", number.to_bytes(8), b"2")])
        await processes.restart()
        processes.state.list({n: Entry(n, "a", "ready", 1, "127.0.0.1:1", 1) for n in (1, 2, 3)})
        await processes.store.commit([Put("stage", b"", b"2")])

        def recalled(unreadable: range) -> set[object]:
            nonlocal reads
            reads = 0

            def fail(operation: str, name: str) -> None:
                nonlocal reads
                reads += 1
                if reads - 1 in unreadable:
                    raise OSError(errno.EIO, "Input/output error")

            processes.disk.fail = fail
            fleet, events = AgentStateStore(processes.store, WINDOW_MS, silent()).recall(now_ms())
            restored = [event for event in events if isinstance(event, it.Restored)]
            stages = [event.build for event in events if isinstance(event, it.StageNews)]
            kept = [*restored[0].attempts, *restored[0].answered] if restored else []
            return {*kept, *stages, *(fleet.entries if fleet else ())}

        everything, records = recalled(range(0)), 10
        assert len(everything) == records == reads
        servers = 3  # read first; a list that is not whole is not restored
        for unreadable in range(records):
            left = recalled(range(unreadable, unreadable + 1))
            lost = servers if unreadable < servers else 1
            assert left < everything and len(left) == records - lost, unreadable
        await processes.store.commit([Put("answered", n.to_bytes(8), b"2") for n in range(1, 100)])
        assert recalled(range(1000)) == set() and reads == 7 + MAX_UNREADABLE_RECORDS

    run(work())


# --- other records that a process begins anew from empty memory ---
def test_votes_of_two_processes_in_one_millisecond_are_both_kept() -> None:
    """Guards against a vote under the key of one that the process before cast."""

    async def work() -> None:
        processes = Processes()
        for _ in range(2):
            await processes.start()
            processes.state.voted(it.CastVote(2, 0, it.Verdict.ON))
            await processes.stop()
        await processes.start()
        assert len(list(processes.store.scan("votes"))) == 2

    run(work())


def test_an_answer_of_an_earlier_build_does_not_replace_one_that_waits_for_the_disk() -> None:
    """Guards against a key that a later build answered and that an earlier one may answer after a restart."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.state.answered(7, 3, True)
        processes.state.answered(7, 2, True)
        await processes.restart()
        assert [int(value) for _, value in processes.store.scan("answered")] == [3]
        processes.state.answered(7, 4, True)
        await processes.written()
        assert not processes.state._unwritten_answers

    run(work())


def test_a_build_that_goes_back_releases_keys_whose_records_wait_for_the_disk() -> None:
    """Guards against a key that stays with a build that is gone, and is refused after a restart."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.state.answered(7, 3, True)
        processes.state.stage(it.StageNews(3, 0, it.Phase.GOING_BACK, False, it.Status.OK, 0.0, 0.0))
        await processes.restart()
        assert not list(processes.store.scan("answered"))

    run(work())


STEPS = st.lists(
    st.tuples(st.just("answered"), st.integers(1, 2), st.integers(1, 4))
    | st.tuples(st.sampled_from(("trial", "going_back")), st.integers(1, 4), st.none())
    | st.tuples(st.just("wait"), st.sampled_from((10, SYNC_MS, 900)), st.none())
    | st.tuples(st.just("restart"), st.none(), st.none()),
    max_size=12,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
@example([("answered", 7, 2), ("wait", 900, None), ("answered", 7, 3), ("trial", 3, None)])
def test_news_of_a_build_releases_no_key_that_a_later_build_answered(steps: list[tuple[str, int, int]]) -> None:
    """Guards against removing the record of an earlier build over the later build's, which waits for the disk."""

    async def work() -> None:
        processes, newest, answered = Processes(slow_disk(SYNC_MS)), 0, dict[int, int]()
        await processes.start()
        for step, number, build in steps:
            if step == "answered" and build >= newest:
                answered[number] = max(answered.get(number, 0), build)
            if step == "answered":
                processes.state.answered(number, build, True)
            elif step == "wait":
                await sleep_ms(number)
            elif step == "restart":
                await processes.restart()
            else:
                phase = it.Phase[step.upper()]
                processes.state.stage(it.StageNews(number, 0, phase, False, it.Status.OK, 0.1, 0.0))
                released = number if phase is it.Phase.GOING_BACK else number - 1 if number > newest else 0
                answered = {key: by for key, by in answered.items() if by > released}
                newest = max(newest, number)
        await processes.restart()
        stored = {int.from_bytes(key): int(value) for key, value in processes.store.scan("answered")}
        assert stored == answered

    run(work())


def test_answers_that_wait_for_the_disk_count_towards_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against more records than `MAX_ANSWERED_KEYS` and one for all keys, by those of one sync."""
    monkeypatch.setattr(state_store, "MAX_ANSWERED_KEYS", 8)

    async def work() -> None:
        processes = Processes()
        await processes.start()
        for key in range(1, 21):
            processes.state.answered(key, 2, False)
        await processes.restart()
        keys = [key for key, _ in processes.store.scan("answered")]
        assert keys[0] == state_store.ALL_KEYS and len(keys) <= 8 + 1

    run(work())


@pytest.mark.parametrize("act", ["answer", "stage"])
def test_a_record_that_cannot_be_read_holds_up_no_request_and_no_news(act: str) -> None:
    """Guards against a read error of the store that reached the code of requests and of stages."""

    async def work() -> None:
        processes = Processes()
        await processes.start()
        processes.state.answered(7, 2, True)
        await processes.restart()

        def unreadable(operation: str, name: str) -> None:
            if operation == "read":
                raise OSError(errno.EIO, "Input/output error")

        processes.disk.fail = unreadable
        if act == "answer":
            processes.state.answered(7, 3, True)
        else:
            processes.state.stage(it.StageNews(3, 0, it.Phase.TRIAL, False, it.Status.OK, 0.1, 0.0))
        processes.disk.fail = lambda operation, name: None
        await processes.written()
        expected = [3] if act == "answer" else [2]
        assert [int(value) for _, value in processes.store.scan("answered")] == expected

    run(work())
