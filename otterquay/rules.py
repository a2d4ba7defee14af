"""All decisions of otterquay: routing, request life, judging builds, voting, and the five rules.

The types, events and actions named here are in otterquay/interface.py. One Agent is one instance; it knows
what its settings and events tell it, does no I/O, and takes all chance from its own seed.
"""
import math
import random
import struct
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from statistics import fmean, median, pvariance, variance
from typing import Any

from otterquay import interface as it

# --- constants: DESIGN's defaults first, then ours, each with its reason ---
BIN_MS = 500.0  # DESIGN: one point of a series each half second
DEEP = 8  # DESIGN: a series holds eight bins
PAIRS_LEAST = 20  # DESIGN: earlier-build pairs that make a baseline
PAIRS_A_BIN = 4  # pairs drawn a bin and metric: twenty are there 2.5 s after the second busy server
BASELINE_BINS = 60  # DESIGN: thirty seconds of baseline
OUTCOMES_LEAST = 20  # DESIGN: trial outcomes before a vote
FRESH_MS = 2000.0  # DESIGN: servers listed more recently are left out of the scores
PASS_MEAN = 0.9  # DESIGN: mean score to go on
SETTLED_P = 0.05  # DESIGN: t-test level
ERROR_MARGIN = 0.025  # DESIGN says five points over the earlier build; half, as a late or loaded failure starts small
POINTS_LEAST = 4  # score points before halves can be compared
CLASS_LEAST = 6  # trial outcomes of each class before going on: a class failing a third shows 9 times in 10
CHANCE = 0.01  # error share over the earlier build's that is still laid to chance
SURE = 0.001  # a breaker needs evidence this unlikely by chance: one spike or one error is no verdict
LEVEL_LEAST = 20  # latencies behind a verdict on the level
LEVEL_BACK = math.log(1.8)  # slower than the earlier build by surely more than this: back
POOL_BINS = 40  # judged evidence reaches this far back
TICK_MS = 50.0  # how often held requests are tried again
FILL = 0.95  # part of the exposure window we fill; the rest is room for retries
FAIR = 1.15  # a trial server gets at most this multiple of an even share, else load looks like a bad build
COLD_PART = 0.85  # part of the cold budget used by all agents together at full load
HOLD_PART = 0.25  # a request that cannot be sent is held for this part of its aim, then refused
CROSS = 1.3  # a server across zones must be this much better
QUICK = 0.5  # an answer within this part of the aim lets a server's bound on open work grow; a late one shrinks it
OPEN_FIRST = 6.0  # own open work a server may hold before answers have told more
SHRINK, SHRINK_MS = 0.9, 100.0  # how much, and how often at most: one jam brings many late answers
LEAST_PART = 0.5  # part of the bound open to the least worth; the most worth may fill it
RETRY_PART, RETRY_MOST = 0.2, 10.0  # retries earned a first send, and how many may be saved: no retry storms
REFUSED_MS = 400.0  # come-back time given with refusals where clients hear it
DEAD_OK = 0.4  # health below which a server is left out while others can be had
HEAL = 0.04  # health regained a bin, so that a failing server is tried again within seconds
UNRUN = {it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT}  # outcomes that prove no run
MESSAGE = struct.Struct("<BHH")  # version, build, classes; then COUNTS for each class, LEVELS for both builds
COUNTS, LEVELS = struct.Struct("<HHHH"), struct.Struct("<6f")


# --- state ---
class Window:
    """How many things happened within the last `span` ms."""

    def __init__(self, span: float) -> None:
        self.span, self.times = span, deque[float]()

    def add(self, now: float) -> None:
        self.times.append(now)

    def count(self, now: float) -> int:
        while self.times and self.times[0] <= now - self.span:
            self.times.popleft()
        return len(self.times)


class Server:
    """A listed server: what the list says and what we have seen of it since its start."""

    def __init__(self, entry: it.ServerEntry, now: float, classes: int, fall_ms: float) -> None:
        self.id, self.entry, self.listed, self.ready = entry.server, entry, now, True
        self.open: dict[tuple[int, int], float] = {}
        self.ok, self.slow = 1.0, 1.0
        self.limit, self.shrunk = OPEN_FIRST, 0.0
        self.sent = Window(fall_ms)
        self.bin: list[list[float]] = [[] for _ in range(classes)]  # latencies of this bin; nan: an error
        self.errors: list[deque[float]] = [deque(maxlen=DEEP) for _ in range(classes)]
        self.latencies: list[deque[float]] = [deque(maxlen=DEEP) for _ in range(classes)]
        self.hits = deque([(0, 0)], maxlen=POOL_BINS)  # (outcomes, errors) a bin


class Attempt:
    """One attempt: where it went, when, and whether it may have run."""

    def __init__(self, server: Server, cls: int, now: float) -> None:
        self.cls, self.server, self.zone, self.cell = cls, server, server.entry.zone, server.entry.cell
        self.build, self.sent, self.live, self.unrun = server.entry.build, now, True, False
        self.cold = False


class Job:
    """A request we owe an answer."""

    def __init__(self, request: it.Request, now: float, aim: float) -> None:
        self.request, self.cls, self.arrived = request, request.cls, now
        self.until, self.aim_end = now + request.budget_ms, now + aim
        self.attempts: list[Attempt] = []


class Counts:
    """Evidence of one bin: per class trial and earlier outcomes and errors, log-latency sums of both."""

    def __init__(self, classes: int) -> None:
        self.seen = [[0.0] * 4 for _ in range(classes)]  # trial n, trial errors, earlier n, earlier errors
        self.level = [[0.0] * 3 for _ in range(2)]  # trial, earlier: n, sum, sum of squares

    def add(self, other: "Counts") -> None:
        for mine, its in zip(self.seen + self.level, other.seen + other.level, strict=True):
            for i, value in enumerate(its):
                mine[i] += value


# --- evidence and scoring: small pure functions ---
def scaled(series: Sequence[float]) -> list[float]:
    """Bring a series to 0..1; a flat one becomes zeros."""
    low, high = min(series), max(series)
    return [(x - low) / (high - low) if high > low else 0.0 for x in series]


def dtw(a: Sequence[float], b: Sequence[float]) -> float:
    """Dynamic time warping distance by absolute differences."""
    row = [0.0] + [math.inf] * len(b)
    for x in a:
        last, row[0] = row[0], math.inf
        for j, y in enumerate(b, 1):
            last, row[j] = row[j], abs(x - y) + min(last, row[j], row[j - 1])
    return row[-1]


def distance(a: Sequence[float], b: Sequence[float]) -> float | None:
    """Distance a bin of two series over the bins both have; None where there is too little to compare."""
    depth = min(len(a), len(b))
    return dtw(scaled(list(a)[-depth:]), scaled(list(b)[-depth:])) / depth if depth >= 2 else None


def metric_score(found: float, baseline: Sequence[float]) -> float:
    """DESIGN: 1 up to mean plus variance, 0 beyond the maximum, linearly to 0.9 between."""
    edge, most = fmean(baseline) + pvariance(baseline), max(baseline)
    if found <= edge:
        return 1.0
    return 0.0 if found > most else 1.0 - 0.1 * (found - edge) / (most - edge)


def t_test(a: Sequence[float], b: Sequence[float]) -> float:
    """Two-sided p of Student's t-test; whole degrees of freedom have a finite closed form."""
    df = len(a) + len(b) - 2
    spread = ((len(a) - 1) * variance(a) + (len(b) - 1) * variance(b)) / df
    if spread <= 0:
        return 1.0 if fmean(a) == fmean(b) else 0.0
    angle = math.atan(abs(fmean(a) - fmean(b)) / math.sqrt(spread * (1 / len(a) + 1 / len(b)) * df))
    cos2, term, total = math.cos(angle) ** 2, 1.0, 0.0
    for k in range(df % 2, df - 1, 2):
        total, term = total + term, term * cos2 * (k + 1) / (k + 2)
    inside = math.sin(angle) * total * (math.cos(angle) if df % 2 else 1.0)
    return 1.0 - (2 / math.pi * (angle + inside) if df % 2 else inside)


def settled(points: Sequence[float]) -> bool:
    """DESIGN: the halves of the score series are alike; flat halves count as settled."""
    if len(points) < POINTS_LEAST:
        return False
    half = len(points) // 2
    return t_test(points[:half], points[half:]) >= SETTLED_P


def tail(n: int, x: int, p: float) -> float:
    """Chance of x or more errors in n outcomes at error share p."""
    if p >= 1 or x <= 0:
        return 1.0
    logs = (math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1) + k * math.log(p)
            + (n - k) * math.log1p(-p) for k in range(x))
    return max(0.0, 1.0 - math.fsum(map(math.exp, logs)))


class Agent:
    """One agent: hand it every event in order, carry out the actions it returns."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.s, self.roll, self.rng = settings, settings.rollout, random.Random(seed)
        self.now, self.out = 0.0, list[it.Action]()
        self.n = len(settings.classes)
        self.servers: dict[int, Server] = {}
        self.jobs: dict[int, Job] = {}
        self.out_there: dict[tuple[int, int], Attempt] = {}  # attempts without an outcome
        self.held: dict[int, float] = {}  # request: when to give up
        self.asked = [Window(self.roll.window_ms - 4 * settings.tick_ms) for _ in settings.classes]
        self.taken = Window(settings.rules.fall_ms)
        self.tries: dict[tuple[int, int], Window] = {}  # (build, class): attempts in the exposure window
        self.by_tenant = [Window(1000.0) for _ in settings.tenants]
        self.answered: dict[int, int] = {}  # key: highest build that answered it, where there is no way back
        self.usual = [c.aim_ms / 4 for c in settings.classes]  # usual latency by class
        self.retries, self.speed = RETRY_MOST, dict[int, float]()  # speed: log latency of a kind over the usual
        self.next_bin, self.next_watch = 0.0, math.inf
        self.news = it.StageNews(0, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        self.baseline: dict[tuple[int, int], deque[float]] = {}
        self.points: deque[float] = deque(maxlen=POOL_BINS)
        self.pool: deque[Counts] = deque(maxlen=POOL_BINS)
        self.tallies: deque[Counts] = deque(maxlen=POOL_BINS)
        self.before = dict[int, float]()  # earlier error share by class
        self.fresh, self.heard = Counts(self.n), Counts(self.n)
        self.late_bins, self.tripped, self.vote_at, self.drawn = 0, "", -math.inf, -math.inf
        self.last_vote: tuple[int, int, it.Verdict] | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            it.Started: self._started, it.ServerList: self._list, it.Request: self._request,
            it.Outcome: self._outcome, it.Abandoned: self._abandoned, it.TimerFired: self._tick,
            it.StageNews: self._stage, it.PeerMessage: self._peer, it.Tally: self._tally,
            it.Complaint: self._complaint,
        }

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        """What to do about one event."""
        self.now, self.out = now, []
        handler = self.handlers.get(type(event))
        if handler:
            handler(event)
        return self.out

    def _started(self, _: it.Started) -> None:
        if self.s.discovery is it.Discovery.ASK:
            self.out.append(it.Watch(True))
            self.next_watch = self.now + self.s.rules.ask_within_ms / 2
        self.next_bin = self.now + BIN_MS
        self.out.append(it.SetTimer(TICK_MS, 0))

    def _tick(self, _: it.TimerFired) -> None:
        self.out.append(it.SetTimer(TICK_MS, 0))
        if self.now >= self.next_watch:
            self.next_watch = self.now + self.s.rules.ask_within_ms / 2
            self.out.append(it.Watch(True))
        for request, give_up in list(self.held.items()):
            self._send(self.jobs[request])
            if request in self.held and self.now >= give_up:
                self._give_up(self.jobs[request])
        if self.now >= self.next_bin:
            self.next_bin += BIN_MS
            self._close_bin()

    def _list(self, news: it.ServerList) -> None:
        if news.kind is it.ListKind.FAILED:
            self.next_watch = min(self.next_watch, self.now + BIN_MS)
            return
        if news.kind is not it.ListKind.DELTA:
            named = {e.server for e in news.entries}
            for server in self.servers.values():
                server.ready = server.ready and server.id in named
        for entry in news.entries:
            old = self.servers.get(entry.server)
            if old is None or (old.entry.build, old.entry.started_ms) != (entry.build, entry.started_ms):
                # a restart or another build under a known id: what we knew of it is void
                old = self.servers[entry.server] = Server(entry, self.now, self.n, self.s.rules.fall_ms)
            old.entry, old.ready = entry, entry.state is it.ServerState.READY

    def _stage(self, news: it.StageNews) -> None:
        if news.answers_vote and news.status is not it.Status.OK:  # it may not count: vote again
            self.vote_at = min(self.vote_at, self.now - self.roll.vote_life_ms + BIN_MS)
            return
        if news.build < self.news.build:
            return
        old, self.news = self.news, news
        if news.build != old.build:  # another build: nothing seen of the last one speaks of it
            self.pool.clear()
            self.tallies.clear()
            self.fresh, self.heard, self.tripped = Counts(self.n), Counts(self.n), ""
        if (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.points.clear()
            self.late_bins, self.last_vote = 0, None
            if news.phase is it.Phase.GOING_BACK:
                self.answered.clear()

    # --- evidence ---
    def _side(self, build: int) -> int | None:
        """0 for the build judged, 1 for an earlier one."""
        if build == self.news.build:
            return 0
        return 1 if build < self.news.build else None

    def _learn(self, attempt: Attempt, outcome: it.Outcome) -> None:
        """Book one outcome to its server, its class and its build."""
        server, cls = attempt.server, attempt.cls
        status, latency = outcome.status, max(outcome.latency_ms, 1.0)
        if status in (it.Status.CANCELLED, it.Status.MOOT):
            return
        good = status is it.Status.OK
        server.ok += (good - server.ok) * (0.5 if status is it.Status.CONNECT_FAILED else 0.2)
        aim = self.s.classes[cls].aim_ms
        if good and latency < QUICK * aim:
            server.limit += 0.5 if len(server.open) >= LEAST_PART * server.limit else 0.0
        elif (latency > aim or status in UNRUN) and self.now - server.shrunk > SHRINK_MS:
            server.limit, server.shrunk = max(min(server.limit, len(server.open) + 1) * SHRINK, 1.0), self.now
        if good or status is it.Status.TIMEOUT:
            ratio = latency / self.usual[cls]
            server.slow += (min(ratio, 8.0) - server.slow) * 0.1
            self.usual[cls] += (latency - self.usual[cls]) * 0.02 if good else 0.0
            side, kind = self._side(attempt.build), server.entry.kind
            if side is not None and not attempt.cold:  # a cold server is slow whatever its build
                log = math.log(ratio) - self.speed.get(kind, 0.0)  # nor is a slower kind of machine a slower build
                self.speed[kind] = self.speed.get(kind, 0.0) + 0.02 * log * side
                level = self.fresh.level[side]
                level[0], level[1], level[2] = level[0] + 1, level[1] + log, level[2] + log * log
        if good or status is it.Status.ERROR:
            server.bin[cls].append(latency if good else math.nan)
            side = self._side(attempt.build)
            if side is not None:
                seen = self.fresh.seen[cls]
                seen[2 * side] += 1
                seen[2 * side + 1] += not good

    def _complaint(self, event: it.Complaint) -> None:
        server = self.servers.get(event.server)
        if server and self._side(server.entry.build) is not None:
            self.fresh.seen[event.cls][2 * (self._side(server.entry.build) or 0) + 1] += 1
            server.bin[event.cls].append(math.nan)

    def _tally(self, event: it.Tally) -> None:
        side = self._side(event.build)
        if side is None or event.attempts <= 0:
            return
        counts = Counts(self.n)
        counts.seen[event.cls][2 * side:2 * side + 2] = [event.attempts, event.failures]
        self.tallies.append(counts)

    def _tell(self) -> None:
        """Share this bin's counts; one small message, only while a build is judged."""
        parts = [MESSAGE.pack(1, self.news.build, self.n)]
        parts += [COUNTS.pack(*(min(int(v), 65535) for v in row)) for row in self.fresh.seen]
        parts.append(LEVELS.pack(*self.fresh.level[0], *self.fresh.level[1]))
        data = b"".join(parts)
        if len(data) <= 256 and any(map(any, self.fresh.seen)):
            self.out.append(it.TellPeers(None, data))

    def _peer(self, event: it.PeerMessage) -> None:
        size = MESSAGE.size + self.n * COUNTS.size + LEVELS.size
        if len(event.data) != size or MESSAGE.unpack_from(event.data) != (1, self.news.build, self.n):
            return
        counts, at = Counts(self.n), MESSAGE.size
        counts.seen = [list(map(float, row)) for row in COUNTS.iter_unpack(event.data[at:at + self.n * COUNTS.size])]
        values = LEVELS.unpack_from(event.data, at + self.n * COUNTS.size)
        counts.level = [list(values[:3]), list(values[3:])]
        self.heard.add(counts)

    def _close_bin(self) -> None:
        """Twice a second: roll the series, extend the baseline, score and vote."""
        for server in self.servers.values():
            server.ok += HEAL * (1.0 - server.ok)
            errors = outcomes = 0
            for cls, got in enumerate(server.bin):
                good = [x for x in got if x == x]
                outcomes, errors = outcomes + len(got), errors + len(got) - len(good)
                for series, value in ((server.errors[cls], 1 - len(good) / len(got) if got else None),
                                      (server.latencies[cls], median(good) if good else None)):
                    if value is not None:
                        series.append(value)
                    elif series:
                        series.append(series[-1])  # DESIGN: an empty bin repeats the last value
                got.clear()
            server.hits.append((outcomes, errors))
        watched = self.news.phase in (it.Phase.TRIAL, it.Phase.RELEASED) and self.news.stage >= 0
        if watched and self.s.limits.peers and self.s.agents > 1:
            self._tell()
        self.fresh.add(self.heard)
        self.pool.append(self.fresh)
        self.fresh, self.heard = Counts(self.n), Counts(self.n)
        seen = [s for s in self.servers.values() if s.ready and self.now - s.listed >= FRESH_MS]
        trial = [s for s in seen if s.entry.build == self.news.build]
        earlier = [s for s in seen if s.entry.build < self.news.build] or (seen if not trial else [])
        scores = list[float]()
        for cls in range(self.n):
            for kind in range(2):
                old, new = ([(s.errors, s.latencies)[kind][cls] for s in group] for group in (earlier, trial))
                past = self.baseline.setdefault((cls, kind), deque(maxlen=BASELINE_BINS * PAIRS_A_BIN))
                past.extend(self._distances(old, old))
                found = list(self._distances(new, old))
                if found and len(past) >= PAIRS_LEAST:
                    scores.append(metric_score(fmean(found), past))
        if watched and self.news.build > 0:
            self._judge(scores, trial, earlier)

    def _distances(self, ones: list[deque[float]], others: list[deque[float]]) -> Iterable[float]:
        """Distances of a few random pairs of series."""
        if len(others) < 2 or not ones:
            return
        for _ in range(PAIRS_A_BIN):
            a, b = self.rng.choice(ones), self.rng.choice(others)
            found = distance(a, b) if a is not b else None
            if found is not None:
                yield found

    # --- voting ---
    def _judge(self, scores: list[float], trial: list[Server], earlier: list[Server]) -> None:
        trip = self._breaker(trial, earlier)
        if trip and not self.tripped:
            self.out.append(it.Log(f"build {self.news.build} stage {self.news.stage}: breaker {trip}"))
        self.tripped = trip or self.tripped
        if self.tripped:
            self._vote(it.Verdict.BACK, self.tripped)
            return
        if scores:
            self.points.append(fmean(scores))
        if self.news.phase is not it.Phase.TRIAL or not settled(list(self.points)):
            return
        mean, enough = fmean(self.points), self._enough()
        if mean >= PASS_MEAN and enough:
            self._vote(it.Verdict.ON, f"mean {mean:.2f} of {len(self.points)}")
        elif mean < PASS_MEAN and enough and self.roll.control is not it.Control.ANY:
            self._vote(it.Verdict.BACK, f"mean {mean:.2f} of {len(self.points)}")

    def _sum(self, pool: Iterable[Counts]) -> Counts:
        total = Counts(self.n)
        for counts in pool:
            total.add(counts)
        return total

    def _enough(self) -> bool:
        """Could the evidence have shown a failing class? A quiet agent leaves the vote to others."""
        for pool in (self.pool, self.tallies):
            total = self._sum(pool)
            counts = [row[0] for row in total.seen]
            if any(row[1] >= 2 and row[1] > 2 * ERROR_MARGIN * row[0] for row in total.seen):
                return False
            if sum(counts) >= OUTCOMES_LEAST and min(counts) >= CLASS_LEAST:
                (n1, sum1, _), (n0, sum0, _) = total.level
                fine = n1 and n0 and sum1 / n1 - sum0 / n0 < LEVEL_BACK
                return bool(self.news.stage == 0 or fine or not n0)
        return False

    def _breaker(self, trial: list[Server], earlier: list[Server]) -> str:
        """DESIGN's breakers, asked to be sure, and the level that scaling erases (docs/design.md)."""
        hits = [(sum(n for n, _ in s.hits), sum(x for _, x in s.hits)) for s in trial]
        known = [x > ERROR_MARGIN * n for n, x in hits if n >= 4]
        for name, pool in (("own", list(self.pool)), ("tally", list(self.tallies))):
            for part in (pool, pool[-DEEP:]):
                total = self._sum(part)
                rows = [*total.seen, [sum(col) for col in zip(*total.seen, strict=True)]]
                for cls, (n1, x1, n0, x0) in enumerate(rows):
                    if n0 >= LEVEL_LEAST:  # DESIGN: lacking earlier servers, the last baseline stays
                        self.before[cls] = (x0 + 0.5) / (n0 + 1)
                    usual = self.before.get(cls, CHANCE)
                    # all trial servers must show it: one failing machine is no failing build
                    spread = not known or sum(known) * 2 > len(known)
                    if x1 >= 2 and n1 and x1 / n1 > usual + ERROR_MARGIN and spread and (
                            tail(int(max(n1, x1)), int(x1), usual + CHANCE) < SURE):
                        return f"errors {name} class {cls}: {x1:.0f} of {n1:.0f}, earlier {x0:.0f} of {n0:.0f}"
                (n1, s1, q1), (n0, s0, q0) = total.level
                if name == "own" and n1 >= LEVEL_LEAST and n0 >= LEVEL_LEAST and self.news.phase is it.Phase.TRIAL:
                    m1, m0 = s1 / n1, s0 / n0
                    noise = math.sqrt(max(q1 / n1 - m1 * m1, 0.1) / n1 + max(q0 / n0 - m0 * m0, 0.1) / n0
                                      + 0.08 / max(1, len(trial)))
                    shown = trial and earlier and median(s.slow for s in trial) > 1.4 * median(s.slow for s in earlier)
                    if shown and m1 - m0 - 2.3 * noise > LEVEL_BACK:
                        return f"level {name}: {math.exp(m1 - m0):.2f} times the earlier, {n1:.0f} of {n0:.0f}"
        late = any(
            median(now) > cls.aim_ms and (not old or median(old) < cls.aim_ms)
            for i, cls in enumerate(self.s.classes)
            for now, old in [([s.latencies[i][-1] for s in trial if s.latencies[i]],
                              [s.latencies[i][-1] for s in earlier if s.latencies[i]])] if now and old)
        self.late_bins = self.late_bins + 1 if late else 0
        return ""

    def _vote(self, verdict: it.Verdict, why: str) -> None:
        vote = (self.news.build, self.news.stage, verdict)
        if verdict is it.Verdict.ON and self.roll.control is it.Control.TIMER:
            return
        if self.last_vote == vote and self.now - self.vote_at < self.roll.vote_life_ms:
            return
        if self.now - self.drawn < self.roll.vote_life_ms and self.last_vote == vote:
            return
        chance = self.roll.calls_per_s * self.roll.vote_life_ms / 1000.0 / (2 * self.s.agents)
        self.last_vote, self.vote_at = vote, self.now
        if self.rng.random() >= chance:
            return
        self.out.append(it.CastVote(self.news.build, self.news.stage, verdict))
        self.out.append(it.Log(f"build {vote[0]} stage {vote[1]}: vote {verdict.name} on {why}"))

    # --- routing ---
    def _cost(self, server: Server) -> float:
        """What a request may expect there: own open work, seen slowness, failures, a stall, the crossing."""
        stall = 1.0
        if server.open:
            oldest = self.now - next(iter(server.open.values()))
            stall += oldest / (2 * max(self.usual))
        cross = CROSS if server.entry.zone != self.s.zone and self.s.cross_zone_price else 1.0
        return (len(server.open) + 1) * max(server.slow, 0.2) * stall * cross / max(server.ok, 0.1) ** 2

    def _choose(self, job: Job) -> Server | None:
        part = self._part(job.request)
        can = [s for s in self.servers.values()
               if s.ready and len(s.open) < s.limit * part and self.may_send(job, s)]
        trial = [s for s in can if self._cap(s.entry.build) is not None]
        stable = [s for s in can if self._cap(s.entry.build) is None]
        if trial and stable:
            can = trial if not job.attempts and self._fill(job) else stable
        well = [s for s in can if s.ok >= DEAD_OK]
        used = {a.server.id for a in job.attempts}
        can = [s for s in well if s.id not in used] or [s for s in can if s.id not in used] or can
        if len(can) < 2:
            return can[0] if can else None
        near = [s for s in can if s.entry.zone == self.s.zone] if self.s.cross_zone_price else []
        one, other = self.rng.choice(near or can), self.rng.choice(can)
        return min(one, other, key=self._cost)  # DESIGN: two random choices

    def _fill(self, job: Job) -> bool:
        """DESIGN: trial first sends fill the cap; ours: not beyond an even share a trial server."""
        if self.tripped:
            return False
        new, all_weight, new_weight = 0, 0.0, 0.0
        for server in self.servers.values():
            if server.ready:
                weight = (server.entry.weight * math.exp(-self.speed.get(server.entry.kind, 0.0))
                          * self._able(server))
                all_weight += weight
                if self._cap(server.entry.build) is not None:
                    new, new_weight = max(new, server.entry.build), new_weight + weight
        tries, asked = self._exposed(new, job.cls)
        places = all_weight - (new_weight if self.roll.replacement is it.Replacement.BESIDE else 0.0)
        room = FILL * (self.roll.free + (self._cap(new) or 0.0) * asked)
        share = min(room / max(asked, 1), FAIR * new_weight / max(places, new_weight))
        # by chance, not greedily: a window filled in one go is a burst that a cold server queues for seconds
        return tries < room and self.rng.random() < share

    def _over_share(self, request: it.Request) -> bool:
        if request.tenant >= len(self.by_tenant):
            return False
        quota = self.s.tenants[request.tenant].quota_per_s / self.s.agents
        return self.by_tenant[request.tenant].count(self.now) > quota * 1.1

    def _part(self, request: it.Request) -> float:
        """Part of a server's bound open to a request: the least worth for its work is refused first."""
        worth = [c.worth / (1.0 if self.s.worth_by_work else u)
                 for c, u in zip(self.s.classes, self.usual, strict=True)]
        rank = worth[request.cls] / max(worth)
        if self._over_share(request):
            rank *= self.s.over_share_worth
        return LEAST_PART + (1 - LEAST_PART) * rank

    # --- request life ---
    def _request(self, request: it.Request) -> None:
        cls = self.s.classes[request.cls]
        stretch = cls.aim_stretch * (request.work_hint_ms if request.hinted else 0.0)
        job = Job(request, self.now, min(cls.aim_ms + stretch, cls.deadline_ms))
        self.jobs[request.request] = job
        self.asked[request.cls].add(self.now)
        self.taken.add(self.now)
        if request.tenant < len(self.by_tenant):
            self.by_tenant[request.tenant].add(self.now)
        self._send(job)

    def _send(self, job: Job) -> None:
        """Send an attempt, hold the request a little while none may go, or end it."""
        cls = self.s.classes[job.cls]
        until = job.until if cls.late_worth > 0 else min(job.until, job.aim_end)
        if self.now >= until:
            self._give_up(job)
            return
        server = self._choose(job)
        if server is None:
            if not any(a.live for a in job.attempts):
                # rule 1: a short client budget ends between two ticks, so the last look is well before it
                patience = min(self.now + HOLD_PART * cls.aim_ms, until - 2 * TICK_MS)
                self.held.setdefault(job.request.request, patience)
                if self.now >= patience:
                    self._give_up(job)
            return
        self.held.pop(job.request.request, None)
        self.retries = min(self.retries + RETRY_PART, RETRY_MOST) if not job.attempts else self.retries - 1
        attempt = Attempt(server, job.cls, self.now)
        attempt.cold = self._age(server) < self.s.rules.cold_ms + 2 * BIN_MS
        self.out_there[job.request.request, len(job.attempts)] = attempt
        server.open[job.request.request, len(job.attempts)] = self.now
        server.sent.add(self.now)
        job.attempts.append(attempt)
        if self._cap(attempt.build) is not None:
            span = self.roll.window_ms + 2 * self.s.tick_ms
            self.tries.setdefault((attempt.build, job.cls), Window(span)).add(self.now)
        self.out.append(it.Send(job.request.request, server.id, until))

    def _outcome(self, event: it.Outcome) -> None:
        attempt = self.out_there.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        attempt.live, attempt.unrun = False, event.status in UNRUN
        attempt.server.open.pop((event.request, event.attempt), None)
        self._learn(attempt, event)
        job = self.jobs.get(event.request)
        if job is None:
            return
        if event.status is it.Status.OK and self.roll.one_way and job.request.key:
            key = job.request.key
            self.answered[key] = max(self.answered.get(key, 0), attempt.build)
        if event.over:
            self._drop(event.request)
        elif not any(a.live for a in job.attempts):
            again = [s for s in self.servers.values() if s.ready and self.may_send(job, s)]
            if again and self.retries >= 1:
                self._send(job)
            else:
                self._give_up(job)

    def _abandoned(self, event: it.Abandoned) -> None:
        self._drop(event.request)

    def _drop(self, request: int) -> None:
        self.jobs.pop(request, None)
        self.held.pop(request, None)

    def _give_up(self, job: Job) -> None:
        """The final answer at once: a refusal where it does no harm, else a failure."""
        cls, request = self.s.classes[job.cls], job.request.request
        clean = all(a.unrun for a in job.attempts)
        if clean or cls.effect is it.Effect.SAFE or (
                cls.effect is it.Effect.KEYED and cls.scope is it.Scope.ALL):
            limits = self.s.limits
            self.out.append(it.Refuse(request, min(REFUSED_MS, limits.max_retry_after_ms)
                                      if limits.retry_after else 0.0))
        else:
            self.out.append(it.Fail(request))
        self._drop(request)

    # --- rule guards: the one place that decides whether an attempt may be sent ---
    def _cap(self, build: int) -> float | None:
        """The exposure cap of a build on trial, None for one that is not."""
        if build > self.news.build:
            return self.roll.stage_cap[0]
        if build < self.news.build or self.news.phase is it.Phase.RELEASED:
            return None
        return 0.0 if self.news.phase is it.Phase.WITHDRAWN else self.news.cap

    def _exposed(self, build: int, cls: int) -> tuple[int, int]:
        """Attempts at the build and requests taken within the window, of the class or of all as counted."""
        classes = [cls] if self.roll.per_class else range(self.n)
        tries = (self.tries.get((build, c)) for c in classes)
        asked = sum(self.asked[c].count(self.now) for c in classes)
        return sum(w.count(self.now) for w in tries if w), asked

    def _age(self, server: Server) -> float:
        started = server.entry.started_ms
        return self.now - started if started > 0 else math.inf

    def _able(self, server: Server) -> float:
        """Least part of its capacity that a server has had throughout the fall window; 1 once warm."""
        rules = self.s.rules
        grown = max(0.0, self._age(server) - rules.fall_ms) / max(rules.cold_ms, 1.0)
        return rules.start_capacity + (1.0 - rules.start_capacity) * min(1.0, grown)

    def may_send(self, job: Job, server: Server) -> bool:
        """All five rules, for first sends, retries and copies alike."""
        rules, limits, cls, entry = self.s.rules, self.s.limits, self.s.classes[job.cls], server.entry
        if job.request.request not in self.jobs or self.now >= job.until or not server.ready:
            return False  # rules 1 and 3: nothing for what is over, nothing to what drains or is gone
        if len(job.attempts) >= limits.max_attempts:
            return False
        ran = [a for a in job.attempts if not a.unrun]
        if ran:  # rule 2
            if cls.effect is it.Effect.UNSAFE or (ran[-1].live and not limits.second_copies):
                return False
            if cls.effect is it.Effect.KEYED and (
                    self.now - ran[0].sent >= cls.repeat_window_ms
                    or (cls.scope is it.Scope.ZONE and entry.zone != ran[0].zone)
                    or (cls.scope is it.Scope.CELL and entry.cell != ran[0].cell)):
                return False
        cap = self._cap(entry.build)
        if cap is not None:  # rule 5
            stage = self.news.stage if entry.build == self.news.build else 0
            if cap <= 0 or (stage < self.roll.guarded_stages and cls.effect is not it.Effect.SAFE):
                return False
            tries, asked = self._exposed(entry.build, job.cls)
            if tries + 1 > self.roll.free + cap * asked:
                return False
        if self.roll.one_way and self.news.phase in (it.Phase.TRIAL, it.Phase.RELEASED) and (
                self.answered.get(job.request.key, 0) > entry.build):
            return False
        age = self._age(server)
        if age < rules.cold_ms + BIN_MS:  # rule 4: our part of what a cold server bears
            ready = sum(1 for s in self.servers.values() if s.ready)
            even = self.taken.count(self.now) / max(1, ready)
            if server.sent.count(self.now) + 1 > max(1.0, COLD_PART * rules.fall_multiple * self._able(server) * even):
                return False
        return True
