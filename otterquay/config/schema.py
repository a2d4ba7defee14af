"""Pydantic models of the blocks of an agent's settings file. Times are in milliseconds once parsed."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from otterquay.config.blocks import LABELLED, REPEATED, Block
from otterquay.config.fleet import Capacity, Group, Machine
from otterquay.config.units import Address, Count, Duration, Positive, Share, Size


class RequestClass(Block):
    """A class of requests: the effect of repeating one, its time limits and its worth."""

    effect: Literal["safe", "keyed", "unsafe"]
    scope: Literal["all", "zone", "cell"] = "all"
    repeat_window: Duration = 0.0
    aim: Duration
    aim_stretch: float = Field(default=0.0, ge=0)
    deadline: Duration
    worth: float = Field(default=1.0, gt=0)
    late_worth: Share = 0.0

    @model_validator(mode="after")
    def _check_consistency(self) -> RequestClass:
        if not 0 < self.aim <= self.deadline:
            raise ValueError("aim must be over 0 and at most the deadline")
        if self.effect == "keyed" and self.repeat_window <= 0:
            raise ValueError('effect "keyed" needs repeat_window: for how long servers drop repeats')
        if self.effect != "keyed" and self.repeat_window > 0:
            raise ValueError(f'repeat_window is for effect "keyed" only, not "{self.effect}"')
        return self


class Tenant(Block):
    """A tenant: its quota of requests and its share of the service."""

    quota_per_s: float = Field(gt=0)
    share: Share


class Limits(Block):
    """Limits and optional features that the deployment permits."""

    cancel: bool = True
    peers: bool = False
    probes: bool = True
    retry_after: bool = True
    second_copies: bool = False
    max_attempts: Positive = 3
    max_open: Positive = 20000
    max_retry_after: Duration = 1000.0
    keepalive: Duration = 15000.0
    connect_timeout: Duration = 250.0


class Rules(Block):
    """Parameters of the five rules that every agent keeps."""

    answer_slack: Duration = 20.0
    ask_within: Duration = 10000.0
    cold: Duration
    start_capacity: Share
    drain_grace: Duration
    fall_multiple: float = Field(gt=0)
    fall: Duration


class Stage(Block):
    """One stage of a rollout: its share of the fleet, and the cap on the share of an agent's attempts."""

    share: Share
    cap: Share


class Rollout(Block):
    """Stages of a rollout, the votes that move it on or back, and the prices of old builds and of harm."""

    control: Literal["any", "share", "timer"] = "any"
    replacement: Literal["beside", "in_place"] = "beside"
    on_votes: Count = 1
    back_votes: Positive = 1
    hold_votes: Count = 0
    bake: Duration
    step: Duration = 0.0
    push: Duration = 5000.0
    call_timeout: Duration = 1000.0
    calls_per_s: float = Field(default=100.0, gt=0)
    vote_life: Duration
    stage: Annotated[list[Stage], REPEATED] = Field(min_length=1)
    window: Duration
    free: float = Field(ge=0)
    per_class: bool = False
    guarded_stages: Count = 0
    one_way: bool = False
    tally: Duration = 0.0
    tally_sample: Share = 0.0
    flag_share: Share = 0.0
    behind_price: float = Field(default=0.5, ge=0)
    harm_price: float = Field(default=4.0, ge=0)

    @model_validator(mode="after")
    def _check_consistency(self) -> Rollout:
        if (self.control == "timer") != (self.on_votes == 0):
            raise ValueError('on_votes is 0 under control "timer" and at least 1 otherwise')
        if self.hold_votes and self.control != "timer":
            raise ValueError('hold_votes is for control "timer" only')
        if self.guarded_stages > len(self.stage):
            raise ValueError(f"guarded_stages is {self.guarded_stages}, but there are {len(self.stage)} stages")
        return self


class FrontLimits(Block):
    """Limits on what clients may send; the agent itself answers a request that exceeds them."""

    max_connections: Positive = 4096
    max_head: Size = 16384
    max_body: Size = 1048576
    max_pipelined: Positive = 16
    max_input: Size = 67108864  # of memory, for the input of all connections
    head_timeout: Duration = 10000.0
    idle_timeout: Duration = 60000.0
    write_timeout: Duration = 5000.0


class BackLimits(Block):
    """Limits on the answers of appliances."""

    max_head: Size = 16384
    max_answer: Size = 4194304


class Feeds(Block):
    """URLs of the fleet list and the release desk.

    The delay before a reconnect is random between reconnect_least and reconnect_most. A stream that brings no byte
    for `silence` is reconnected.
    """

    fleet: str = Field(pattern=r"^http://[^/]+:\d+(/.*)?$")
    desk: str = Field(pattern=r"^http://[^/]+:\d+(/.*)?$")
    reconnect_least: Duration = 50.0
    reconnect_most: Duration = 2000.0
    silence: Duration = 15000.0
    max_event: Size = 4194304

    @model_validator(mode="after")
    def _check_consistency(self) -> Feeds:
        if not 0 < self.reconnect_least <= self.reconnect_most:
            raise ValueError("reconnect_least must be over 0 and at most reconnect_most")
        return self


class Peers(Block):
    """Datagrams between agents: the file with the shared key of 64 hex digits, and the address of each agent."""

    key_file: str
    address: dict[str, Address] = Field(min_length=1)


class ChatCommand(Block):
    """A chat command: its class of requests, its target and the arguments and options that it accepts."""

    class_: str = Field(alias="class")
    target: str = Field(default="/", pattern=r"^/\S*$")
    least_words: Count = 0
    most_words: Count = 8
    options: list[str] = []

    @model_validator(mode="after")
    def _check_consistency(self) -> ChatCommand:
        if self.least_words > self.most_words:
            raise ValueError("least_words must be at most most_words")
        return self


class Chat(Block):
    """The chat gateway: its listener, commands and limits; rates are per second."""

    listen: Address
    key_file: str
    agents: dict[str, Address] = {}
    anonymous: bool = True
    command: Annotated[dict[str, ChatCommand], LABELLED] = Field(min_length=1)
    resume_within: Duration = 30000.0
    hello_within: Duration = 5000.0
    ping_every: Duration = 20000.0
    max_message: Size = 4096
    max_sessions: Positive = 20000
    max_open: Positive = 8
    max_kept: Positive = 64
    max_unsent: Size = 65536
    session_rate: float = Field(default=5.0, gt=0)
    session_burst: float = Field(default=10.0, ge=1)
    tenant_rate: float = Field(default=500.0, gt=0)
    tenant_burst: float = Field(default=1000.0, ge=1)
    per_address: Positive = 10000
    handshake_rate: float = Field(default=800.0, gt=0)
    handshake_burst: float = Field(default=50.0, ge=1)


class Agent(Block):
    """Identity of this agent in its group; the command line may override number, count, zone, listen and store.

    `store` is the folder where this agent keeps its state over a restart; without it no state is kept.
    """

    number: Count = 0
    count: Positive = 1
    zone: str
    listen: Address
    stop_within: Duration = 10000.0
    store: str = ""

    @model_validator(mode="after")
    def _check_consistency(self) -> Agent:
        if self.number >= self.count:
            raise ValueError(f"number is {self.number}, but must be under count, {self.count}")
        return self


class Service(Block):
    """The complete settings file of an agent."""

    zones: list[str] = Field(min_length=1)
    report_fields: list[Literal["inflight", "queue", "util", "latency_ms", "qps", "eps"]] = []
    reports_in: Literal["answers", "probes", "none"] = "none"
    discovery: Literal["push", "ask"] = "push"
    over_share_worth: Share = 1.0
    worth_by: Literal["request", "work"] = "request"
    clients_mark_retries: bool = False
    cross_zone_price: float = Field(default=0.0, ge=0)
    tick: Duration = 5.0
    agent: Agent
    class_: Annotated[dict[str, RequestClass], LABELLED] = Field(alias="class", min_length=1)
    tenant: Annotated[dict[str, Tenant], LABELLED] = {}
    limits: Limits = Limits()
    rules: Rules
    rollout: Rollout
    front: FrontLimits = FrontLimits()
    back: BackLimits = BackLimits()
    feeds: Feeds
    peers: Peers | None = None
    chat: Chat | None = None
    group: Group | None = None
    capacity: Capacity | None = None
    machine: Annotated[dict[str, Machine], LABELLED] = {}

    @model_validator(mode="after")
    def _check_consistency(self) -> Service:
        if len(set(self.zones)) != len(self.zones):
            raise ValueError("zones: a name occurs twice")
        if self.agent.zone not in self.zones:
            raise ValueError(f"agent.zone: {self.agent.zone!r} is none of zones {self.zones}")
        if self.tenant and sum(t.share for t in self.tenant.values()) > 1.0 + 1e-6:
            raise ValueError("tenant: the shares add up to over 100%")
        for name, command in (self.chat.command if self.chat else {}).items():
            if command.class_ not in self.class_:
                raise ValueError(f"chat.command.{name}.class: {command.class_!r} is none of {list(self.class_)}")
        if self.limits.peers and self.peers is None:
            raise ValueError("limits.peers is true, but there is no block peers")
        if self.limits.peers and self.peers:
            missing = [str(i) for i in range(self.agent.count) if str(i) not in self.peers.address]
            if missing:
                raise ValueError(f"peers.address has no entry for agent {', '.join(missing)}")
        if self.group:
            self.group.check_agent(self.zones, self.agent.number, self.agent.zone, self.agent.store)
            if self.capacity is None:
                raise ValueError(
                    "group: there is no block capacity: add one with the yard and the servers that may be ordered"
                )
            self.capacity.check_zones(self.zones)
        elif self.capacity:
            raise ValueError("capacity: goes with a block group: add one that names the agents that coordinate it")
        return self


__all__ = ["LABELLED", "REPEATED", "Block", "Capacity", "Group", "Machine", "Service"]
