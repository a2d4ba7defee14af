"""Codecs of the platform without sockets: complete input, input split at any byte, and malformed input."""

from __future__ import annotations

from itertools import pairwise

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from otterquay import interface as it
from otterquay.protocol import platform, resp, targets

BIG = b"x" * resp.MAX_VALUE_BYTES
COMMANDS = [
    [b"PING"],
    [b"SVC.QUERY", b"k", b"i", b"c=a"],
    [b"SVC.SUBMIT", b"k", b"i", b"c=a", b"\r\n$5\r\n\0"],
    [b"SVC.SUBMIT", b"k", b"i", b"c=a", BIG],
]
SERVED = b"*3\r\n$5\r\nva\r\ne\r\n$-1\r\n$9\r\npending=1\r\n"
WHOLE = [
    SERVED,
    b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n",
    b"-BUSY\r\n",
    b"-ERR failed pending=3\r\n",
    b"+PONG\r\n",
    b"$3\r\na=1\r\n",
]


def in_pieces(parser: resp.CommandParser | resp.AnswerParser, data: bytes, cuts: list[int]) -> list[object]:
    edges = [0, *sorted(cuts), len(data)]
    return [one for a, b in pairwise(edges) for one in parser.feed(data[a:b])]


@given(st.lists(st.sampled_from(COMMANDS[:3]), min_size=1, max_size=6), st.lists(st.integers(0, 150), max_size=8))
def test_commands_come_out_as_written_wherever_they_are_cut(commands: list[list[bytes]], cuts: list[int]) -> None:
    data, parser = b"".join(map(resp.encode_command, commands)), resp.CommandParser()
    assert in_pieces(parser, data, [min(c, len(data)) for c in cuts]) == commands
    assert not parser.started and not parser.failed


def test_commands_byte_by_byte_and_the_largest_body() -> None:
    for arguments in COMMANDS[:3]:
        data = resp.encode_command(arguments)
        assert in_pieces(resp.CommandParser(), data, list(range(1, len(data)))) == [arguments]
    assert resp.CommandParser().feed(resp.encode_command(COMMANDS[3])) == [COMMANDS[3]]


@given(st.lists(st.sampled_from(WHOLE), min_size=1, max_size=5), st.lists(st.integers(0, 200), max_size=8))
def test_answers_come_out_alike_wherever_they_are_cut(answers: list[bytes], cuts: list[int]) -> None:
    data, parser = b"".join(answers), resp.AnswerParser()
    alone = [resp.AnswerParser().feed(one)[0] for one in answers]
    assert in_pieces(parser, data, [min(c, len(data)) for c in cuts]) == alone and not parser.failed


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*99999999999999999999999999\r\n",
        b"*x\r\n",
        b"\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$x\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$1025\r\n",
        b"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65537\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*1\r\n:1\r\n",
        b"*" + b"1" * 100,
        "*1\r\n$²\r\n".encode(),
    ],
)
def test_a_malformed_command_fails_before_more_is_buffered(data: bytes) -> None:
    parser = resp.CommandParser()
    assert parser.feed(resp.encode_command([b"PING"]) + data) == [[b"PING"]]
    assert parser.failed and len(parser._buffer) == 0 and parser.feed(b"x" * 100) == []


@pytest.mark.parametrize(
    "data",
    [
        b"noise\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*2\r\n$1\r\na\r\n$-1\r\n",
        b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$9\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$1\r\na\r\n$1\r\nb\r\n",
        b"-" + b"E" * 600,
        b"-ERR \xff\r\n",
        b"*3\r\n+value\r\n",
        b"$-1\r\n",
        b"*99999999999999999999999\r\n",
    ],
)
def test_a_malformed_answer_is_rejected(data: bytes) -> None:
    parser = resp.AnswerParser()
    assert not parser.feed(data) and parser.failed and parser.eof() is None


@pytest.mark.parametrize("report", [b"$70000\r\n", b"$x\r\n", b"noise\r\n", b"$2\r\nabc\r\n"])
def test_a_good_value_counts_whatever_the_report_is(report: bytes) -> None:
    parser = resp.AnswerParser()
    assert list(parser.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n" + report)) == [resp.Answer(b"*", b"v", b"", False)]
    assert parser.failed
    cut = resp.AnswerParser()
    assert not cut.feed(b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\na") and cut.eof() == resp.Answer(b"*", b"v", b"", False)
    assert not resp.AnswerParser().feed(b"*3\r\n$1\r\nv\r\n") and resp.AnswerParser().eof() is None


@given(st.binary(max_size=300))
def test_arbitrary_bytes_only_set_failed(data: bytes) -> None:
    for parser in (resp.CommandParser(), resp.AnswerParser()):
        parser.feed(data)
        assert parser.failed is None or not parser.has_unread


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b"a=1,b=2.5", (1.0, 2.5)),
        (b"B=2,a=1", (1.0, 2.0)),
        (b"a=1", ()),
        (b"a=x,b=1", ()),
        (b"a=nan,b=1", ()),
        (b"a=-1,b=1", ()),
        (b"", ()),
        (b"\xff", ()),
        (b"a=1e99,b=1", ()),
    ],
)
def test_load_reports(text: bytes, values: tuple[float, ...]) -> None:
    assert resp.parse_load_report(text, [(b"a",), (b"b", b"B")]) == values


STATE = platform.BuildState(42, 1, it.Phase.TRIAL, 0.28, 310.0)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"*", platform.Notification(None)),
        (b"* progress 42 1 testing 0.28 310", platform.Notification(STATE)),
        (b"OK 42 1 testing 0.28 310", platform.CallAnswer(it.Status.OK, STATE)),
        (b"OK", platform.CallAnswer(it.Status.OK, None)),
        (b"* metrics 1 2 3", platform.Notification(None)),
        (b"ERR Throttling", platform.CallAnswer(it.Status.FULL, None)),
        (b"ERR ConditionFailed", platform.CallAnswer(it.Status.MOOT, None)),
        (b"ERR InternalFailure", platform.CallAnswer(it.Status.ERROR, None)),
    ],
)
def test_platform_lines(line: bytes, expected: object) -> None:
    assert platform.parse_line(line, 2) == expected


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"noise",
        b"OK 42",
        b"* progress 42 1 testing 0.28",
        b"* progress 42 9 testing 0.28 1",
        b"* progres 1 1 live 1 1",
        b"ERR Odd",
        b"ERR",
        b"* progress 42 1 testing 1.5 1",
        b"* progress -1 1 live 1 1",
        b"* progress 70000 1 live 1 1",
        b"* progress 42 1 testing nan 1",
        b"* progress 42 1 asleep 0.2 1",
        b"OK 42.5 1 testing 0.28 1",
    ],
)
def test_malformed_platform_lines(line: bytes) -> None:
    with pytest.raises(platform.MalformedLine):
        platform.parse_line(line, 2)


@given(st.binary(max_size=120))
def test_any_line_is_parsed_or_malformed(line: bytes) -> None:
    try:
        platform.parse_line(line, 4)
    except platform.MalformedLine as error:
        assert str(error) is not None


def list_with_entry(**fields: object) -> bytes:
    entry = {"instanceId": "s-1", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "in_service", **fields}
    return msgspec.json.encode({"generation": 3, "reset": True, "instances": [entry]})


def test_a_server_has_the_same_number_everywhere_and_its_age_from_the_wall_clock() -> None:
    reader = targets.TargetReader(["m1", "m2"])
    whole, fleet, refused = reader.read(list_with_entry(startedAtMs=5000, machineType="m2", version_no=7), 6500.0)
    entry = fleet.entries[0]
    assert whole and not refused and (entry.age_ms, entry.kind, entry.build) == (1500.0, 1, 7)
    other = targets.TargetReader([]).read(list_with_entry(startedAtMs=5000, version_no=8), 9.0)[1].entries[0]
    assert other.server == entry.server == targets.server_number("s-1") and other.incarnation != entry.incarnation
    assert reader.read(list_with_entry(), 6500.0)[1].entries[0].age_ms is None


@pytest.mark.parametrize(
    "invalid",
    [
        {"hostPort": "host:1"},
        {"hostPort": ""},
        {"instanceId": ""},
        {"lifecycle": "asleep"},
        {"version_no": -1},
        {"startedAtMs": "old"},
        {"weight": -1},
        {"cell": 1.5},
    ],
)
def test_an_entry_that_cannot_be_read_is_left_out_with_a_reason(invalid: dict[str, object]) -> None:
    _, fleet, refused = targets.TargetReader([]).read(list_with_entry(**invalid), 0.0)
    assert not fleet.entries and len(refused) == 1


@given(st.binary(max_size=200))
def test_any_bytes_are_a_list_or_a_value_error(data: bytes) -> None:
    try:
        targets.TargetReader([]).read(data, 0.0)
    except ValueError as error:
        assert str(error)
