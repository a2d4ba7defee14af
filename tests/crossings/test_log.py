"""The agent keeps working when the reader of its log stops reading or never reads."""

from __future__ import annotations

import asyncio
import fcntl
import io
import json
import os
import sys
from pathlib import Path
from typing import Any

import pytest

from otterquay.node import json_log
from otterquay.node.json_log import JsonLogger
from tests.crossings.forcing import run
from tests.crossings.test_process import READY, ROOT
from tests.noderig import Rig, answer

SMALL_PIPE = 4096


def small_pipe() -> tuple[int, int]:
    """A pipe with a buffer of one page."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, SMALL_PIPE)
    return reading, writing


def read(fd: int) -> list[dict[str, Any]]:
    """Read all lines that are in a pipe."""
    os.set_blocking(fd, False)
    data = b""
    try:
        while part := os.read(fd, 65536):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def test_an_agent_whose_log_is_read_no_more_goes_on_answering(tmp_path: Path) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            reading, writing = small_pipe()
            path = tmp_path / "config.json"
            path.write_bytes(rig.file())
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "otterquay.node",
                stderr=writing,
                cwd=ROOT,
                env={**os.environ, "PROXY_CONFIG": str(path), "PYTHONPATH": str(ROOT), "OTTERQUAY_LOG": "debug"},
            )
            try:
                said: list[dict[str, Any]] = []
                async with asyncio.timeout(30):
                    while not (ready := [line for line in said if line["event"] == READY]):
                        said += read(reading)
                        await asyncio.sleep(0.01)
                host, port = ready[0]["listen"].split(":")
                rig.address = (host, int(port))
                client, writer = await rig.connect()
                for i in range(120):  # each logs its attempt
                    writer.write(rig.encode_request(id=f"{i:016x}"))
                    assert await answer(client) == b"for %016x" % i
                process.terminate()
                assert await asyncio.wait_for(process.wait(), 30) == 0
                assert 0 < len(read(reading)) < 120
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                os.close(reading)
                os.close(writing)

    run(work)


@pytest.mark.parametrize("more", [0, 1])
def test_lines_that_nobody_takes_are_counted_and_the_count_is_written_once_it_is_taken(more: int) -> None:
    reading, writing = small_pipe()
    now = 1.0
    with open(writing, "w") as stream:
        log = JsonLogger(stream, lambda: now)
        for _ in range(10):
            log.info("x", text="y" * 1000)
        for _ in range(more):  # a later second, in which nothing is read either
            now += 1.0
            log.info("y")
        taken = len(read(reading))
        assert 0 < taken < 10
        now += 1.0
        log.info("after")
        assert read(reading)[0]["of"] == 10 + more - taken
        log.info("later")
        assert [line["event"] for line in read(reading)] == ["later"]
    os.close(reading)


@pytest.mark.parametrize("level", ["warning", "error"])
def test_floods_do_not_become_logs_and_errors_have_a_bound_of_their_own(level: str) -> None:
    stream, now = io.StringIO(), 1.0
    log = JsonLogger(stream, lambda: now)
    for i in range(5 * json_log.MAX_LINES_PER_S):
        getattr(log, level)("flood", number=i)
    log.info("beside it") if level == "error" else log.error("beside it")
    now = 2.0
    log.info("after")
    said = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["event"] for line in said] == (
        ["flood"] * json_log.MAX_LINES_PER_S + ["beside it", "lines_left_out", "after"]
    )
    assert said[-2]["of"] == 4 * json_log.MAX_LINES_PER_S


def test_a_line_over_its_bound_is_its_event_alone() -> None:
    stream = io.StringIO()
    JsonLogger(stream, lambda: 1.0).warning("long", text="x" * json_log.MAX_LINE_BYTES)
    line = json.loads(stream.getvalue())
    assert line["event"] == "long" and line["bytes_left_out"] > json_log.MAX_LINE_BYTES and "text" not in line
