"""The list of known failures in `KNOWN-RED.txt`, and that no test is skipped or expected to fail in another way."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from conftest import KnownFailure, parse_known_failures

ROOT = Path(__file__).parent.parent
LINE = "tests/one.py::test_a | pytest, seed 3 | a cause | issue 1\n"


@pytest.fixture
def root(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "one.py").write_text("def test_a(): ...\n\nasync def test_b(x): ...\n")
    return tmp_path


def test_a_line_names_test_command_what_was_seen_and_issue(root: Path) -> None:
    text = LINE + "tests/one.py::test_b[x-1] | pytest, seed 4 | another | issue 2 | at times\n"
    assert parse_known_failures(text, root) == [
        KnownFailure("tests/one.py::test_a", "pytest, seed 3", "a cause", "issue 1"),
        KnownFailure("tests/one.py::test_b[x-1]", "pytest, seed 4", "another", "issue 2", intermittent=True),
    ]
    assert parse_known_failures("", root) == []


def test_a_fault_that_only_a_command_reproduces_has_no_test(root: Path) -> None:
    assert parse_known_failures(LINE.replace("tests/one.py::test_a", "-"), root)[0].test == "-"


@pytest.mark.parametrize(
    "text",
    [
        "tests/one.py::test_a | pytest, seed 3 | a cause\n",
        LINE.replace("a cause", " "),
        LINE + "\n",
        LINE.replace("test_a", "test_c"),
        LINE.replace("one.py", "two.py"),
        LINE.replace("::test_a", ""),
        LINE.replace("seed 3", "seed x"),
        LINE.replace(", seed 3", ""),
        LINE.replace("issue 1", "soon"),
        LINE.replace("issue 1", "issue 1 | often"),
    ],
)
def test_an_invalid_line_stops_the_run(root: Path, text: str) -> None:
    with pytest.raises(pytest.UsageError, match=r"KNOWN-RED\.txt: "):
        parse_known_failures(text, root)


def test_a_known_red_test_that_passes_fails_the_run(pytester: pytest.Pytester) -> None:
    create_project(pytester)
    (pytester.path / "KNOWN-RED.txt").write_text(LINE + LINE.replace("test_a", "test_b"))
    result = pytester.runpytest_subprocess("tests/one.py")
    result.assert_outcomes(failed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*known red: tests/one.py::test_a: a cause (pytest, seed 3; issue 1)*"])


def test_an_intermittent_failure_may_pass_or_fail_and_is_printed(pytester: pytest.Pytester) -> None:
    create_project(pytester)
    intermittent = LINE.replace("issue 1", "issue 1 | at times")
    (pytester.path / "KNOWN-RED.txt").write_text(intermittent + intermittent.replace("test_a", "test_b"))
    result = pytester.runpytest_subprocess("tests/one.py")
    result.assert_outcomes(xpassed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*known red: tests/one.py::test_b: a cause (pytest, seed 3; issue 1, at times)*"])


def create_project(pytester: pytest.Pytester) -> None:
    """Create a separate project with this `conftest.py`, a test that passes and one that fails."""
    (pytester.path / "tests").mkdir()
    (pytester.path / "tests" / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (pytester.path / "tests" / "one.py").write_text("def test_a(): ...\ndef test_b(): assert False\n")


def test_no_test_is_skipped_or_expected_to_fail_in_another_way() -> None:
    pattern = re.compile(r"mark\.(xfail|skip)|pytest\.(xfail|skip|importorskip)|unittest\.(skip|expectedFailure)")
    this_file = Path(__file__)
    matches = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted((ROOT / "tests").rglob("*.py"))
        if path != this_file
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert [location.split(":")[0] for location in matches] == ["tests/conftest.py"], matches


def test_ci_runs_the_test_command_of_the_readme() -> None:
    readme = (ROOT / "README.md").read_text().split("## Tests")[1].split("```")[1]
    commands = [line for line in readme.splitlines() if "pytest" in line]
    assert len(commands) == 1 and commands[0] in (ROOT / ".ci" / "run").read_text().splitlines()
