"""Effects that a sans-I/O core requests from the shell that runs it.

One `Effects` holds the result of one step. Its writes must be durable before any of its messages or calls leave.
The shell executes steps in order, one at a time, so whatever a later step sends leaves after an earlier step's
writes are durable. The cores assume nothing else about the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a key of a table, or removes it if `value` is None."""

    table: str
    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Send:
    """A message to an agent of the fleet; it may be lost, delayed, duplicated or reordered."""

    to: int
    message: Any


@dataclass(frozen=True, slots=True)
class Call:
    """A request to the yard; the answer, if any, is delivered with the same `tag`."""

    tag: int
    request: Any


@dataclass(slots=True)
class Effects:
    """The effects of one step, in order within each kind."""

    writes: list[Write] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    log_lines: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    on_durable: list[Callable[[float], None]] = field(default_factory=list)  # get the time once writes are durable

    def write(self, table: str, key: bytes, value: bytes | None) -> None:
        """Stores a value before any message or call of this step leaves; None removes the key."""
        self.writes.append(Write(table, key, value))

    def send(self, to: int, message: Any) -> None:
        """Sends a message to an agent."""
        self.sends.append(Send(to, message))

    def call(self, tag: int, request: Any) -> None:
        """Sends a request to the yard."""
        self.calls.append(Call(tag, request))

    def log(self, event: str, **fields: Any) -> None:
        """Emits a log event."""
        self.log_lines.append((event, fields))

    def is_empty(self) -> bool:
        """Whether the step has no effects."""
        return not (self.writes or self.sends or self.calls or self.log_lines or self.on_durable)
