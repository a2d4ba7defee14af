"""The auditor: hand-written tapes for each rule, and simulated days with and without the guard of each rule."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from rig import service

import otterquay
from otterquay import interface as it
from otterquay.config import Service
from otterquay.config.load import parse_document
from otterquay.lab.auditor import RULES, Auditor, Report
from otterquay.lab.day import Day
from otterquay.lab.play import Result
from otterquay.lab.sim import play_simulated, simulated
from otterquay.policy.agent import Agent
from otterquay.policy.state import Server
from otterquay.standins import tape as tp

CLASSES = {"safe": "lobby-read", "keyed": "queue-join", "unsafe": "race-entry"}


class Script:
    """Builds a tape: one agent that was notified of servers 1 to 4 and of the release of build 1."""

    def __init__(self) -> None:
        self.tape = tp.Tape()
        self.add(tp.AgentUp(0.0, 0), tp.ToldStage(0.1, 0, 1, 0, "released", 1.0))
        for server in (1, 2, 3, 4):
            self.add(
                tp.Started(0.0, server, server, 1, 2.0, False), tp.ToldServer(0.1, 0, server, "ready", 1, server)
            )

    def add(self, *crossings: Any) -> Script:
        for crossing in crossings:
            self.tape.add(crossing)
        return self

    def ask(self, id: str, at: float, effect: str = "safe", op: str = "", budget: float = 1.0) -> Script:
        return self.add(tp.Asked(at, id, op or id, 0, CLASSES[effect], "first-studio", "", budget, at))

    def send(
        self,
        id: str,
        at: float,
        server: int = 1,
        reply: str | None = "ok",
        ran: bool = True,
        zone: str = "north",
        build: int = 1,
        work: float = 0.01,
        incarnation: int = 0,
    ) -> Script:
        tag = f"{id}-{at}"
        self.add(tp.Arrived(at, id, tag, server, incarnation or server, build, zone, work))
        if ran:
            op = next(c.op for c in self.tape.crossings if isinstance(c, tp.Asked) and c.id == id)
            self.add(tp.Ran(at, id, op, server, False))
        return self.add(tp.Replied(at + 0.05, id, tag, server, reply)) if reply else self  # type: ignore[arg-type]

    def answer(self, id: str, at: float, kind: str = "served") -> Script:
        return self.add(tp.Answered(at, id, kind, 200))  # type: ignore[arg-type]

    def judge(self, config: Service | None = None) -> Report:
        return Auditor(self.tape, config or service(), tolerance_s=0.01).judge()


def violated_rules(report: Report) -> set[str]:
    return {rule for rule, found in report.violations.items() if found}


def test_correct_traffic_violates_no_rule() -> None:
    script = Script()
    for i in range(20):
        script.ask(f"r{i}", 1 + i / 10, "unsafe").send(f"r{i}", 1.01 + i / 10).answer(f"r{i}", 1.1 + i / 10)
    report = script.judge()
    assert not report.broken and report.checked["answered"] == 20


@pytest.mark.parametrize(
    ("steps", "rule"),
    [
        (lambda s: s.ask("a", 1), "answered"),
        (lambda s: s.ask("a", 1).answer("a", 2.05), "answered"),
        (lambda s: s.ask("a", 1).answer("a", 1.2).answer("a", 1.3), "answered"),
        (lambda s: s.ask("a", 1).add(tp.Lost(1.5, "a", True)), "answered"),
        (lambda s: s.ask("a", 1).add(tp.Left(3.0, "a")), "answered"),
        (lambda s: s.ask("a", 1).add(tp.Left(2.02, "a")), "answered"),
        (lambda s: s.ask("a", 1).add(tp.Stood(3.0, 0, 1.5), tp.Left(3.1, "a")), "answered"),
        (lambda s: s.ask("a", 1).answer("a", 1.1).send("a", 1.3), "answered"),
        (lambda s: s.ask("a", 1).answer("a", 1.1).add(tp.Surplus(1.2, "a")), "answered"),
        (
            lambda s: s.ask("a", 1).send("a", 1.1).add(tp.AgentDown(1.2, 0, "stopped"), tp.Lost(1.2, "a", True)),
            "answered",
        ),
        (
            lambda s: s.ask("a", 1, "unsafe").send("a", 1.1, 1, "error").send("a", 1.2, 2).answer("a", 1.3),
            "effects",
        ),
        (
            lambda s: s.ask("a", 1, "unsafe").send("a", 1.1, 1, None, ran=False).send("a", 1.2, 2).answer("a", 1.3),
            "effects",
        ),
        (lambda s: s.ask("a", 1, "unsafe").send("a", 1.1, 1, "error").answer("a", 1.3, "refused"), "effects"),
        (
            lambda s: s.ask("a", 1, "keyed")
            .send("a", 1.1, 1, "error")
            .send("a", 1.2, 2, zone="south")
            .answer("a", 1.3),
            "effects",
        ),
        (
            lambda s: s.ask("a", 1, "keyed", budget=9)
            .send("a", 1.1, 1, "error")
            .send("a", 6.2, 2, ran=False)
            .answer("a", 6.3),
            "effects",
        ),
        (
            lambda s: s.ask("a", 1, "unsafe", "op")
            .send("a", 1.1)
            .answer("a", 1.2)
            .ask("b", 2, "unsafe", "op")
            .send("b", 2.1)
            .answer("b", 2.2),
            "effects",
        ),
        (
            lambda s: s.add(tp.ToldServer(1.0, 0, 1, "draining", 1, 1))
            .ask("a", 3.5)
            .send("a", 3.6)
            .answer("a", 3.7),
            "drains",
        ),
        (
            lambda s: s.add(tp.ToldServer(1.0, 0, 1, "gone", 0, 0)).ask("a", 3.5).send("a", 3.6).answer("a", 3.7),
            "drains",
        ),
    ],
)
def test_what_breaks_a_rule_is_reported(steps: Any, rule: str) -> None:
    assert violated_rules(steps(Script()).judge()) == {rule}


@pytest.mark.parametrize(
    "steps",
    [
        lambda s: s.ask("a", 1).add(tp.AgentDown(1.2, 0, "killed"), tp.Lost(1.2, "a", True)),
        lambda s: s.ask("a", 1).add(tp.AgentDown(1.2, 0, "stopped"), tp.Lost(1.2, "a", True)),
        lambda s: s.ask("a", 1).add(tp.Left(1.4, "a")),
        lambda s: s.ask("a", 1).add(tp.Stood(3.0, 0, 1.5), tp.Left(3.02, "a")),  # it had 30 ms left to answer
        lambda s: s.ask("a", 1).answer("a", 2.01, "failed"),
        lambda s: s.ask("a", 1, "unsafe")
        .send("a", 1.1, 1, "not_seen", ran=False)
        .send("a", 1.2, 2)
        .answer("a", 1.3),
        lambda s: s.ask("a", 1, "unsafe").send("a", 1.1, 1, "not_seen", ran=False).answer("a", 1.3, "refused"),
        lambda s: s.ask("a", 1, "keyed").send("a", 1.1, 1, "error").send("a", 1.2, 2, ran=False).answer("a", 1.3),
        lambda s: s.ask("a", 1)
        .send("a", 1.1, 1, "error")
        .send("a", 1.2, 2, zone="south")
        .answer("a", 1.3, "refused"),
        lambda s: s.add(tp.ToldServer(1.0, 0, 1, "draining", 1, 1)).ask("a", 2.5).send("a", 2.6).answer("a", 2.7),
        lambda s: s.add(tp.ToldServer(1.0, 0, 1, "gone", 1, 1), tp.ToldServer(1.5, 0, 1, "ready", 1, 9))
        .ask("a", 3.5)
        .send("a", 3.6, incarnation=9)
        .answer("a", 3.7),
    ],
)
def test_what_breaks_no_rule_is_not_reported(steps: Any) -> None:
    assert not steps(Script()).judge().broken


def with_attempts(script: Script, tries: int, requests: int, at: float = 5.0, build: int = 2) -> Script:
    """Add `requests` requests and, for `tries` of them, an attempt at a build, all within 0.1 s."""
    script.add(tp.ToldServer(at - 1, 0, 9, "ready", build, 9))
    for i in range(requests):
        id = f"{at}-{i}"
        script.ask(id, at - 0.1 + i / 1e4)
        if i < tries:
            script.send(id, at + i / 1e4, 9, build=build, ran=False)
        script.answer(id, at + 0.1)
    return script


def test_exposure_counts_attempts_against_the_cap_told() -> None:
    def trial(cap: float = 0.28) -> Script:
        return Script().add(tp.ToldStage(3.0, 0, 2, 0, "trial", cap))

    assert not with_attempts(trial(), 30, 100).judge().broken  # 2 free attempts and 28% of 100 requests
    assert violated_rules(with_attempts(trial(), 31, 100).judge()) == {"exposure"}
    assert violated_rules(with_attempts(Script(), 31, 100).judge()) == {"exposure"}, (
        "a build without an update yet is in stage 0"
    )
    assert not with_attempts(Script().add(tp.ToldStage(3.0, 0, 2, 0, "released", 1.0)), 90, 100).judge().broken
    assert not with_attempts(Script().add(tp.ToldStage(3.0, 0, 3, 0, "trial", 0.28)), 90, 100).judge().broken
    late = trial().add(tp.ToldStage(4.0, 0, 2, 0, "going_back", 0.0))
    assert not with_attempts(late, 20, 100, at=5.5).judge().broken, "within the drain grace"
    late = trial().add(tp.ToldStage(2.9, 0, 2, 0, "going_back", 0.0))
    assert not with_attempts(late, 0, 100, at=5.5).judge().broken
    late = Script().add(tp.ToldStage(2.0, 0, 2, 0, "trial", 1.0), tp.ToldStage(3.0, 0, 2, 0, "going_back", 0.0))
    assert violated_rules(with_attempts(late, 1, 100, at=5.5).judge()) == {"exposure"}
    guarded = service(rollout={"guarded_stages": 1})
    script = trial().add(tp.ToldServer(4.0, 0, 9, "ready", 2, 9))
    script.ask("u", 5.0, "unsafe").send("u", 5.01, 9, build=2).answer("u", 5.1)
    assert violated_rules(script.judge(guarded)) == {"exposure"} and not script.judge().broken


def test_a_lower_cap_counts_attempts_afresh_once_it_binds() -> None:
    script = Script().add(tp.ToldStage(1.0, 0, 2, 0, "trial", 0.84), tp.ToldStage(3.0, 0, 2, 0, "trial", 0.28))
    with_attempts(script, 80, 100, at=4.9)  # under the old cap, within the drain grace
    with_attempts(script, 20, 100, at=5.2)  # within the new cap, counted from 5.0 on
    assert not script.judge().broken
    with_attempts(script, 80, 100, at=5.4)  # 100 since the new cap became binding, of 300 requests in the window
    assert violated_rules(script.judge()) == {"exposure"}


@pytest.mark.parametrize(
    ("raised", "others", "fits"),
    [
        (4.9, (), True),
        (5.2, (), False),  # not written yet
        (4.9, (tp.Stood(5.5, 0, 4.8),), False),  # written, but the agent was paused
        (4.5, (tp.ToldStage(4.8, 0, 2, 0, "trial", 0.28),), True),  # lowered again: until it binds either may apply
    ],
)
def test_a_raise_on_a_slow_link_counts_from_when_it_was_written(raised: float, others: Any, fits: bool) -> None:
    script = Script().add(tp.ToldStage(2.0, 0, 2, 0, "trial", 0.28), tp.Severed(6.0, [0], 4.0, False, 0.3))
    with_attempts(script.add(tp.ToldStage(raised, 0, 2, 0, "trial", 0.84), *others), 60, 100)
    assert violated_rules(script.judge()) == (set() if fits else {"exposure"})


def test_a_lower_cap_on_a_slow_link_binds_once_the_link_is_whole() -> None:
    script = Script().add(
        tp.ToldStage(1.0, 0, 2, 0, "trial", 0.84),
        tp.ToldStage(3.0, 0, 2, 0, "trial", 0.28),
        tp.Severed(4.0, [0], 2.5, False, 0.3),
    )
    with_attempts(script, 60, 100, at=5.9)  # received at 4.0 at the latest, and within the drain grace
    assert not script.judge().broken
    with_attempts(script, 60, 100, at=8.5)
    assert violated_rules(script.judge()) == {"exposure"}


@pytest.mark.parametrize(("written", "known"), [(3.995, True), (4.005, True), (4.02, False)])
def test_an_update_sent_as_a_cut_begins_may_or_may_not_arrive(written: float, known: bool) -> None:
    """An agent may but need not act on an update written just before a cut, and cannot act on one written later."""

    def trial(cap: float, then: float) -> Script:
        return cut().add(tp.ToldStage(2.0, 0, 2, 0, "trial", cap), tp.ToldStage(written, 0, 2, 0, "trial", then))

    def cut() -> Script:
        return Script().add(tp.Severed(9.0, [0], 4.0, True, 0.0))

    assert violated_rules(with_attempts(trial(0.28, 0.84), 60, 100).judge()) == (set() if known else {"exposure"})
    script = trial(0.84, 0.0)
    assert not with_attempts(script, 60, 100, at=8.0).judge().broken, "it need not know"
    script = cut().add(tp.ToldServer(1.0, 0, 1, "draining", 1, 1), tp.ToldServer(written, 0, 1, "ready", 1, 1))
    script.ask("a", 4.5).send("a", 4.6).answer("a", 4.7)
    assert violated_rules(script.judge()) == (set() if known else {"drains"})
    script = cut().add(tp.ToldServer(written, 0, 1, "draining", 1, 1))
    assert not script.ask("a", 8.0).send("a", 8.1).answer("a", 8.2).judge().broken, "it need not know"


def test_attempts_at_a_server_whose_build_is_in_doubt_count_for_none() -> None:
    script = Script().add(tp.ToldStage(2.0, 0, 2, 0, "trial", 0.28))
    with_attempts(script, 60, 100, at=5.0)
    assert violated_rules(script.judge()) == {"exposure"}
    script.add(tp.ToldServer(4.5, 0, 9, "ready", 1, 8), tp.Severed(9.0, [0], 4.495, False, 0.3))
    assert not script.judge().broken, "the server returned to build 1, which the agent may know"


def test_a_stall_of_the_observer_is_resolved_in_favour_of_the_agent() -> None:
    late = Script().ask("a", 1).answer("a", 2.3)
    assert violated_rules(late.judge()) == {"answered"}
    assert not late.add(tp.Stalled(1.5, 0.2)).judge().broken


@pytest.mark.parametrize(
    ("work", "told", "violation"), [(0.3, True, True), (0.3, False, False), (0.01, True, False)]
)
def test_overload_of_a_cold_appliance_by_informed_agents_is_reported(
    work: float, told: bool, violation: bool
) -> None:
    script = Script().add(tp.Started(1.0, 9, 9, 1, 2.0, True))
    if told:
        script.add(tp.ToldServer(1.1, 0, 9, "ready", 1, 9))
    for i in range(30):
        script.ask(f"r{i}", 1.2 + i / 100).send(f"r{i}", 1.2 + i / 100, 9, work=work).answer(f"r{i}", 2.0)
    assert violated_rules(script.judge()) == ({"cold"} if violation else set())


def test_a_tape_can_be_written_and_read_back() -> None:
    script = Script().ask("a", 1).send("a", 1.1).answer("a", 1.2)
    assert tp.Tape.read(script.tape.dump()).crossings == script.tape.crossings


# --- simulated days with and without a guard ---
class NoFinalAnswers(Agent):
    """Never sends a final answer of its own."""

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        return [a for a in super().handle(now, event) if not isinstance(a, it.Fail | it.Refuse)]


class AllAreSafe(Agent):
    """Treats every class as safe to repeat."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        classes = tuple(replace(c, effect=it.Effect.SAFE) for c in settings.classes)
        super().__init__(replace(settings, classes=classes), seed)


class NeverDrains(Agent):
    """Ignores that a server drains."""

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        if isinstance(event, it.ServerList):
            event = replace(event, entries=tuple(replace(e, state=it.ServerState.READY) for e in event.entries))
        return super().handle(now, event)


class NeverCold(Agent):
    """Treats every server as warm."""

    def _age(self, server: Server) -> float:
        return 1e9


class NoCap(Agent):
    """Treats every build as released."""

    def _cap(self, build: int) -> float | None:
        return None


TEXT = """
service = "x"
duration = "5s"
fleet {
  machines = 4
  list_lag = "100ms"
  desk_lag = "100ms"
  start    = "300ms"
}
agents {
  zones   = ["north", "south"]
  weights = [1, 1]
}
traffic {
  rate = 80
  retries = 1
  class "lobby-read" {
    share = "50%"
    work_least = "5ms"
    work_most  = "15ms"
  }
  class "queue-join" {
    share = "25%"
    work_least = "5ms"
    work_most  = "15ms"
  }
  class "race-entry" {
    share = "25%"
    work_least = "5ms"
    work_most  = "15ms"
  }
}
"""
SILENT = 'fault {\n kind = "silent_servers"\n at = "1s"\n lasts = "1500ms"\n count = 4\n}\n'
FAILING = 'fault {\n kind = "fail_servers"\n at = "1s"\n lasts = "2s"\n count = 4\n share = "60%"\n}\n'
DRAIN = 'fault {\n kind = "drain"\n at = "1s"\n count = 2\n}\n'
RESTART = 'fault {\n kind = "kill_servers"\n at = "500ms"\n lasts = "300ms"\n count = 1\n}\n'
OFFER = 'build "2" {\n at = "500ms"\n}\n'
CASES: dict[str, tuple[type[Agent], str, dict[str, dict[str, Any]]]] = {
    "answered": (NoFinalAnswers, SILENT, {}),
    "effects": (AllAreSafe, FAILING, {}),
    "drains": (NeverDrains, DRAIN, {"rules": {"drain_grace": "300ms"}}),
    "cold": (NeverCold, RESTART, {"rules": {"start_capacity": "5%", "fall_multiple": 0.3, "cold": "60s"}}),
    "exposure": (
        NoCap,
        OFFER,
        {"rollout": {"stage": [{"share": "50%", "cap": "10%"}, {"share": "100%", "cap": "100%"}]}},
    ),
}


def serve_while_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let draining appliances continue to serve, so that their refusals do not make agents avoid them."""
    from otterquay.standins.fleet import Fleet

    post_init = Fleet.__post_init__

    def patched(self: Fleet) -> None:
        post_init(self)
        self.refuses_while_draining = False

    monkeypatch.setattr(Fleet, "__post_init__", patched)


@pytest.fixture(scope="module")
def days() -> dict[tuple[str, bool], Result]:
    """A simulated day for each rule, with and without its guard."""

    def one(rule: str, guarded: bool) -> Result:
        decider, extra, blocks = CASES[rule]
        config = service(**blocks)
        hosts = simulated(config, 3, decider=Agent if guarded else decider)
        return play_simulated(parse_document(Day, TEXT + extra), config, 3, hosts).result

    with pytest.MonkeyPatch.context() as monkeypatch:
        serve_while_draining(monkeypatch)
        return {(rule, guarded): one(rule, guarded) for rule in RULES for guarded in (True, False)}


@pytest.mark.parametrize("rule", RULES)
def test_without_its_guard_the_rule_is_violated(days: dict[Any, Result], rule: str) -> None:
    assert days[rule, False].report.violations[rule]


@pytest.mark.parametrize("rule", RULES)
def test_with_its_guard_the_same_day_violates_nothing(days: dict[Any, Result], rule: str) -> None:
    report = days[rule, True].report
    assert not report.broken, report.violations
    assert report.checked["answered"] > 200 and days[rule, True].summary()["operations_served"] > 100


def test_the_auditor_reads_no_log_and_no_state_of_an_agent() -> None:
    source = (Path(otterquay.__file__).parent / "lab" / "auditor.py").read_text()
    assert (
        "otterquay.agent" not in source
        and "policy" not in source
        and "rules"
        not in [
            word for line in source.splitlines() if line.startswith(("import", "from")) for word in line.split()
        ]
    )
