"""Log lines of a small agent: JSON on one stream, so many a second at most, as floods must not become logs.

Whoever reads the stream may stop reading it. No line waits for them: what the stream does not take is left out, and
how many lines that were is written once it takes lines again.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

from otterquay.agent.sockets import is_writable

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
LINES_MOST = 100  # a second, and as many errors; what is over is counted and the count written
LINE_MOST = 4095  # bytes: a pipe that takes any takes a page; of a longer line its event is written alone


class Lines:
    """A logger with the methods that the program's parts call; `clock` gives seconds, and is theirs to read."""

    def __init__(self, stream: TextIO, clock: Callable[[], float], level: str = "info") -> None:
        self._stream, self._clock, self._level = stream, clock, LEVELS[level]
        self._second, self._left_out = 0, 0
        self._written = {False: 0, True: 0}  # in this second; errors apart
        try:
            self._fd: int | None = stream.fileno()
        except OSError:
            self._fd = None  # no stream of the system's

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
        now, error = self._clock(), level == "error"
        if int(now) != self._second:
            self._second, self._written = int(now), {False: 0, True: 0}
            if self._left_out:
                left_out = {"event": "lines_left_out", "of": self._left_out}
                if self._put({"at": round(now, 3), "level": "warning", **left_out}):
                    self._left_out = 0
        line = {"at": round(now, 3), "level": level, "event": event, **fields}
        if self._written[error] >= LINES_MOST or not self._put(line):
            self._left_out += 1
        else:
            self._written[error] += 1

    def _put(self, line: dict[str, Any]) -> bool:
        """Write a line; False when the stream does not take it now."""
        data = msgspec.json.encode(line, enc_hook=str)
        if len(data) >= LINE_MOST:
            short = {"at": line["at"], "level": line["level"], "event": line["event"], "bytes_left_out": len(data)}
            data = msgspec.json.encode(short)
        try:
            if self._fd is not None and not is_writable(self._fd):
                return False
            self._stream.write(data.decode() + "\n")
            self._stream.flush()
        except OSError:
            pass  # who read the log has gone: service goes on
        return True
