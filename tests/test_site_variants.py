"""Tests of `deploy/sites/make.py`, which applies overlays to a deployment's site file."""

from __future__ import annotations

import importlib.util
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

FOLDER = Path(__file__).parent.parent / "deploy" / "sites"
SITE = """
name = "harbour"
[rules]
drain_grace_ms = 2000
[[class]]
name = "read"
share = [0.3, 0.4]
[[class]]
name = "write"
share = [0.6, 0.7]
"""


@pytest.fixture(scope="module")
def make() -> ModuleType:
    spec = importlib.util.spec_from_file_location("make", FOLDER / "make.py")
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def write_inputs(tmp_path: Path, overlay: str) -> list[str]:
    (tmp_path / "harbour.toml").write_text(SITE)
    (tmp_path / "wire.json").write_text("{}")
    (tmp_path / "ours.toml").write_text(overlay)
    return [str(tmp_path / "harbour.toml"), str(tmp_path / "ours.toml"), "--to", str(tmp_path / "made")]


def test_an_overlay_replaces_what_it_names_and_leaves_the_rest(make: ModuleType, tmp_path: Path) -> None:
    assert (
        make.main(write_inputs(tmp_path, 'name = "ours"\n[class.write]\nname = "bid"\nshare = [0.1, 0.2]\n')) == 0
    )
    variant = tomllib.loads((tmp_path / "made" / "ours" / "ours.toml").read_text())
    assert variant == {
        "name": "ours",
        "rules": {"drain_grace_ms": 2000},
        "class": [{"name": "read", "share": [0.3, 0.4]}, {"name": "bid", "share": [0.1, 0.2]}],
    }
    assert (tmp_path / "made" / "ours" / "wire.json").read_text() == "{}"


@pytest.mark.parametrize(
    ("overlay", "field"),
    [
        ("[rules]\ndrain_ms = 1\n", "rules.drain_ms"),
        ("speed = 1\n", "speed"),
        ("[class.queue]\nshare = 1\n", "class.queue"),
        ("[class.read]\nname = 'x'\nlimit = 1\n", "class.read.limit"),
        ("rules = 3\n", "rules"),
        ("[rules.drain_grace_ms]\na = 1\n", "rules.drain_grace_ms"),
    ],
)
def test_an_overlay_that_does_not_fit_is_reported_in_one_line_with_the_field(
    make: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str], overlay: str, field: str
) -> None:
    assert make.main(write_inputs(tmp_path, overlay)) == 2
    error = capsys.readouterr().err.strip()
    assert error.count("\n") == 0 and f"{field}:" in error and not (tmp_path / "made").exists()


def test_our_overlays_are_toml_and_use_distinct_names() -> None:
    overlays = [tomllib.loads(path.read_text()) for path in sorted(FOLDER.glob("*.toml"))]
    assert len(overlays) == 2
    for overlay in overlays:
        names = [entry["name"] for entry in overlay["class"].values()]
        assert len(set(names)) == 3 and not set(names) & set(overlay["class"])
