"""The process `python -m otterquay.node`: signals in every phase of its lifecycle, and its exit code."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from otterquay.node.shutdown_schedule import LINGER_S, shutdown_time_s
from otterquay.standins.resp import never_answer, served
from tests.crossings.forcing import run
from tests.noderig import CLASSES, Rig, answer

ROOT = Path(__file__).parent.parent.parent
READY = "agent_started"


class Process:
    """An agent in its own process, connected to the stand-ins of a rig; keeps its log lines."""

    def __init__(self, file: Path, program: list[str]) -> None:
        self.file, self.program, self.log_lines = file, program, list[dict[str, Any]]()
        self.raw: list[str] = []

    async def start(self) -> None:
        """Start the process without waiting for it to be ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.program,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(self.file), "PYTHONPATH": str(ROOT)},
        )
        self._reading = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        assert self.process.stderr
        async for line in self.process.stderr:
            self.raw.append(line.decode())
            if line.startswith(b"{"):
                self.log_lines.append(json.loads(line))

    async def wait_for_log(self, event: str, times: int = 1) -> dict[str, Any]:
        """Wait until this event has been logged `times` times; returns the last of these lines."""
        async with asyncio.timeout(30):
            while len(lines := [line for line in self.log_lines if line["event"] == event]) < times:
                assert not self._reading.done(), f"it ended: {self.raw}"
                await asyncio.sleep(0.005)
        return lines[times - 1]

    async def ended(self) -> int:
        """Wait for the process to end and return its exit code, negative for a signal."""
        async with asyncio.timeout(30):
            code = await self.process.wait()
            await self._reading
        return code

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@asynccontextmanager
async def started(rig: Rig, code: str = "", ready: bool = True, **changes: Any) -> AsyncIterator[Process]:
    """A second agent in a process, with the configuration of the rig's own; `code` replaces the module."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_bytes(rig.file(**changes))
        one = Process(file, ["-c", code] if code else ["-m", "otterquay.node"])
        await one.start()
        try:
            if ready:
                host, port = (await one.wait_for_log(READY))["listen"].split(":")
                rig.address = (host, int(port))
            yield one
        finally:
            if one.process.returncode is None:
                one.process.kill()
                await one.ended()


def test_sigterm_twice_answers_what_is_held_and_ends_with_zero() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig, started(rig) as one:
            held: list[tuple[asyncio.StreamWriter, bytes]] = []
            rig.appliances[0].behave = lambda _, writer, words: held.append((writer, words[2]))
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="before"))
            await rig.until(lambda: held)
            one.signal(signal.SIGTERM)
            await one.wait_for_log("agent_leaving")
            one.signal(signal.SIGTERM)
            one.signal(signal.SIGHUP)  # a reload during the drain has no effect on it
            await one.wait_for_log("reloaded")
            held[0][0].write(served(b"for before"))
            assert [await answer(reader), await answer(reader)] == [b"for before", b""]
            assert await one.ended() == 0 and not [line for line in one.raw if "Traceback" in line]

    run(work)


def test_what_never_gets_its_answer_is_failed_before_the_process_ends() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig, started(rig) as one:
            rig.appliances[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="held", d=6000))
            await rig.until(lambda: rig.appliances[0].got)
            one.signal(signal.SIGTERM)
            assert [await answer(reader), await answer(reader)] == [b"-ERR the agent ends", b""]
            assert await one.ended() == 0
            assert (await one.wait_for_log("agent_leaving"))["within_s"] < 3.7

    run(work)


@pytest.mark.parametrize("stopped_s", [0.15, 0.4, 0.8])
def test_a_shutdown_counts_from_a_sigterm_that_came_while_the_process_was_stopped(stopped_s: float) -> None:
    """Guards against a shutdown that begins to count when the process runs again, and that SIGKILL cuts short."""

    async def work() -> None:
        async with Rig(count=1) as rig, started(rig) as one:
            one.signal(signal.SIGSTOP)
            one.signal(signal.SIGTERM)
            await asyncio.sleep(stopped_s)
            one.signal(signal.SIGCONT)
            leaving = await one.wait_for_log("agent_leaving")
            assert LINGER_S <= leaving["within_s"] <= shutdown_time_s(rig.node.settings) - stopped_s
            assert await one.ended() == 0

    run(work)


EARLY = "import os, signal, sys\nimport otterquay.node.__main__ as program\n"


def test_sigterm_before_the_loop_stands_ends_it_without_a_listener() -> None:
    async def work() -> None:
        code = EARLY + "os.kill(os.getpid(), signal.SIGTERM)\nsys.exit(program.main())"
        async with Rig(count=1) as rig, started(rig, code, ready=False) as one:
            assert await one.ended() == 0
            assert [line["event"] for line in one.log_lines] == ["ended_before_start"]

    run(work)


def test_a_reload_before_the_loop_stands_is_followed_after_the_start() -> None:
    async def work() -> None:
        code = EARLY + "os.kill(os.getpid(), signal.SIGHUP)\nsys.exit(program.main())"
        async with Rig(count=1) as rig, started(rig, code) as one:
            await one.wait_for_log("reloaded")
            assert await rig.exchange(rig.encode_request(id="served")) == b"for served"
            one.signal(signal.SIGTERM)
            assert await one.ended() == 0

    run(work)


@pytest.mark.parametrize("late", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_a_signal_after_the_loop_has_closed_does_not_change_how_it_ends(late: str) -> None:
    async def work() -> None:
        code = EARLY + f"code = program.main()\nos.kill(os.getpid(), signal.{late})\nsys.exit(code)"
        async with Rig(count=1) as rig, started(rig, code) as one:
            one.signal(signal.SIGTERM)
            assert await one.ended() == 0

    run(work)


@pytest.mark.parametrize("repeated", ["SIGHUP", "SIGTERM", "SIGINT"])
def test_signals_all_through_its_end_do_not_change_how_a_process_ends(repeated: str) -> None:
    """Guards against the default of a signal while the loop closes or the interpreter ends."""

    async def work() -> None:
        classes = [{**CLASSES[0], "deadlineMs": 100.0, "onTimeMs": 50.0}]
        async with Rig(count=1, requestClasses=classes) as rig, started(rig) as one:
            one.signal(signal.SIGTERM)
            await one.wait_for_log("agent_draining")
            while one.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    one.signal(signal.Signals[repeated])
                await asyncio.sleep(0.0005)
            assert await one.ended() == 0 and not [line for line in one.raw if "Traceback" in line]

    run(work)


def test_only_the_main_thread_takes_signals() -> None:
    """Guards against a worker thread that takes one which the main thread has blocked."""

    async def work() -> None:
        async with Rig(count=1) as rig, started(rig) as one:
            assert await rig.exchange(rig.encode_request(id="served")) == b"for served"
            handled = sum(1 << number - 1 for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM))
            statuses = Path(f"/proc/{one.process.pid}/task").glob("*/status")
            blocked = {
                int(path.parent.name): int(re.findall(r"SigBlk:\s*(\w+)", path.read_text())[0], 16) & handled
                for path in statuses
            }
            assert blocked.pop(one.process.pid) == 0
            assert set(blocked.values()) == {handled}
            one.signal(signal.SIGTERM)
            assert await one.ended() == 0

    run(work)


# Sends itself signals without a pause, from a second process, while it begins to ignore them many times.
IGNORES_UNDER_FIRE = """
import os, signal, subprocess, sys
import otterquay.node.__main__ as program
SENDER = "import os, signal, sys\\nwhile True: os.kill(int(sys.argv[1]), signal.SIGHUP)"
received = []
signal.signal(signal.SIGHUP, lambda *_: received.append(1))
sender = subprocess.Popen([sys.executable, "-c", SENDER, str(os.getpid())])
while not received:
    signal.pause()
for _ in range(300):
    signal.signal(signal.SIGHUP, lambda *_: None)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, program.HANDLED_SIGNALS)
    program.ignore_signals()
sender.kill()
sender.wait()
"""


def test_a_signal_that_comes_as_signals_begin_to_be_ignored_leaves_no_traceback() -> None:
    """Guards against a handler that is replaced between the arrival of a signal and its handling."""

    async def work() -> None:
        async with Rig(count=1) as rig, started(rig, IGNORES_UNDER_FIRE, ready=False) as one:
            assert await one.ended() == 0 and not one.raw

    run(work)


def test_a_bad_file_at_a_reload_is_one_line_and_the_old_one_stays() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig, Rig(count=1) as other, started(rig) as one:
            good = other.file()
            for times, bad in enumerate([good[: len(good) // 2], b"", b"[]", b'{"name": 3}', b"\xff\xfe"], 1):
                one.file.write_bytes(bad)
                one.signal(signal.SIGHUP)
                await one.wait_for_log("reload_refused", times)
                assert await rig.exchange(rig.encode_request(id=f"old-{times}")) == b"for old-%d" % times
            one.file.unlink()
            one.signal(signal.SIGHUP)
            assert "No such file" in (await one.wait_for_log("reload_refused", 6))["reason"]
            one.file.write_bytes(good)
            lists = other.discovery.opened
            one.signal(signal.SIGHUP)
            await one.wait_for_log("reloaded")
            await rig.until(lambda: other.discovery.opened > lists)
            one.signal(signal.SIGTERM)
            assert await one.ended() == 0

    run(work)


@pytest.mark.parametrize("bad", [b"", b"{", b"[]", b'{"name": "n0"}'])
def test_a_bad_file_at_the_start_is_one_line_and_exit_2(bad: bytes) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig, started(rig, ready=False, only=bad) as one:
            assert await one.ended() == 2 and len(one.raw) == 1
            assert one.raw[0].startswith("otterquay: cannot start: ")

    run(work)


def test_a_client_that_asked_and_left_while_the_process_stood_still_is_not_served() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig, started(rig) as one:
            first = socket.create_connection(rig.address)
            first.sendall(rig.encode_request(id="before"))
            await rig.until(lambda: len(rig.appliances[0].got) == 1)
            one.signal(signal.SIGSTOP)
            first.sendall(rig.encode_request(id="gone"))
            first.close()
            stays, writer = await rig.connect()
            writer.write(rig.encode_request(id="stays", d=6000))
            one.signal(signal.SIGCONT)
            assert await answer(stays) == b"for stays"
            assert [words[2] for words in rig.appliances[0].got] == [b"before", b"stays"]
            one.signal(signal.SIGTERM)
            assert await one.ended() == 0

    run(work)


def test_a_rolling_restart_under_load_leaves_no_request_without_an_answer() -> None:
    """Restarts three processes in turn while clients send requests and appliance connections are cut."""

    async def work() -> None:
        async with Rig(count=3) as rig, started(rig) as a, started(rig) as b, started(rig) as c:
            processes = [a, b, c]
            places = [(await one.wait_for_log(READY))["listen"].split(":") for one in processes]
            counts = {"asked": 0, "answered": 0, "refused": 0, "unanswered": 0}
            served_by = [0] * 3
            going = True

            async def client(number: int) -> None:
                asked = 0
                while going:
                    asked += 1
                    data = rig.encode_request(cls="race-entry" if asked % 3 == 0 else "lobby-read")
                    counts["asked"] += 1
                    for place in [number % 3, (number + 1) % 3, (number + 2) % 3]:
                        try:
                            reader, writer = await asyncio.open_connection(*places[place])
                        except OSError:
                            continue  # restarting: the client tries the next one
                        writer.write(data)
                        got = await answer(reader)
                        writer.close()
                        if got:
                            break
                    kind = "unanswered" if not got else "refused" if got.startswith(b"-BUSY") else "answered"
                    counts[kind] += 1
                    served_by[place] += got.startswith(b"for ")
                    await asyncio.sleep(0.005)

            async def cuts() -> None:
                while going:
                    await asyncio.sleep(0.05)
                    for one in rig.appliances:
                        for writer in one.writers[:1]:
                            writer.transport.abort()

            work = [asyncio.ensure_future(client(n)) for n in range(9)] + [asyncio.ensure_future(cuts())]
            for place, one in enumerate(processes):
                before = sum(served_by)
                await rig.until(lambda: sum(served_by) > before + 30)  # noqa: B023 - used only within this iteration
                one.signal(signal.SIGTERM)
                assert await one.ended() == 0
                one.file.write_bytes(rig.file(listen=":".join(places[place])))
                one.log_lines.clear()
                await one.start()
                await one.wait_for_log(READY)
                served_by[place] = 0
            await rig.until(lambda: min(served_by) > 10)
            going = False
            await asyncio.gather(*work)
            assert counts["unanswered"] == 0 and min(served_by) > 0, counts
            assert counts["asked"] == counts["answered"] + counts["refused"] and counts["answered"] > 100
            for one in processes:
                one.signal(signal.SIGTERM)
            assert [await one.ended() for one in processes] == [0, 0, 0]

    run(work)
