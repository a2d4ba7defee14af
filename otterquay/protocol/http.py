"""HTTP/1.1 (RFC 9112) with httptools: bounded parsers and encoders of complete messages, without I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

# header fields that are not forwarded: they concern one connection only, or are written anew for the next one
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
    )
)
HEADER_BYTES = 200  # of memory that a header field takes beside its bytes
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ProtocolError(Exception):
    """Input that is rejected; `status` is the HTTP status that a server answers with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case, repeated fields are joined (RFC 9110 section 5.2)."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool

    @property
    def held_bytes(self) -> int:
        """The memory that it takes."""
        return held_bytes(self.headers) + len(self.target) + len(self.body)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


def held_bytes(headers: dict[bytes, bytes]) -> int:
    """The memory that header fields take."""
    return HEADER_BYTES * len(headers) + sum(len(name) + len(value) for name, value in headers.items())


class _MessageParser:
    """State of the message being parsed; base of both parsers. Sizes are in bytes."""

    def __init__(self, max_head: int, max_body: int) -> None:
        self._max_head, self._max_body = max_head, max_body
        self.failed: ProtocolError | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()  # one buffer, as chunks may hold a byte each
        self._head_size = self._body_size = 0
        self.started = False

    @property
    def buffered_bytes(self) -> int:
        """The memory of the message that is not complete."""
        return HEADER_BYTES * len(self._headers) + self._head_size + len(self._body) if self.started else 0

    def on_message_begin(self) -> None:
        self._reset()
        self.started = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._add_head_bytes(len(url))

    def _add_head_bytes(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._max_head:
            raise ProtocolError(431, f"header fields over {self._max_head} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._add_head_bytes(len(name) + len(value) + 4)
        self._headers[name] = self._headers[name] + b", " + value if name in self._headers else value

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > self._max_body:
            raise ProtocolError(413, f"content over {self._max_body} bytes")
        self._body += data

    def _feed_parser(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes, upgrade_status: int
    ) -> None:
        """Feed the parser; messages completed before malformed bytes remain valid."""
        if self.failed:
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.failed = ProtocolError(upgrade_status, "no protocol upgrade here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            self.failed = (
                cause if isinstance(cause, ProtocolError) else ProtocolError(400, f"malformed HTTP: {error}")
            )


class RequestParser(_MessageParser):
    """Parses the bytes of one client connection into requests."""

    def __init__(self, max_head: int = 16384, max_body: int = 1048576) -> None:
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest] = []
        self._start_line_size = 0

    def on_headers_complete(self) -> None:
        length = self._headers.get(b"content-length")
        if length is not None and (not length.isdigit() or int(length) > self._max_body):
            raise ProtocolError(413, f"content over {self._max_body} bytes")
        if length is not None and b"transfer-encoding" in self._headers:
            raise ProtocolError(400, "both content-length and transfer-encoding")

    def on_message_complete(self) -> None:
        self._completed.append(
            HttpRequest(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self.started = False

    def feed(self, data: bytes) -> list[HttpRequest]:
        """The requests that these bytes complete; `failed` is set once the input cannot be parsed any further."""
        self._completed = []
        if not self.started:
            self._start_line_size = 0
        self._feed_parser(self._parser, data, 501)
        if self.failed and self.failed.status == 501:
            self._completed.pop()  # a request for a protocol upgrade is refused, not served
        if self._completed:  # what these bytes hold of the next start line is not known
            self._start_line_size = 0
        elif self.started and not self._headers:  # an endless start line is not counted by the header callbacks
            self._start_line_size += len(data)
            if self._start_line_size > self._max_head:
                self.failed = ProtocolError(431, f"start line over {self._max_head} bytes")
        return self._completed


class ResponseParser(_MessageParser):
    """Parses the bytes of one server connection into responses; `stream` receives content as it arrives."""

    def __init__(
        self, max_head: int = 16384, max_body: int = 4194304, stream: Callable[[bytes], None] | None = None
    ) -> None:
        super().__init__(max_head, max_body)
        self._parser = httptools.HttpResponseParser(self)
        self._stream, self._completed = stream, list[HttpResponse]()
        self.status, self._until_close, self._raw = 0, False, 0

    @property
    def headers(self) -> dict[bytes, bytes]:
        """Header fields of the message being parsed."""
        return self._headers

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        self._until_close = not framed and self.status >= 200 and self.status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        if self._stream is None:
            super().on_body(data)
        else:
            self._stream(data)

    def _response(self, keep_alive: bool) -> HttpResponse:
        return HttpResponse(self.status, self._headers, bytes(self._body), keep_alive)

    def on_message_complete(self) -> None:
        if self.status >= 200:  # interim responses (RFC 9110 section 15.2) are skipped
            self._completed.append(self._response(self._parser.should_keep_alive()))
        self.started = False

    def feed(self, data: bytes) -> list[HttpResponse]:
        """The responses that these bytes complete; `failed` is set for malformed input."""
        self._completed = []
        self._feed_parser(self._parser, data, 502)
        return self._completed

    def eof(self) -> HttpResponse | None:
        """The response that the end of the connection completes (RFC 9112 section 6.3), if any."""
        return self._response(False) if self.started and self._until_close else None


def write_request(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Encode a request with its content-length."""
    head = b"".join([b"%b: %b\r\n" % header for header in headers])
    return b"%b %b HTTP/1.1\r\n%bcontent-length: %d\r\n\r\n%b" % (method, target, head, len(body), body)


def write_response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"", keep_alive: bool = True
) -> bytes:
    """Encode a response with its content-length."""
    head = b"".join([b"%b: %b\r\n" % header for header in headers])
    close = b"" if keep_alive else b"connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\n%b%bcontent-length: %d\r\n\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"Unknown"),
        head,
        close,
        len(body),
        body,
    )
