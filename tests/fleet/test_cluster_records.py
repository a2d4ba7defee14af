"""What a cluster day leaves to find out why it failed."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from otterquay.cli import cluster as command
from otterquay.cli import main
from otterquay.duties.state import Duties
from otterquay.fleet import codec
from otterquay.group.messages import Append, Entry
from otterquay.lab.cluster.play import Result
from otterquay.lab.cluster.wires import WireObserver
from otterquay.lab.fleetsim.judge import Judge

DAY = Path(__file__).parents[2] / "examples" / "cluster" / "02-owner-killed-after-order.hcl"


def make_observer() -> WireObserver:
    return WireObserver(Judge(5, sites={0: "a", 1: "a", 2: "a"}), Duties(["a"], 5), lambda: 0.0)


@pytest.mark.parametrize("lost", [0, 7])
def test_a_day_that_failed_keeps_its_files_and_names_their_folder(
    lost: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fault that comes once in many plays and leaves nothing to read."""
    folders: list[Path] = []

    async def play(_: Any, base: Path, seed: int, folder: Path, say: Any) -> Result:
        folders.append(folder)
        (folder / "agent-0.log").write_text("a line")
        return Result({"orders_lost": lost}, [], {}, True)

    monkeypatch.setattr(command, "play", play)
    result = CliRunner().invoke(main, ["lab", "cluster", str(DAY), "--json"])
    assert result.exit_code == (1 if lost else 0)
    assert (folders[0] / "agent-0.log").exists() == bool(lost)
    notes = json.loads(result.stdout)["notes"]
    assert notes == ([f"all files of the run are in {folders[0]}"] if lost else [])
    shutil.rmtree(folders[0], ignore_errors=True)


def test_the_observer_tells_how_far_it_came_and_what_it_knows_of_the_next_entry() -> None:
    """Guards against a verdict that rests on a replica that stood still, and does not say so."""
    observer = make_observer()
    observer.payload_delivered(0, 1, codec.encode(Append(1, 0, 0, [Entry(1, b"")], 1, 1)))
    observer.payload_delivered(0, 1, codec.encode(Append(1, 3, 1, [], 3, 1)))
    assert observer.progress() == (
        "the replica applied 1 of 3 entries known as committed; entry 2 was seen of terms []"
    )
