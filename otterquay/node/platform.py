"""The client of the platform: one connection that subscribes to stage news and sends votes."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.feeds import counts_against_cap, standing
from otterquay.agent.reconnect import CONNECTION_ERRORS, Reconnect
from otterquay.agent.runtime import Runtime
from otterquay.logs import Logger
from otterquay.protocol import platform as codec

SILENCE_S = 3.5  # the platform sends a heartbeat each second
CONNECT_S = 1.0
BACKOFF_S = (0.02, 1.0)  # minimum and maximum of the random delay before reconnecting; doubled with each failure
Done = Callable[[it.StageNews], None]


class PlatformClient:
    """Follows the newest build and sends votes. The runtime sends at most one vote at a time."""

    def __init__(
        self,
        address: str,
        initial_state: codec.BuildState | None,
        runtime: Runtime,
        rng: random.Random,
        log: Logger,
    ) -> None:
        self._address, self._runtime, self._rng, self._log = address, runtime, rng, log
        self._stages = len(runtime.settings.rollout.stage_cap)
        self._state, self._state_at_ms = initial_state, 0.0
        self._task: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._calls: deque[Done | None] = deque()  # calls without an answer, oldest first; None for SUB
        self._timer: asyncio.TimerHandle | None = None
        self._received_news = False

    def initial_news(self, now_ms: float) -> it.StageNews | None:
        """The event for the state in the configuration, if it holds one."""
        self._state_at_ms = now_ms
        return self._stage_news(False, it.Status.OK) if self._state else None

    def start(self) -> None:
        """Connect and follow the newest build."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Disconnect."""
        if self._task:
            self._task.cancel()
            self._task = None

    def set_address(self, address: str) -> None:
        """Connect to another address from now on."""
        was_following, self._address = self._task is not None, address
        if was_following:
            self.close()
            self.start()

    def vote(self, vote: it.CastVote, done: Done) -> None:
        """Send a vote; `done` is called with the event for its result."""
        loop = asyncio.get_running_loop()
        if self._writer is None or self._writer.is_closing():
            self._log.warning("vote_not_sent", address=self._address)
            loop.call_soon(done, self._stage_news(True, it.Status.ERROR))
            return
        self._calls.append(done)
        self._writer.write(codec.encode_vote(vote))
        self._timer = loop.call_later(self._runtime.settings.rollout.call_timeout_ms / 1e3, self._vote_timed_out)

    def capped(self, build: int) -> bool:
        """Whether attempts on this build count against a cap, as far as known."""
        state = self._state
        return state is None or counts_against_cap(build, state.build, state.phase)

    def standing(self) -> str:
        """A description of the newest build's stage, for logs."""
        state = self._state
        return standing(state.build, state.stage, state.phase, state.cap) if state else "no news of any build"

    def _stage_news(self, vote: bool, status: it.Status) -> it.StageNews:
        state = self._state
        if state is None:
            return it.StageNews(0, 0, it.Phase.RELEASED, vote, it.Status.ERROR, 1.0, 0.0)
        age = state.age_ms + asyncio.get_running_loop().time() * 1e3 - self._state_at_ms
        return it.StageNews(state.build, state.stage, state.phase, vote, status, state.cap, age)

    def _vote_timed_out(self) -> None:
        self._log.warning("vote_unanswered", address=self._address)
        if self._writer:
            self._writer.transport.abort()  # a late answer would be matched to the next call

    async def _run(self) -> None:
        await Reconnect(
            self._follow,
            lambda: self._received_news,
            self._broken,
            self._log,
            "platform_fault",
            self._rng,
            *BACKOFF_S,
            (*CONNECTION_ERRORS, RuntimeError),
        ).run()

    def _broken(self, reason: str, failures: int) -> bool:
        self._log.warning("platform_broken", address=self._address, reason=reason, failures=failures)
        return False

    async def _follow(self) -> str:
        self._received_news = False
        host, port = split_address(self._address)
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port, limit=codec.MAX_LINE_BYTES)
        self._writer = writer
        self._calls.append(None)
        try:
            writer.write(b"SUB\r\n")
            while True:
                async with asyncio.timeout(SILENCE_S):
                    line = await reader.readuntil(b"\r\n")
                self._handle_line(codec.parse_line(line[:-2], self._stages))
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise codec.MalformedLine(f"connection closed within a line: {error.partial[:80]!r}") from None
            return "the connection was closed"
        except asyncio.LimitOverrunError:
            raise codec.MalformedLine("line exceeds the maximum length") from None
        finally:
            # a vote that was not sent completely cannot have counted; any other may have
            unsent = writer.transport.get_write_buffer_size() > 0
            self._writer = None
            writer.transport.abort() if unsent else writer.close()
            self._end_calls(it.Status.ERROR if unsent else it.Status.TIMEOUT)

    def _end_calls(self, status: it.Status) -> None:
        if self._timer:
            self._timer.cancel()
        calls, self._calls = self._calls, deque()
        for done in calls:
            if done:
                done(self._stage_news(True, status))

    def _handle_line(self, line: codec.Notification | codec.CallAnswer) -> None:
        self._received_news = True
        if line.state:
            self._state, self._state_at_ms = line.state, asyncio.get_running_loop().time() * 1e3
        if isinstance(line, codec.Notification):
            if line.state:
                self._runtime.on_news(self._stage_news(False, it.Status.OK))
            return
        if not self._calls:
            raise codec.MalformedLine("answer without a pending call")
        plain_ok = line.status is it.Status.OK and line.state is None  # answers SUB; a vote's OK has a state
        if plain_ok is not (self._calls[0] is None):
            # ends the connection: the pending vote, which may have counted, ends with a timeout
            raise codec.MalformedLine("answer does not fit the oldest call")
        done = self._calls.popleft()
        if done is None:
            return
        if self._timer:
            self._timer.cancel()
        if line.status is not it.Status.OK:
            self._log.warning("vote_not_counted", status=line.status.name.lower())
        done(self._stage_news(True, line.status))
