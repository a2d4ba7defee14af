"""What the decision module is told and what it may do: types only, nothing that decides.

Times are milliseconds. Names are the field's standard terms; a wire's words stay in its adapter.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    """What moves a stage on."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class Replacement(Enum):
    """Whether earlier servers stay until the release."""

    BESIDE = "beside"
    IN_PLACE = "in_place"


class Discovery(Enum):
    """Whether changes of the server list come by themselves."""

    PUSH = "push"
    ASK = "ask"


class ServerState(Enum):
    """What the server list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a list update relates to the list held."""

    CACHED = "cached"
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"


class Phase(Enum):
    """Where the newest build stands."""

    TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(Enum):
    """What a vote says."""

    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Status(Enum):
    """How an attempt, probe or vote ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class LoadField(Enum):
    """A value in a server's load report."""

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
    """One class of requests; worth counts in full within the aim."""

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
    """One tenant; what it sends beyond its quota is worth little."""

    name: str
    quota_per_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

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
    """The figures behind the rules."""

    answer_slack_ms: float
    ask_within_ms: float
    cold_ms: float
    start_capacity: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """How builds are staged, voted on and priced."""

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
    """All that an agent is told at its start."""

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
    """The agent has just started; its settings came with its making."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list."""

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
    """News of the server list."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which must get one final answer."""

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
    """A streamed answer has started."""

    request: int
    attempt: int
    server: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; `over` tells that nothing more is owed."""

    request: int
    server: int
    attempt: int
    status: Status
    latency_ms: float
    over: bool
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client has left; nothing more is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of ours has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How a probe ended."""

    server: int
    status: Status
    latency_ms: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Words of another agent."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StageNews:
    """Where the newest build stands; `answers_vote` marks the reply to a vote of ours.

    An infinite age marks what was kept over a restart.
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
    """What the platform counted for one build and class over a period."""

    build: int
    cls: int
    attempts: int
    failures: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Complaint:
    """A client has found an answer wrong that we passed on."""

    cls: int
    server: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Restored:
    """What was kept over a restart: attempts as (build, class, when sent), keys as (key, build that answered).

    Key 0 stands for every key.
    """

    attempts: tuple[tuple[int, int, float], ...]
    answered: tuple[tuple[int, int], ...]


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
)


# --- actions ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt, given up at `until_ms` on the clock."""

    request: int
    server: int
    until_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no, and trying again does no harm."""

    request: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise on its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server how it is."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Wake us after a delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a message to one agent, or to all others with `to` None."""

    to: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CastVote:
    """Vote on a build."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole server list."""


@dataclass(frozen=True, slots=True)
class Watch:
    """Follow changes of the server list, or stop."""

    on: bool


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send | Refuse | Fail | Cancel | Probe | CloseIdle | SetTimer | TellPeers | CastVote | FetchList | Watch | Log
)
