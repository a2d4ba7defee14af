"""How much work a decision takes, counted in questions to the gate, not in time; and the module's bounds."""

from __future__ import annotations

from pathlib import Path

import pytest
from helpers import Drive, entry, sends, settings

from otterquay import interface as it
from otterquay import rules


def refused(servers: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Questions to the gate for one refusal where all servers are on trial and the cap is used up."""
    drive = Drive(settings(), servers=0)
    drive.list(*[entry(i, build=2) for i in range(1, servers + 1)], kind=it.ListKind.FULL)
    drive.news(2, 0, it.Phase.TRIAL, 0.14)
    while sends(drive.ask()[1]):
        pass
    asked = 0
    gate, window = rules.Agent.may_send, rules.Agent._exposed

    def counted(*given: object) -> bool:
        nonlocal asked
        asked += 1
        return gate(*given)  # type: ignore[arg-type]

    def looked(*given: object) -> tuple[int, int]:
        nonlocal asked
        asked += 1
        return window(*given)  # type: ignore[arg-type]

    monkeypatch.setattr(rules.Agent, "may_send", counted)
    monkeypatch.setattr(rules.Agent, "_exposed", looked)
    _, actions = drive.ask()
    monkeypatch.undo()
    assert any(isinstance(a, it.Refuse) for a in actions)
    return asked


def test_a_refusal_under_a_cap_used_up_asks_no_more_in_a_large_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each refusal once asked the gate of every server up to three times: 1 ms at 48 servers."""
    small, large = refused(12, monkeypatch), refused(200, monkeypatch)
    assert small == large <= 12


def test_a_build_that_is_open_is_still_asked_server_by_server(monkeypatch: pytest.MonkeyPatch) -> None:
    drive = Drive(settings(), servers=0)
    drive.list(*[entry(i, build=2 + i % 2) for i in range(1, 13)], kind=it.ListKind.FULL)
    drive.news(3, 0, it.Phase.TRIAL, 0.14)
    sent = [s.server for _ in range(50) for s in sends(drive.ask()[1])]
    assert {s % 2 for s in sent} >= {0}, "the earlier build is open while the newer one is shut"


def test_the_decisions_stay_within_their_bounds() -> None:
    lines = Path(rules.__file__).read_text().splitlines()
    assert len(lines) <= 630 and max(map(len, lines)) <= 110
    imports = {line.split()[1].split(".")[0] for line in lines if line.startswith(("import ", "from "))}
    assert imports <= {"math", "random", "struct", "bisect", "collections", "statistics", "otterquay"}
