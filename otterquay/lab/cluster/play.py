"""Plays a cluster day and summarizes the result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from otterquay.config.load import load_service
from otterquay.lab.auditor import Auditor
from otterquay.lab.cluster.day import ClusterDay
from otterquay.lab.cluster.world import ClusterWorld, day_of

TOLERANCE_S = 0.25
MAX_NOTES = 40


@dataclass(frozen=True, slots=True)
class Result:
    """`counts` must all be zero, including `violations` of the five rules; `figures` are measurements."""

    counts: dict[str, int]
    notes: list[str]
    figures: dict[str, Any]
    rested: bool

    @property
    def good(self) -> bool:
        """Whether there was no violation and the fleet settled."""
        return self.rested and not any(self.counts.values())


async def play(
    day: ClusterDay,
    base: Path,
    seed: int,
    folder: Path,
    say: Callable[[str], None] = lambda text: None,
) -> Result:
    """Play a day with agent processes; their settings, logs and disks stay in `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise FileExistsError(f"{folder} is not empty: agents would start from the disks of another run")
    service = load_service(base)
    world = ClusterWorld(
        day_of(day), service, seed, lambda place: world.place(place), say, cluster=day, folder=folder, base=base
    )
    await world.run()
    (folder / "tape.jsonl").write_bytes(world.tape.dump())
    report = Auditor(world.tape, service, TOLERANCE_S).judge()
    broken = [f"{rule}: {text}" for rule, texts in report.violations.items() for text in texts]
    counts = {**world.judge.summary(), "violations": len(broken)}
    observer = world.observer
    unowned = sorted(gap for gaps in observer.unowned_s.values() for gap in gaps)
    figures = {
        "agents": len(world.sites),
        "rest_s": round(world.rest_s, 1),
        "entries": observer.applied_index,
        "grants": observer.books.group_state.tokens,
        "acts_of_coordinators": observer.books.group_state.acts,
        "coordinators": len(world.judge.leads),
        "refused_as_stale": sum(e.what == "stale" for e in world.yard.ledger.tape),
        "started": sum(e.what == "started" for e in world.yard.ledger.tape),
        "without_owner_s": [round(g, 2) for g in (unowned[len(unowned) // 2], unowned[-1])] if unowned else [],
        "posts": len(observer.books.group_state.posts.posts),
        "posts_moved": len(world.judge.moves),
        "messages": dict(sorted(observer.counts.items())),
    }
    notes = [*world.judge.notes, *broken][:MAX_NOTES]
    if any(counts.values()) or not world.rested:
        notes.append(observer.progress())
    return Result(counts, notes, figures, world.rested)
