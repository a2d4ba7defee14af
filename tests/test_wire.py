"""The bench's wire: each record, malformed input, settings, and the process that serves standard input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from otterquay import interface as it
from otterquay.benchlink import settings, wire
from otterquay.benchlink.__main__ import InstanceHost

CONFIG = {
    "groupSize": 2,
    "myNumber": 0,
    "zone": 0,
    "localities": ["a"],
    "discovery": "automatic",
    "tickMs": 5.0,
    "requestClasses": [
        {
            "name": "r",
            "effect": "idempotent",
            "dedupScope": "all",
            "deadlineMs": 2000.0,
            "onTimeMs": 1000.0,
            "value": 1.0,
        }
    ],
    "limits": {"sendCap": 3},
    "rules": {"coldMs": 1000.0, "fallMs": 1000.0},
    "familyInfo": {
        "control": "first_voice",
        "caps": [0.1, 1.0],
        "stageShare": [0.1, 1.0],
        "windowMs": 1000.0,
    },
    "somethingNew": {"x": [1, None]},
}


def length_prefixed(value: bytes) -> bytes:
    return struct.pack("<I", len(value)) + value


def provision(agent: int = 3, config: dict[str, object] | None = None) -> bytes:
    return struct.pack("<BHQ", 0, agent, 7) + length_prefixed(json.dumps(config or CONFIG).encode())


def server_list(list_number: int, *servers: int) -> bytes:
    packed_entries = [struct.pack("<IBBHBfdf", s, 0, 0, 0, 1, 1.0, 0.0, 4.0) for s in servers]
    return struct.pack("<BHI", 13, list_number, len(packed_entries)) + b"".join(packed_entries)


def update(agent: int, list_number: int, kind_code: int = 1) -> bytes:
    return struct.pack("<BHBQH", 1, agent, kind_code, 1, list_number)


def request_record(agent: int, request: int) -> bytes:
    return struct.pack("<BHQHIQddB", 2, agent, request, 0, 0, 0, 1500.0, 0.0, 0)


def batch_frame(*records: bytes, now: float = 1000.0, count: int | None = None) -> bytes:
    body = b"".join(records)
    return struct.pack("<dII", now, len(body), len(records) if count is None else count) + body


def decode(*records: bytes) -> list[tuple[int, wire.Record]]:
    return list(wire.Decoder().decode_batch(len(records), b"".join(records)))


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "otterquay.benchlink"], input=data, capture_output=True, check=False
    )


REPORT = struct.pack("<B2f", 2, 0.5, 3.0)
EVENTS = [
    (
        struct.pack("<BHQHIQddB", 2, 3, 2**52 - 1, 1, 2, 2**63, 1500.0, 12.0, 7),
        it.Request(2**52 - 1, 1, 2, 2**63, 1500.0, 12.0, True, True, True),
    ),
    (struct.pack("<BHQHId", 3, 3, 9, 1, 5, 4.5), it.Begun(9, 1, 5, 4.5)),
    (
        struct.pack("<BHQIdBHH", 4, 3, 9, 5, 18.5, 1, 2, 254) + REPORT,
        it.Outcome(9, 5, 2, it.Status.FULL, 18.5, True, (0.5, 3.0)),
    ),
    (struct.pack("<BHQ", 5, 3, 9), it.Abandoned(9)),
    (struct.pack("<BHQ", 6, 3, 77), it.TimerFired(77)),
    (struct.pack("<BHIHd", 7, 3, 5, 0, 1.5) + REPORT, it.ProbeResult(5, it.Status.OK, 1.5, (0.5, 3.0))),
    (struct.pack("<BHIH", 8, 3, 4, 2) + b"hi", it.PeerMessage(4, b"hi")),
    (struct.pack("<BH", 9, 3), wire.Destroy()),
    (
        struct.pack("<BHHBBBHfd", 10, 3, 42, 2, 0, 1, 249, 0.125, 295.0),
        it.StageNews(42, 2, it.Phase.TRIAL, True, it.Status.MOOT, 0.125, 295.0),
    ),
    (struct.pack("<BHIIHHdd", 11, 3, 4, 180, 1, 42, 818.0, 21.5), it.Tally(42, 1, 180, 4, 21.5, 818.0)),
    (struct.pack("<BHHdI", 12, 3, 1, 2400.0, 5), it.Complaint(1, 5, 2400.0)),
    (update(3, 0, kind_code=2), it.ServerList(it.ListKind.FAILED, 1, ())),
    (provision(), wire.Provision(7, json.dumps(CONFIG).encode())),
]


@pytest.mark.parametrize(("record", "event"), EVENTS)
def test_each_event_record(record: bytes, event: wire.Record) -> None:
    assert decode(record) == [(3, event)]


@pytest.mark.parametrize(
    ("action", "record_format", "fields"),
    [
        (it.Send(2**52 - 1, 5, 20.0), "<BHQdI", (6, 3, 2**52 - 1, 20.0, 5)),
        (it.Refuse(9, 40.0), "<BHQd", (2, 3, 9, 40.0)),
        (it.Fail(9), "<BHQ", (10, 3, 9)),
        (it.Cancel(9, 1), "<BHQH", (7, 3, 9, 1)),
        (it.Probe(5), "<BHI", (5, 3, 5)),
        (it.CloseIdle(5), "<BHI", (0, 3, 5)),
        (it.SetTimer(500.0, 77), "<BHdQ", (12, 3, 500.0, 77)),
        (it.TellPeers(None, b"hi"), "<BHHH2s", (9, 3, 0xFFFF, 2, b"hi")),
        (it.TellPeers(4, b"hi"), "<BHHH2s", (9, 3, 4, 2, b"hi")),
        (it.CastVote(42, 2, it.Verdict.BACK), "<BHHBB", (11, 3, 42, 3, 2)),
        (it.FetchList(), "<BH", (1, 3)),
        (it.Watch(True), "<BHB", (8, 3, 1)),
        (it.Log("two"), "<BHH3s", (4, 3, 3, b"two")),
        (wire.DecisionFailure("oh"), "<BHH2s", (3, 3, 2, b"oh")),
    ],
)
def test_each_action_record(
    action: it.Action | wire.DecisionFailure, record_format: str, fields: tuple[object, ...]
) -> None:
    record = wire.encode(3, action)
    assert len(record) == struct.calcsize(record_format)
    assert struct.unpack(record_format, record) == fields


def test_headers_order_their_fields_differently() -> None:
    assert wire.BATCH_HEADER.unpack(batch_frame(b"", now=5.0, count=0)) == (5.0, 0, 0)
    assert struct.unpack("<II", wire.encode_reply([b"abc", b"d"])[:8]) == (2, 4)


def test_a_list_number_reused_within_a_batch_is_resolved_in_order() -> None:
    decoded = decode(server_list(0, 1, 2), update(3, 0), server_list(0, 7), update(4, 0))
    events = [event for _, event in decoded]
    assert [[e.server for e in x.entries] for x in events if isinstance(x, it.ServerList)] == [[1, 2], [7]]


@pytest.mark.parametrize(
    "records",
    [
        [struct.pack("<BH", 99, 3)],
        [request_record(3, 1)[:-1]],
        [request_record(3, 1) + b"x"],
        [update(3, 5)],
        [struct.pack("<BHQIdBHHB", 4, 3, 9, 5, 18.5, 1, 2, 7, 0)],
        [struct.pack("<BHHBBBHfd", 10, 3, 42, 2, 9, 1, 0, 0.125, 295.0)],
        [struct.pack("<BHIH", 8, 3, 4, 200) + b"hi"],
    ],
)
def test_malformed_records_are_refused(records: list[bytes]) -> None:
    with pytest.raises(wire.WireError):
        decode(*records)


@pytest.mark.parametrize(
    "change",
    [
        {"requestClasses": []},
        {"requestClasses": [{"effect": "idempotent"}]},
        {"discovery": "unknown"},
        {"groupSize": 2, "myNumber": 2},
        {"familyInfo": {"caps": [0.1], "stageShare": [0.1, 1.0]}},
        {"requestClasses": [{"deadlineMs": 0.0, "effect": "idempotent"}]},
        {"groupSize": "many"},
    ],
)
def test_contradictory_settings_are_refused(change: dict[str, object]) -> None:
    with pytest.raises(wire.WireError):
        settings.decode_settings(json.dumps({**CONFIG, **change}).encode())


@pytest.mark.parametrize("document", [b"{", b"[]", b"\xff", b"3"])
def test_bad_json_is_refused(document: bytes) -> None:
    with pytest.raises(wire.WireError):
        settings.decode_settings(document)


def test_missing_keys_get_the_most_restrictive_value() -> None:
    decoded = settings.decode_settings(json.dumps({"requestClasses": [{"deadlineMs": 100.0}]}).encode())
    assert decoded.classes[0].effect is it.Effect.UNSAFE and decoded.limits.max_attempts == 1
    assert not decoded.limits.second_copies and not decoded.limits.peers


def test_an_instance_is_destroyed_and_provisioned_again_in_one_batch() -> None:
    instance_host = InstanceHost()
    body = provision() + server_list(0, 5) + update(3, 0)
    instance_host.process_batch(1000.0, 3, body)
    instance_host.process_batch(1005.0, 4, struct.pack("<BH", 9, 3) + body)


def test_two_instances_share_nothing() -> None:
    def replies(agents: list[int]) -> list[bytes]:
        instance_host = InstanceHost()
        collected = []
        for agent in agents:
            start = provision(agent) + server_list(0, 5, 6) + update(agent, 0)
            instance_host.process_batch(1000.0, 3, start)
        for step in range(20):
            for agent in agents:
                collected.append(instance_host.process_batch(1005.0 + step, 1, request_record(agent, 100 + step)))
        return [reply for i, reply in enumerate(collected) if i % len(agents) == 0]

    assert replies([3, 4]) == replies([3])


def test_the_process_replies_to_batches_and_exits_at_the_end_of_input() -> None:
    released = struct.pack("<BHHBBBHfd", 10, 3, 4, 1, 2, 0, 0, 1.0, 0.0)
    start = batch_frame(provision(), server_list(0, 5), update(3, 0), released)
    completed = run(batch_frame(count=0) + start + batch_frame(request_record(3, 1), now=1005.0))
    assert (completed.returncode, completed.stderr) == (0, b"")
    out = io.BytesIO(completed.stdout)
    assert out.read(8) == bytes(8)
    count, size = struct.unpack("<II", out.read(8))
    assert count == 1 and len(out.read(size)) == size
    count, size = struct.unpack("<II", out.read(8))
    body = out.read()
    assert count == 1 and len(body) == size and body[0] == 6


@pytest.mark.parametrize(
    "data",
    [
        batch_frame(request_record(3, 1)),  # no such instance
        batch_frame(provision())[:-4],
        b"\x00" * 7,
        batch_frame(struct.pack("<BH", 99, 3)),
        batch_frame(struct.pack("<BHQ", 0, 3, 7) + length_prefixed(b"{not json")),
        batch_frame(request_record(3, 1), count=2),
    ],
)
def test_malformed_input_stops_with_one_line(data: bytes) -> None:
    completed = run(data)
    assert completed.returncode != 0 and completed.stdout == b""
    assert completed.stderr.count(b"\n") == 1 and b"Traceback" not in completed.stderr


def test_an_exception_in_the_decision_code_is_reported_as_a_record(monkeypatch: pytest.MonkeyPatch) -> None:
    instance_host = InstanceHost()
    instance_host.process_batch(1000.0, 3, provision() + server_list(0, 5) + update(3, 0))

    def broken(*_: object) -> list[it.Action]:
        raise ValueError("no way")

    monkeypatch.setattr("otterquay.policy.agent.Agent.handle", broken)
    reply = instance_host.process_batch(1005.0, 1, request_record(3, 1))
    assert reply[8] == 3 and reply.endswith(b"ValueError: no way")
