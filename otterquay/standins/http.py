"""A small HTTP/1.1 server for the stand-ins, with handlers for whole requests and for closed connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from otterquay.ordered_set import OrderedSet
from otterquay.protocol.http import HttpRequest, RequestParser, write_response
from otterquay.protocol.sse import HEARTBEAT, encode_event


@dataclass(slots=True, eq=False)
class Peer:
    """One connection to a stand-in."""

    writer: asyncio.StreamWriter
    served: int = 0
    lost: Callable[[], None] | None = None

    def send(self, data: bytes) -> None:
        """Write unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(data)


Handler = Callable[[Peer, HttpRequest], None]


@dataclass(slots=True, eq=False)
class Listener:
    """A listening socket; `handler` is called with each request and its connection."""

    handler: Handler
    peers: OrderedSet[Peer] = field(default_factory=OrderedSet)
    address: str = ""
    _server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def close(self, abort: bool = True) -> None:
        """Stop listening and drop all connections."""
        if self._server:
            self._server.close()
            self._server = None
        for peer in list(self.peers):
            if abort:
                peer.writer.transport.abort()
            else:
                peer.writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(writer)
        self.peers.add(peer)
        parser = RequestParser()
        try:
            while data := await reader.read(65536):
                for request in parser.feed(data):
                    self.handler(peer, request)
                    peer.served += 1
                if parser.failed:
                    break
        except (OSError, asyncio.CancelledError):
            pass  # the peer left, or the loop ends
        finally:
            self.peers.discard(peer)
            if peer.lost:
                peer.lost()
            writer.close()


@dataclass(slots=True, eq=False)
class EventSource:
    """A server-sent-events server for agents: `GET /...?agent=N`, resumed by Last-Event-ID. `post` handles POST."""

    epoch: str
    first: Callable[[int, int | None], list[tuple[str, str, int]]]  # agent, last number seen -> first events
    wrote: Callable[[int, str, str], None]  # called with agent, event and data after each write
    post: Handler | None = None
    heartbeat_s: float = 1.0
    listener: Listener = field(init=False)
    followers: dict[Peer, int] = field(default_factory=dict)
    stalled: bool = False
    twice: bool = False
    _heartbeat_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.listener = Listener(self._request)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; returns HOST:PORT."""
        self._send_heartbeats()
        return await self.listener.start(host, port)

    def close(self) -> None:
        """Stop."""
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()
        self.listener.close()

    def _send_heartbeats(self) -> None:
        for peer in self.followers:
            peer.send(HEARTBEAT)
        self._heartbeat_timer = asyncio.get_running_loop().call_later(self.heartbeat_s, self._send_heartbeats)

    def _request(self, peer: Peer, request: HttpRequest) -> None:
        if request.method == b"POST" and self.post:
            return self.post(peer, request)
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        agent = int(query.get("agent", ["0"])[0])
        epoch, _, number = request.headers.get(b"last-event-id", b"").decode().rpartition(":")
        last = int(number) if epoch == self.epoch and number.isdigit() else None
        peer.send(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\r\n")
        self.followers[peer] = agent
        peer.lost = lambda: self._unfollow(peer)
        for event, data, event_number in self.first(agent, last):
            self.write(peer, event, data, event_number)

    def _unfollow(self, peer: Peer) -> None:
        self.followers.pop(peer, None)

    def write(self, peer: Peer, event: str, data: str, number: int) -> None:
        """Send one event to one follower."""
        for _ in range(2 if self.twice else 1):
            peer.send(encode_event(event, data, f"{self.epoch}:{number}"))
        self.wrote(self.followers[peer], event, data)

    def publish(self, event: str, data: str, number: int, only: int | None = None) -> None:
        """Send one event to all followers, or only to those of one agent."""
        for peer, agent in list(self.followers.items()):
            if only is None or agent == only:
                self.write(peer, event, data, number)

    def drop_all(self) -> None:
        """Abort all streams."""
        for peer in list(self.followers):
            peer.writer.transport.abort()


def json_answer(status: int, body: bytes) -> bytes:
    """The bytes of an answer with a JSON body."""
    return write_response(status, [(b"content-type", b"application/json")], body)
