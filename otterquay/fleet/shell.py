"""The node on the running loop: frames, store, yard and clock on one side, the agent's port on the other.

Steps are carried out one after the other, each one's writes before its messages. All that the node is told comes in
turns of the loop; nothing here decides.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from otterquay import interface as it
from otterquay.cores.out import Out
from otterquay.duties.errand import Request
from otterquay.fleet import codec, yard_client
from otterquay.fleet.node import TABLES, Node, Tables
from otterquay.fleet.plan import Plan
from otterquay.fleet.transport import Transport
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.store import Change, Delete, Put, Store, StoreFailed

LEAVE_S = 2.0  # a planned end waits so long for what it hands over to be taken
STEPS_MOST = 10_000  # steps that wait for the disk; beyond, the agent's fleet work counts as stopped
CALLS_MOST = 64  # requests to the yard at one time


def load_tables(store: Store) -> Tables:
    """What the disk holds."""
    return {name: dict(store.scan(name)) for name in TABLES}


class FleetWork:
    """One agent's part in the fleet's work; `listen` is its own address, `addresses` those of the others."""

    def __init__(
        self,
        plan: Plan,
        listen: str,
        addresses: dict[int, str],
        group: int,
        key: bytes,
        yard: str,
        store: Store,
        rng: random.Random,
        log: Logger,
    ) -> None:
        self.plan, self.yard, self.store, self.rng, self.log = plan, yard, store, rng, log
        self.transport = Transport(plan.me, listen, addresses, group, key, rng, self._heard, log)
        self.node: Node | None = None
        self.again: Callable[[], None] = lambda: None  # the caps have changed: the newest stage is told anew
        self._steps: asyncio.Queue[Out] = asyncio.Queue(STEPS_MOST)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._calls = 0
        self._caps: dict[int, float] = {}
        self._open: dict[int, int] = {}

    # --- the agent's port ---
    async def start(self) -> None:
        """Listen and begin. OSError: the address cannot be had. ValueError: the disk's tables cannot be right."""
        loop = asyncio.get_running_loop()
        self._now = loop.time
        self.node = Node(self.plan, load_tables(self.store), self.rng, self._now())
        self.node.caps_changed = self._caps_changed
        bound = await self.transport.start()
        self._keep(loop.create_task(self._carry()))
        self._step(self.node.start(self._now()))
        self._tick()
        self.log.info("fleet_work_started", listen=bound, site=self.plan.site, member=self.node.member is not None)

    async def stop(self) -> None:
        """Hand over what is owned, then close."""
        if self.node and not self.node.broken:
            self._step(self.node.shut_down(self._now()))
            until = self._now() + LEAVE_S
            while not self.node.has_left() and self._now() < until:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.05)  # the last word, to the coordinator's followers, has no answer
        self.close()

    def close(self) -> None:
        """End at once."""
        if self._timer:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.transport.close()

    def tightened(self, news: it.StageNews) -> it.StageNews:
        """The desk's news with what the group or the site's coordinator has lowered."""
        return replace(news, cap=min(news.cap, self._caps.get(news.build, 1.0)))

    def voted(self, vote: it.CastVote) -> None:
        """The module's verdict; a coordinator counts it while the site is cut off."""
        if self.node and not self.node.broken:
            self._step(self.node.voted(self._now(), vote.build, vote.verdict is it.Verdict.BACK))

    def sent(self, server: int) -> None:
        """An attempt goes out."""
        self._open[server] = self._open.get(server, 0) + 1

    def ran(self, entry: news.Entry, cls: int, end: it.Status, latency_ms: float, trial: bool) -> None:
        """An attempt has ended: evidence of how long its class runs on that kind of server."""
        left = self._open.get(entry.server, 1) - 1
        if left > 0:
            self._open[entry.server] = left
        else:
            self._open.pop(entry.server, None)
        if self.node is None:
            return
        self.node.demand.record(str(cls))
        if trial:
            return  # what a build on trial does is not its hardware's
        timed_out = end is it.Status.TIMEOUT
        if timed_out or end is it.Status.OK:
            self.node.run_times.record(
                self._now(),
                str(cls),
                str(entry.kind),
                entry.server,
                entry.build,
                latency_ms,
                alone=left == 0,
                timed_out=timed_out,
            )

    def report(self) -> str:
        """What operators ask for."""
        if self.node is None:
            return "fleet work not started"
        return ", ".join(f"{k} {v}" for k, v in self.node.digest().items() if v)

    def _caps_changed(self, caps: dict[int, float]) -> None:
        self._caps = caps
        self.again()

    # --- events ---
    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self) -> None:
        if self.node is None:
            return
        now = self._now()
        self._step(self.node.tick(now))
        wait = min(max(self.node.due() - now, 0.01), 0.2)
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _heard(self, sender: int, payload: bytes) -> None:
        if self.node is None:
            return
        try:
            message = codec.decode(payload)
        except ValueError as error:
            self.log.warning("fleet_message_refused", sender=sender, reason=str(error)[:200])
            return
        self._step(self.node.receive(self._now(), sender, message))

    def _step(self, out: Out) -> None:
        if out.empty():
            return
        try:
            self._steps.put_nowait(out)
        except asyncio.QueueFull:
            if self.node:
                self._say(self.node.disk_failed("the disk does not keep up"))

    # --- wishes ---
    async def _carry(self) -> None:
        assert self.node is not None
        while True:
            out = await self._steps.get()
            if self.node.broken:
                self._say(out)
                continue
            if out.writes:
                changes: list[Change] = [
                    Delete(w.table, w.key) if w.value is None else Put(w.table, w.key, w.value) for w in out.writes
                ]
                try:
                    await self.store.commit(changes)
                except (StoreFailed, ValueError) as error:
                    self._say(self.node.disk_failed(str(error)))
                    continue
            self._say(out)
            for send in out.sends:
                if send.to == self.plan.me:
                    asyncio.get_running_loop().call_soon(self._loop_back, send.message)
                else:
                    self.transport.send(send.to, codec.encode(send.message))
            for call in out.calls:
                if self._calls < CALLS_MOST:
                    self._calls += 1
                    self._keep(asyncio.get_running_loop().create_task(self._call(call.tag, call.request)))
            if out.lasting:
                self._step(self.node.writes_durable(self._now(), out))

    def _loop_back(self, message: codec.Message) -> None:
        if self.node:
            self._step(self.node.receive(self._now(), self.plan.me, message))

    async def _call(self, tag: int, request: Request) -> None:
        try:
            answer = await yard_client.ask(self.yard, self.plan.me, request)
        finally:
            self._calls -= 1
        if self.node:
            self._step(self.node.answered(self._now(), tag, answer))

    def _say(self, out: Out) -> None:
        for event, fields in out.lines:
            self.log.info(event, **fields)
