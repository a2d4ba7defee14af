"""All orders of a few events on a tiny fleet: the decision module behind the real registries of list and desk.

Each set of events is played in every order, depth first from copies of the state. After each event the checker of
`rule_checker` judges every action; at the end time runs out and every request must have had one final answer. What
an event does depends on the state: "answer" ends the oldest open attempt, if there is one.
"""

from __future__ import annotations

import asyncio
import itertools
import pickle
from collections import Counter

import msgspec
import pytest
from blake3 import blake3
from helpers import settings
from rig import Rig, kind, service
from rule_checker import RULES, RuleChecker, RuleViolation
from test_auditor import AllAreSafe, NeverCold, NeverDrains, NoCap, NoFinalAnswers

from otterquay import interface as it
from otterquay.agent.feeds import DeskRecord, FleetRegistry
from otterquay.lab.disk import FaultDisk
from otterquay.lab.simloop import simulate
from otterquay.policy import agent as policy
from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest, write_response
from otterquay.standins.http import Peer

ZONES = ("north", "south")
CONFIG = settings(rollout={"one_way": True, "free": 1.0, "stage_cap": (0.2, 1.0)}, limits={"max_attempts": 3})
GUARDED = settings(rollout={"guarded_stages": 1, "per_class": True, "free": 1.0, "stage_cap": (0.5, 1.0)})
COPIES = settings(limits={"second_copies": True})
BEGIN = 1e6


class Agent:
    """One agent with its registries of list and desk, its rule checker and its open attempts."""

    def __init__(self, config: it.Settings, make: type[policy.Agent], seed: int, now: float) -> None:
        self.config, self.make_agent, self.seed = config, make, seed
        self.checker, self.desk_number, self.version, self.last_request = RuleChecker(config), 0, 0, 0
        self.entries: dict[int, news.Entry] = {}
        self.start(now)

    def start(self, now: float) -> None:
        self.agent = self.make_agent(self.config, self.seed)
        self.fleet, self.desk = (
            FleetRegistry(ZONES),
            DeskRecord(["read", "join", "buy"], len(self.config.rollout.stage_cap)),
        )
        self.open_attempts: list[
            tuple[int, int, int, float, float]
        ] = []  # request, attempt, server, sent at, until
        self.deliver(now, it.Started())

    def deliver(self, now: float, event: it.Event | None) -> None:
        if event is None:  # repeated news
            return
        self.checker.event(now, event)
        for action in self.agent.handle(now, event):
            self.checker.action(now, action)
            if isinstance(action, it.Send):
                attempt = len(self.checker.requests[action.request].attempts) - 1
                until = min(action.until_ms, self.checker.requests[action.request].deadline)
                self.open_attempts.append((action.request, attempt, action.server, now, until))

    def end(self, now: float, at: int, status: it.Status) -> None:
        request, attempt, server, sent, _ = self.open_attempts.pop(at)
        over = bool(self.checker.requests[request].final_answers) or status is it.Status.OK
        self.deliver(now, it.Outcome(request, server, attempt, status, max(now - sent, 1.0), over, ()))

    def update_list(
        self, now: float, *changed: news.Entry, base: int | None = -1, version: int | None = None
    ) -> None:
        """Send changes of the list, or with no base the whole list; an earlier version is ignored."""
        old_version, new_version = self.version, self.version + 1 if version is None else version
        if version is None:
            self.version = new_version
            self.entries.update({e.server: e for e in changed})
        entries = list(self.entries.values()) if base is None else list(changed)
        event = news.FleetNews(new_version, entries, old_version if base == -1 else base)
        self.deliver(now, self.fleet.apply_event(f"l:{new_version}", event, now))

    def update_stage(self, now: float, build: int, stage: int, phase: str, cap: float) -> None:
        self.desk_number += 1
        event = news.Stage(build, stage, phase, cap, 0.0)  # type: ignore[arg-type]
        self.deliver(now, self.desk.apply_event(f"d:{self.desk_number}", "stage", msgspec.json.encode(event), now))


class Play:
    """One or two agents on one clock, with a method for each event that a set may name."""

    def __init__(self, make: type[policy.Agent], agents: int = 1, config: it.Settings = CONFIG) -> None:
        self.now, self.agents = BEGIN, [Agent(config, make, seed, BEGIN) for seed in range(agents)]
        begin = [self.entry(1, 1, "north"), self.entry(2, 1, "south"), self.entry(3, 1, "north")]
        for one in self.agents:
            one.update_list(self.now, *begin, base=None)
            one.update_stage(self.now, 1, 0, "released", 1.0)

    def entry(
        self,
        server: int,
        build: int,
        zone: str,
        state: str = "ready",
        incarnation: int = 0,
        age: float | None = None,
    ) -> news.Entry:
        address = f"127.0.0.1:{9000 + server}"
        return news.Entry(server, zone, state, build, address, 10 * server + incarnation, age_ms=age)  # type: ignore[arg-type]

    def play(self, name: str) -> None:
        for one in self.agents:
            getattr(self, name)(one)
        for one in self.agents:
            one.checker.check_deadlines(self.now)

    # --- clients ---
    def _ask(self, one: Agent, cls: int, key: int = 0, budget: float = 1500.0) -> None:
        one.last_request += 1
        one.deliver(self.now, it.Request(one.last_request, cls, 0, key, budget, 0.0, False, False, cls > 0))

    def safe(self, one: Agent) -> None:
        self._ask(one, 0)

    def safes(self, one: Agent) -> None:
        for _ in range(5):
            self._ask(one, 0)

    def keyed(self, one: Agent) -> None:
        self._ask(one, 1, 7)

    def unsafe(self, one: Agent) -> None:
        self._ask(one, 2, 8)

    def client_gone(self, one: Agent) -> None:
        owed = [r for r, record in one.checker.requests.items() if not record.final_answers]
        if owed:
            one.deliver(self.now, it.Abandoned(owed[0]))

    # --- servers ---
    def _end(self, one: Agent, status: it.Status, at: int = 0) -> None:
        if one.open_attempts:
            one.end(self.now, at, status)

    def answer(self, one: Agent) -> None:
        self._end(one, it.Status.OK)

    def late_answer(self, one: Agent) -> None:  # the newest open attempt first
        self._end(one, it.Status.OK, -1)

    def error(self, one: Agent) -> None:
        self._end(one, it.Status.ERROR)

    def refused(self, one: Agent) -> None:
        self._end(one, it.Status.CONNECT_FAILED)

    def full(self, one: Agent) -> None:
        self._end(one, it.Status.FULL)

    # --- the list ---
    def drain(self, one: Agent) -> None:
        one.update_list(self.now, self.entry(1, 1, "north", "draining"))

    def gone(self, one: Agent) -> None:
        one.update_list(self.now, self.entry(1, 1, "north", "gone"))

    def missing(self, one: Agent) -> None:
        one.entries.pop(1, None)
        one.update_list(self.now, base=None)

    def replaced(self, one: Agent) -> None:  # by a cold server of the next build
        one.update_list(self.now, self.entry(1, 2, "south", incarnation=1, age=50.0))

    def restarted(self, one: Agent) -> None:  # the same build, without an age
        one.update_list(self.now, self.entry(2, 1, "south", incarnation=1))

    def stale(self, one: Agent) -> None:  # an old list that comes late: server 1 as it was at first
        one.update_list(self.now, self.entry(1, 1, "north"), base=0, version=1)

    def trial(self, one: Agent) -> None:
        one.update_list(self.now, self.entry(9, 2, "north", age=5000.0))

    # --- the desk ---
    def offered(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 0, "trial", 0.2)

    def raised(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 1, "trial", 1.0)

    def lowered(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 0, "trial", 0.05)

    def back(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 0, "going_back", 0.0)

    def withdrawn(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 0, "withdrawn", 0.0)

    def released(self, one: Agent) -> None:
        one.update_stage(self.now, 2, 1, "released", 1.0)

    # --- time; attempts time out meanwhile ---
    def _pass(self, one: Agent, end: float) -> None:
        while due := [(until, at) for at, (*_, until) in enumerate(one.open_attempts) if until <= end]:
            until, at = min(due)
            one.end(max(until, self.now), at, it.Status.TIMEOUT)
        one.deliver(end, it.TimerFired(0))

    def bin(self, one: Agent) -> None:
        end = BEGIN + (self.now - BEGIN) + 500.0
        self._pass(one, end)
        self.now = end if one is self.agents[-1] else self.now

    def long(self, one: Agent) -> None:  # past every deadline, repeat window and exposure window
        end = self.now + 4100.0
        self._pass(one, end)
        self.now = end if one is self.agents[-1] else self.now

    # --- the agent itself ---
    def killed(self, one: Agent, kept: bool = False) -> None:
        """Restart the agent; what its store kept is taken from the rule checker, which then goes on as it is."""
        checker = one.checker
        for record in checker.requests.values():
            record.final_answers = record.final_answers or 1  # its clients see the connection close
        if not kept:
            one.checker = RuleChecker(one.config)
        one.start(self.now)
        if kept:
            newest = checker.stages[-1][1]
            one.agent.handle(
                self.now,
                it.StageNews(max(newest - 1, 0), 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, float("inf")),
            )
            tried = tuple((build, cls, at) for at, build, cls in checker.trial_sends)
            one.deliver(self.now, it.Restored(tried, tuple(checker.key_builds.items())))
        one.update_list(self.now, base=None)
        if checker.stages[-1][1]:
            _, build, stage, phase, cap = checker.stages[-1]
            one.update_stage(self.now, build, stage, phase.name.lower(), cap)

    def killed_with_store(self, one: Agent) -> None:
        self.killed(one, kept=True)

    def finish(self) -> None:
        for _ in range(2):
            self.play("long")
        for one in self.agents:
            owed = [r for r, record in one.checker.requests.items() if record.final_answers != 1]
            if owed or one.open_attempts or one.agent.pending_requests or one.agent.in_flight:
                raise RuleViolation("answered", f"requests {owed} without exactly one final answer")


def orders(names: Counter[str]) -> int:
    """Number of different orders of a set."""
    total, count = sum(names.values()), 1
    for n in range(2, total + 1):
        count *= n
    for times in names.values():
        for n in range(2, times + 1):
            count //= n
    return count


def search(
    names: list[str], make: type[policy.Agent] = policy.Agent, agents: int = 1, config: it.Settings = CONFIG
) -> tuple[int, int]:
    """Play every order and return the numbers of orders and of different states; a `RuleViolation` names its order.

    Two orders that lead to the same state, bit by bit, with the same events left are continued only once.
    """
    order_counts: dict[tuple[bytes, frozenset[tuple[str, int]]], int] = {}

    def play_on(saved: bytes, remaining: Counter[str], path: tuple[str, ...]) -> int:
        state_key = blake3(saved).digest(), frozenset(remaining.items())
        if state_key not in order_counts:
            order_counts[state_key] = 0
            for name in sorted(remaining):
                play: Play = pickle.loads(saved)
                try:
                    play.play(name)
                    rest = remaining - Counter([name])
                    if rest:
                        order_counts[state_key] += play_on(pickle.dumps(play, -1), rest, (*path, name))
                    else:
                        order_counts[state_key] += 1
                        play.finish()
                except RuleViolation as violation:
                    if not hasattr(violation, "__notes__"):
                        violation.add_note("after " + ", ".join((*path, name)))
                    raise
        return order_counts[state_key]

    return play_on(pickle.dumps(Play(make, agents, config), -1), Counter(names), ()), len(order_counts)


SETS: dict[str, tuple[list[str], int]] = {
    "a request's life": (["unsafe", "keyed", "safe", "refused", "error", "answer", "client_gone"], 1),
    "time runs out": (["unsafe", "keyed", "safe", "full", "long", "late_answer", "bin"], 1),
    "a server leaves": (["keyed", "safe", "drain", "drain", "gone", "error", "stale", "answer"], 1),
    "replaced under its name": (["keyed", "unsafe", "replaced", "offered", "late_answer", "refused", "safe"], 1),
    "replaced by a list": (["safes", "missing", "restarted", "error", "late_answer", "bin", "drain"], 1),
    "cold": (["safes", "safes", "restarted", "answer", "bin", "bin", "safes"], 1),
    "a cap up and down": (["trial", "offered", "raised", "lowered", "safes", "safes", "keyed"], 1),
    "a build goes back": (["trial", "raised", "keyed", "answer", "back", "withdrawn", "keyed", "safes"], 1),
    "released": (["trial", "offered", "keyed", "answer", "released", "long", "keyed"], 1),
    "killed": (["trial", "raised", "keyed", "answer", "killed", "safes", "released"], 1),
    "killed, with its store": (["trial", "raised", "keyed", "answer", "killed_with_store", "keyed", "safes"], 1),
    "two agents": (["trial", "offered", "safes", "error", "drain", "bin"], 2),
    "guarded, by class": (["trial", "offered", "raised", "lowered", "safes", "keyed", "unsafe"], 1),
    "second copies allowed": (["unsafe", "keyed", "safe", "error", "refused", "late_answer", "long"], 1),
}
OTHERWISE = {"guarded, by class": GUARDED, "second copies allowed": COPIES}


@pytest.mark.parametrize("name", SETS)
def test_no_order_of_a_few_events_breaks_a_rule(name: str) -> None:
    names, agents = SETS[name]
    seen, states = search(names, agents=agents, config=OTHERWISE.get(name, CONFIG))
    print(f"{name}: {seen} orders, {states} states")
    assert seen == orders(Counter(names)) and states > 100


GUARDS: dict[str, tuple[type[policy.Agent], str]] = {
    "answered": (NoFinalAnswers, "time runs out"),
    "effects": (AllAreSafe, "a request's life"),
    "drains": (NeverDrains, "a server leaves"),
    "cold": (NeverCold, "cold"),
    "exposure": (NoCap, "a cap up and down"),
}


@pytest.mark.parametrize("rule", RULES)
def test_with_its_guard_out_an_order_is_found_that_breaks_the_rule(rule: str) -> None:
    make, name = GUARDS[rule]
    with pytest.raises(RuleViolation) as found:
        search(*SETS[name][:1], make=make)
    assert found.value.rule == rule


# --- a smaller set through the running agent, in simulated time ---
WHOLE = ("safe", "unsafe", "error", "drain", "offer")
GRACE_S = 1.0


async def played(order: tuple[str, ...], gap_s: float, decider: type[policy.Agent] = policy.Agent) -> list[str]:
    """Return what is wrong with the traffic of one order; `error` fails all requests that servers hold."""
    blocks = {"rules": {"drain_grace": "1s"}, "rollout": {"free": 1}}
    faults, ends, held = list[str](), list[asyncio.Task[str]](), list[tuple[Peer, HttpRequest]]()
    loop, drained, capped = asyncio.get_running_loop(), float("inf"), float("inf")
    arrived: list[tuple[float, int, bytes]] = []
    async with Rig(servers=3, config=service(**blocks), disk=FaultDisk(), decider=decider) as rig:

        def hold(server: int) -> None:
            def behave(peer: Peer, request: HttpRequest) -> None:
                arrived.append((loop.time(), server, request.headers[b"x-request-id"]))
                held.append((peer, request))

            rig.servers[server - 1].behave = behave

        async def ask(cls: str) -> str:
            try:
                reader, writer = await rig.connect()
            except OSError:  # the agent is restarting
                return "closed"
            writer.write(rig.ask(cls, 1500, x_request_id=f"{cls}-{len(ends)}"))
            found = await rig.answers(reader, 2)  # no second answer comes: the read ends with the connection
            if len(found) > 1:
                faults.append(f"{len(found)} answers to {cls}")
            return kind(found[0]) if found else "closed"

        async def fail_held() -> None:
            for peer, request in held[:]:
                held.remove((peer, request))
                peer.send(write_response(500, [], b""))

        for server in (1, 2, 3):
            hold(server)
        for name in order:
            match name:
                case "safe" | "unsafe":
                    ends.append(loop.create_task(ask({"safe": "lobby-read", "unsafe": "race-entry"}[name])))
                case "error":
                    await fail_held()
                case "drain":
                    rig.change(msgspec.structs.replace(rig.entries[1], state="draining"))
                    drained = loop.time()
                case "offer":
                    rig.change(msgspec.structs.replace(rig.entries[3], build=2, incarnation=33))
                    rig.stage(2, "trial", 0.0)
                    capped = loop.time()
                case "restart":
                    rig.runtime.close()
                    await rig.start_agent(rig.list.listener.address, rig.desk.listener.address)
            await asyncio.sleep(gap_s)
        for _ in range(8):  # retries fail, too, until time runs out
            await fail_held()
            await asyncio.sleep(0.5)
        if rig.runtime.open_requests:
            faults.append(f"held at the end: {list(rig.runtime.open_requests)}")
        for writer in rig.writers:
            writer.close()
        await asyncio.gather(*ends)
        for end in ends:
            if end.result() == "none" or (end.result() == "closed" and "restart" not in order):
                faults.append(f"a client received {end.result()}")
    for id, times in Counter(id for _, _, id in arrived).items():
        if id.startswith(b"race") and times > 1:
            faults.append(f"{id.decode()} reached servers {times} times")
    faults += [
        f"server 1 received {id.decode()} after its drain"
        for at, server, id in arrived
        if server == 1 and at > drained + GRACE_S + 0.1
    ]
    faults += [
        f"server 3 received {id.decode()} at cap 0"
        for at, server, id in arrived
        if server == 3 and at > capped + GRACE_S + 0.1
    ]
    return faults


@pytest.mark.parametrize("gap_s", [0.0, 0.3])
def test_no_order_through_the_running_agent_breaks_a_rule(gap_s: float) -> None:
    count = 0
    for order in [*itertools.permutations(WHOLE), *itertools.permutations(("unsafe", "safe", "restart", "offer"))]:
        assert simulate(played(order, gap_s), 1)[0] == [], order
        count += 1
    print(f"{count} orders through the running agent, {gap_s} s apart")
    assert count == 120 + 24


@pytest.mark.parametrize("make", [AllAreSafe, NoFinalAnswers])
def test_with_a_guard_out_the_traffic_of_some_order_shows_it(make: type[policy.Agent]) -> None:
    assert any(simulate(played(order, 0.3, make), 1)[0] for order in itertools.permutations(WHOLE))
