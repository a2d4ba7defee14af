"""The agent over HTTP: its ports to appliances, fleet list and release desk, and the agent itself."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from otterquay import interface as it
from otterquay.agent.connection_pool import Pool
from otterquay.agent.exchange import Call
from otterquay.agent.feeds import DeskRecord, FleetRegistry, Gap
from otterquay.agent.front import ANSWER_HEADER, BUDGET_HEADER, Front
from otterquay.agent.input_budget import InputBudget
from otterquay.agent.outcomes import End, end_of_answer
from otterquay.agent.peers import PeerSocket
from otterquay.agent.ports import ClientRequest, FinalAnswer, Ports, Requester
from otterquay.agent.runtime import DecisionModule, Runtime
from otterquay.agent.state_store import AgentStateStore
from otterquay.agent.streams import Restart, Stream
from otterquay.chat.gateway import Gateway
from otterquay.chat.hub import News
from otterquay.config.schema import Service
from otterquay.config.translate import decision_settings
from otterquay.logs import Logger
from otterquay.policy.agent import Agent
from otterquay.protocol import news, orca
from otterquay.protocol.http import HOP_BY_HOP, HttpResponse, ResponseParser, write_request
from otterquay.protocol.peer import PeerLink
from otterquay.protocol.sse import SseEvent
from otterquay.store import Store

CROSSING_S = 0.1  # in which a client sends a request again that crossed the close of its connection
ATTEMPT_HEADER, AGENT_HEADER = b"otterquay-attempt", b"otterquay-agent"
UNFORWARDED_HEADERS = HOP_BY_HOP | {BUDGET_HEADER, ATTEMPT_HEADER, AGENT_HEADER}
UNRETURNED_HEADERS = HOP_BY_HOP | {ATTEMPT_HEADER, ANSWER_HEADER, orca.HEADER}
VERDICTS = {
    it.Verdict.NONE: "none",
    it.Verdict.ON: "on",
    it.Verdict.HOLD: "hold",
    it.Verdict.BACK: "back",
}


class HttpApplianceProtocol:
    """HTTP/1.1 towards appliances; each attempt carries a tag, and an answer with another tag is discarded."""

    runs_when_whole = False  # an appliance may start before it has the whole body

    def __init__(
        self, agent: int, fields: Iterable[it.LoadField], max_head: int = 16384, max_answer: int = 4194304
    ) -> None:
        self._agent, self._fields, self._bounds = agent, tuple(fields), (max_head, max_answer)

    def parser(self) -> ResponseParser:
        """Return a parser for one connection."""
        return ResponseParser(*self._bounds)

    def tag(self, request: int, attempt: int) -> bytes:
        """Return the tag that identifies an attempt; the appliance returns it in its answer."""
        return b"%d-%d" % (request, attempt)

    def attempt(self, client_request: ClientRequest, tag: bytes, address: str, left_ms: float) -> bytes:
        """Encode the client's request with the agent's own header fields."""
        http = client_request.message
        headers = [(b"host", address.encode()), (ATTEMPT_HEADER, tag), (AGENT_HEADER, b"%d" % self._agent)]
        headers += [item for item in http.headers.items() if item[0] not in UNFORWARDED_HEADERS]
        return write_request(http.method, http.target, headers, http.body)

    def probe(self, server: int, address: str) -> tuple[bytes, bytes]:
        """Encode a GET that an appliance answers outside its queue, with its load report."""
        tag = b"probe-%d" % server
        return tag, write_request(b"GET", b"/otterquay/probe", [(b"host", address.encode()), (ATTEMPT_HEADER, tag)])

    def end(self, tag: bytes, answer: HttpResponse) -> End:
        """Classify a complete answer to the call with this tag."""
        if answer.headers.get(ATTEMPT_HEADER, tag) != tag:
            return End.MISMATCH
        return end_of_answer(answer.status, answer.headers)

    def load(self, answer: HttpResponse) -> tuple[float, ...]:
        """Return the load report of an answer."""
        return orca.parse(answer.headers.get(orca.HEADER, b""), self._fields)

    def final(self, answer: HttpResponse) -> FinalAnswer:
        """Convert an answer to the client's final answer, without the hop-by-hop and internal headers."""
        headers = tuple([item for item in answer.headers.items() if item[0] not in UNRETURNED_HEADERS])
        return FinalAnswer("served", answer.status, headers, answer.body)


class SseServerList:
    """The server list, received as server-sent events."""

    def __init__(self, service: Service, runtime: Runtime, rng: random.Random, log: Logger) -> None:
        self.registry, self._runtime, self._log = FleetRegistry(service.zones), runtime, log
        feeds = service.feeds
        self._stream = Stream(
            feeds.fleet.rstrip("/") + "/v1/fleet",
            service.agent.number,
            self._event,
            self._broken,
            rng,
            log,
            feeds.reconnect_least / 1e3,
            feeds.reconnect_most / 1e3,
            feeds.silence / 1e3,
            feeds.max_event,
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def entries(self) -> Mapping[int, news.Entry]:
        """The listed servers by number."""
        return self.registry.entries

    def follow(self, on: bool) -> None:
        """Start or stop following the stream."""
        if on and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._stream.run())
        elif not on and self._task:
            self._task.cancel()

    def _event(self, event: SseEvent) -> None:
        if event.event not in ("full", "delta"):
            return
        fleet, refused = news.decode_fleet(event.data)
        try:
            update = self.registry.apply_event(event.id, fleet, asyncio.get_running_loop().time() * 1e3)
        except Gap as gap:
            raise Restart(str(gap)) from None
        if update is None:
            self._log.info("list_repeated", id=event.id)
            return
        self.registry.log_refused(refused, self._log)
        self._runtime.on_server_list(update, self.registry.ended)

    def _broken(self, reason: str) -> None:
        if self._runtime.settings.discovery is it.Discovery.ASK:
            self.follow(False)
            self._runtime.on_server_list(it.ServerList(it.ListKind.FAILED, 0, ()))


class SseReleaseDesk:
    """The release desk: events as server-sent events, votes by POST."""

    def __init__(self, service: Service, runtime: Runtime, rng: random.Random, log: Logger) -> None:
        self.record = DeskRecord(list(service.class_), len(service.rollout.stage))
        self._agent, self._runtime, self._log = service.agent.number, runtime, log
        feeds = service.feeds
        self._stream = Stream(
            feeds.desk.rstrip("/") + "/v1/stage",
            service.agent.number,
            self._event,
            lambda _: None,
            rng,
            log,
            feeds.reconnect_least / 1e3,
            feeds.reconnect_most / 1e3,
            feeds.silence / 1e3,
            feeds.max_event,
        )
        self._task: asyncio.Task[None] | None = None
        self.capped, self.standing = self.record.capped, self.record.standing

    def start(self) -> None:
        """Start following the stream."""
        self._task = asyncio.get_running_loop().create_task(self._stream.run())

    def close(self) -> None:
        """Stop following the stream."""
        if self._task:
            self._task.cancel()

    def _event(self, event: SseEvent) -> None:
        now = asyncio.get_running_loop().time() * 1e3
        news_event = self.record.apply_event(event.id, event.event, event.data.encode(), now)
        if news_event is not None:
            self._runtime.on_news(news_event)

    def vote(self, vote: it.CastVote, done: Callable[[it.StageNews], None]) -> None:
        """Post a vote; `done` gets the module's event for its result."""
        loop = asyncio.get_running_loop()
        body = msgspec.json.encode(news.Vote(self._agent, vote.build, vote.stage, VERDICTS[vote.verdict]))  # type: ignore[arg-type]
        address = self._stream.url.split("/")[2]
        headers = [(b"host", address.encode()), (b"content-type", b"application/json")]
        payload = write_request(b"POST", b"/v1/votes", headers, body)
        until = loop.time() + self._runtime.settings.rollout.call_timeout_ms / 1e3

        def ended(_: Call, end: End, answer: HttpResponse | None) -> None:
            status, decoded = self._decode_answer(end, answer)
            done(self.record.voted(status, decoded, loop.time() * 1e3))

        self._runtime.pool.call(address, b"vote", lambda: payload, until, ended)

    def _decode_answer(self, end: End, answer: HttpResponse | None) -> tuple[it.Status, news.VoteAnswer | None]:
        if end in (End.NO_CONNECTION, End.OVERDUE_CONNECTING):
            return it.Status.ERROR, None
        if answer is None:
            return it.Status.TIMEOUT, None  # no answer: the vote may have been counted
        if answer.status != 200:
            return it.Status.FULL if answer.status == 429 else it.Status.ERROR, None
        try:
            found: news.VoteAnswer = msgspec.json.decode(answer.body, type=news.VoteAnswer)
            news.parse_event_id(found.id)
            self.record.check(found.state)
        except (ValueError, msgspec.MsgspecError) as error:
            self._log.warning("vote_answer_malformed", error=str(error))
            return it.Status.ERROR, None
        return it.Status.OK, found


class HttpAgent(Runtime):
    """An agent over HTTP, with chat, a store, and messages between agents under a shared key."""

    settle_s = CROSSING_S
    crossing_s = CROSSING_S

    def __init__(
        self,
        service: Service,
        rng: random.Random,
        log: Logger,
        peer_key: bytes | None = None,
        store: Store | None = None,
        decider: Callable[[it.Settings, int], DecisionModule] = Agent,
        chat_key: bytes | None = None,
        is_state_missing: bool = False,
    ) -> None:
        """`is_state_missing`: there is a store, but it could not be opened."""
        settings, limits, back = decision_settings(service), service.limits, service.back
        appliance_protocol = HttpApplianceProtocol(
            service.agent.number, settings.report_fields, back.max_head, back.max_answer
        )
        pool = Pool(limits.connect_timeout / 1e3, limits.keepalive / 1e3, appliance_protocol, log)
        budget = InputBudget(service.front.max_input, service.front.max_connections)
        super().__init__(settings, pool, budget, rng, log, decider)
        self.service = service
        self._is_state_missing = is_state_missing
        counted_ms = settings.rollout.window_ms + 2 * settings.tick_ms  # as the decision module counts attempts
        self._state_store = AgentStateStore(store, counted_ms, log) if store else None
        self.front = Front(service, self, budget, log)
        server_list, desk = SseServerList(service, self, rng, log), SseReleaseDesk(service, self, rng, log)
        self._fleet, self._desk = server_list.registry, desk.record
        peers = None
        if limits.peers and service.peers and peer_key:
            link = PeerLink(service.agent.number, service.agent.count, peer_key, rng)
            addresses = {int(n): a for n, a in service.peers.address.items()}
            peers = PeerSocket(
                service.agent.number, link, addresses, lambda n, d: self.post(it.PeerMessage(n, d)), log
            )
        self.gateway: Gateway | None = None
        if service.chat and chat_key:
            self.gateway = Gateway(service, chat_key, rng, log, self._take_command, self.report, store)
        self.ports = Ports(
            self.front,
            server_list,
            desk,
            appliance_protocol,
            self._initial_events,
            peers,
            self._state_store,
            announce=self._announce_in_chat,
        )

    def _take_command(self, client_request: ClientRequest, requester: Requester) -> bool:
        """Accept a chat command; False if there is no room for it, or the agent does not accept it."""
        has_room = self.input_budget.may_take(client_request.size)
        return has_room and self.take(client_request, requester)

    def _announce_in_chat(self, text: str) -> None:
        if self.gateway:
            self.gateway.feed(News(text))

    def _initial_events(self, now_ms: float) -> Iterator[it.Event]:
        if self._is_state_missing:
            yield it.AttemptsMissing()
        if self._state_store:
            fleet, events = self._state_store.recall(now_ms)
            yield from events
            if fleet:
                yield self._fleet.cached(fleet, now_ms)

    async def start(self) -> tuple[str, int]:
        """Start the runtime, the fleet work and chat."""
        bound = await super().start()
        if self.ports.fleet:
            await self.ports.fleet.start()
        if self.gateway:
            self.chat_bound = await self.gateway.start()
            self.log.info("chat_started", listen=f"{self.chat_bound[0]}:{self.chat_bound[1]}")
        return bound

    async def stop(self, within_s: float | None = None) -> None:
        """Shut down gracefully, by default within the time in the settings."""
        if self.gateway:
            self.gateway.stop_listening()
        if self.ports.fleet:
            await self.ports.fleet.stop()
        await super().stop(self.service.agent.stop_within / 1e3 if within_s is None else within_s)

    def close(self) -> None:
        """Close all sockets and timers immediately."""
        super().close()
        if self.gateway:
            self.gateway.close()
