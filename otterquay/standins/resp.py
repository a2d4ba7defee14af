"""Stand-ins that speak the platform's RESP: appliances, discovery by long poll and the platform's text lines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Callable
from typing import Any

from otterquay.agent.sockets import peer_closed
from otterquay.protocol import resp

MAX_WAIT_S = 60.0  # the longest watch on the protocol page
Behave = Callable[["Appliance", asyncio.StreamWriter, list[bytes]], None]


def served(value: bytes, report: bytes = b"$9\r\npending=1\r\n") -> bytes:
    """An appliance's answer with a value and a load report."""
    return b"*3\r\n" + resp.encode_bulk(value) + b"$-1\r\n" + report


def answer_at_once(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
    """Answer immediately with a value that names the request."""
    writer.write(served(b"for " + arguments[2]))


def answer_bytes(data: bytes, close: bool = False) -> Behave:
    """Answer with these raw bytes."""

    def behave(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
        writer.write(data)
        if close:
            writer.close()

    return behave


def never_answer(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
    """Never answer."""


class StandIn:
    """Base of the stand-ins: a listener that tracks its connections; subclasses implement `converse`."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.opened = 0

    async def start(self, port: int = 0) -> str:
        """Listen on a port of loopback, by default a free one; returns HOST:PORT."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        try:
            await self.converse(reader, writer)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.writers.remove(writer)

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()


class Appliance(StandIn):
    """A scripted appliance; `behave` is called for each command and may be replaced at any time."""

    def __init__(self, behave: Behave = answer_at_once) -> None:
        super().__init__()
        self.behave, self.got, self.at = behave, list[list[bytes]](), list[float]()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = resp.CommandParser()
        while data := await reader.read(65536):
            for arguments in parser.feed(data):
                self.got.append(arguments)
                self.at.append(asyncio.get_running_loop().time())
                self.behave(self, writer, arguments)


class Discovery(StandIn):
    """The list by long poll; `corrupt_answers` replace the next answers, `delay_s` makes answers late.

    While it is `silent` it answers nothing, and a call that was out meanwhile is never answered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.generation, self.entries = 1, dict[str, dict[str, Any]]()
        self.changed, self.corrupt_answers = asyncio.Event(), list[bytes]()
        self.delay_s, self.outages, self._silent = 0.0, 0, False
        self.asked: list[str] = []
        self._never = asyncio.Event()  # kept, as a task that waits for an event of its own may be collected
        self.on_sent: Callable[[list[dict[str, Any]], bool], None] = (
            lambda entries, whole: None
        )  # called with everything sent

    @property
    def silent(self) -> bool:
        """Whether it answers nothing."""
        return self._silent

    @silent.setter
    def silent(self, on: bool) -> None:
        self.outages += on and not self._silent
        self._silent = on

    def set(self, id: str, **fields: Any) -> None:
        """Change an entry and publish it; a terminated entry is published once."""
        self.generation += 1
        self.entries[id] = {**self.entries.get(id, {}), **fields, "instanceId": id, "of": self.generation}
        self.changed.set()

    def listing(self, after: int | None) -> bytes:
        """The JSON of the whole list, or of the changes since generation `after`."""
        found = [
            {"zone": "north", "machineType": "std", "cell": 0, "weight": 1.0, "startedAtMs": 0, **e}
            for e in self.later(after)
        ]
        return json.dumps({"generation": self.generation, "reset": after is None, "instances": found}).encode()

    def later(self, after: int | None) -> list[dict[str, Any]]:
        """The entries of the whole list, or of the changes since generation `after`."""
        if after is None:
            return [e for e in self.entries.values() if e["lifecycle"] != "terminated"]
        return [e for e in self.entries.values() if e["of"] > after]

    async def wait_for_change(self, target: str) -> None:
        """Wait until something is newer than the version that a watch names, at most as long as it may wait."""
        wait = re.search(r"wait_ms=(\d+)", target)
        seconds = min(float(wait[1]) / 1e3, MAX_WAIT_S) if wait else MAX_WAIT_S
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.changed.wait()

    async def hold_answer(self, outages: int) -> None:
        """Delay an answer while slow; withhold it for good after an outage since its call, which saw `outages`."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.silent or self.outages != outages:
            await self._never.wait()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.asked.append(head.split(b" ")[1].decode())
            outages = self.outages
            after = re.search(r"after=(\d+)", self.asked[-1])
            if after and int(after[1]) >= self.generation and not self.corrupt_answers:
                await self.wait_for_change(self.asked[-1])
            await self.hold_answer(outages)
            if writer.is_closing() or peer_closed(writer.transport):
                return  # the agent has disconnected meanwhile
            since = int(after[1]) if after else None
            if self.corrupt_answers:
                body = self.corrupt_answers.pop()
            else:
                body = self.listing(since)
                self.on_sent(self.later(since), since is None)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class Desk(StandIn):
    """The platform; `answer` returns the answer to a vote, or None to send none."""

    def __init__(self) -> None:
        super().__init__()
        self.state, self.votes = b"1 0 live 1 5", list[bytes]()
        self.answer: Callable[[bytes], bytes | None] = lambda _: b"OK " + self.state + b"\r\n"
        self.on_sent: Callable[[bytes, bool], None] = lambda state, first: None  # called with everything sent

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readuntil(b"\r\n"):
            if line == b"SUB\r\n":
                self.on_sent(self.state, True)
                writer.write(b"OK\r\n* progress " + self.state + b"\r\n*\r\n")
            else:
                self.votes.append(line.strip())
                if (answer := self.answer(line)) is not None:
                    self.on_sent(self.state, False)
                    writer.write(answer)

    def publish(self, state: bytes) -> None:
        """Set the state of the newest build and notify subscribers."""
        self.state = state
        if any(not writer.is_closing() and not peer_closed(writer.transport) for writer in self.writers):
            self.on_sent(state, False)
        self.broadcast(b"* progress " + state + b"\r\n")

    def broadcast(self, data: bytes) -> None:
        """Send bytes to all connections."""
        for writer in self.writers:
            if not writer.is_closing():
                writer.write(data)
