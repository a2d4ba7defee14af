"""Invalid fleet-work blocks are refused with block and remedy; `run` without them loads no fleet-work module."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from otterquay.config import ConfigError, parse_service
from otterquay.fleet.build import plan_from_settings

ROOT = Path(__file__).parents[2]
BASE = (
    (ROOT / "examples" / "cluster" / "agent.hcl")
    .read_text()
    .replace('  listen = "127.0.0.1:8080"', '  listen = "127.0.0.1:8080"\n  store = "/tmp/x"')
)
AGENTS = "".join(
    f'  agent "{n}" {{\n    address = "127.0.0.1:{7000 + n}"\n    zone = "{z}"\n  }}\n'
    for n, z in enumerate(("north", "south", "east", "north"))
)
GROUP = f'group {{\n  name = "g"\n  members = [0, 1, 2]\n  key_file = "k"\n{AGENTS}}}\n'
CAPACITY = (
    'capacity {\n  yard = "http://127.0.0.1:9"\n  bound = 12\n  allowance = 2\n'
    '  site "north" {\n    want = { a = 3 }\n  }\n}\n'
)


def test_the_blocks_make_a_plan() -> None:
    plan = plan_from_settings(
        parse_service(BASE + GROUP + CAPACITY + 'machine "3" {\n  family = "f"\n  cores = 4\n}\n')
    )
    assert plan.members == (0, 1, 2) and plan.agents_of("north") == (0, 3) and plan.wanted["north"] == {"a": 3}
    assert plan.machines["3"].family == "f" and plan.terms.lease == 4.0 and plan.site_times.lost == 4.0
    with pytest.raises(ValueError, match="no block group"):
        plan_from_settings(parse_service(BASE))


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("members = [0, 1, 2]", "members = [0, 1]", "an even number bears no more"),
        ("members = [0, 1, 2]", "members = [0, 1, 1]", "three or five different"),
        ("members = [0, 1, 2]", "members = [0, 1, 9]", "no block agent for 9"),
        ("bound = 12", "bound = 8", "raise bound"),
        ('site "north"', 'site "west"', "is none of zones"),
        ('zone = "east"', 'zone = "west"', "is none of zones"),
        ('agent "0"', 'agent "x"', "no block agent for 0"),
        ('  store = "/tmp/x"', "", "agent.store is needed"),
        ('name = "g"', 'name = "g"\n  lost = "1s"', "over twice election"),
        ('name = "g"', 'name = "g"\n  beat = "900ms"', "three times beat"),
        ('name = "g"', 'name = "g"\n  lease = "100ms"', "lease must be"),
        ("bound = 12", 'bound = 12\n  owes = "2s"', "four times look"),
        ("bound = 12", 'bound = 12\n  retire = "5s"', "ten times look"),
        (CAPACITY, "", "no block capacity"),
        (GROUP, "", "goes with a block group"),
        ('zone   = "north"', 'zone   = "south"', "but agent.zone is"),
    ],
)
def test_blocks_that_cannot_hold_are_refused_with_their_remedy(old: str, new: str, message: str) -> None:
    text = BASE + GROUP + CAPACITY
    assert old in text
    with pytest.raises(ConfigError, match=message):
        parse_service(text.replace(old, new, 1))


def test_run_loads_nothing_of_the_fleets_work() -> None:
    code = (
        "import sys, otterquay.node.__main__, otterquay.node.agent, otterquay.benchlink.__main__\n"
        "new = ('cores', 'group', 'duties', 'sites', 'runtimes', 'fleet', 'lab')\n"
        "ours = tuple(f'otterquay.{n}' for n in new)\n"
        "found = [m for m in sys.modules if m.startswith(ours) or m == 'numpy']\n"
        "sys.exit(str(found) if found else 0)"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0
