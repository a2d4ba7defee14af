"""Chat scenarios: scripted clients against real agents, checked by what clients and stand-in servers recorded."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from otterquay.lab.world import World
from otterquay.standins import tape as tp
from otterquay.standins.chat import ChatClient

FINAL_KINDS = ("served", "refused", "failed", "unknown")


@dataclass(slots=True, eq=False)
class ChatWorld(World):
    """A world whose traffic is chat: `client_count` clients, each with `pause_s` between commands on average."""

    client_count: int = 200
    pause_s: float = 1.0
    fault_share: float = 0.3  # share of commands after which a fault of `standins.chat.FAULTS` is drawn
    drain_timeout_s: float = 5.0  # wait for open commands at the end, beyond the longest deadline
    chat_clients: list[ChatClient] = field(default_factory=list)

    async def _traffic(self) -> None:
        assert self.service.chat
        loop, rng = asyncio.get_running_loop(), random.Random(self.seed + 2)
        tenants = [(n, t.share) for n, t in self.service.tenant.items()] or [("", 1.0)]
        for number in range(self.client_count):
            tenant = rng.choices([n for n, _ in tenants], [s for _, s in tenants])[0]
            client_rng = random.Random(rng.getrandbits(64))
            self.chat_clients.append(
                ChatClient(
                    number,
                    self.tape,
                    client_rng,
                    self.chat,
                    self.running,
                    tenant,
                    tuple(self.service.chat.command),
                    self.fault_share,
                )
            )
        max_answer_wait_s = max(c.deadline for c in self.service.class_.values()) / 1e3 + self.drain_timeout_s
        until = loop.time() + self.day.duration / 1e3
        await asyncio.gather(*(c.run(until, self.pause_s, max_answer_wait_s) for c in self.chat_clients))


@dataclass(slots=True)
class _CommandHistory:
    """Everything that the tape holds on one command."""

    command: str
    at: float
    notifications: list[tp.Told] = field(default_factory=list)
    runs: list[tp.Ran] = field(default_factory=list)


def judge(tape: tp.Tape, unsafe: set[str]) -> dict[str, Any]:
    """Count outcomes and list violations; `unsafe` are the commands whose class must never run twice."""
    histories: dict[str, _CommandHistory] = {}
    ends = [c for c in tape.crossings if isinstance(c, tp.AgentDown)]
    starts = [c for c in tape.crossings if isinstance(c, tp.AgentUp)]
    restart_times = [e.at for e in ends if any(s.agent == e.agent and s.at > e.at for s in starts)]
    counts: Counter[str] = Counter()
    runs_by_op: dict[str, list[tp.Ran]] = defaultdict(list)
    for c in tape.crossings:
        match c:
            case tp.Typed():
                histories[c.op] = _CommandHistory(c.command, c.at)
            case tp.Told():
                if c.op in histories:
                    histories[c.op].notifications.append(c)
            case tp.Ran():
                runs_by_op[c.op].append(c)
            case tp.Resumed():
                counts["resumed" if c.held else "came_back_to_nothing"] += 1
    violations: list[str] = []
    for op, history in histories.items():
        history.runs = [r for r in runs_by_op.get(op, []) if not r.repeat]
        counts["commands"] += 1
        final_answers = [w for w in history.notifications if w.word in FINAL_KINDS and not w.again]
        kinds = {w.word for w in final_answers}
        counts["answers"] += bool(final_answers)
        for kind in sorted(kinds):
            counts[f"answered_{kind}"] += 1
        not_taken = any(w.word == "not_taken" for w in history.notifications)
        counts["not_taken"] += not_taken
        repeats = [w for w in history.notifications if w.again]
        counts["answers_sent_again"] += len(repeats)
        if not final_answers and not not_taken:
            counts["unanswered"] += 1
            violations.append(f"{op}: /{history.command} got no final answer")
        if len(kinds) > 1:
            counts["answered_twice"] += 1
            violations.append(f"{op}: answered {sorted(kinds)}")
        if "unknown" in kinds and not any(history.at - 1 <= restart_time for restart_time in restart_times):
            violations.append(f"{op}: unknown, though no agent was restarted since")
        if not_taken and history.runs:
            violations.append(f"{op}: rejected, but it ran at server {history.runs[0].server}")
        if history.command not in unsafe:
            continue
        counts["entry_commands"] += 1
        counts["entry_spends"] += len(history.runs)
        if len(history.runs) > 1:
            counts["entry_spent_twice"] += 1
            violations.append(f"{op}: spent {len(history.runs)} times")
        if "refused" in kinds and history.runs:
            violations.append(f"{op}: refused as not run, but spent at server {history.runs[0].server}")
        if "served" in kinds and not history.runs:
            violations.append(f"{op}: served, but never spent")
    names = (
        "commands",
        "answers",
        "unanswered",
        "answered_twice",
        "entry_commands",
        "entry_spends",
        "entry_spent_twice",
        "resumed",
        "came_back_to_nothing",
        "not_taken",
        "answers_sent_again",
        *(f"answered_{kind}" for kind in FINAL_KINDS),
    )
    return {**{name: counts[name] for name in names}, "violations": violations}


def unsafe_commands(service: Any) -> set[str]:
    """Names of the commands whose class must never run twice."""
    return {name for name, c in service.chat.command.items() if service.class_[c.class_].effect == "unsafe"}
