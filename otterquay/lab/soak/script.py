"""Draws the script of a soak day from its seed: the customer, the processes and what happens when."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from otterquay.lab.soak.settings import Customer, draw_customer

LAST_SEED = 2**32 - 1
Signal = Literal["TERM", "HUP", "STOP", "CONT"]
ConfigKind = Literal["same", "moved", "half", "empty", "foreign", "missing"]
Mode = Literal["good", "hang", "close", "reset", "late", "twice", "spoilt", "busy", "error", "mixed", "fails_late"]
ClientKind = Literal["steady", "waiting", "leaver", "stops_midway", "does_not_read", "breaks_protocol"]

QUIET_START_S = 0.4  # before the first event
EVENTS_S = 2.0  # in which events begin
QUIET_END_S = 0.6  # after the last one, before the planned end of all
RESTING_KEEPALIVE_MS = 300.0  # longest keep-alive time of a day at whose end the agents rest
WAITING_CLIENTS = (0, 4, 20)  # of each agent; 4 at most on days with a crowd
HANG_AT_END_CHANCE = 0.5
HANG_AT_END_SHARE = 0.65  # of the appliances, on such a day
PLANNED_END_DRAWS = 0x0E4D  # keeps what else a seed draws as it is
MAX_HELD_UP_S = 0.1  # a STOP around SIGTERM; the protocol page allows for 0.15 s
CROWDS = ((30, 16), (60, 3), (100, 1))  # clients, and requests of each
TERM_SERIES: tuple[tuple[Signal, ...], ...] = (
    ("TERM",),
    ("TERM", "TERM"),
    ("HUP", "TERM"),
    ("TERM", "HUP"),
    ("HUP", "HUP", "TERM", "HUP"),
    ("STOP", "TERM", "CONT"),
    ("TERM", "STOP", "CONT"),
)


@dataclass(frozen=True, slots=True)
class Step:
    """One signal of a series, `after_s` after the one before it."""

    after_s: float
    signal: Signal


@dataclass(frozen=True, slots=True)
class Restart:
    """A planned restart: a series of signals with a SIGTERM, SIGKILL at its earliest moment, then a new process."""

    at: float
    agent: int
    series: tuple[Step, ...]
    gap_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """An agent is killed without notice and started again after `gap_s`."""

    at: float
    agent: int
    gap_s: float


@dataclass(frozen=True, slots=True)
class Reload:
    """New configurations in a row, each written and followed by SIGHUP, `apart_s` apart."""

    at: float
    agent: int
    configs: tuple[ConfigKind, ...]
    apart_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """A process is stopped (SIGSTOP) for `seconds`."""

    at: float
    agent: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Behaviour:
    """An appliance behaves like this for `seconds`."""

    at: float
    appliance: int
    mode: Mode
    seconds: float


@dataclass(frozen=True, slots=True)
class Standstill:
    """An appliance reads and writes nothing for `seconds`; its kernel takes a few bytes of a connection."""

    at: float
    appliance: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Drain:
    """Discovery tells that an appliance drains; `seconds` later it is in service, at this build, perhaps cold."""

    at: float
    appliance: int
    seconds: float
    build: int
    cold: bool


@dataclass(frozen=True, slots=True)
class Cut:
    """The link to an appliance carries nothing for `seconds`."""

    at: float
    appliance: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Stage:
    """The platform tells a state of build 2."""

    at: float
    phase: Literal["testing", "recalling", "live", "recalled"]
    stage: int
    cap: float


@dataclass(frozen=True, slots=True)
class DiscoveryTrouble:
    """Discovery is silent, slow (answers are `delay_s` late) or its connections break, for all agents."""

    at: float
    kind: Literal["silent", "slow", "broken"]
    seconds: float
    delay_s: float


@dataclass(frozen=True, slots=True)
class LongList:
    """Discovery lists this many further servers, all draining."""

    at: float
    servers: int


@dataclass(frozen=True, slots=True)
class Crowd:
    """So many clients connect to an agent at one time and ask `each` requests."""

    at: float
    agent: int
    clients: int
    each: int


Event = (
    Restart
    | Kill
    | Reload
    | Pause
    | Behaviour
    | Standstill
    | Drain
    | Cut
    | Stage
    | DiscoveryTrouble
    | LongList
    | Crowd
)


@dataclass(frozen=True, slots=True)
class Script:
    """A soak day. Times are seconds from the moment at which all agents were first ready."""

    seed: int
    customer: Customer
    agents: int
    appliances: int
    relayed: tuple[int, ...]  # appliances that agents reach over a link that can be cut
    clients: tuple[ClientKind, ...]  # of each agent
    events: tuple[Event, ...]
    ends_at: float
    rests: bool  # whether clients leave before the end, so that what the agents still hold can be counted
    end_series: tuple[Step, ...]
    hang_at_end: tuple[int, ...]  # appliances that hang through the planned end of all
    body_bytes: int = 0  # the least size of a request's body

    def lines(self) -> list[str]:
        """The script in words, one line an event."""
        limits = self.customer.settings["limits"]
        classes = ", ".join(f"{c['name']} {c['effect']} {c['deadlineMs']:g} ms" for c in self.customer.classes)
        head = [
            f"seed {self.seed}: {self.agents} agents, {self.appliances} appliances (over links: "
            f"{list(self.relayed)}), clients of each agent: {', '.join(self.clients)}",
            f"classes: {classes}; {self.customer.sockets} descriptors, limits {limits}",
        ]
        rest = "clients leave, agents rest, " if self.rests else ""
        hang = f"appliances {list(self.hang_at_end)} hang, " if self.hang_at_end else ""
        end = f"{self.ends_at:.3f} s: {rest}{hang}all agents end, {_series_words(self.end_series)}"
        return [*head, *(f"{event.at:.3f} s: {_event_words(event)}" for event in self.events), end]


def _series_words(series: tuple[Step, ...]) -> str:
    return " ".join(f"+{step.after_s * 1e3:g}ms {step.signal}" for step in series)


def _event_words(event: Event) -> str:
    if isinstance(event, Restart):
        return f"Restart(agent={event.agent}, {_series_words(event.series)}, gap_s={event.gap_s:.3f})"
    fields = ", ".join(
        f"{name}={value:.3f}" if isinstance(value, float) else f"{name}={value}"
        for name in event.__dataclass_fields__
        if name != "at"
        for value in [getattr(event, name)]
    )
    return f"{type(event).__name__}({fields})"


def draw_script(seed: int) -> Script:
    """Draw the day of a seed; the same seed gives the same script."""
    rng = random.Random(seed)
    crowd = rng.random() < 0.3
    customer = draw_customer(rng, crowd)
    agents, appliances = rng.randint(2, 6), rng.choice((1, 2, 3, 5, 8, 12))
    relayed = tuple(sorted(rng.sample(range(appliances), appliances // 3)))
    clients: list[ClientKind] = ["steady"] * rng.randint(2, 4)
    others: tuple[ClientKind, ...] = ("leaver", "stops_midway", "does_not_read", "breaks_protocol")
    clients += [kind for kind in others if rng.random() < 0.35]
    end_rng = random.Random(seed ^ PLANNED_END_DRAWS)
    clients += ["waiting"] * end_rng.choice(WAITING_CLIENTS[: 2 if crowd else None])
    draw = EventDrawer(rng, agents, appliances, relayed)
    events = draw.events(crowd)
    ends_at = QUIET_START_S + EVENTS_S + QUIET_END_S
    rests = customer.settings["limits"]["keepaliveMs"] <= RESTING_KEEPALIVE_MS and rng.random() < 0.7
    return Script(
        seed,
        customer,
        agents,
        appliances,
        relayed,
        tuple(clients),
        events,
        ends_at,
        rests,
        draw.term_series(),
        _draw_hanging(end_rng, appliances),
    )


def _draw_hanging(rng: random.Random, appliances: int) -> tuple[int, ...]:
    """Draw the appliances that hang through the planned end of all: none, or most of them."""
    if rng.random() >= HANG_AT_END_CHANCE:
        return ()
    return tuple(sorted(rng.sample(range(appliances), math.ceil(appliances * HANG_AT_END_SHARE))))


class EventDrawer:
    """Draws events at any time within the day's middle; those of the processes come in each day."""

    def __init__(self, rng: random.Random, agents: int, appliances: int, relayed: tuple[int, ...]) -> None:
        self._rng, self._agents, self._appliances, self._relayed = rng, agents, appliances, relayed

    def events(self, crowd: bool) -> tuple[Event, ...]:
        """Return all events of the day in the order of their times."""
        rng = self._rng
        drawn = self.restarts()
        choices: list[Callable[[], Event]] = [
            self._reload,
            self._pause,
            self._behaviour,
            self._behaviour,
            self._drain,
            self._stage,
            self._trouble,
        ]
        drawn += [rng.choice(choices)() for _ in range(rng.randint(5, 14))]
        drawn += [Cut(self._time(), place, rng.uniform(0.2, 1.5)) for place in self._relayed]
        if rng.random() < 0.2:
            drawn.append(LongList(self._time(), rng.choice((300, 1500))))
        if crowd:
            drawn += [self.crowd() for _ in range(rng.randint(1, 3))]
        return tuple(sorted(drawn, key=lambda event: event.at))

    def term_series(self) -> tuple[Step, ...]:
        """Return a drawn series of signals with at least one SIGTERM."""
        rng, steps = self._rng, list[Step]()
        for signal in rng.choice(TERM_SERIES):
            after_s = rng.choice((0.0, 0.0005, rng.uniform(0.0, MAX_HELD_UP_S)))
            steps.append(Step(after_s if steps else 0.0, signal))
        return tuple(steps)

    def _time(self) -> float:
        return QUIET_START_S + self._rng.uniform(0.0, EVENTS_S)

    def _agent(self) -> int:
        return self._rng.randrange(self._agents)

    def restarts(self) -> list[Event]:
        """All agents in turn, or some at drawn times, planned or killed."""
        rng = self._rng
        if rng.random() < 0.3:
            first, apart_s = self._time(), rng.uniform(0.05, 0.4)
            return [
                Restart(first + agent * apart_s, agent, self.term_series(), rng.uniform(0.0, 0.3))
                for agent in range(self._agents)
            ]
        events: list[Event] = []
        for agent in rng.sample(range(self._agents), rng.randint(1, self._agents)):
            if rng.random() < 0.7:
                events.append(Restart(self._time(), agent, self.term_series(), rng.uniform(0.0, 0.3)))
            else:
                events.append(Kill(self._time(), agent, rng.uniform(0.0, 0.3)))
        return events

    def _reload(self) -> Reload:
        kinds: tuple[ConfigKind, ...] = ("same", "moved", "moved", "half", "empty", "foreign", "missing")
        configs = tuple(self._rng.choice(kinds) for _ in range(self._rng.randint(1, 5)))
        return Reload(self._time(), self._agent(), configs, self._rng.choice((0.0005, 0.02, 0.2)))

    def _pause(self) -> Pause:
        return Pause(self._time(), self._agent(), self._rng.choice((0.05, 0.15, 0.8)))

    def _behaviour(self) -> Behaviour:
        modes: tuple[Mode, ...] = (
            "hang",
            "close",
            "reset",
            "late",
            "twice",
            "spoilt",
            "busy",
            "error",
            "mixed",
        )
        seconds = self._rng.choice((0.2, 1.0, 60.0))  # the last outlasts the shutdown
        return Behaviour(self._time(), self._rng.randrange(self._appliances), self._rng.choice(modes), seconds)

    def _drain(self) -> Drain:
        rng = self._rng
        seconds, build, cold = rng.uniform(0.1, 1.5), rng.choice((1, 1, 2)), rng.random() < 0.3
        return Drain(self._time(), rng.randrange(self._appliances), seconds, build, cold)

    def _stage(self) -> Stage:
        rng = self._rng
        states: tuple[Stage, ...] = (
            Stage(self._time(), "testing", 0, 0.25),
            Stage(self._time(), "testing", 1, 1.0),
            Stage(self._time(), "recalling", 0, rng.choice((0.0, 0.25))),
            Stage(self._time(), "live", 1, 1.0),
        )
        return rng.choice(states)

    def _trouble(self) -> DiscoveryTrouble:
        rng = self._rng
        kinds: tuple[Literal["silent", "slow", "broken"], ...] = ("silent", "slow", "broken")
        return DiscoveryTrouble(self._time(), rng.choice(kinds), rng.uniform(0.2, 2.0), rng.uniform(0.05, 0.8))

    def crowd(self) -> Crowd:
        """Return a crowd at one of the agents."""
        rng = self._rng
        clients, each = rng.choice(CROWDS)
        return Crowd(self._time(), self._agent(), clients, each)
