"""Each benchmark runs to its end and prints its figures; how large they are is no matter of a test."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
HANG_TIMEOUT_S = 120.0  # several times what a short run takes on a busy machine: it ends a run that never would
SHORT_RUNS = {
    "chat": "--seconds 0.1 --sessions 20",
    "overload": "--seconds 0.1 --settle 0.1 --servers 4 --loads 1",
    "relay": "--seconds 0.1 --rounds 1",
    "sizes": "--sizes 4,8 --rounds 1",
    "store": "--writes 20 --keys 1000 --rounds 1 --overwritten 1000 --commits 10 --seconds 0.1",
    "verdict": "--rounds 1",
}


def numbers(figures: Any) -> Iterator[float]:
    """All numbers of a benchmark's object, at any depth."""
    if isinstance(figures, dict | list):
        for part in figures.values() if isinstance(figures, dict) else figures:
            yield from numbers(part)
    elif isinstance(figures, int | float):
        yield figures


def test_each_benchmark_has_a_short_run() -> None:
    assert {path.stem for path in (ROOT / "benchmarks").glob("*.py")} == set(SHORT_RUNS)


@pytest.mark.parametrize("name", SHORT_RUNS)
def test_a_short_run_ends_well_and_prints_its_figures(name: str, tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, f"benchmarks/{name}.py", *SHORT_RUNS[name].split()],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT), "OTTERQUAY_SCRATCH": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    figures = json.loads(done.stdout)
    assert len(list(numbers(figures))) >= len(figures) > 1
