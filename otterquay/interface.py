"""The interface of the decision module: its settings, the events it receives and the actions it returns.

This module holds types only and makes no decisions. Times are in milliseconds, also in fields without a unit.
Names that are special to one wire protocol belong to the adapter of that protocol.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may run twice.

    `SAFE` always may, `KEYED` where servers drop repeats of its key, `UNSAFE` never.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Among which servers repeats of a keyed request are dropped: all, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    """What advances a rollout to its next stage: a vote of any agent, a share of the agents, or a timer."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class Replacement(Enum):
    """Whether a new build runs beside the earlier servers until its release or replaces them in place."""

    BESIDE = "beside"
    IN_PLACE = "in_place"


class Discovery(Enum):
    """Whether changes of the server list are pushed to the agent or have to be asked for."""

    PUSH = "push"
    ASK = "ask"


class ServerState(Enum):
    """State of a server in the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """Kind of an update of the server list.

    `CACHED` and `FULL` are whole lists, `DELTA` holds changed entries only, `FAILED` reports a
    failed fetch or a lost watch.
    """

    CACHED = "cached"
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"


class Phase(Enum):
    """Phase of the newest build."""

    TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(Enum):
    """Verdict of a vote on a build; `NONE` takes an earlier vote back."""

    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Status(Enum):
    """How an attempt, probe or vote ended; `MOOT` marks what was not sent or no longer applied."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class LoadField(Enum):
    """A field of a server's load report."""

    INFLIGHT = "inflight"
    QUEUE = "queue"
    UTIL = "util"
    LATENCY_MS = "latency_ms"
    QPS = "qps"
    EPS = "eps"
    OTHER = "other"


# --- settings ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    An answer within `aim_ms` is worth `worth`, a later one within `deadline_ms` only `late_worth` of it.
    """

    name: str
    effect: Effect
    scope: Scope
    repeat_window_ms: float
    aim_ms: float
    aim_stretch: float
    deadline_ms: float
    worth: float
    late_worth: float
    streamed: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; requests beyond its quota have a reduced worth."""

    name: str
    quota_per_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits, and its limits."""

    cancel: bool
    peers: bool
    probes: bool
    retry_after: bool
    second_copies: bool
    max_attempts: int
    max_open: int
    max_retry_after_ms: float
    keepalive_ms: float


@dataclass(frozen=True, slots=True)
class RuleFigures:
    """The numbers that the five rules use.

    A server crashes from overload when it gets more than `fall_multiple` of its capacity over `fall_ms`. A server
    is cold for `cold_ms` after its start and begins with `start_capacity` of its full capacity.
    """

    answer_slack_ms: float
    ask_within_ms: float
    cold_ms: float
    start_capacity: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """How builds are staged, how agents vote on them, and what delays and harm cost.

    At a build on trial an agent may make `free` attempts plus the stage's cap times its requests within
    `window_ms`, counted by class if `per_class`. During the first `guarded_stages` stages only `SAFE` requests go
    to such a build. With `one_way`, a key that a build has answered goes to no earlier build. A vote stands for
    `vote_life_ms`.
    """

    control: Control
    replacement: Replacement
    on_votes: int
    back_votes: int
    hold_votes: int
    bake_ms: float
    step_ms: float
    push_ms: float
    call_timeout_ms: float
    calls_per_s: float
    vote_life_ms: float
    stage_share: tuple[float, ...]
    stage_cap: tuple[float, ...]
    window_ms: float
    free: float
    per_class: bool
    guarded_stages: int
    one_way: bool
    tally_ms: float
    tally_sample: float
    flag_share: float
    behind_price: float
    harm_price: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that an agent receives at its start."""

    agents: int
    me: int
    zone: int
    zones: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    worth_by_work: bool
    clients_mark_retries: bool
    tick_ms: float
    discovery: Discovery
    report_fields: tuple[LoadField, ...]
    reports_in_answers: bool
    cross_zone_price: float
    limits: Limits
    rules: RuleFigures
    rollout: Rollout


# --- events -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Started:
    """The agent has just started; it got its settings in its constructor."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """An entry of the server list; `started_ms` is 0 where the start is not known or long ago."""

    server: int
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_ms: float
    build: int


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the server list."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which must get exactly one final answer; `key` is 0 where it has none."""

    request: int
    cls: int
    tenant: int
    key: int
    budget_ms: float
    work_hint_ms: float
    hinted: bool
    client_retry: bool
    write: bool


@dataclass(frozen=True, slots=True)
class Begun:
    """A streamed answer has begun."""

    request: int
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; `over` tells that the request needs no further answer."""

    request: int
    server: int
    attempt: int
    status: Status
    latency_ms: float
    over: bool
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client has left, so the request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the agent has set with `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe."""

    server: int
    status: Status
    latency_ms: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another agent."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StageNews:
    """Stage and phase of the newest build; `answers_vote` marks the reply to a vote of this agent.

    An infinite `age_ms` marks news that a store kept over a restart.
    """

    build: int
    stage: int
    phase: Phase
    answers_vote: bool
    status: Status
    cap: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Tally:
    """Counts of the platform for one build and class over a period."""

    build: int
    cls: int
    attempts: int
    failures: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Complaint:
    """A client reports that an answer which this agent passed on was wrong."""

    cls: int
    server: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Restored:
    """What a store kept over a restart.

    `attempts` holds (build, class, time of the send), `answered` holds (key, build that answered); key 0 stands for
    every key.
    """

    attempts: tuple[tuple[int, int, float], ...]
    answered: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class AttemptsMissing:
    """Attempts under a cap may be missing from what was restored, though they still count."""


Event = (
    Started
    | ServerList
    | Request
    | Begun
    | Outcome
    | Abandoned
    | TimerFired
    | ProbeResult
    | PeerMessage
    | StageNews
    | Tally
    | Complaint
    | Restored
    | AttemptsMissing
)


# --- actions ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it times out at `until_ms`. Both times are on the agent's clock.

    The whole request has to reach the server by `deliver_by_ms`: it is taken back if it has not.
    """

    request: int
    server: int
    until_ms: float
    deliver_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused, and the client may try again without harm."""

    request: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have had its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerFired` event with this token after a delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a message to one agent, or to all others where `to` is None."""

    to: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CastVote:
    """Cast a vote on a build at a stage."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class FetchList:
    """Fetch the whole server list once."""


@dataclass(frozen=True, slots=True)
class Watch:
    """Start or stop watching the server list for changes."""

    on: bool


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


Action = (
    Send | Refuse | Fail | Cancel | Probe | CloseIdle | SetTimer | TellPeers | CastVote | FetchList | Watch | Log
)
