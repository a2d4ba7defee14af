"""All decisions of otterquay; its types, events and actions are in otterquay/interface.py.

One Agent is one instance: it knows its settings and events, does no I/O, takes all chance from its seed.
"""
import math
import random
import struct
from collections import deque
from collections.abc import Sequence
from statistics import fmean, median, pvariance, variance

from otterquay import interface as it

# --- constants: DESIGN's defaults first, then ours, each with its reason ---
BIN_MS, DEEP, LATE_BINS = 500.0, 8, 3  # DESIGN: half-second bins, eight deep; late ones running that break
PAIRS_LEAST, PAIRS_A_BIN, BASELINE_BINS = 20, 4, 60  # DESIGN: 20 pairs over 30 s; ours: pairs a bin
OUTCOMES_LEAST, FRESH_MS = 20, 2000.0  # DESIGN: trial outcomes for a vote; servers listed later are left out
CLASS_LEAST, LEARN, SIGMAS = 3, 0.03, 2.3  # outcomes a class, times the stage; learning rate; sure of a level
PASS_MEAN, SETTLED_P = 0.9, 0.05  # DESIGN: mean to go on, t-test level; ours: least and most points tested,
POINTS_LEAST, POINTS_MOST, POOL_BINS, TICK_MS = 4, 12, 40, 50.0  # bins of evidence, looks at held requests
ERROR_MARGIN = 0.025  # DESIGN: five points over the earlier build; half, as late failures start small
CHANCE, SURE = 0.01, 0.001  # extra error share laid to chance; a breaker is sure when that is rarer
LEVEL_LEAST, SERVER_NOISE = 20, 0.08  # latencies behind a level; variance of log latency among alike servers
LEVEL_BACK, LEVEL_ALL = math.log(1.8), 1.4  # back when surely slower, and the middle trial server slower too
WORSE, WORSE_BINS = math.log(1.4), 14  # all servers slower by this: no step on; for so many bins: back
SEEN_PART, SETTLE_MS = 0.7, 20000.0  # a stage's servers seen before a step; restarted agents wait
FILL, FAIR, COLD_PART = 0.95, 1.3, 0.85  # most used of the cap, of an even trial share, of a cold budget
HOLD_PART, CROSS, REFUSED_MS = 0.25, 1.3, 400.0  # held for this part of the aim; crossing cost; come-back
OPEN_FIRST, QUICK, TARDY = 6.0, 0.35, 0.6  # own open work a server may hold at first; parts of the aim:
SHRINK, SHRINK_MS = 0.75, 100.0  # quicker answers add to it, tardier ones take away, so often at most
RETRY_PART, RETRY_MOST = 0.2, 10.0  # retries earned a first send, and how many are saved: no retry storms
OVER_SHARE, LEAST_PART = 1.25, 0.5  # times its share a tenant is over it; part of a bound open to least worth
DEAD_OK, HEAL = 0.4, 0.04  # health below which a server is avoided; health regained a bin, to try it again
UNRUN = {it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT}  # outcomes that prove no run
NOTE = struct.Struct("<BHB")  # version, build, classes; then the evidence row as floats


# --- state ---
class Window:
    """How many things happened within the last `span` ms."""

    def __init__(self, span: float) -> None:
        self.span, self.times = span, deque[float]()

    def count(self, now: float) -> int:
        while self.times and self.times[0] <= now - self.span:
            self.times.popleft()
        return len(self.times)


class Server:
    """What the list says of a server and what we have seen of it since it started."""

    def __init__(self, entry: it.ServerEntry, now: float, classes: int, fall_ms: float) -> None:
        self.id, self.entry, self.listed, self.ready = entry.server, entry, now, True
        self.open: dict[tuple[int, int], float] = {}  # own attempts out there: when sent
        self.ok, self.slow, self.limit, self.shrunk, self.sent = 1.0, 1.0, OPEN_FIRST, 0.0, Window(fall_ms)
        self.bin: list[list[float]] = [[] for _ in range(classes)]  # this bin's latencies, nan for an error
        self.series = [deque[float](maxlen=DEEP) for _ in range(2 * classes)]  # by class: errors, latency
        self.hits = deque([(0, 0)], maxlen=POOL_BINS)  # outcomes and errors of each bin


class Attempt:
    """One attempt: where it went, when, and whether it may have run."""

    def __init__(self, server: Server, cls: int, now: float, cold: bool) -> None:
        self.server, self.cls, self.sent, self.cold = server, cls, now, cold
        self.live, self.unrun = True, False
        self.zone, self.cell, self.build = server.entry.zone, server.entry.cell, server.entry.build


class Job:
    """A request we owe an answer."""

    def __init__(self, request: it.Request, now: float, cls: it.RequestClass) -> None:
        self.request, self.id, self.cls = request, request.request, request.cls
        aim = cls.aim_ms + cls.aim_stretch * (request.work_hint_ms if request.hinted else 0.0)
        # past its aim an answer may be worth nothing: the time-out there frees the server for others
        useful = cls.deadline_ms if cls.late_worth > 0 else min(aim, cls.deadline_ms)
        self.until, self.useful = now + request.budget_ms, now + min(request.budget_ms, useful)
        self.attempts: list[Attempt] = []


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


def distance(a: Sequence[float], b: Sequence[float]) -> float:
    """Distance a bin, over the bins both series have."""
    depth = min(len(a), len(b))
    return dtw(scaled(list(a)[-depth:]), scaled(list(b)[-depth:])) / depth


def metric_score(found: float, baseline: Sequence[float]) -> float:
    """DESIGN: 1 up to mean plus variance, 0 beyond the maximum, linearly to 0.9 between."""
    edge, most = fmean(baseline) + pvariance(baseline), max(baseline)
    return 1.0 if found <= edge else 0.0 if found > most else 1.0 - 0.1 * (found - edge) / (most - edge)


def t_test(a: Sequence[float], b: Sequence[float]) -> float:
    """Two-sided p of Student's t-test; whole degrees of freedom have a finite closed form."""
    df = len(a) + len(b) - 2
    spread = ((len(a) - 1) * variance(a) + (len(b) - 1) * variance(b)) / df
    if spread <= 0:
        return float(fmean(a) == fmean(b))
    angle = math.atan(abs(fmean(a) - fmean(b)) / math.sqrt(spread * (1 / len(a) + 1 / len(b)) * df))
    cos2, term, total = math.cos(angle) ** 2, 1.0, 0.0
    for k in range(df % 2, df - 1, 2):
        total, term = total + term, term * cos2 * (k + 1) / (k + 2)
    inside = math.sin(angle) * total * (math.cos(angle) if df % 2 else 1.0)
    return 1.0 - (2 / math.pi * (angle + inside) if df % 2 else inside)


def settled(points: Sequence[float]) -> bool:
    """DESIGN: the halves of the score series are alike; flat halves count as settled."""
    half = len(points) // 2
    return len(points) >= POINTS_LEAST and t_test(points[:half], points[half:]) >= SETTLED_P


def tail(n: int, x: int, p: float) -> float:
    """Chance of x or more errors in n outcomes at error share p."""
    if p >= 1 or x <= 0:
        return 1.0
    logs = (math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1) + k * math.log(p)
            + (n - k) * math.log1p(-p) for k in range(min(x, n + 1)))
    return max(0.0, 1.0 - math.fsum(map(math.exp, logs)))


class Agent:
    """One agent: hand it every event in order, carry out the actions it returns."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.s, self.roll, self.n = settings, settings.rollout, len(settings.classes)
        self.rng, self.now, self.out = random.Random(seed), 0.0, list[it.Action]()
        self.servers, self.jobs, self.held = dict[int, Server](), dict[int, Job](), dict[int, float]()
        self.away: dict[tuple[int, int], Attempt] = {}  # attempts without an outcome
        # a window of requests a little short and of attempts a little long: edges fall between two ticks
        self.asked = [Window(self.roll.window_ms - 4 * settings.tick_ms) for _ in settings.classes]
        self.tries: dict[tuple[int, int], Window] = {}  # (build, class): attempts in the exposure window
        self.sent, self.by_tenant = Window(settings.rules.fall_ms), [Window(1e3) for _ in settings.tenants]
        self.answered: dict[int, int] = {}  # key: highest build that answered it, where there is no way back
        self.usual, self.speed = [c.aim_ms / 4 for c in settings.classes], dict[int, float]()  # log, by kind
        self.retries, self.next_bin, self.next_watch = RETRY_MOST, 0.0, math.inf
        self.news = it.StageNews(0, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        self.baseline = [deque[float](maxlen=BASELINE_BINS * PAIRS_A_BIN) for _ in range(2 * self.n)]
        # an evidence row: by class trial outcomes, errors, earlier ones; log-latency n, sum, squares of both
        self.fresh, self.heard = [0.0] * (4 * self.n + 6), [0.0] * (4 * self.n + 6)
        self.pools = {name: deque[list[float]](maxlen=POOL_BINS) for name in ("own", "tally")}
        self.points, self.before = deque[float](maxlen=POINTS_MOST), dict[int, float]()  # before: last errors
        self.late_bins, self.worse_bins, self.tripped, self.vote_at = 0, 0, "", -math.inf
        self.last_vote, self.shared = (0, 0, it.Verdict.NONE), False
        self.began, self.midway = math.inf, False  # midway: started while a build was on trial

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        """What to do about one event; one that we have no use for is passed over."""
        self.now, self.out = now, []
        getattr(self, f"_{type(event).__name__.lower()}", lambda _: None)(event)
        return self.out

    def _started(self, _: it.Started) -> None:
        self.next_bin, asks = self.now + BIN_MS, self.s.discovery is it.Discovery.ASK
        self.next_watch = self.now if asks else math.inf
        self._timerfired(it.TimerFired(0))

    def _timerfired(self, _: it.TimerFired) -> None:
        self.out.append(it.SetTimer(TICK_MS, 0))
        if self.now >= self.next_watch:
            self.next_watch = math.inf  # until we hear that it failed or was dropped
            self.out.append(it.Watch(True))
        for request, give_up in list(self.held.items()):
            self._send(self.jobs[request])
            if request in self.held and self.now >= give_up:
                self._give_up(self.jobs[request])
        if self.now >= self.next_bin:
            self.next_bin += BIN_MS
            self._close_bin()

    def _serverlist(self, news: it.ServerList) -> None:
        if news.kind is it.ListKind.FAILED:
            self.next_watch = self.now + BIN_MS
            return
        named = {e.server for e in news.entries}
        for server in self.servers.values():
            server.ready = server.ready and (news.kind is it.ListKind.DELTA or server.id in named)
        for entry in news.entries:
            known = self.servers.get(entry.server)
            # a restart, or another build under a known id: what we knew of it is void and it is cold
            if not known or (known.entry.build, known.entry.started_ms) != (entry.build, entry.started_ms):
                known = self.servers[entry.server] = Server(entry, self.now, self.n, self.s.rules.fall_ms)
            known.entry, known.ready = entry, entry.state is it.ServerState.READY

    def _stagenews(self, news: it.StageNews) -> None:
        if news.status is not it.Status.OK:  # our vote may not count: vote again soon
            self.vote_at = min(self.vote_at, self.now - self.roll.vote_life_ms + BIN_MS)
        if news.status is not it.Status.OK or news.build < self.news.build:
            return
        if self.news.build == 0:
            self.began, self.midway = self.now, news.phase is it.Phase.TRIAL
        old, self.news = self.news, news
        if news.build != old.build:  # nothing seen of the last build speaks of this one
            self.fresh, self.heard, self.tripped = [0.0] * len(self.fresh), [0.0] * len(self.fresh), ""
            self.pools = {name: deque(maxlen=POOL_BINS) for name in self.pools}
        if (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.points.clear()
            self.late_bins, self.worse_bins, self.last_vote = 0, 0, (0, 0, it.Verdict.NONE)
            if news.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                self.answered.clear()

    # --- evidence ---
    def _book(self, row: list[float], build: int, cls: int, outcomes: int, errors: int) -> None:
        """Add outcomes of the build judged, or of an earlier one, to an evidence row."""
        if build <= self.news.build:
            for i, count in enumerate((outcomes, errors), 4 * cls + 2 * (build < self.news.build)):
                row[i] += count

    def _learn(self, attempt: Attempt, status: it.Status, latency: float) -> None:
        """Book one outcome to its server, its class and its build."""
        server, cls, aim = attempt.server, attempt.cls, self.s.classes[attempt.cls].aim_ms
        good = status is it.Status.OK
        if status in (it.Status.CANCELLED, it.Status.MOOT):
            return
        server.ok += (good - server.ok) * (0.5 if status in UNRUN else 0.2)
        if good and latency < QUICK * aim:
            server.limit += 0.5 if len(server.open) >= LEAST_PART * server.limit else 0.0
        elif (latency > TARDY * aim or status in UNRUN) and self.now - server.shrunk > SHRINK_MS:
            server.shrunk = self.now
            server.limit = max(min(server.limit, 2.0 * len(server.open) + 2.0) * SHRINK, 1.0)
        if good or status is it.Status.TIMEOUT:
            log, kind = math.log(latency / self.usual[cls]), server.entry.kind
            server.slow += (min(math.exp(log), 8.0) - server.slow) * 0.1
            calm = self.news.phase is not it.Phase.TRIAL  # on trial, the usual stays what it was before
            self.usual[cls] += (latency - self.usual[cls]) * LEARN if good and calm else 0.0
            if attempt.build <= self.news.build and not attempt.cold:  # any build is slow on a cold server
                earlier = attempt.build < self.news.build
                log -= self.speed.setdefault(kind, 0.0)  # and a slow kind of machine is no slow build
                self.speed[kind] += LEARN * log * earlier * calm
                for i in range(3):
                    self.fresh[4 * self.n + 3 * earlier + i] += log ** i
        if good or status is it.Status.ERROR:  # lost connections and full queues tell of machines, not builds
            server.bin[cls].append(latency if good else math.nan)
            self._book(self.fresh, attempt.build, cls, 1, not good)

    def _complaint(self, event: it.Complaint) -> None:
        if server := self.servers.get(event.server):  # a wrong answer was counted as good when it passed
            self._book(self.fresh, server.entry.build, event.cls, 0, 1)
            server.bin[event.cls].append(math.nan)

    def _tally(self, event: it.Tally) -> None:
        row = [0.0] * len(self.fresh)
        self._book(row, event.build, event.cls, event.attempts, event.failures)
        self.pools["tally"].append(row)

    def _peermessage(self, event: it.PeerMessage) -> None:
        """Another agent's evidence counts like our own, however late: it is one row of counts."""
        fits = len(event.data) == NOTE.size + 4 * len(self.fresh)
        if fits and NOTE.unpack_from(event.data) == (1, self.news.build, self.n):
            row = struct.unpack_from(f"<{len(self.fresh)}f", event.data, NOTE.size)
            self.heard = [x + (y if math.isfinite(y) else 0.0) for x, y in zip(self.heard, row, strict=True)]

    def _close_bin(self) -> None:
        """Twice a second: roll the series, extend the baseline, share evidence, score and vote."""
        for server in self.servers.values():
            server.ok += HEAL * (1.0 - server.ok)
            good = [[x for x in got if x == x] for got in server.bin]
            server.hits.append((sum(map(len, server.bin)), sum(map(len, server.bin)) - sum(map(len, good))))
            for cls, got in enumerate(server.bin):
                share = 1 - len(good[cls]) / len(got) if got else None
                for at, value in ((2 * cls, share), (2 * cls + 1, median(good[cls]) if good[cls] else None)):
                    if value is not None or server.series[at]:  # DESIGN: an empty bin repeats the last value
                        server.series[at].append(server.series[at][-1] if value is None else value)
                got.clear()
        judged = self.news.build > 0 and self.news.phase in (it.Phase.TRIAL, it.Phase.RELEASED)
        note = NOTE.pack(1, self.news.build, self.n) + struct.pack(f"<{len(self.fresh)}f", *self.fresh)
        if judged and self.s.limits.peers and self.s.agents > 1 and any(self.fresh) and len(note) <= 256:
            self.out.append(it.TellPeers(None, note))
        self.pools["own"].append([x + y for x, y in zip(self.fresh, self.heard, strict=True)])
        self.fresh, self.heard = [0.0] * len(self.fresh), [0.0] * len(self.fresh)
        seen = [s for s in self.servers.values() if s.ready and self.now - s.listed >= FRESH_MS]
        trial = [s for s in seen if s.entry.build == self.news.build]
        earlier = [s for s in seen if s.entry.build < self.news.build]
        scores = list[float]()
        for metric, past in enumerate(self.baseline):
            old, new = ([s.series[metric] for s in group] for group in (earlier or trial, trial))
            past.extend(self._distances(old, old))
            found = self._distances(new, old)
            if found and earlier and len(past) >= PAIRS_LEAST:
                scores.append(metric_score(fmean(found), past))
        if judged:
            self._judge(scores, trial, earlier)

    def _distances(self, ones: list[deque[float]], others: list[deque[float]]) -> list[float]:
        """Distances of a few random pairs of series."""
        draw, times = self.rng.choice, PAIRS_A_BIN if ones and others else 0
        pairs = [(draw(ones), draw(others)) for _ in range(times)]
        return [distance(a, b) for a, b in pairs if a is not b and min(len(a), len(b)) >= 2]

    # --- voting ---
    def _judge(self, scores: list[float], trial: list[Server], earlier: list[Server]) -> None:
        trip = self._breaker(trial, earlier)
        self.tripped = self.tripped or trip
        if scores or trip:  # DESIGN: a breaker zeroes the average
            self.points.append(0.0 if trip else fmean(scores))
        if self.tripped:
            self._vote(it.Verdict.BACK, self.tripped)
        elif self.news.phase is it.Phase.TRIAL:
            mean, enough = fmean(self.points or [0.0]), self._enough(trial, earlier)
            verdict = it.Verdict.ON if mean >= PASS_MEAN else it.Verdict.BACK
            if enough and settled(list(self.points)) and (
                    verdict is it.Verdict.ON or self.roll.control is not it.Control.ANY):  # DESIGN
                self._vote(verdict, f"mean {mean:.2f}")
            elif not enough and self.last_vote == (self.news.build, self.news.stage, it.Verdict.ON):
                self._vote(it.Verdict.NONE, "a change of mind")

    def _totals(self, name: str, bins: int = POOL_BINS) -> tuple[list[tuple[float, ...]], tuple[float, ...]]:
        """A pool's sums over its newest rows: by class, with all classes last, and the levels."""
        rows = list(self.pools[name])[-bins:] or [[0.0] * len(self.fresh)]
        sums = [math.fsum(column) for column in zip(*rows, strict=True)]
        classes = [tuple(sums[4 * c:4 * c + 4]) for c in range(self.n)]
        return [*classes, tuple(map(math.fsum, zip(*classes, strict=True)))], tuple(sums[4 * self.n:])

    def _enough(self, trial: list[Server], earlier: list[Server]) -> bool:
        """Could the evidence have shown a failing class? A quiet agent leaves the vote to others."""
        pools = [self._totals(name) for name in self.pools]
        n1, s1, _, n0, s0, _ = pools[0][1]
        level = s1 / n1 - max(s0 / n0, 0.0) if min(n1, n0) >= LEVEL_LEAST else math.inf
        if self.news.stage and n0 >= LEVEL_LEAST and level > LEVEL_BACK:
            return False  # by now servers of the first stage are warm, so a slow build can be told
        places = len(earlier) + len(trial) * (self.roll.replacement is it.Replacement.IN_PLACE)
        unseen = len(trial) < SEEN_PART * self.roll.stage_share[self.news.stage] * places
        if self._worse() > WORSE or unseen or (self.midway and self.now < self.began + SETTLE_MS):
            return False  # all slower, by a burst or by the build; its servers not seen; too new here to tell
        failing = any(x >= 2 and x > 2 * ERROR_MARGIN * n for rows, _ in pools for n, x, _, _ in rows)
        least = CLASS_LEAST * (1 + self.news.stage)
        seen = any(rows[-1][0] >= OUTCOMES_LEAST and min(rows)[0] >= least for rows, _ in pools)
        return seen and not (failing and self.shared)

    def _breaker(self, trial: list[Server], earlier: list[Server]) -> str:
        """DESIGN's breakers, asked to be sure, and the level that scaling erases (docs/design.md)."""
        hits = [(sum(n for n, _ in s.hits), sum(x for _, x in s.hits)) for s in trial]
        known = [x > ERROR_MARGIN * n for n, x in hits if n >= 4]
        self.shared = not known or 2 * sum(known) > len(known)  # one failing machine is no failing build
        for name, bins in (("own", POOL_BINS), ("own", DEEP), ("tally", POOL_BINS), ("tally", DEEP)):
            rows, (n1, s1, q1, n0, s0, q0) = self._totals(name, bins)
            for cls, (n, x, old_n, old_x) in enumerate(rows):
                if old_n >= LEVEL_LEAST:  # DESIGN: lacking earlier servers, the last baseline stays
                    self.before[cls] = (old_x + 0.5) / (old_n + 1)
                usual = self.before.get(cls, CHANCE)
                if self.shared and x >= 2 and x > (usual + ERROR_MARGIN) * n and tail(
                        int(max(n, x)), int(x), usual + CHANCE) < SURE:
                    return f"errors {name} class {cls}: {x:.0f} of {n:.0f}, usual {usual:.3f}"
            if self.news.phase is it.Phase.TRIAL and trial and earlier and min(n1, n0) >= LEVEL_LEAST:
                m1, m0 = s1 / n1, max(s0 / n0, 0.0)  # idle earlier servers are quicker than usual
                noise = math.sqrt(max(q1 / n1 - m1 * m1, 0.1) / n1 + max(q0 / n0 - (s0 / n0) ** 2, 0.1) / n0
                                  + SERVER_NOISE / len(trial))
                most = median(s.slow for s in trial) / max(1.0, median(s.slow for s in earlier)) > LEVEL_ALL
                if most and m1 - m0 - SIGMAS * noise > LEVEL_BACK:
                    return f"level {name}: {math.exp(m1 - m0):.2f} times the earlier, {n1:.0f} to {n0:.0f}"
        mid = [[median([s.series[2 * c + 1][-1] for s in group if s.series[2 * c + 1]] or [0.0])
                for c in range(self.n)] for group in (trial, earlier)]
        late = [c for c, cls in enumerate(self.s.classes) if mid[0][c] > cls.aim_ms >= mid[1][c] > 0]
        # ours: not while the earlier build is late too or leaves, nor on an old value that empty bins repeat
        told = late and self.news.phase is it.Phase.TRIAL and sum(s.hits[-1][0] for s in trial) >= 2 * self.n
        self.late_bins = self.late_bins + 1 if told else 0
        self.worse_bins = self.worse_bins + 1 if self.news.stage and self._worse() > WORSE else 0
        slow = "all slower since it came" if self.worse_bins >= WORSE_BINS else ""
        return f"late class {late[0]}" if self.late_bins >= LATE_BINS else slow

    def _worse(self) -> float:
        """Log latency of the earlier build's servers over their usual before the build judged was offered."""
        _, (_, _, _, n0, s0, _) = self._totals("own", DEEP)
        return s0 / n0 if n0 >= LEVEL_LEAST and self.news.phase is it.Phase.TRIAL else 0.0

    def _vote(self, verdict: it.Verdict, why: str) -> None:
        """DESIGN: one draw each vote life; a vote that stands is not cast again."""
        vote = (self.news.build, self.news.stage, verdict)
        stands = self.last_vote == vote and self.now - self.vote_at < self.roll.vote_life_ms
        if stands or (verdict is it.Verdict.ON and self.roll.control is it.Control.TIMER):
            return
        self.last_vote, self.vote_at = vote, self.now
        if self.rng.random() < self.roll.calls_per_s * self.roll.vote_life_ms / 1000 / (2 * self.s.agents):
            self.out.append(it.CastVote(self.news.build, self.news.stage, verdict))
            self.out.append(it.Log(f"build {vote[0]} stage {vote[1]}: vote {verdict.name} on {why}"))

    # --- routing ---
    def _cost(self, server: Server) -> float:
        """What a request may expect there: own open work, seen slowness, failures, a stall, the crossing."""
        stall = 1.0 + (self.now - next(iter(server.open.values()), self.now)) / (2 * max(self.usual))
        cross = CROSS if server.entry.zone != self.s.zone and self.s.cross_zone_price else 1.0
        return (len(server.open) + 1) * max(server.slow, 0.2) * stall * cross / max(server.ok, 0.1) ** 2

    def _choose(self, job: Job) -> Server | None:
        part = self._part(job.request)
        can = [s for s in self.servers.values() if len(s.open) < s.limit * part and self.may_send(job, s)]
        stable = [s for s in can if self._cap(s.entry.build) is None]
        if stable and len(stable) < len(can):
            can = [s for s in can if s not in stable] if not job.attempts and self._fill(job) else stable
        used = {a.server.id for a in job.attempts}
        can = [s for s in can if s.ok >= DEAD_OK and s.id not in used] or can
        near = [s for s in can if s.entry.zone == self.s.zone and self.s.cross_zone_price] or can
        return min(self.rng.choice(near), self.rng.choice(can), key=self._cost) if can else None  # DESIGN

    def _fill(self, job: Job) -> bool:
        """DESIGN: trial first sends fill the cap; ours: not beyond an even share a trial server."""
        ready, speed = [s for s in self.servers.values() if s.ready], self.speed.get
        weights = [s.entry.weight * self._able(s) * s.ok / math.exp(speed(s.entry.kind, 0.0)) for s in ready]
        trial = [i for i, s in enumerate(ready) if self._cap(s.entry.build) is not None]
        new, new_weight = max(ready[i].entry.build for i in trial), sum(weights[i] for i in trial)
        tries, asked = self._exposed(new, job.cls)
        places = sum(weights) - (new_weight if self.roll.replacement is it.Replacement.BESIDE else 0.0)
        room = FILL * (self.roll.free + (self._cap(new) or 0.0) * asked)
        share = min(room / max(asked, 1), FAIR * new_weight / max(places, new_weight, 1e-9))
        # by chance, not greedily: a window filled in one go is a burst that a cold server queues for seconds
        return not self.tripped and tries < room and self.rng.random() < share

    def _part(self, request: it.Request) -> float:
        """Part of a server's bound open to a request: the least worth for its work is refused first."""
        worth = [c.worth * (self.s.worth_by_work or 1 / self.usual[i]) for i, c in enumerate(self.s.classes)]
        rank = worth[request.cls] / max(*worth, 1e-9)
        if self.by_tenant:  # by its part of what comes here: a rate wrongs all once other agents are down
            sent = [window.count(self.now) for window in self.by_tenant]
            over = sent[request.tenant] > OVER_SHARE * self.s.tenants[request.tenant].share * sum(sent)
            rank *= self.s.over_share_worth if over else 1.0
        return LEAST_PART + (1 - LEAST_PART) * rank

    # --- request life ---
    def _request(self, request: it.Request) -> None:
        job = self.jobs[request.request] = Job(request, self.now, self.s.classes[request.cls])
        self.asked[request.cls].times.append(self.now)
        if self.by_tenant:
            self.by_tenant[request.tenant].times.append(self.now)
        self._send(job)

    def _send(self, job: Job) -> None:
        """Send an attempt, hold the request a little while none may go, or end it."""
        server = self._choose(job) if self.now < job.useful else None
        if server is None:
            # rule 1: a short client budget ends between two ticks, so the last look is well before it
            patience = min(self.now + HOLD_PART * self.s.classes[job.cls].aim_ms, job.useful - 2 * TICK_MS)
            if self.now >= self.held.setdefault(job.id, patience):
                self._give_up(job)
            return
        self.held.pop(job.id, None)
        self.retries = self.retries - 1 if job.attempts else min(self.retries + RETRY_PART, RETRY_MOST)
        leg, cold = (job.id, len(job.attempts)), self._age(server) < self.s.rules.cold_ms + 2 * BIN_MS
        attempt = self.away[leg] = Attempt(server, job.cls, self.now, cold)
        server.open[leg] = self.now
        server.sent.times.append(self.now)
        self.sent.times.append(self.now)
        job.attempts.append(attempt)
        if self._cap(attempt.build) is not None:
            span = self.roll.window_ms + 2 * self.s.tick_ms
            self.tries.setdefault((attempt.build, job.cls), Window(span)).times.append(self.now)
        self.out.append(it.Send(job.id, server.id, job.useful))

    def _outcome(self, event: it.Outcome) -> None:
        if not (attempt := self.away.pop((event.request, event.attempt), None)):
            return
        attempt.live, attempt.unrun = False, event.status in UNRUN
        attempt.server.open.pop((event.request, event.attempt), None)
        self._learn(attempt, event.status, max(event.latency_ms, 1.0))
        if not (job := self.jobs.get(event.request)):
            return
        if event.status is it.Status.OK and self.roll.one_way and job.request.key:
            self.answered[job.request.key] = max(self.answered.get(job.request.key, 0), attempt.build)
        if event.over:
            self._abandoned(it.Abandoned(event.request))
        elif not any(a.live for a in job.attempts):
            again = self.retries >= 1 and any(self.may_send(job, s) for s in self.servers.values())
            (self._send if again else self._give_up)(job)

    def _abandoned(self, event: it.Abandoned) -> None:
        self.jobs.pop(event.request, None)
        self.held.pop(event.request, None)

    def _give_up(self, job: Job) -> None:
        """The final answer at once: a refusal where trying again does no harm, else a failure."""
        cls, limits = self.s.classes[job.cls], self.s.limits
        harmless = cls.effect is it.Effect.SAFE or (cls.effect, cls.scope) == (it.Effect.KEYED, it.Scope.ALL)
        back = min(REFUSED_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0
        clean = harmless or all(a.unrun for a in job.attempts)
        self.out.append(it.Refuse(job.id, back) if clean else it.Fail(job.id))
        self._abandoned(it.Abandoned(job.id))

    # --- rule guards: the one place that decides whether an attempt may be sent ---
    def _cap(self, build: int) -> float | None:
        """The exposure cap of a build on trial, None for one that is not; one not yet named is in stage 0."""
        if build > self.news.build:
            return self.roll.stage_cap[0]
        if build < self.news.build or self.news.phase is it.Phase.RELEASED:
            return None
        return 0.0 if self.news.phase is it.Phase.WITHDRAWN else self.news.cap

    def _exposed(self, build: int, cls: int) -> tuple[int, int]:
        """Attempts at the build and requests taken within the window, of the class or of all as counted."""
        classes = [cls] if self.roll.per_class else range(self.n)
        tries = sum(self.tries[build, c].count(self.now) for c in classes if (build, c) in self.tries)
        return tries, sum(self.asked[c].count(self.now) for c in classes)

    def _age(self, server: Server) -> float:
        return self.now - server.entry.started_ms if server.entry.started_ms > 0 else math.inf

    def _able(self, server: Server) -> float:
        """Least part of its capacity that a server has had throughout the fall window; 1 once warm."""
        start, warm = self.s.rules.start_capacity, max(self.s.rules.cold_ms, 1.0)
        return start + (1.0 - start) * min(1.0, max(0.0, self._age(server) - self.s.rules.fall_ms) / warm)

    def may_send(self, job: Job, server: Server) -> bool:
        """All five rules, for first sends, retries and copies alike."""
        rules, limits, cls, entry = self.s.rules, self.s.limits, self.s.classes[job.cls], server.entry
        over = job.id not in self.jobs or self.now >= job.until or len(job.attempts) >= limits.max_attempts
        way_back = self.answered.get(job.request.key, 0) > entry.build  # filled only where there is none
        if over or way_back or not server.ready:
            return False  # rules 1, 5 and 3: nothing for what is over, nothing to what drains or is gone
        ran = [a for a in job.attempts if not a.unrun]
        if ran:  # rule 2
            if cls.effect is it.Effect.UNSAFE or (any(a.live for a in ran) and not limits.second_copies):
                return False
            away = {it.Scope.ALL: False, it.Scope.ZONE: entry.zone != ran[0].zone,
                    it.Scope.CELL: entry.cell != ran[0].cell}[cls.scope]
            if cls.effect is it.Effect.KEYED and (away or self.now - ran[0].sent >= cls.repeat_window_ms):
                return False
        if (cap := self._cap(entry.build)) is not None:  # rule 5
            stage = self.news.stage if entry.build == self.news.build else 0
            guarded = stage < self.roll.guarded_stages and cls.effect is not it.Effect.SAFE
            tries, asked = self._exposed(entry.build, job.cls)
            if cap <= 0 or guarded or tries + 1 > self.roll.free + cap * asked:
                return False
        if self._age(server) < rules.cold_ms + BIN_MS:  # rule 4: by what we sent, not what was asked
            even = self.sent.count(self.now) / sum(s.ready for s in self.servers.values())
            budget = COLD_PART * rules.fall_multiple * self._able(server) * even
            return server.sent.count(self.now) + 1 <= max(1.0, budget)
        return True
