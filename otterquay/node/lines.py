"""Log lines of a small agent: JSON on one stream, so many a second at most, as floods must not become logs."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
LINES_MOST = 100  # a second; what is over is counted and the count written


class Lines:
    """A logger with the methods that the program's parts call; `clock` gives seconds, and is theirs to read."""

    def __init__(self, stream: TextIO, clock: Callable[[], float], level: str = "info") -> None:
        self._stream, self._clock, self._level = stream, clock, LEVELS[level]
        self._second, self._written, self._left_out = 0, 0, 0

    def debug(self, event: str, **fields: Any) -> None:
        """What matters to who takes it apart."""
        self._write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """What happens in good order."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """What others did that they should not."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """What costs service."""
        self._write("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """A fault of the program, with where it came from."""
        self._write("error", event, {**fields, "trace": traceback.format_exc(limit=-6)})

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        if LEVELS[level] < self._level:
            return
        now = self._clock()
        if int(now) != self._second:
            if self._left_out:
                left_out = {"event": "lines_left_out", "of": self._left_out}
                self._put({"at": round(now, 3), "level": "warning", **left_out})
            self._second, self._written, self._left_out = int(now), 0, 0
        if self._written >= LINES_MOST and level != "error":
            self._left_out += 1
            return
        self._written += 1
        self._put({"at": round(now, 3), "level": level, "event": event, **fields})

    def _put(self, line: dict[str, Any]) -> None:
        try:
            self._stream.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
            self._stream.flush()
        except OSError:
            pass  # who read the log has gone: service goes on
