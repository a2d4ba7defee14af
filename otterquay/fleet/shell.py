"""Runs the node on the event loop: connects it to transport, store, yard and clock, and to the agent's port.

Steps are applied one after the other, each one's writes before its messages. All events reach the node from the
event loop; no decision is made here.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from otterquay import interface as it
from otterquay.cores.effects import Effects
from otterquay.duties.yard_orders import Request
from otterquay.fleet import codec, yard_client
from otterquay.fleet.node import TABLES, Node, Tables
from otterquay.fleet.plan import Plan
from otterquay.fleet.transport import Transport
from otterquay.logs import Logger
from otterquay.ordered_set import OrderedSet
from otterquay.protocol import news
from otterquay.store import Change, Delete, Put, Store, StoreFailed

SHUTDOWN_TIMEOUT_S = 2.0  # longest wait for the handover at a planned shutdown
MAX_QUEUED_STEPS = 10_000  # steps waiting for the disk; beyond this, fleet work stops
MAX_CONCURRENT_CALLS = 64  # concurrent requests to the yard


def load_tables(store: Store) -> Tables:
    """Load the node's tables from the store."""
    return {name: dict(store.scan(name)) for name in TABLES}


class FleetWork:
    """The fleet work of one agent; `listen` is its own address, `addresses` those of the others."""

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
        self.transport = Transport(plan.me, listen, addresses, group, key, rng, self._message_received, log)
        self.node: Node | None = None
        self.on_caps_changed: Callable[[], None] = lambda: None  # reposts the newest stage
        self._queued_steps: asyncio.Queue[Effects] = asyncio.Queue(MAX_QUEUED_STEPS)
        self._tasks: OrderedSet[asyncio.Task[Any]] = OrderedSet()
        self._timer: asyncio.TimerHandle | None = None
        self._call_count = 0
        self._caps: dict[int, float] = {}
        self._open_attempts: dict[int, int] = {}

    # --- the agent's port ---
    async def start(self) -> None:
        """Listen and start. Raises OSError if binding fails, ValueError if the stored tables are invalid."""
        loop = asyncio.get_running_loop()
        self._now = loop.time
        self.node = Node(self.plan, load_tables(self.store), self.rng, self._now())
        self.node.caps_changed = self._caps_changed
        address = await self.transport.start()
        self._track_task(loop.create_task(self._apply_steps()))
        self._enqueue_step(self.node.start(self._now()))
        self._tick()
        self.log.info(
            "fleet_work_started", listen=address, site=self.plan.site, member=self.node.member is not None
        )

    async def stop(self) -> None:
        """Hand over the owned duties, then close."""
        if self.node and not self.node.broken:
            self._enqueue_step(self.node.shut_down(self._now()))
            deadline = self._now() + SHUTDOWN_TIMEOUT_S
            while not self.node.has_left() and self._now() < deadline:
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.05)  # the Released message to the followers is not acknowledged: let it leave
        self.close()

    def close(self) -> None:
        """Stop immediately, without a handover."""
        if self._timer:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self.transport.close()

    def restrict_stage(self, news: it.StageNews) -> it.StageNews:
        """Return the release desk's news with the cap lowered to that of the group or the site's coordinator."""
        return replace(news, cap=min(news.cap, self._caps.get(news.build, 1.0)))

    def voted(self, vote: it.CastVote) -> None:
        """Handle the decision module's verdict; a coordinator counts it while the site is cut off."""
        if self.node and not self.node.broken:
            self._enqueue_step(self.node.voted(self._now(), vote.build, vote.verdict is it.Verdict.BACK))

    def attempt_sent(self, server: int) -> None:
        """Record that an attempt was sent."""
        self._open_attempts[server] = self._open_attempts.get(server, 0) + 1

    def attempt_ended(self, entry: news.Entry, cls: int, end: it.Status, latency_ms: float, trial: bool) -> None:
        """Record an ended attempt as evidence of its class's run time on that kind of server."""
        remaining = self._open_attempts.get(entry.server, 1) - 1
        if remaining > 0:
            self._open_attempts[entry.server] = remaining
        else:
            self._open_attempts.pop(entry.server, None)
        if self.node is None:
            return
        self.node.demand.record(str(cls))
        if trial:
            return  # a trial build's run time says nothing about the hardware
        timed_out = end is it.Status.TIMEOUT
        if timed_out or end is it.Status.OK:
            self.node.run_times.record(
                self._now(),
                str(cls),
                str(entry.kind),
                entry.server,
                entry.build,
                latency_ms,
                alone=remaining == 0,
                timed_out=timed_out,
            )

    def report(self) -> str:
        """Return a one-line summary for operators."""
        if self.node is None:
            return "fleet work not started"
        return ", ".join(f"{k} {v}" for k, v in self.node.digest().items() if v)

    def _caps_changed(self, caps: dict[int, float]) -> None:
        self._caps = caps
        self.on_caps_changed()

    # --- events ---
    def _track_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self) -> None:
        if self.node is None:
            return
        now = self._now()
        self._enqueue_step(self.node.tick(now))
        wait = min(max(self.node.due() - now, 0.01), 0.2)
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _message_received(self, sender: int, payload: bytes) -> None:
        if self.node is None:
            return
        try:
            message = codec.decode(payload)
        except ValueError as error:
            self.log.warning("fleet_message_refused", sender=sender, reason=str(error)[:200])
            return
        self._enqueue_step(self.node.receive(self._now(), sender, message))

    def _enqueue_step(self, out: Effects) -> None:
        if out.is_empty():
            return
        try:
            self._queued_steps.put_nowait(out)
        except asyncio.QueueFull:
            if self.node:
                self._write_log(self.node.disk_failed("the disk is too slow: too many steps are queued"))

    # --- effects ---
    async def _apply_steps(self) -> None:
        assert self.node is not None
        while True:
            out = await self._queued_steps.get()
            if self.node.broken:
                self._write_log(out)
                continue
            if out.writes:
                changes: list[Change] = [
                    Delete(w.table, w.key) if w.value is None else Put(w.table, w.key, w.value) for w in out.writes
                ]
                try:
                    await self.store.commit(changes)
                except (StoreFailed, ValueError) as error:
                    self._write_log(self.node.disk_failed(str(error)))
                    continue
            self._write_log(out)
            for send in out.sends:
                if send.to == self.plan.me:
                    asyncio.get_running_loop().call_soon(self._deliver_to_self, send.message)
                else:
                    self.transport.send(send.to, codec.encode(send.message))
            for call in out.calls:  # one over the limit is dropped: the node takes it for timed out
                if self._call_count < MAX_CONCURRENT_CALLS:
                    self._call_count += 1
                    self._track_task(asyncio.get_running_loop().create_task(self._call(call.tag, call.request)))
            if out.on_durable:
                self._enqueue_step(self.node.writes_durable(self._now(), out))

    def _deliver_to_self(self, message: codec.Message) -> None:
        if self.node:
            self._enqueue_step(self.node.receive(self._now(), self.plan.me, message))

    async def _call(self, tag: int, request: Request) -> None:
        try:
            answer = await yard_client.send_request(self.yard, self.plan.me, request)
        finally:
            self._call_count -= 1
        if self.node:
            self._enqueue_step(self.node.answered(self._now(), tag, answer))

    def _write_log(self, out: Effects) -> None:
        for event, fields in out.log_lines:
            self.log.info(event, **fields)
