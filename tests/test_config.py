"""Settings files: units, and the messages about invalid settings."""

from __future__ import annotations

from pathlib import Path

import pytest
from rig import EXAMPLE

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.config import ConfigError, load_service, parse_service
from otterquay.config.translate import decision_settings
from otterquay.config.units import parse_duration, parse_share, parse_size
from otterquay.lab.day import load_day

TEXT = EXAMPLE.read_text()


def test_every_example_is_accepted() -> None:
    found = sorted(EXAMPLE.parent.glob("*.hcl"))
    assert len(found) >= 3
    for path in found:
        load_day(path) if path.stem.endswith(("day", "night")) else load_service(path)


def test_the_decision_settings_are_those_of_the_file() -> None:
    settings = decision_settings(load_service(EXAMPLE))
    join = settings.classes[1]
    assert (join.effect, join.scope, join.repeat_window_ms) == (it.Effect.KEYED, it.Scope.ZONE, 5000.0)
    assert (settings.zone, settings.zones, settings.agents) == (0, 2, 2)
    assert settings.rollout.stage_cap == (0.28, 0.84, 1.0) and settings.rules.cold_ms == 4000.0
    assert settings.report_fields == (it.LoadField.INFLIGHT, it.LoadField.UTIL) and settings.reports_in_answers


@pytest.mark.parametrize(("text", "ms"), [("800ms", 800), ("1.5s", 1500), ("2m", 120000), ("1h", 3.6e6)])
def test_durations(text: str, ms: float) -> None:
    assert parse_duration(text) == ms


@pytest.mark.parametrize("value", [800, "800", "s", "-1s", "1 s", "1e3ms", None, True])
def test_a_duration_without_its_unit_is_refused(value: object) -> None:
    with pytest.raises(ValueError, match="is not a duration"):
        parse_duration(value)


@pytest.mark.parametrize("value", [0.2, "20", "101%", "-1%", "%"])
def test_a_share_is_a_percentage(value: object) -> None:
    with pytest.raises(ValueError, match="is not a share"):
        parse_share(value)


def test_other_units() -> None:
    assert parse_share("12.5%") == 0.125 and parse_size("64KiB") == 65536
    assert split_address("[::1]:80") == ("::1", 80)
    with pytest.raises(ValueError):
        parse_size("64")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('"800ms"', "800", "class.race-entry.aim: 800 is not a duration"),
        ('aim        = "1.5s"', 'aimm = "1.5s"', "class.lobby-read.aimm: unknown key"),
        ('aim        = "1.5s"', "", "class.lobby-read.aim: missing"),
        ("rules {", "ruls {", "rules: missing"),
        ('repeat_window = "5s"', "", 'effect "keyed" needs repeat_window'),
        ('effect   = "unsafe"', 'effect = "risky"', "'safe', 'keyed' or 'unsafe'"),
        ("  number = 0", "  number = 2", "must be under count, 2"),
        ('zone   = "north"', 'zone = "east"', "is none of zones"),
        ('aim      = "800ms"', 'aim = "3s"', "at most the deadline"),
        ("bake      =", 'control = "timer"\n  bake =', "on_votes is 0 under control"),
        ('share       = "60%"', 'share = "70%"', "add up to over 100%"),
        ('listen = "127.0.0.1:8080"', 'listen = "8080"', "agent.listen: '8080' is not an address"),
        ('class "queue-join"', 'class "lobby-read"', "is defined twice"),
        ("agent {", "agent = 3\nother {", "agent: is a block"),
        ("rules {", "rules {\n}\nrules {", "rules: is defined 2 times"),
        ("feeds {", "limits {\n  peers = true\n}\nfeeds {", "there is no block peers"),
    ],
)
def test_what_is_refused_names_block_field_and_what_is_allowed(old: str, new: str, message: str) -> None:
    assert old in TEXT
    with pytest.raises(ConfigError) as error:
        parse_service(TEXT.replace(old, new, 1), "agent.hcl")
    assert message in str(error.value) and all(
        line.startswith("agent.hcl: ") for line in str(error.value).splitlines()
    )


def test_all_problems_are_reported_at_once_and_bad_syntax_with_its_line() -> None:
    with pytest.raises(ConfigError) as error:
        parse_service(TEXT.replace('"800ms"', "800").replace('"4s"', "4"))
    assert len(error.value.problems) == 3
    with pytest.raises(ConfigError, match="line 2: not HCL"):
        parse_service("a = {\n b\n")


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="cannot be read"):
        load_service(tmp_path / "none.hcl")


def test_the_command_line_replaces_fields_before_the_check() -> None:
    assert parse_service(TEXT, "x", {"agent": {"number": 1, "zone": None}}).agent.number == 1
    with pytest.raises(ConfigError, match="is none of zones"):
        parse_service(TEXT, "x", {"agent": {"zone": "moon"}})


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('zones = ["north", "south"]', 'zones = ["north"]', "zone_cut takes 2 zones, not 1"),
        ('of_class = "race-entry"', 'of_class = "none"', "is none of"),
        ('build "2"', 'build "two"', "a build's name is a number over 1"),
        ('share      = "40%"', 'share = "41%"', "do not add up to 100%"),
        ("agent = 1", "agent = 7", "there is no agent 7"),
        ('kind  = "zone_cut"', 'kind  = "zone_cat"', "fault.1.kind"),
    ],
)
def test_a_contradictory_day_is_refused(tmp_path: Path, old: str, new: str, message: str) -> None:
    day = (EXAMPLE.parent / "bad-day.hcl").read_text()
    assert old in day
    (tmp_path / "bad-day-agent.hcl").write_text((EXAMPLE.parent / "bad-day-agent.hcl").read_text())
    (tmp_path / "day.hcl").write_text(day.replace(old, new, 1))
    with pytest.raises(ConfigError) as error:
        load_day(tmp_path / "day.hcl")
    assert message in str(error.value)
