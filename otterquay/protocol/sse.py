"""Server-sent events (WHATWG HTML, section 9.2): a bounded parser and an encoder, without I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SseEvent:
    """One event; `id` is the last event id on the stream, empty before the first."""

    event: str
    data: str
    id: str


class SseError(Exception):
    """The stream cannot be parsed any further: an event is too large, or bytes are not UTF-8."""


class SseParser:
    """Parses bytes into events; comment lines serve as heartbeats and yield no event."""

    def __init__(self, max_event: int = 4194304) -> None:
        self._max_event = max_event
        self._partial_line = b""
        self._data: list[str] = []
        self._event, self.last_id, self._size = "", "", 0
        # whether the last bytes ended with CR: an LF that comes next belongs to the same line ending
        self._skip_newline = False

    def feed(self, data: bytes) -> list[SseEvent]:
        """The events that these bytes complete."""
        if self._skip_newline and data.startswith(b"\n"):
            data = data[1:]
        self._skip_newline = data.endswith(b"\r")
        buffer = self._partial_line + data
        lines = buffer.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        self._partial_line = lines.pop()
        self._size += len(data)
        if self._size > self._max_event:
            raise SseError(f"event is over {self._max_event} bytes")
        events = []
        for line in lines:
            try:
                completed = self._process_line(line.decode("utf-8"))
            except UnicodeDecodeError:
                raise SseError("event stream is not valid UTF-8") from None
            if completed:
                events.append(completed)
            if not line:
                self._size = len(self._partial_line)
        return events

    def _process_line(self, line: str) -> SseEvent | None:
        if not line:
            if not self._data:
                self._event = ""
                return None
            event = SseEvent(self._event or "message", "\n".join(self._data), self.last_id)
            self._event, self._data = "", []
            return event
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "event":
            self._event = value
        elif name == "id" and "\0" not in value:
            self.last_id = value
        return None


def encode_event(event: str, data: str, id: str) -> bytes:
    """Encode one event; `data` may contain newlines."""
    body = "".join(f"data: {line}\n" for line in data.split("\n"))
    return f"event: {event}\nid: {id}\n{body}\n".encode()


HEARTBEAT = b": still here\n\n"
