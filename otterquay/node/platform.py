"""The platform: one connection that asks for news, on which votes go out too."""

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
from otterquay.protocol import platform as words

SILENCE_S = 3.5  # a sign of life comes each second
CONNECT_S = 1.0
BACKOFF_S = (0.02, 1.0)  # after a broken connection, at random; doubled from the least up
Done = Callable[[it.StageNews], None]


class Platform:
    """News of the newest build, and votes. At most one vote is out, as the runtime sends them."""

    def __init__(
        self, address: str, first: words.State | None, runtime: Runtime, rng: random.Random, log: Logger
    ) -> None:
        self._address, self._runtime, self._rng, self._log = address, runtime, rng, log
        self._stages = len(runtime.settings.rollout.stage_cap)
        self._held, self._at = first, 0.0
        self._task: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._calls: deque[Done | None] = deque()  # without an answer yet; None for what nobody waits for
        self._timer: asyncio.TimerHandle | None = None
        self._came = False

    def begin(self, now_ms: float) -> it.StageNews | None:
        """The state that the configuration holds."""
        self._at = now_ms
        return self._news(False, it.Status.OK) if self._held else None

    def start(self) -> None:
        """Follow the news."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop."""
        if self._task:
            self._task.cancel()
            self._task = None

    def move(self, address: str) -> None:
        """Follow another address from now on."""
        following, self._address = self._task is not None, address
        if following:
            self.close()
            self.start()

    def vote(self, vote: it.CastVote, done: Done) -> None:
        """Say a vote; `done` gets the module's event for its end."""
        loop = asyncio.get_running_loop()
        if self._writer is None or self._writer.is_closing():
            self._log.warning("vote_not_sent", address=self._address)
            loop.call_soon(done, self._news(True, it.Status.ERROR))
            return
        self._calls.append(done)
        self._writer.write(words.say(vote))
        self._timer = loop.call_later(self._runtime.settings.rollout.call_timeout_ms / 1e3, self._overdue)

    def capped(self, build: int) -> bool:
        """Whether attempts on this build count against a cap, as far as is known."""
        held = self._held
        return held is None or counts_against_cap(build, held.build, held.phase)

    def standing(self) -> str:
        """Where the newest build stands, in words."""
        held = self._held
        return standing(held.build, held.stage, held.phase, held.cap) if held else "no news of any build"

    def _news(self, vote: bool, status: it.Status) -> it.StageNews:
        held = self._held
        if held is None:
            return it.StageNews(0, 0, it.Phase.RELEASED, vote, it.Status.ERROR, 1.0, 0.0)
        age = held.age_ms + asyncio.get_running_loop().time() * 1e3 - self._at
        return it.StageNews(held.build, held.stage, held.phase, vote, status, held.cap, age)

    def _overdue(self) -> None:
        self._log.warning("vote_unanswered", address=self._address)
        if self._writer:
            self._writer.transport.abort()  # a later answer would be taken for that to the next call

    async def _run(self) -> None:
        await Reconnect(
            self._converse,
            lambda: self._came,
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

    async def _converse(self) -> str:
        self._came = False
        host, port = split_address(self._address)
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port, limit=words.LINE_MOST)
        self._writer = writer
        self._calls.append(None)
        try:
            writer.write(b"SUB\r\n")
            while True:
                async with asyncio.timeout(SILENCE_S):
                    line = await reader.readuntil(b"\r\n")
                self._heard(words.read_line(line[:-2], self._stages))
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise words.Noise(f"a line without an end: {error.partial[:80]!r}") from None
            return "the connection ended"
        except asyncio.LimitOverrunError:
            raise words.Noise("a line over its bound") from None
        finally:
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
                done(self._news(True, status))

    def _heard(self, line: words.Told | words.Answered) -> None:
        self._came = True
        if line.state:
            self._held, self._at = line.state, asyncio.get_running_loop().time() * 1e3
        if isinstance(line, words.Told):
            if line.state:
                self._runtime.on_news(self._news(False, it.Status.OK))
            return
        if not self._calls:
            raise words.Noise("an answer that nobody asked for")
        bare = line.status is it.Status.OK and line.state is None  # as SUB is answered, and no vote
        if bare is not (self._calls[0] is None):
            raise words.Noise("an answer to another call")  # the vote out may have been carried out
        done = self._calls.popleft()
        if done is None:
            return
        if self._timer:
            self._timer.cancel()
        if line.status is not it.Status.OK:
            self._log.warning("vote_not_counted", status=line.status.name.lower())
        done(self._news(True, line.status))
