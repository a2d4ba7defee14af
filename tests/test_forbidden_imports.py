"""The code may run on a simulated event loop, so it uses no other clock, network, thread or randomness."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import otterquay

ROOT = Path(otterquay.__file__).parent
# files that need access to the operating system: processes of the lab, the command line, allocation of free ports
SYSTEM_ACCESS_FILES = {
    "lab/hosts.py",
    "lab/play.py",
    "lab/ports.py",
    "lab/cluster/world.py",
    "lab/soak/process.py",
    "cli/root.py",
    "cli/cluster.py",
    "cli/lab.py",
    "cli/standin.py",
}
# node/__main__.py passes in the wall clock and handles signals; agent/sockets.py polls sockets for pending events
ALLOWED_USES = {"node/__main__.py": {"import time", "import signal", "time"}, "agent/sockets.py": {"import select"}}
FORBIDDEN_MODULES = {
    "time",
    "threading",
    "socket",
    "select",
    "selectors",
    "subprocess",
    "multiprocessing",
    "datetime",
    "concurrent",
    "signal",
    "secrets",
    "uuid",
}
BANNED_CALLS = {"to_thread", "run_in_executor", "run_coroutine_threadsafe"}
SOURCES = sorted(str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py"))


def forbidden_uses(source: str, system_access: bool = False) -> list[str]:
    found = []
    for node in ast.walk(ast.parse(source)):
        names: list[str] = []
        if isinstance(node, ast.Import):
            names = [a.name.split(".")[0] for a in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module.split(".")[0]]
        if not system_access:
            found += [f"import {n}" for n in names if n in FORBIDDEN_MODULES]
        if isinstance(node, ast.Attribute):
            owner = node.value.id if isinstance(node.value, ast.Name) else ""
            if owner == "random" and node.attr != "Random":
                found.append(f"random.{node.attr}")
            if node.attr in BANNED_CALLS or (owner == "time" and node.attr == "time"):
                found.append(node.attr)
    return found


@pytest.mark.parametrize("path", SOURCES)
def test_no_other_clock_network_or_randomness(path: str) -> None:
    found = forbidden_uses((ROOT / path).read_text(), path in SYSTEM_ACCESS_FILES)
    assert not [use for use in found if use not in ALLOWED_USES.get(path, set())]


def test_the_poll_of_sockets_never_blocks_and_is_the_only_use_of_select() -> None:
    tree = ast.parse((ROOT / "agent/sockets.py").read_text())
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)]
    polls = [node for node in calls if node.func.attr == "poll" and node.args]
    assert len(polls) == 1 and [ast.literal_eval(argument) for argument in polls[0].args] == [0]
    select_attributes = {
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "select"
    }
    assert {name for name in select_attributes if not name.startswith("POLL")} == {"poll"}


@pytest.mark.parametrize(
    "source",
    [
        "import time",
        "from time import monotonic",
        "import threading",
        "import random\nrandom.random()",
        "import socket",
        "loop.run_in_executor(None, f)",
        "asyncio.to_thread(f)",
        "import datetime",
    ],
)
def test_the_scan_finds_each_forbidden_use(source: str) -> None:
    assert forbidden_uses(source)


def test_the_bench_adapter_imports_no_heavy_libraries() -> None:
    import subprocess
    import sys

    code = (
        "import sys, otterquay.benchlink.__main__, otterquay.policy.agent\n"
        "heavy = {'pydantic', 'hcl2', 'structlog', 'click', 'httptools', 'msgspec', 'asyncio', 'blake3'}\n"
        "sys.exit(bool(heavy & set(sys.modules)))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT.parent, check=False).returncode == 0
