"""The platform's dialect of RESP2, without I/O: bounded parsers of client commands and appliance answers.

A command is an array of bulk strings. An answer is an error, a simple string, a bulk string, or an array of value,
null and load report (which may be null, too). Malformed input sets `failed` and ends parsing. Lengths are checked
before the bytes that they announce are buffered.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from otterquay.protocol.http import ProtocolError

MAX_VALUE_BYTES = 65536  # of a value or body
MAX_ARGUMENT_BYTES = 1024  # of any other argument of a command
MAX_ARRAY_ITEMS = 8
MAX_LINE_BYTES = 512  # of an error or simple string
MAX_LENGTH_LINE_BYTES = 20  # of a line that holds an array or bulk length


class _BufferedParser:
    """Reads lines and bulk strings from the bytes received so far."""

    def __init__(self) -> None:
        self.failed: ProtocolError | None = None
        self._buffer = bytearray()
        self._position = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept of messages that are not complete."""
        return len(self._buffer) - self._position

    @property
    def has_unread(self) -> bool:
        """Whether buffered bytes are not yet part of a complete message."""
        return self._position < len(self._buffer)

    def _append(self, data: bytes) -> None:
        self._drop_parsed()
        self._buffer += data

    def _drop_parsed(self) -> None:
        """Free the memory of what has been parsed."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0

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
        """Read a line of type byte and length, -1 for null; None while it is incomplete."""
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
    """Parses the bytes of one client connection into commands."""

    def __init__(self) -> None:
        super().__init__()
        self._arguments: list[bytes] = []
        self._argument_count = 0  # arguments announced for the current command
        self._bulk_length = -1  # of the current argument, -1 before its length was read

    @property
    def started(self) -> bool:
        """Whether a command is incomplete."""
        return self._argument_count > 0 or self.has_unread

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept of the command that is not complete."""
        return super().buffered_bytes + sum(map(len, self._arguments))

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The commands that these bytes complete, including those before malformed input."""
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
        self._drop_parsed()
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
                # the fifth argument is the body of a request
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
    """An appliance's answer: `kind` is its type byte, `value` the line or value, `load` the load report."""

    kind: bytes  # b"*" value with load report, b"$" bulk string, b"+" simple string, b"-" error
    value: bytes
    load: bytes = b""
    keep_alive: bool = True


class AnswerParser(_BufferedParser):
    """Parses the bytes of one appliance connection into answers.

    Once the value and the null after it were received, the answer counts whatever the load report is: a malformed
    report is treated as missing, and the connection is not used again.
    """

    def __init__(self) -> None:
        super().__init__()
        self._kind, self._items_read, self._bulk_length = b"", -1, -1  # -1: length not read yet
        self._value = b""

    @property
    def started(self) -> bool:
        """Whether an answer is incomplete."""
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
        """The answer whose load report was cut off by the end of the connection, if any."""
        return Answer(b"*", self._value, b"", False) if self._items_read == 2 and not self.failed else None

    def _parse_next(self) -> Answer | None:
        if not self._kind:
            if not self.has_unread:
                return None
            self._kind = bytes(self._buffer[self._position : self._position + 1])
            if self._kind not in (b"*", b"$", b"+", b"-"):
                raise ProtocolError(502, "answer starts with an unknown type byte")
        if self._kind in (b"+", b"-"):
            line = self._read_line(MAX_LINE_BYTES)
            if line is None:
                return None
            if not line.isascii() or not line.decode().isprintable():
                raise ProtocolError(502, "line is not printable ASCII")
            return self._finish(Answer(self._kind, line[1:]))
        if self._kind == b"*":
            return self._read_array()
        value = self._read_bulk_or_null()
        if value is None:
            return None
        if isinstance(value, bool):
            raise ProtocolError(502, "answer is a null bulk string")
        return self._finish(Answer(b"$", value))

    def _read_array(self) -> Answer | None:
        if self._items_read < 0:
            count = self._read_length(b"*", MAX_ARRAY_ITEMS)
            if count is None:
                return None
            if count != 3:
                raise ProtocolError(502, f"answer is an array of {count} instead of 3")
            self._items_read = 0
        while True:
            item = self._read_bulk_or_null()
            if item is None:
                return None
            if self._items_read == 0:
                if isinstance(item, bool):
                    raise ProtocolError(502, "value in the answer is null")
                self._value = item
            elif self._items_read == 1:
                if not isinstance(item, bool):
                    raise ProtocolError(502, "second item of the answer is not null")
            else:
                return self._finish(Answer(b"*", self._value, b"" if isinstance(item, bool) else item))
            self._items_read += 1

    def _read_bulk_or_null(self) -> bytes | bool | None:
        """Read a bulk string, True for null; None while it is incomplete."""
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
    """Encode a command."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    )


def encode_bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(text: str) -> bytes:
    """Encode an error."""
    return (
        b"-" + text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:MAX_LINE_BYTES] + b"\r\n"
    )


def parse_load_report(text: bytes, names: Sequence[Sequence[bytes]]) -> tuple[float, ...]:
    """The report's values in the order of `names`, which lists the spellings of each; () if one is missing."""
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
