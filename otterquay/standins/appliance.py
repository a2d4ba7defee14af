"""An appliance: cores, a queue, a connection limit, drains, flaws of its build, overload crashes while cold."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from otterquay.agent.outcomes import NOT_SEEN_HEADER
from otterquay.interface import LoadField
from otterquay.ordered_set import OrderedSet
from otterquay.protocol import orca
from otterquay.protocol.http import HttpRequest, write_response
from otterquay.standins.http import Listener, Peer
from otterquay.standins.tape import Arrived, Ran, Replied, Started, Tape

OPERATION, WORK = b"x-operation", b"x-work-ms"


@dataclass(frozen=True, slots=True)
class Flaw:
    """The flaw of a build: `share` of its requests fail or are answered wrong; `factor` multiplies the work.

    "load" applies while at least the share `busy` of the cores is in use, "late" from `after_s` after the start.
    """

    kind: Literal["errors", "class", "slow", "load", "late", "wrong", "shared"]
    share: float = 0.0
    cls: str = ""
    factor: float = 1.0
    busy: float = 0.5
    after_s: float = 5.0


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """The capacity of a machine. A cold one starts with the share `start_capacity`, and is warm after `cold_s`.

    Until `fall_s` after that, it crashes when the work that arrived in the last `fall_s` exceeds `fall_multiple`
    times its capacity.
    """

    cores: int = 2
    speed: float = 1.0
    queue: int = 64
    max_connections: int = 512
    handshake_s: float = 0.0
    start_capacity: float = 0.4
    cold_s: float = 4.0
    fall_multiple: float = 3.0
    fall_s: float = 2.0


class DedupTable:
    """Recognizes repeated keyed operations at a group of appliances, within a time window."""

    def __init__(self, window_s: float) -> None:
        self._window = window_s
        self._first_seen: OrderedDict[str, float] = OrderedDict()

    def is_repeat(self, key: str, now: float) -> bool:
        """Whether the key was seen within the window, which counts from its first use."""
        while self._first_seen and next(iter(self._first_seen.values())) < now - self._window:
            self._first_seen.popitem(last=False)
        if key in self._first_seen:
            return True
        self._first_seen[key] = now
        return False


@dataclass(slots=True, eq=False)
class _Job:
    peer: Peer
    request: HttpRequest
    id: str
    tag: str
    work_s: float
    timer: asyncio.TimerHandle | None = None


def _first_word(body: bytes) -> str:
    """The first word of a chat command: what it joins or enters, which identifies the operation."""
    try:
        words = msgspec.json.decode(body)["words"]
        return str(words[0])
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError):
        return ""


@dataclass(slots=True, eq=False)
class Appliance:
    """One process of an appliance, on one address."""

    server: int
    incarnation: int
    build: int
    zone: str
    spec: MachineSpec
    tape: Tape
    rng: random.Random
    dedup: DedupTable
    flaw: Flaw | None = None
    cold: bool = False
    slowdown: Callable[[], float] = lambda: 1.0  # factor of external slowness, such as a shared dependency
    slow: float = 1.0
    fail_share: float = 0.0
    silent: bool = False
    garbage: bool = False
    twice: bool = False
    midway: bool = False
    draining: bool = False
    down: bool = False
    listener: Listener = field(init=False)
    running: OrderedSet[_Job] = field(default_factory=OrderedSet)
    waiting: deque[_Job] = field(default_factory=deque)
    started: float = 0.0
    _recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    _paused: bool = False
    _finished: int = 0

    def __post_init__(self) -> None:
        self.listener = Listener(self._request)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; returns HOST:PORT."""
        self.started = asyncio.get_running_loop().time()
        address = await self.listener.start(host, port)
        capacity = self.spec.cores * self.spec.speed
        self.tape.add(Started(self.started, self.server, self.incarnation, self.build, capacity, self.cold))
        return address

    def stop(self, graceful: bool = False) -> None:
        """End the process; unless `graceful`, all connections are reset."""
        self.down = True
        for job in self.running:
            if job.timer:
                job.timer.cancel()
        self.listener.close(abort=not graceful)

    def pause(self, seconds: float) -> None:
        """Suspend the process: requests neither start nor end."""
        self._paused = True
        asyncio.get_running_loop().call_later(seconds, self._resume)

    def _resume(self) -> None:
        self._paused = False
        for job in [job for job in self.running if job.timer is None]:
            self._finish(job)
        self._start_jobs()

    def capacity(self, now: float) -> float:
        """The capacity in core seconds per second at `now`, on the event loop's clock."""
        full, start_share = self.spec.cores * self.spec.speed, self.spec.start_capacity
        part = min(1.0, (now - self.started) / self.spec.cold_s) if self.cold else 1.0
        return full * (start_share + (1 - start_share) * part)

    def _is_overload_crash(self, now: float, work: float) -> bool:
        self._recent_work.append((now, work))
        while self._recent_work[0][0] < now - self.spec.fall_s:
            self._recent_work.popleft()
        if not self.cold or now - self.started > self.spec.cold_s + self.spec.fall_s:
            return False
        max_work = self.spec.fall_multiple * self.capacity(now) * self.spec.fall_s
        return sum(w for _, w in self._recent_work) > max_work

    # --- requests ---
    def _request(self, peer: Peer, request: HttpRequest) -> None:
        if request.target == b"/otterquay/probe":
            return peer.send(write_response(200, self._headers(request)))
        now = asyncio.get_running_loop().time()
        id = request.headers.get(b"x-request-id", b"").decode()
        tag = request.headers.get(b"otterquay-attempt", b"").decode()
        work = float(request.headers.get(WORK, b"10")) / 1e3
        self.tape.add(Arrived(now, id, tag, self.server, self.incarnation, self.build, self.zone, work))
        if self._is_overload_crash(now, work + (self.spec.handshake_s if peer.served == 0 else 0.0)):
            return self.stop()  # overload crash; the process is not restarted
        if self.silent:
            return
        if self.garbage:
            return peer.send(b"\x16\x03\x01 this is no answer\r\n\r\n")
        crowded = len(self.listener.peers) > self.spec.max_connections
        if self.draining or crowded or len(self.waiting) >= self.spec.queue:
            self.tape.add(Replied(now, id, tag, self.server, "not_seen"))
            headers = [NOT_SEEN_HEADER, *self._headers(request)]
            return peer.send(write_response(503, headers, b"not seen\n", keep_alive=not crowded))
        job = _Job(peer, request, id, tag, work + (self.spec.handshake_s if peer.served == 0 else 0.0))
        peer.lost = lambda: self._peer_closed(job)
        self.waiting.append(job)
        self._start_jobs()

    def _peer_closed(self, job: _Job) -> None:
        """Handle an agent that closed its connection: drop the job if it waits, stop it if it runs."""
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running and job.timer:
            job.timer.cancel()
            self.running.discard(job)
            self._start_jobs()

    def _start_jobs(self) -> None:
        loop = asyncio.get_running_loop()
        while self.waiting and len(self.running) < self.spec.cores and not self._paused and not self.down:
            job = self.waiting.popleft()
            self.running.add(job)
            rate = self.capacity(loop.time()) / self.spec.cores
            duration = job.work_s / rate * self.slow * self.slowdown() * self._flaw_factor(loop.time())
            self._record_effect(job)
            job.timer = loop.call_later(duration, self._job_due, job)

    def _flaw_factor(self, now: float) -> float:
        flaw = self.flaw
        if flaw is None:
            return 1.0
        late = flaw.kind == "late" and now - self.started >= flaw.after_s
        loaded = flaw.kind == "load" and len(self.running) >= flaw.busy * self.spec.cores
        return flaw.factor if flaw.kind == "slow" or late or loaded else 1.0

    def _record_effect(self, job: _Job) -> None:
        headers = job.request.headers
        key = headers.get(b"idempotency-key", b"").decode()
        op = headers.get(OPERATION, b"").decode() or _first_word(job.request.body) or job.id
        now = asyncio.get_running_loop().time()
        self.tape.add(Ran(now, job.id, op, self.server, bool(key) and self.dedup.is_repeat(key, now)))

    def _job_due(self, job: _Job) -> None:
        job.timer = None
        if not self._paused:
            self._finish(job)
            self._start_jobs()

    def _is_flawed(self, cls: str) -> bool:
        """Whether the build's flaw makes it fail this request, or answer it wrong."""
        flaw, now = self.flaw, asyncio.get_running_loop().time()
        if flaw is None:
            return False
        applies = {
            "errors": True,
            "wrong": True,
            "class": cls == flaw.cls,
            "slow": False,
            "shared": False,
            "load": len(self.running) >= flaw.busy * self.spec.cores,
            "late": now - self.started >= flaw.after_s,
        }[flaw.kind]
        return applies and self.rng.random() < flaw.share

    def _finish(self, job: _Job) -> None:
        self.running.discard(job)
        self._finished += 1
        if self.down:
            return
        job.peer.lost = None
        bad = self._is_flawed(job.request.headers.get(b"otterquay-class", b"").decode())
        wrong = bad and self.flaw is not None and self.flaw.kind == "wrong"
        failed = (bad and not wrong) or self.rng.random() < self.fail_share
        status = 500 if failed else 200
        body = b"failed\n" if failed else b"wrong\n" if wrong else b"right\n"
        answer = write_response(status, self._headers(job.request), body)
        now = asyncio.get_running_loop().time()
        self.tape.add(Replied(now, job.id, job.tag, self.server, "error" if failed else "ok"))
        if self.midway:
            job.peer.send(answer[:-3])
            return job.peer.writer.close()
        job.peer.send(answer * (2 if self.twice else 1))

    def _headers(self, request: HttpRequest) -> list[tuple[bytes, bytes]]:
        load = {
            LoadField.UTIL: min(1.0, len(self.running) / self.spec.cores),
            LoadField.INFLIGHT: float(len(self.running) + len(self.waiting)),
            LoadField.QUEUE: float(len(self.waiting)),
            LoadField.QPS: self._finished / max(asyncio.get_running_loop().time() - self.started, 1.0),
        }
        tag = request.headers.get(b"otterquay-attempt", b"")
        return [(orca.HEADER, orca.encode(load)), (b"otterquay-attempt", tag)]
