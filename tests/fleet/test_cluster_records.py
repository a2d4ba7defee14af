"""What a cluster day leaves to find out why it failed."""

from __future__ import annotations

import json
import shutil
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from otterquay.cli import cluster as command
from otterquay.cli import main
from otterquay.duties.state import Duties
from otterquay.fleet import codec
from otterquay.group.messages import Append, Entry, Install
from otterquay.lab.cluster.play import Result
from otterquay.lab.cluster.wires import WireObserver
from otterquay.lab.fleetsim import draw
from otterquay.lab.fleetsim.judge import Judge
from otterquay.lab.fleetsim.world import Sim

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


# --- the observer's replica ---
MOST_UNSENT = 2  # newest entries that are told as committed with the next heartbeat
E1, E2, E3 = Entry(1, b""), Entry(2, b""), Entry(3, b"")
Delivered = list[tuple[int, Append | Install]]
OVERWRITTEN: Delivered = [  # the successor commits an entry in the place of one that its predecessor did not
    (0, Append(1, 0, 0, [E1], 0, 1)),
    (0, Append(1, 1, 1, [], 1, 2)),
    (0, Append(1, 1, 1, [E1], 1, 3)),
    (1, Append(2, 1, 1, [E2, E2], 1, 4)),
    (1, Append(2, 3, 2, [], 3, 5)),
]
TAKEN_OVER: Delivered = [  # the successor has its predecessor's entry, and commits it with one of its own
    (0, Append(1, 0, 0, [E1], 0, 1)),
    (0, Append(1, 1, 1, [], 1, 2)),
    (0, Append(1, 1, 1, [E1], 1, 3)),
    (2, Append(2, 1, 1, [E2], 1, 4)),  # a leader whose own entry no majority got
    (1, Append(3, 2, 1, [E3], 1, 5)),
    (1, Append(3, 3, 3, [], 3, 6)),
]


def follow(delivered: Delivered) -> WireObserver:
    observer = make_observer()
    for sender, message in delivered:
        observer.payload_delivered(sender, 3 - sender, codec.encode(message))
    return observer


@pytest.mark.parametrize(("delivered", "terms"), [(OVERWRITTEN, [1, 2, 2]), (TAKEN_OVER, [1, 1, 3])])
def test_an_entry_that_no_message_names_as_committed_is_the_one_that_its_successor_follows(
    delivered: Delivered, terms: list[int]
) -> None:
    """Guards against a replica that stands still where an index was seen of two terms."""
    observer = follow(delivered)
    assert observer.applied_index == 3 and not observer.judge.counts
    assert [observer.committed_terms[index] for index in (1, 2, 3)] == terms


@pytest.mark.parametrize("delivered", [OVERWRITTEN, TAKEN_OVER])
def test_no_entry_is_applied_that_is_not_known_as_committed(delivered: Delivered) -> None:
    """Guards against a replica that takes the only entry seen for the committed one."""
    for count in range(len(delivered)):
        observer = follow(delivered[:count])
        known = [message.commit for _, message in delivered[:count] if isinstance(message, Append)]
        assert observer.applied_index <= max(known, default=0)
    unseen = [(sender, message) for sender, message in delivered if message.term != delivered[-1][1].term]
    observer = follow([*unseen, delivered[-1]])  # without the entries of the last term
    assert observer.applied_index == 1 and "applied 1 of 3" in observer.progress()


def test_entries_that_are_seen_after_their_commit_are_applied() -> None:
    """Guards against a replica that looks for the entries before a commit only when it hears of that."""
    observer = follow([*OVERWRITTEN[:3], OVERWRITTEN[4], OVERWRITTEN[3]])
    assert observer.applied_index == 3 and not observer.judge.counts


def test_a_snapshot_names_its_last_entry_as_committed() -> None:
    """Guards against a replica that stands still as the followers got the rest as a snapshot."""
    observer = follow([*OVERWRITTEN[:4], (1, Install(2, 3, 2, b"", 5))])
    assert observer.applied_index == 3 and not observer.judge.counts


@pytest.mark.parametrize(
    "odd",
    [
        (0, Append(1, 2, 1, [], 2, 6)),  # another term at a committed index
        (1, Append(2, 2, 1, [E2], 1, 6)),  # an entry of one index and term after another one
    ],
)
def test_two_logs_that_differ_below_a_committed_entry_are_told(odd: tuple[int, Append | Install]) -> None:
    """Guards against a group that commits two entries at one index."""
    assert follow([*OVERWRITTEN, odd]).judge.counts["state_differs"]


# In the last day a replica that took the only entry seen for the committed one stood still at 51 of 86 entries.
@pytest.mark.parametrize("seeds", [range(20), range(20, 40), (486,)])
def test_the_replica_follows_drawn_days_to_their_end(seeds: Iterable[int], monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a replica that applies what no member did, or stands still for good."""
    deliver = Judge.message_delivered
    for seed in seeds:
        days: list[tuple[Sim, WireObserver]] = []

        def observe(sim: Sim, days: list[tuple[Sim, WireObserver]] = days) -> None:
            judge = Judge(sim.plan.bound, sites=dict(sim.judge.sites))
            days.append((sim, WireObserver(judge, Duties(sim.plan.site_names(), sim.plan.bound), lambda: sim.now)))

        def delivered(
            self: Judge, at: float, sender: int, to: int, message: Any, days: list[tuple[Sim, WireObserver]] = days
        ) -> None:
            deliver(self, at, sender, to, message)
            if days and self is days[0][0].judge and sender != to:
                days[0][1].payload_delivered(sender, to, codec.encode(message))

        monkeypatch.setattr(Judge, "message_delivered", delivered)
        assert draw.play(seed, observe).rested
        sim, observer = days[0]
        applied = sim.judge.applied_entries
        assert observer.judge.applied_entries.items() <= applied.items(), seed
        assert observer.applied_index == max(observer.committed_terms), (seed, observer.progress())
        assert observer.applied_index >= max(applied) - MOST_UNSENT, seed
        assert not observer.judge.counts["state_differs"], seed
