"""The command line: exit codes, messages and whole processes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from rig import EXAMPLE, run

from otterquay.cli import main
from otterquay.lab import play as play_module
from otterquay.lab.auditor import RULES, Report
from otterquay.logs import silent
from otterquay.policy.agent import Agent
from otterquay.store import Put, open_store, read_boot_id
from otterquay.store.clock import boot_tag
from otterquay.store.files import Disk
from otterquay.store.format import UNKNOWN_BOOT
from otterquay.store.salvage import verify

EXAMPLES = EXAMPLE.parent


def call(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, list(arguments))
    return result.exit_code, result.output


def test_every_command_has_help() -> None:
    for command in (
        [],
        ["agent"],
        ["config"],
        ["config", "check"],
        ["lab", "play"],
        ["standin", "appliance"],
        ["standin", "link"],
        ["standin", "world"],
        ["standin", "clients"],
        ["demo"],
    ):
        code, text = call(*command, "--help")
        assert code == 0 and "Usage:" in text and len(text.splitlines()) > 5


def test_config_check_and_show(tmp_path: Path) -> None:
    assert call("config", "check", str(EXAMPLE)) == (0, f"{EXAMPLE}: fine\n")
    code, text = call("config", "show", str(EXAMPLE))
    shown = json.loads(text)
    assert code == 0 and shown["class"]["race-entry"]["aim"] == 800 and shown["limits"]["keepalive"] == 15000
    bad = tmp_path / "bad.hcl"
    bad.write_text(EXAMPLE.read_text().replace('"800ms"', "800"))
    code, text = call("config", "check", str(bad))
    assert code == 2 and "class.race-entry.aim: 800 is not a duration" in text
    code, text = call("agent", str(bad))
    assert code == 2 and "is not a duration" in text
    code, text = call("agent", str(EXAMPLE), "--zone", "moon")
    assert code == 2 and "is none of zones" in text


SHORT_DAY = """service = "agent.hcl"
duration = "4s"
fleet {
  machines = 4
}
agents {
  zones = ["north", "south"]
  weights = [2, 1]
}
traffic {
  rate = 60
  class "lobby-read" {
    share = "60%"
    work_least = "5ms"
    work_most = "15ms"
  }
  class "race-entry" {
    share = "40%"
    work_least = "5ms"
    work_most = "15ms"
  }
}
fault {
  kind  = "kill_agent"
  at    = "1s"
  lasts = "300ms"
  agent = 0
}
fault {
  kind  = "stop_agent"
  at    = "2s"
  lasts = "300ms"
  agent = 1
}
fault {
  kind  = "pause_agent"
  at    = "3s"
  lasts = "500ms"
  agent = 0
}
"""


def test_a_short_day_with_agents_in_processes_that_are_killed_stopped_and_paused(tmp_path: Path) -> None:
    (tmp_path / "day.hcl").write_text(SHORT_DAY)
    (tmp_path / "agent.hcl").write_text(EXAMPLE.read_text())

    async def work() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "otterquay",
            "lab",
            "play",
            str(tmp_path / "day.hcl"),
            "--json",
            "--report",
            str(tmp_path / "report"),
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        found = json.loads(out)
        assert process.returncode == 0 and set(found["violations"].values()) == {0}
        # low bounds, as a busy machine sends and serves fewer requests
        assert found["requests"] > 20 and found["answers"]["served"] > 5
        assert set(found["latency_ms"]) == {"lobby-read", "race-entry"}
        assert (tmp_path / "report" / "tape.jsonl").stat().st_size > 10000
        lines = (tmp_path / "report" / "agent-1.log").read_text().splitlines()
        events = [json.loads(line)["event"] for line in lines]
        assert events.count("agent_started") == 2 and events.count("agent_stopped") == 2

    run(work)


def test_a_day_with_a_violation_exits_with_1(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play_with_violation(*_: object, **__: object) -> play_module.Result:
        report = Report()
        report.violations["effects"].append("op1: took effect 2 times")
        return play_module.Result(play_module.tp.Tape(), report)

    monkeypatch.setattr("otterquay.cli.lab.play_with_processes", play_with_violation)
    code, text = call("lab", "play", str(EXAMPLES / "bad-day.hcl"))
    assert code == 1 and "took effect 2 times" in text
    code, text = call("lab", "play", str(EXAMPLE))
    assert code == 2 and "unknown key" in text


@pytest.mark.parametrize("loop", ["uvloop", "asyncio"])
def test_an_agent_process_shuts_down_cleanly_on_a_signal(loop: str) -> None:
    async def work() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "otterquay",
            "agent",
            str(EXAMPLE),
            "--listen",
            "127.0.0.1:0",
            "--announce",
            "--loop",
            loop,
            "--fleet",
            "http://127.0.0.1:9",
            "--desk",
            "http://127.0.0.1:9",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stdout and process.stderr
        announced = (await process.stdout.readline()).decode().split()
        reader, writer = await asyncio.open_connection(*announced[1].split(":"))
        process.send_signal(signal.SIGTERM)
        _, err = await process.communicate()
        received = await reader.read()  # a 503 if the agent accepted the connection only after the signal
        assert process.returncode == 0 and (received == b"" or received.startswith(b"HTTP/1.1 503 "))
        events = [json.loads(line)["event"] for line in err.splitlines()]
        assert set(events[events.index("agent_stopped") + 1 :]) <= {"connection_refused"}
        writer.close()

    run(work)


def test_an_agent_whose_address_is_taken_exits_with_a_message() -> None:
    async def work() -> None:
        taken = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = taken.sockets[0].getsockname()[1]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "otterquay",
            "agent",
            str(EXAMPLE),
            "--listen",
            f"127.0.0.1:{port}",
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await process.communicate()
        assert process.returncode == 1 and b"cannot start" in err
        taken.close()

    run(work)


@pytest.mark.parametrize("command", ["agent", "compact", "repair"])
def test_commands_that_write_a_store_name_the_boot_of_this_machine(tmp_path: Path, command: str) -> None:
    """Guards against a store whose lives stand over every restart, as no boot is known."""
    folder, copy = tmp_path / "store", tmp_path / "copy"

    async def create() -> None:
        store = await open_store(Disk(folder), silent(), asyncio.get_running_loop().time)
        await store.commit([Put("table", b"key", b"value", 1000.0)])
        await store.close()

    async def start_agent() -> None:
        taken = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = "{}:{}".format(*taken.sockets[0].getsockname())
        arguments = ("agent", str(EXAMPLE), "--listen", address, "--store", str(folder))
        process = await asyncio.create_subprocess_exec(sys.executable, "-m", "otterquay", *arguments)
        assert await process.wait() == 1, "the address is taken"
        taken.close()

    def newest_boot(of: Path) -> int:
        report = verify(Disk(of))
        assert report.newest and not report.damage
        return report.newest.boot

    asyncio.run(create())
    assert newest_boot(folder) == UNKNOWN_BOOT
    if command == "agent":
        run(start_agent)
    elif command == "compact":
        assert call("store", "compact", str(folder))[0] == 0
    else:
        assert call("store", "repair", str(folder), "--to", str(copy))[0] == 0
    assert newest_boot(copy if command == "repair" else folder) == boot_tag(read_boot_id()) != UNKNOWN_BOOT


def test_lab_mass_reports_the_five_rules_and_exits_1_on_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    arguments = (
        "lab",
        "mass",
        str(EXAMPLE),
        "--agents",
        "6",
        "--servers",
        "6",
        "--use",
        "0.2",
        "--release",
        "--back",
        "7",
        "--bad",
        "0.2",
        "--late",
        "0.5",
        "--killed",
        "0.5",
        "--leave",
        "0.1",
    )
    code, text = call(*arguments)
    found = json.loads(text)
    assert code == 0 and found["served"] > 0 and found["violations"] == dict.fromkeys(RULES, 0)
    assert set(found["checked"]) == set(RULES) and not found["broken"]
    monkeypatch.setattr(Agent, "_give_up", lambda self, job: self._finish(job, 0.0))
    code, text = call(*arguments)
    assert code == 1 and "no answer from agent" in text and json.loads(text.splitlines()[0])["broken"]
