"""RESP2 as the platform speaks it, without I/O: commands of clients in, answers of appliances in, both bounded.

A command is an array of bulk strings. An answer is an error or simple line, a bulk string, or an array of value,
null and load report, which may be null too. What cannot be read sets `failed`; nothing after it is read. A length
is checked before the bytes that it announces are kept.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from otterquay.protocol.http import ProtocolError

MAX_VALUE_BYTES = 65536  # bytes of a value or body
MAX_ARGUMENT_BYTES = 1024  # bytes of a command's other words
MAX_ARRAY_ITEMS = 8
MAX_LINE_BYTES = 512  # bytes of an error or simple line
MAX_LENGTH_LINE_BYTES = 20  # bytes of a line that holds a length


class _BufferedParser:
    """Lines and bulk strings out of what has come so far."""

    def __init__(self) -> None:
        self.failed: ProtocolError | None = None
        self._buffer = bytearray()
        self._position = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes lie here that no whole message has taken."""
        return self._position < len(self._buffer)

    def _append(self, data: bytes) -> None:
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def _read_line(self, limit: int) -> bytes | None:
        end = self._buffer.find(b"\r\n", self._position, self._position + limit + 2)
        if end < 0:
            if len(self._buffer) - self._position > limit + 1:
                raise ProtocolError(400, f"a line over {limit} bytes")
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return line

    def _read_length(self, sign: bytes, limit: int) -> int | None:
        """A line of sign and length, -1 for null; None while it is not whole."""
        if self._buffer[self._position : self._position + 1] not in (b"", sign):
            raise ProtocolError(400, f"{sign.decode()!r} was wanted")
        line = self._read_line(MAX_LENGTH_LINE_BYTES)
        if line is None:
            return None
        digits = line[1:]
        if digits == b"-1":
            return -1
        if not digits.isdigit() or int(digits) > limit:
            raise ProtocolError(400, f"a length of {digits[:20].decode('latin-1')!r}, at most {limit}")
        return int(digits)

    def _read_bulk(self, length: int) -> bytes | None:
        end = self._position + length
        if len(self._buffer) < end + 2:
            if len(self._buffer) == end + 1 and self._buffer[end] != 13:
                raise ProtocolError(400, "a length that does not fit")
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise ProtocolError(400, "a length that does not fit")
        bulk = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return bulk


class CommandParser(_BufferedParser):
    """Bytes of one client connection in, whole commands out; any number may come in one feed."""

    def __init__(self) -> None:
        super().__init__()
        self._arguments: list[bytes] = []
        self._argument_count = 0  # words of the command in the making
        self._bulk_length = -1  # of the word in the making

    @property
    def started(self) -> bool:
        """Whether a command has begun and is not whole."""
        return self._argument_count > 0 or self.has_unread

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The commands that these bytes complete; those before what cannot be read stay whole."""
        complete: list[list[bytes]] = []
        if self.failed:
            return complete
        self._append(data)
        try:
            while self._parse_next(complete):
                pass
        except ProtocolError as error:
            self.failed = error
            self._buffer.clear()
            self._position, self._arguments = 0, []
        return complete

    def _parse_next(self, complete: list[list[bytes]]) -> bool:
        if not self._argument_count:
            count = self._read_length(b"*", MAX_ARRAY_ITEMS)
            if count is None:
                return False
            if count < 1:
                raise ProtocolError(400, "a command without words")
            self._argument_count, self._arguments = count, []
        while len(self._arguments) < self._argument_count:
            if self._bulk_length < 0:
                size = self._read_length(b"$", MAX_VALUE_BYTES if len(self._arguments) == 4 else MAX_ARGUMENT_BYTES)
                if size is None:
                    return False
                if size < 0:
                    raise ProtocolError(400, "a null in a command")
                self._bulk_length = size
            argument = self._read_bulk(self._bulk_length)
            if argument is None:
                return False
            self._arguments.append(argument)
            self._bulk_length = -1
        complete.append(self._arguments)
        self._argument_count, self._arguments = 0, []
        return True


@dataclass(frozen=True, slots=True)
class Answer:
    """An appliance's answer: its first byte tells the kind, `value` is the line or value, `load` the report."""

    kind: bytes  # b"*" served, b"$" a bulk string, b"+" a simple line, b"-" an error
    value: bytes
    load: bytes = b""
    keep_alive: bool = True


class AnswerParser(_BufferedParser):
    """Bytes of one appliance connection in, whole answers out.

    Once the value and the null after it have come, the value is good whatever the report is: one that cannot be
    read counts as none, and the connection is not used again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._kind, self._items_read, self._bulk_length = b"", -1, -1  # step: parts of an array that have come
        self._value = b""

    @property
    def started(self) -> bool:
        """Whether an answer has begun and is not whole."""
        return bool(self._kind) or self.has_unread

    def feed(self, data: bytes) -> Sequence[Answer]:
        """The answers that these bytes complete."""
        complete: list[Answer] = []
        if self.failed:
            return complete
        self._append(data)
        try:
            while (answer := self._parse_next()) is not None:
                complete.append(answer)
        except ProtocolError as error:
            self.failed = ProtocolError(502, error.reason)
            if self._items_read == 2:
                complete.append(Answer(b"*", self._value, b"", False))
            self._buffer.clear()
            self._position = 0
        return complete

    def eof(self) -> Answer | None:
        """The answer whose report the end of the connection cut off, if any."""
        return Answer(b"*", self._value, b"", False) if self._items_read == 2 and not self.failed else None

    def _parse_next(self) -> Answer | None:
        if not self._kind:
            if not self.has_unread:
                return None
            self._kind = bytes(self._buffer[self._position : self._position + 1])
            if self._kind not in (b"*", b"$", b"+", b"-"):
                raise ProtocolError(502, "bytes that begin no answer")
        if self._kind in (b"+", b"-"):
            line = self._read_line(MAX_LINE_BYTES)
            if line is None:
                return None
            if not line.isascii() or not line.decode().isprintable():
                raise ProtocolError(502, "a line that cannot be read")
            return self._finish(Answer(self._kind, line[1:]))
        if self._kind == b"*":
            return self._read_array()
        value = self._read_bulk_or_null()
        if value is None:
            return None
        if isinstance(value, bool):
            raise ProtocolError(502, "null for an answer")
        return self._finish(Answer(b"$", value))

    def _read_array(self) -> Answer | None:
        if self._items_read < 0:
            count = self._read_length(b"*", MAX_ARRAY_ITEMS)
            if count is None:
                return None
            if count != 3:
                raise ProtocolError(502, f"an array of {count}")
            self._items_read = 0
        while True:
            item = self._read_bulk_or_null()
            if item is None:
                return None
            if self._items_read == 0:
                if isinstance(item, bool):
                    raise ProtocolError(502, "null for a value")
                self._value = item
            elif self._items_read == 1:
                if not isinstance(item, bool):
                    raise ProtocolError(502, "more than a value")
            else:
                return self._finish(Answer(b"*", self._value, b"" if isinstance(item, bool) else item))
            self._items_read += 1

    def _read_bulk_or_null(self) -> bytes | bool | None:
        """A bulk string, True for null; None while it is not whole."""
        if self._bulk_length < 0:
            size = self._read_length(b"$", MAX_VALUE_BYTES)
            if size is None:
                return None
            if size < 0:
                return True
            self._bulk_length = size
        bulk = self._read_bulk(self._bulk_length)
        if bulk is not None:
            self._bulk_length = -1
        return bulk

    def _finish(self, answer: Answer) -> Answer:
        self._kind, self._items_read, self._bulk_length, self._value = b"", -1, -1, b""
        return answer


def encode_command(arguments: Sequence[bytes]) -> bytes:
    """A command's bytes."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )


def encode_bulk(value: bytes) -> bytes:
    """A bulk string's bytes."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(text: str) -> bytes:
    """An error line's bytes."""
    return (
        b"-" + text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:MAX_LINE_BYTES] + b"\r\n"
    )


def parse_load_report(text: bytes, names: Sequence[Sequence[bytes]]) -> tuple[float, ...]:
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
    values = [next((found[spelling] for spelling in spellings if spelling in found), -1.0) for spellings in names]
    return tuple(values) if values and min(values) >= 0 else ()
