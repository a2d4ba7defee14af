"""Codec of the bench's wire protocol: little-endian frames of packed records, to and from interface types."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from otterquay import interface as it


class WireError(Exception):
    """The input violates the wire protocol."""


@dataclass(frozen=True, slots=True)
class Provision:
    """Starts an instance with a seed and its settings as JSON."""

    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class Destroy:
    """Ends an instance; its state is discarded."""


@dataclass(frozen=True, slots=True)
class DecisionFailure:
    """Reports that the decision code of an instance raised an exception."""

    text: str


BATCH_HEADER = struct.Struct("<dII")
REPLY_HEADER = struct.Struct("<II")
LIST_ENTRY = struct.Struct("<IBBHBfdf")
ALL_PEERS = 0xFFFF
MAX_TEXT_BYTES = 0xFFFF

STATUS = {
    0: it.Status.OK,
    255: it.Status.ERROR,
    254: it.Status.FULL,
    253: it.Status.TIMEOUT,
    252: it.Status.CONNECT_FAILED,
    251: it.Status.RESET,
    250: it.Status.CANCELLED,
    249: it.Status.MOOT,
}
LIST_KIND = {1: it.ListKind.CACHED, 2: it.ListKind.FAILED, 3: it.ListKind.FULL, 4: it.ListKind.DELTA}
SERVER_STATE = {0: it.ServerState.GONE, 1: it.ServerState.READY, 2: it.ServerState.DRAINING}
PHASE = {0: it.Phase.TRIAL, 1: it.Phase.GOING_BACK, 2: it.Phase.RELEASED, 3: it.Phase.WITHDRAWN}
VERDICT = {it.Verdict.NONE: 0, it.Verdict.ON: 1, it.Verdict.HOLD: 2, it.Verdict.BACK: 3}

_PROVISION = struct.Struct("<HQI")
_LIST_UPDATE = struct.Struct("<HBQH")
_REQUEST = struct.Struct("<HQHIQddB")
_ANSWER_BEGUN = struct.Struct("<HQHId")
_OUTCOME = struct.Struct("<HQIdBHHB")
_AGENT_AND_ID = struct.Struct("<HQ")
_PROBE_RESULT = struct.Struct("<HIHdB")
_PEER_MESSAGE = struct.Struct("<HIH")
_AGENT_ONLY = struct.Struct("<H")
_STAGE_NEWS = struct.Struct("<HHBBBHfd")
_TALLY = struct.Struct("<HIIHHdd")
_COMPLAINT = struct.Struct("<HHdI")
_LIST_HEADER = struct.Struct("<HI")

Record = it.Event | Provision | Destroy


class _Reader:
    """Reads the body of one batch in order; raises WireError instead of reading past its end."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.offset = 0

    def read_struct(self, record_format: struct.Struct) -> tuple[int, ...]:
        end = self.offset + record_format.size
        if end > len(self.body):
            raise WireError("a record extends beyond the end of its batch")
        values = record_format.unpack_from(self.body, self.offset)
        self.offset = end
        return values

    def read_bytes(self, size: int) -> bytes:
        end = self.offset + size
        if end > len(self.body):
            raise WireError("a record extends beyond the end of its batch")
        chunk = self.body[self.offset : end]
        self.offset = end
        return chunk

    def read_floats(self, count: int) -> tuple[float, ...]:
        return struct.unpack(f"<{count}f", self.read_bytes(4 * count))


T = TypeVar("T")


def _lookup(table: dict[int, T], code: int, description: str) -> T:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {description} {code}") from None


def _status(code: int) -> it.Status:
    return _lookup(STATUS, code, "outcome")


class Decoder:
    """Decodes batches into events; keeps the numbered server lists, which all instances of the process share."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[it.ServerEntry, ...]] = {}

    def decode_batch(self, count: int, body: bytes) -> Iterator[tuple[int, Record]]:
        """Yield (instance, record) in order.

        Each list number refers to the list that it had at that point of the batch, as numbers are reused.
        """
        reader = _Reader(body)
        for _ in range(count):
            code = reader.read_bytes(1)[0]
            if code == 13:
                self._store_server_list(reader)
            else:
                yield self._record(code, reader)
        if reader.offset != len(body):
            raise WireError("the batch body is longer than its records")

    def _store_server_list(self, reader: _Reader) -> None:
        list_number, count = reader.read_struct(_LIST_HEADER)
        entries = []
        for server, zone, kind, cell, state, weight, started, build in LIST_ENTRY.iter_unpack(
            reader.read_bytes(count * LIST_ENTRY.size)
        ):
            server_state = _lookup(SERVER_STATE, state, "server state")
            entries.append(it.ServerEntry(server, zone, kind, cell, server_state, weight, started, int(build)))
        self._lists[list_number] = tuple(entries)

    def _record(self, code: int, reader: _Reader) -> tuple[int, Record]:
        if code == 4:
            agent, request, server, rtt, over, attempt, status, load_count = reader.read_struct(_OUTCOME)
            load = reader.read_floats(load_count)
            return agent, it.Outcome(request, server, attempt, _status(status), rtt, bool(over), load)
        if code == 2:
            agent, request, cls, tenant, key, budget, hint, flags = reader.read_struct(_REQUEST)
            return agent, it.Request(
                request, cls, tenant, key, budget, hint, bool(flags & 1), bool(flags & 2), bool(flags & 4)
            )
        if code == 6:
            agent, token = reader.read_struct(_AGENT_AND_ID)
            return agent, it.TimerFired(token)
        if code == 0:
            agent, seed, size = reader.read_struct(_PROVISION)
            return agent, Provision(seed, reader.read_bytes(size))
        if code == 1:
            agent, kind_code, version, list_number = reader.read_struct(_LIST_UPDATE)
            kind = _lookup(LIST_KIND, kind_code, "list kind")
            if kind is it.ListKind.FAILED:
                return agent, it.ServerList(kind, version, ())
            return agent, it.ServerList(kind, version, _lookup(self._lists, list_number, "list number"))
        if code == 3:
            agent, request, attempt, server, rtt = reader.read_struct(_ANSWER_BEGUN)
            return agent, it.Begun(request, attempt, server, rtt)
        if code == 5:
            agent, request = reader.read_struct(_AGENT_AND_ID)
            return agent, it.Abandoned(request)
        if code == 7:
            agent, server, status, rtt, load_count = reader.read_struct(_PROBE_RESULT)
            return agent, it.ProbeResult(server, _status(status), rtt, reader.read_floats(load_count))
        if code == 8:
            agent, sender, size = reader.read_struct(_PEER_MESSAGE)
            return agent, it.PeerMessage(sender, reader.read_bytes(size))
        if code == 9:
            (agent,) = reader.read_struct(_AGENT_ONLY)
            return agent, Destroy()
        if code == 10:
            agent, build, stage, phase, answers_vote, status, cap, age = reader.read_struct(_STAGE_NEWS)
            phase_value = _lookup(PHASE, phase, "phase")
            return agent, it.StageNews(build, stage, phase_value, bool(answers_vote), _status(status), cap, age)
        if code == 11:
            agent, failures, attempts, cls, build, age, mean = reader.read_struct(_TALLY)
            return agent, it.Tally(build, cls, attempts, failures, mean, age)
        if code == 12:
            agent, cls, age, server = reader.read_struct(_COMPLAINT)
            return agent, it.Complaint(cls, server, age)
        raise WireError(f"unknown event code {code}")


def _length_prefixed(payload: bytes) -> bytes:
    payload = payload[:MAX_TEXT_BYTES]
    return struct.pack("<H", len(payload)) + payload


def encode(agent: int, action: it.Action | DecisionFailure) -> bytes:
    """Encode one action as a record."""
    match action:
        case it.Send(request, server, until):
            return struct.pack("<BHQdI", 6, agent, request, until, server)
        case it.SetTimer(delay, token):
            return struct.pack("<BHdQ", 12, agent, delay, token)
        case it.Refuse(request, retry_after):
            return struct.pack("<BHQd", 2, agent, request, retry_after)
        case it.Fail(request):
            return struct.pack("<BHQ", 10, agent, request)
        case it.Cancel(request, attempt):
            return struct.pack("<BHQH", 7, agent, request, attempt)
        case it.Probe(server):
            return struct.pack("<BHI", 5, agent, server)
        case it.CloseIdle(server):
            return struct.pack("<BHI", 0, agent, server)
        case it.TellPeers(to, data):
            return struct.pack("<BHH", 9, agent, ALL_PEERS if to is None else to) + _length_prefixed(data)
        case it.CastVote(build, stage, verdict):
            return struct.pack("<BHHBB", 11, agent, build, VERDICT[verdict], stage)
        case it.FetchList():
            return struct.pack("<BH", 1, agent)
        case it.Watch(on):
            return struct.pack("<BHB", 8, agent, int(on))
        case it.Log(text):
            return struct.pack("<BH", 4, agent) + _length_prefixed(text.encode())
        case DecisionFailure(text):
            return struct.pack("<BH", 3, agent) + _length_prefixed(text.encode())
    raise TypeError(f"no record type for action {action!r}")


def encode_reply(records: list[bytes]) -> bytes:
    """Build a reply frame: header, then the records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
