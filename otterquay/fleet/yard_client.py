"""HTTP/1.1 client of the yard: one request per connection, bounded in time and size."""

from __future__ import annotations

import asyncio
from urllib.parse import urlsplit

from otterquay.duties.yard_orders import ANSWER_TIMEOUT_S, Answer, Request
from otterquay.protocol.http import ResponseParser, write_request

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024


async def send_request(yard: str, agent: int, request: Request) -> Answer:
    """Send a request; the answer has status 0 if no complete answer came in time."""
    parts = urlsplit(yard)
    host, port = parts.hostname or "", parts.port or 80
    headers = [
        (b"host", f"{host}:{port}".encode()),
        (b"otterquay-agent", b"%d" % agent),
        (b"otterquay-token", str(request.token).encode()),
        (b"connection", b"close"),
    ]
    if request.key:
        headers.append((b"idempotency-key", f'"{request.key}"'.encode()))
    if request.match:
        headers.append((b"if-match", request.match.encode()))
    if request.body:
        headers.append((b"content-type", b"application/json"))
    path = parts.path.rstrip("/") + request.path
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(write_request(request.method.encode(), path.encode(), headers, request.body))
            parser = ResponseParser(MAX_HEAD_BYTES, MAX_BODY_BYTES)
            while data := await reader.read(65536):
                for answer in parser.feed(data):
                    tag = answer.headers.get(b"otterquay-fence") or answer.headers.get(b"etag", b"")
                    return Answer(answer.status, tag.decode("latin-1"), answer.body)
                if parser.failed:
                    break
    except (OSError, TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return Answer(0)
