"""Codec of discovery's server list, without I/O: JSON instances become entries of the agent's fleet list.

The server number is a hash of `instanceId`, so that all agents use the same number for a server. Times are Unix
milliseconds and are converted to ages with the wall clock time that the caller passes.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from otterquay.protocol import news

_STATES: dict[str, Literal["ready", "draining", "gone"]] = {
    "in_service": "ready",
    "terminating": "draining",
    "terminated": "gone",
}
_IPV4_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


class _Instance(msgspec.Struct, frozen=True, rename="camel"):
    instance_id: Annotated[str, Meta(min_length=1, max_length=128)]
    lifecycle: Literal["in_service", "terminating", "terminated"]
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: news.Uint16 = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    started_at_ms: Annotated[float, Meta(ge=0, le=1e15)] = 0.0
    version_no: news.Uint16 = msgspec.field(default=0, name="version_no")


class _TargetList(msgspec.Struct, frozen=True):
    generation: news.Uint63
    reset: bool
    instances: list[msgspec.Raw]


def server_number(instance: str) -> int:
    """Server number of an instance id, the same at every agent."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=4).digest())


def _incarnation(found: _Instance) -> int:
    """Incarnation of an instance; changes with its start time and its build."""
    return int.from_bytes(blake2b(f"{found.started_at_ms} {found.version_no}".encode(), digest_size=7).digest())


class TargetReader:
    """Parses lists; tracks the instance id of each server number, to reject an instance whose number collides."""

    def __init__(self, kinds: list[str]) -> None:
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._instance_by_number: dict[int, str] = {}

    def read(self, data: bytes, wall_ms: float) -> tuple[bool, news.FleetNews, list[str]]:
        """Whether the list is complete, its entries, and why some were rejected. ValueError if it is malformed."""
        try:
            found: _TargetList = msgspec.json.decode(data, type=_TargetList)
        except msgspec.MsgspecError as error:
            raise ValueError(f"malformed server list: {error}") from None
        entries, refused = list[news.Entry](), list[str]()
        if found.reset:
            self._instance_by_number = {}
        for raw in found.instances:
            try:
                entries.append(self._entry(msgspec.json.decode(raw, type=_Instance), wall_ms))
            except (ValueError, msgspec.MsgspecError) as error:
                refused.append(f"{bytes(raw)[:80].decode('utf-8', 'replace')}: {error}")
        return found.reset, news.FleetNews(found.generation, entries), refused

    def _entry(self, found: _Instance, wall_ms: float) -> news.Entry:
        if found.lifecycle != "terminated" and not _IPV4_ADDRESS.fullmatch(found.host_port):
            raise ValueError(f"{found.host_port!r} is not an IPv4 address with port")
        number = server_number(found.instance_id)
        if self._instance_by_number.setdefault(number, found.instance_id) != found.instance_id:
            raise ValueError(f"server number collides with that of {self._instance_by_number[number]}")
        if found.lifecycle == "terminated":
            del self._instance_by_number[number]
        age = wall_ms - found.started_at_ms if found.started_at_ms > 0 else None
        return news.Entry(
            number,
            found.zone,
            _STATES[found.lifecycle],
            found.version_no,
            found.host_port,
            _incarnation(found),
            self._kinds.get(found.machine_type, 0),
            found.cell,
            found.weight,
            age,
        )
