"""The production agent: the runtime with the platform's ports, graceful shutdown and configuration reload."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import fields

from otterquay import interface as it
from otterquay.agent.connection_pool import Pool
from otterquay.agent.input_budget import InputBudget
from otterquay.agent.lifecycle import DRAIN_POLL_S, Phase
from otterquay.agent.ports import Ports
from otterquay.agent.runtime import DecisionModule, Runtime
from otterquay.logs import Logger
from otterquay.node.config import NodeConfig
from otterquay.node.discovery import DiscoveryPoller
from otterquay.node.front import Front
from otterquay.node.peers import PeerSocket
from otterquay.node.platform import PlatformClient
from otterquay.node.resp_codec import RespCodec
from otterquay.node.shutdown_schedule import FLUSH_S, ShutdownSchedule
from otterquay.policy.agent import Agent

RESERVED_SOCKETS = 32  # file descriptors for the listener, feeds, files and the event loop
CLIENT_SOCKET_SHARE = 0.45  # of the remaining descriptors: for client connections, idle or not
# Share of all descriptors; with more client connections than this, idle ones are closed. Clients may hold a third
# for requests and would find none free if the idle ones stayed open.
SHED_SOCKET_SHARE = 0.2
IDLE_KEEPALIVE_SHARE = 0.5  # of the keep-alive time, after which an idle connection to an appliance is closed
# A surplus answer can arrive up to 3 ms after the first one (bench scenario join+mass), on a clock of whole ms.
MIN_REUSE_IDLE_S = 0.01
PROCESS_BYTES = 40_000_000  # what an agent takes without any input of clients
INPUT_MEMORY_SHARE = 0.5  # of the rest; answers and what the allocator can't reuse take the other half
MIN_INPUT_BYTES = 1_000_000
# Fields that may differ on reload: the first two are applied, the others are read only at the start.
RELOAD_ALLOWED_FIELDS = ("discovery", "platform", "news", "known", "seed")


def input_limit_bytes(memory_bytes: int) -> int:
    """The memory that the input of all clients may take in a process with this limit."""
    return max(int((memory_bytes - PROCESS_BYTES) * INPUT_MEMORY_SHARE), MIN_INPUT_BYTES)


class Node(Runtime):
    """The runtime on the platform's sockets. `wall` returns Unix time in seconds."""

    settle_s = FLUSH_S
    crossing_s = FLUSH_S
    # A client sends a request that crossed the close of its connection once more, on a new one and until the
    # request's deadline; only this agent's listener is there for it.
    drains_full_time = True

    def __init__(
        self,
        config: NodeConfig,
        rng: random.Random,
        wall: Callable[[], float],
        log: Logger,
        decider: Callable[[it.Settings, int], DecisionModule] = Agent,
    ) -> None:
        settings, free = config.settings, config.sockets - RESERVED_SOCKETS
        clients = int(free * CLIENT_SOCKET_SHARE)
        codec = RespCodec(config.report_names)
        pool = Pool(
            config.connect_timeout_ms / 1e3,
            max(settings.limits.keepalive_ms * IDLE_KEEPALIVE_SHARE, 50.0) / 1e3,
            codec,
            log,
            free - clients,
            MIN_REUSE_IDLE_S,
        )
        budget = InputBudget(input_limit_bytes(config.memory_bytes), clients)
        super().__init__(settings, pool, budget, rng, log, decider)
        self._config = config
        self._end_requested_at: float | None = None
        shed_above = int(config.sockets * SHED_SOCKET_SHARE)
        self.front = Front(config.listen, settings, self, clients, shed_above, budget, log)
        self.list = DiscoveryPoller(config.discovery, config.zones, config.kinds, self, rng, wall, log)
        self.platform = PlatformClient(config.platform, config.news, self, rng, log)
        peers = None
        if settings.limits.peers and config.peer_listen:
            peers = PeerSocket(
                config.peer_listen,
                settings.me,
                config.peers,
                config.peers_all,
                lambda n, d: self.post(it.PeerMessage(n, d)),
                log,
            )
        self.ports = Ports(self.front, self.list, self.platform, codec, self._initial_events, peers)

    def _initial_events(self, now_ms: float) -> Iterator[it.Event]:
        if news := self.platform.initial_news(now_ms):
            yield news
        if self._config.known and (known := self.list.initial_list(self._config.known, now_ms)):
            yield known

    def reload(self, config: NodeConfig) -> None:
        """Switch discovery and platform to new addresses; changes of fixed fields are logged and ignored."""
        fixed = [
            f.name
            for f in fields(config)
            if f.name not in RELOAD_ALLOWED_FIELDS and getattr(config, f.name) != getattr(self._config, f.name)
        ]
        if fixed:
            self.log.warning("reload_fields_ignored", fields=", ".join(fixed))
        self.log.info("reloaded", discovery=config.discovery, platform=config.platform)
        self.list.set_address(config.discovery)
        self.platform.set_address(config.platform)

    def note_end_signal(self) -> None:
        """Note that a signal asks for the end.

        It may have waited for the process to run. SIGKILL does not wait for that, so the shutdown counts its time
        from when the event loop last ran before the signal.
        """
        if self.phase is Phase.ACCEPTING and self._end_requested_at is None:
            now = self._now()
            self._end_requested_at = now - self.front.stall_detector.max_signal_wait_s(now)

    async def shut_down(self) -> None:
        """Shut down before SIGKILL is due, by the steps of `ShutdownSchedule`.

        The listener stays for the whole of its time, also when nothing is open any more.
        """
        now = self._now()
        waited_s = 0.0 if self._end_requested_at is None else now - self._end_requested_at
        schedule = ShutdownSchedule.of(self.settings, waited_s)
        self.settle_s = schedule.listener_outlasts_s
        self.crossing_s = math.inf  # the listener stays for the whole of its time
        self.drain_until = now + schedule.answers_within_s
        self.log.info("agent_leaving", held=len(self.open_requests), within_s=schedule.answers_within_s)
        await asyncio.sleep(schedule.drain_after_s)
        await self.stop(self.drain_until - self._now())
        await asyncio.sleep(DRAIN_POLL_S)  # lets the connections finish closing
        if self.front.clients:
            self.log.warning("left_with_connections_open", open=len(self.front.clients))
