"""RESP2 as the platform speaks it, without I/O: commands of clients in, answers of appliances in, both bounded.

A command is an array of bulk strings. An answer is an error or simple line, a bulk string, or an array of value,
null and load report, which may be null too. What cannot be read sets `failed`; nothing after it is read. A length
is checked before the bytes that it announces are kept.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from otterquay.protocol.http import ProtocolError

VALUE_MOST = 65536  # bytes of a value or body
NAME_MOST = 1024  # bytes of a command's other words
WORDS_MOST = 8
LINE_MOST = 512  # bytes of an error or simple line
LENGTH_MOST = 20  # bytes of a line that holds a length


class _Reader:
    """Lines and bulk strings out of what has come so far."""

    def __init__(self) -> None:
        self.failed: ProtocolError | None = None
        self._data = bytearray()
        self._at = 0

    @property
    def waiting(self) -> bool:
        """Whether bytes lie here that no whole message has taken."""
        return self._at < len(self._data)

    def _came(self, data: bytes) -> None:
        if self._at:
            del self._data[: self._at]
            self._at = 0
        self._data += data

    def _line(self, most: int) -> bytes | None:
        end = self._data.find(b"\r\n", self._at, self._at + most + 2)
        if end < 0:
            if len(self._data) - self._at > most + 1:
                raise ProtocolError(400, f"a line over {most} bytes")
            return None
        line = bytes(self._data[self._at : end])
        self._at = end + 2
        return line

    def _length(self, sign: bytes, most: int) -> int | None:
        """A line of sign and length, -1 for null; None while it is not whole."""
        if self._data[self._at : self._at + 1] not in (b"", sign):
            raise ProtocolError(400, f"{sign.decode()!r} was wanted")
        line = self._line(LENGTH_MOST)
        if line is None:
            return None
        digits = line[1:]
        if digits == b"-1":
            return -1
        if not digits.isdigit() or int(digits) > most:
            raise ProtocolError(400, f"a length of {digits[:20].decode('latin-1')!r}, at most {most}")
        return int(digits)

    def _bulk(self, length: int) -> bytes | None:
        end = self._at + length
        if len(self._data) < end + 2:
            if len(self._data) == end + 1 and self._data[end] != 13:
                raise ProtocolError(400, "a length that does not fit")
            return None
        if self._data[end : end + 2] != b"\r\n":
            raise ProtocolError(400, "a length that does not fit")
        bulk = bytes(self._data[self._at : end])
        self._at = end + 2
        return bulk


class CommandParser(_Reader):
    """Bytes of one client connection in, whole commands out; any number may come in one feed."""

    def __init__(self) -> None:
        super().__init__()
        self._words: list[bytes] = []
        self._count = 0  # words of the command in the making
        self._size = -1  # of the word in the making

    @property
    def started(self) -> bool:
        """Whether a command has begun and is not whole."""
        return self._count > 0 or self.waiting

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The commands that these bytes complete; those before what cannot be read stay whole."""
        whole: list[list[bytes]] = []
        if self.failed:
            return whole
        self._came(data)
        try:
            while self._next(whole):
                pass
        except ProtocolError as error:
            self.failed = error
            self._data.clear()
            self._at, self._words = 0, []
        return whole

    def _next(self, whole: list[list[bytes]]) -> bool:
        if not self._count:
            count = self._length(b"*", WORDS_MOST)
            if count is None:
                return False
            if count < 1:
                raise ProtocolError(400, "a command without words")
            self._count, self._words = count, []
        while len(self._words) < self._count:
            if self._size < 0:
                size = self._length(b"$", VALUE_MOST if len(self._words) == 4 else NAME_MOST)
                if size is None:
                    return False
                if size < 0:
                    raise ProtocolError(400, "a null in a command")
                self._size = size
            word = self._bulk(self._size)
            if word is None:
                return False
            self._words.append(word)
            self._size = -1
        whole.append(self._words)
        self._count, self._words = 0, []
        return True


@dataclass(frozen=True, slots=True)
class Answer:
    """An appliance's answer: its first byte tells the kind, `value` is the line or value, `load` the report."""

    kind: bytes  # b"*" served, b"$" a bulk string, b"+" a simple line, b"-" an error
    value: bytes
    load: bytes = b""
    keep_alive: bool = True


class AnswerParser(_Reader):
    """Bytes of one appliance connection in, whole answers out.

    Once the value and the null after it have come, the value is good whatever the report is: one that cannot be
    read counts as none, and the connection is not used again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._kind, self._step, self._size = b"", -1, -1  # step: parts of an array that have come
        self._value = b""

    @property
    def started(self) -> bool:
        """Whether an answer has begun and is not whole."""
        return bool(self._kind) or self.waiting

    def feed(self, data: bytes) -> Sequence[Answer]:
        """The answers that these bytes complete."""
        whole: list[Answer] = []
        if self.failed:
            return whole
        self._came(data)
        try:
            while (answer := self._next()) is not None:
                whole.append(answer)
        except ProtocolError as error:
            self.failed = ProtocolError(502, error.reason)
            if self._step == 2:
                whole.append(Answer(b"*", self._value, b"", False))
            self._data.clear()
            self._at = 0
        return whole

    def eof(self) -> Answer | None:
        """The answer whose report the end of the connection cut off, if any."""
        return Answer(b"*", self._value, b"", False) if self._step == 2 and not self.failed else None

    def _next(self) -> Answer | None:
        if not self._kind:
            if not self.waiting:
                return None
            self._kind = bytes(self._data[self._at : self._at + 1])
            if self._kind not in (b"*", b"$", b"+", b"-"):
                raise ProtocolError(502, "bytes that begin no answer")
        if self._kind in (b"+", b"-"):
            line = self._line(LINE_MOST)
            if line is None:
                return None
            if not line.isascii() or not line.decode().isprintable():
                raise ProtocolError(502, "a line that cannot be read")
            return self._whole(Answer(self._kind, line[1:]))
        if self._kind == b"*":
            return self._array()
        value = self._part()
        if value is None:
            return None
        if isinstance(value, bool):
            raise ProtocolError(502, "null for an answer")
        return self._whole(Answer(b"$", value))

    def _array(self) -> Answer | None:
        if self._step < 0:
            count = self._length(b"*", WORDS_MOST)
            if count is None:
                return None
            if count != 3:
                raise ProtocolError(502, f"an array of {count}")
            self._step = 0
        while True:
            part = self._part()
            if part is None:
                return None
            if self._step == 0:
                if isinstance(part, bool):
                    raise ProtocolError(502, "null for a value")
                self._value = part
            elif self._step == 1:
                if not isinstance(part, bool):
                    raise ProtocolError(502, "more than a value")
            else:
                return self._whole(Answer(b"*", self._value, b"" if isinstance(part, bool) else part))
            self._step += 1

    def _part(self) -> bytes | bool | None:
        """A bulk string, True for null; None while it is not whole."""
        if self._size < 0:
            size = self._length(b"$", VALUE_MOST)
            if size is None:
                return None
            if size < 0:
                return True
            self._size = size
        bulk = self._bulk(self._size)
        if bulk is not None:
            self._size = -1
        return bulk

    def _whole(self, answer: Answer) -> Answer:
        self._kind, self._step, self._size, self._value = b"", -1, -1, b""
        return answer


def command(words: Sequence[bytes]) -> bytes:
    """A command's bytes."""
    return b"*%d\r\n" % len(words) + b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])


def bulk(value: bytes) -> bytes:
    """A bulk string's bytes."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(words: str) -> bytes:
    """An error line's bytes."""
    return b"-" + words.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:LINE_MOST] + b"\r\n"


def load_report(text: bytes, names: Sequence[Sequence[bytes]]) -> tuple[float, ...]:
    """The report's values in the order of `names`, each of which may have several spellings; () if one lacks."""
    found: dict[bytes, float] = {}
    for item in text.split(b","):
        name, equals, digits = item.partition(b"=")
        try:
            value = float(digits) if equals else -1.0
        except ValueError:
            return ()
        if not 0 <= value < 1e9:
            return ()
        found[name.strip()] = value
    values = [next((found[one] for one in spellings if one in found), -1.0) for spellings in names]
    return tuple(values) if values and min(values) >= 0 else ()
