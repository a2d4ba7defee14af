"""What a core asks of its shell. One `Out` is one step: its writes last before any of its messages or calls leave.

A shell carries steps out in the order in which they were made, one after the other: what a later step sends leaves
after what an earlier one had to write. That order is the whole of what the cores assume of a disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Write:
    """Set a key of a table, or remove it with `value` None."""

    table: str
    key: bytes
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Send:
    """A message to an agent of the fleet; it may be lost, late, repeated or overtaken."""

    to: int
    message: Any


@dataclass(frozen=True, slots=True)
class Call:
    """A request to the yard; the answer, if any, comes back under `tag`."""

    tag: int
    request: Any


@dataclass(slots=True)
class Effects:
    """One step's wishes, in order within each kind."""

    writes: list[Write] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    log_lines: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    on_durable: list[Callable[[float], None]] = field(
        default_factory=list
    )  # run with the time once the writes last

    def write(self, table: str, key: bytes, value: bytes | None) -> None:
        """Keep a value, before anything of this step leaves."""
        self.writes.append(Write(table, key, value))

    def send(self, to: int, message: Any) -> None:
        """Send a message."""
        self.sends.append(Send(to, message))

    def call(self, tag: int, request: Any) -> None:
        """Ask the yard."""
        self.calls.append(Call(tag, request))

    def log(self, event: str, **fields: Any) -> None:
        """A log line."""
        self.log_lines.append((event, fields))

    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (self.writes or self.sends or self.calls or self.log_lines or self.on_durable)
