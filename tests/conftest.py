"""Order and company of the tests where several processes run them (`pytest -n`); one process needs none of it.

`KNOWN-RED.txt` names the tests that fail for a real fault which is not mended yet, three at most. They are expected
to fail, strictly, and are printed at the end of each run; there is no other way to pass over a test.
"""

from __future__ import annotations

import os
import re
from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
ROOT = Path(__file__).parent.parent
KNOWN_RED, KNOWN_MOST = ROOT / "KNOWN-RED.txt", 3

for library in ("OPENBLAS", "OMP", "MKL"):  # before numpy: each worker's algebra on one thread, or they crowd
    os.environ.setdefault(f"{library}_NUM_THREADS", "1")

# longest first, so that no long test is left for the end; the others follow in their own order
LONG = ("test_chat_night", "test_cluster", "test_runtimes", "test_limits", "test_auditor", "test_small_worlds",
        "test_drawn_days", "test_sim", "test_orders", "test_chat_hub")
SHARED = ("test_chat_night", "test_auditor")  # their module's fixture is dear: one worker makes it, once


def known_red(text: str, root: Path = ROOT) -> dict[str, str]:
    """Cause and issue by test id, from lines `test id | cause | issue`; UsageError for what does not hold."""
    found = dict[str, str]()
    for line in text.splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{KNOWN_RED.name}: test id | cause | issue wanted: {line[:80]!r}")
        file, _, name = parts[0].partition("::")
        there = (root / file).is_file() and (root / file).read_text()
        if not there or not re.search(rf"^(async )?def {re.escape(name.partition('[')[0])}\(", there, re.MULTILINE):
            raise pytest.UsageError(f"{KNOWN_RED.name}: no test {parts[0][:120]}")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > KNOWN_MOST:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {len(found)} lines, {KNOWN_MOST} at most")
    return found


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what is known to fail."""
    for test, why in known_red(KNOWN_RED.read_text()).items():
        terminalreporter.write_line(f"known red: {test}: {why}")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Long modules first; tests that share a dear fixture stay together under `--dist loadgroup`."""
    red = known_red(KNOWN_RED.read_text())
    def rank(item: pytest.Item) -> int:
        name = item.path.stem
        return LONG.index(name) if name in LONG else len(LONG)

    items.sort(key=rank)
    for item in items:
        if why := red.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(strict=True, reason=why))
        if item.path.stem in SHARED and not {"nights", "days"}.isdisjoint(getattr(item, "fixturenames", ())):
            item.add_marker(pytest.mark.xdist_group(item.path.stem))
