"""JSON log lines on one stream, limited to a number of lines per second so that a flood does not fill the log.

The reader of the stream may stop reading. Writing never blocks on it: lines that the stream cannot accept are
dropped, and their number is logged once it accepts lines again.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

from otterquay.agent.sockets import is_writable

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
# Below level error; as many errors are allowed. Lines over the limit are counted, and their number is logged.
MAX_LINES_PER_S = 100
MAX_LINE_BYTES = 4095  # a writable pipe accepts one page; of a longer line only the event is written


class JsonLogger:
    """A logger with the methods used in this package; `clock` returns the seconds written as `at` in each line."""

    def __init__(self, stream: TextIO, clock: Callable[[], float], level: str = "info") -> None:
        self._stream, self._clock, self._level = stream, clock, LEVELS[level]
        self._second, self._dropped_count = 0, 0
        self._written = {False: 0, True: 0}  # lines written in this second; the key True counts errors
        try:
            self._fd: int | None = stream.fileno()
        except OSError:
            self._fd = None  # not backed by a file descriptor

    def debug(self, event: str, **fields: Any) -> None:
        """Details for debugging."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Normal operation."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Misbehaviour of a client, appliance, peer or source."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """A fault that affects service."""
        self._write("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """An unexpected exception, with its traceback."""
        self._write("error", event, {**fields, "trace": traceback.format_exc(limit=-6)})

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LEVELS[level] < self._level:
            return
        now, error = self._clock(), level == "error"
        if int(now) != self._second:
            self._second, self._written = int(now), {False: 0, True: 0}
            if self._dropped_count:
                dropped = {"event": "lines_left_out", "of": self._dropped_count}
                if self._write_line({"at": round(now, 3), "level": "warning", **dropped}):
                    self._dropped_count = 0
        line = {"at": round(now, 3), "level": level, "event": event, **fields}
        if self._written[error] >= MAX_LINES_PER_S or not self._write_line(line):
            self._dropped_count += 1
        else:
            self._written[error] += 1

    def _write_line(self, line: dict[str, Any]) -> bool:
        """Write a line; False if the stream cannot accept it now."""
        data = msgspec.json.encode(line, enc_hook=str)
        if len(data) >= MAX_LINE_BYTES:
            short = {"at": line["at"], "level": line["level"], "event": line["event"], "bytes_left_out": len(data)}
            data = msgspec.json.encode(short)
        try:
            if self._fd is not None and not is_writable(self._fd):
                return False
            self._stream.write(data.decode() + "\n")
            self._stream.flush()
        except OSError:
            pass  # the reader of the log has gone; the service continues without it
        return True
