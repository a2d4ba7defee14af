"""What an agent keeps: servers, attempts, requests, evidence; and the figures that several subjects share."""

import math
import random
from bisect import bisect_right
from collections import deque
from statistics import median

from otterquay import interface as it

BIN_MS, SERIES_BINS = 500.0, 8  # DESIGN: half-second bins, eight deep
PAIRS_PER_BIN, BASELINE_BINS = 4, 60  # DESIGN: pairs over 30 s; ours: pairs a bin
MAX_BIN_SCORES, POOL_BINS = 12, 40  # ours: points kept, bins that evidence fades over
POOLS = [(name, span) for name in ("own", "tally") for span in (POOL_BINS, SERIES_BINS)]
MIN_CLASS_OUTCOMES, LOW_WORTH_LIMIT_PART = (
    2,
    0.5,
)  # outcomes of a class; part of a bound that is open to least worth
EVALUATOR_COUNT, INITIAL_CONCURRENCY_LIMIT = (
    5,
    6.0,
)  # agents that all others tell; own open work a server may hold at first
UNRUN = {it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT}  # outcomes that prove no run


def recent(times: list[float], since: float) -> int:  # how many are later; the others are dropped
    del times[: bisect_right(times, since)]
    return len(times)


class Server:  # what the list says of a server and what we have seen of it since it started
    def __init__(self, entry: it.ServerEntry, now: float, me: int) -> None:
        self.id, self.entry, self.listed_at, self.send_times = entry.server, entry, now, list[float]()
        # rendezvous hashing: an order of the agent's own, and the first few of all agents are even
        self.hash_rank, self.connected_at = (
            random.Random(me << 32 | entry.server).random(),
            -math.inf,
        )  # last answer
        self.open_attempts, self.ready = dict[tuple[int, int], float](), True  # own attempts out there: when sent
        self.health, self.slowness, self.concurrency_limit, self.limit_cut_at, self.outcomes, self.errors = (
            1.0,
            1.0,
            INITIAL_CONCURRENCY_LIMIT,
            0.0,
            0,
            0,
        )
        self.load, self.load_at = 0.0, -math.inf  # requests it held by its last report, and when that came
        self.started_at, self.last_ready_at = entry.started_ms, now  # 0: long ago; when it was last seen ready
        self.bin_latencies: dict[int, list[float]] = {}  # by class this bin's latencies, nan for an error
        self.series: dict[int, deque[float]] = {}  # by metric, two a class: errors, latency

    def close_bin(self) -> None:  # DESIGN: an empty bin repeats the last value
        for series in self.series.values():
            series.append(series[-1])
        for cls, got in self.bin_latencies.items():
            good = [x for x in got if x == x]
            self.outcomes, self.errors = self.outcomes + len(got), self.errors + len(got) - len(good)
            values = [1 - len(good) / len(got)] + ([median(good)] if good else [])
            for metric, value in enumerate(values, 2 * cls):
                self.series.setdefault(metric, deque([value], maxlen=SERIES_BINS))[-1] = value
        self.bin_latencies = {}


class Attempt:  # one attempt: where it went, when, and whether it may have run
    def __init__(self, server: Server, cls: int, now: float) -> None:
        self.server, self.cls, self.sent_at, self.pending, self.never_ran = server, cls, now, True, False


class PendingRequest:  # a request we owe an answer
    def __init__(self, request: it.Request, now: float, cls: it.RequestClass) -> None:
        self.request, self.id, self.cls = request, request.request, request.cls
        aim = cls.aim_ms + cls.aim_stretch * (request.work_hint_ms if request.hinted else 0.0)
        useful = min(request.budget_ms, cls.deadline_ms if cls.late_worth > 0 else aim)  # then free it
        self.expires_at, self.useful_until = now + request.budget_ms, now + useful
        self.aim_at, self.attempts, self.group_indexes, self.send_weight = (
            now + aim,
            list[Attempt](),
            [request.cls],
            0.0,
        )


class AgentState:  # all that an agent keeps; what is decided on it stands in the classes after it
    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.settings, self.rollout, self.class_count = settings, settings.rollout, len(settings.classes)
        self.rng, self.now, self.actions = random.Random(seed), 0.0, list[it.Action]()
        self.servers, self.pending_requests = dict[int, Server](), dict[int, PendingRequest]()
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # attempts without an outcome
        self.attempt_times = dict[tuple[int, int], list[float]]()  # (build, class): when attempts were made
        self.request_times = [list[float]() for _ in settings.classes]
        self.success_times, self.cold_send_times = (
            list[float](),
            list[float](),
        )  # good answers; sends to cold servers
        self.success_and_capacity, self.last_warm_success_at = (
            (0.0, 0.0),
            math.inf,
        )  # answers a window, able servers; last by a warm one
        self.tenant_request_times = [list[float]() for _ in settings.tenants]
        self.sent_and_useful = [(0.0, 0.0)] * (
            self.class_count + len(settings.tenants)
        )  # by class, tenant: sent, brought worth
        # where there is no way back: the highest build that answered a key, and the least one for any key
        self.key_builds, self.any_key_build = dict[int, int](), 0
        self.usual_latency_ms, self.usual_sample_count = (
            [c.aim_ms / 4 for c in settings.classes],
            [0] * self.class_count,
        )  # how many it rests on
        fields, held = enumerate(settings.report_fields), (it.LoadField.INFLIGHT, it.LoadField.QUEUE)
        self.load_index = next((i for i, f in fields if f in held and settings.reports_in_answers), None)
        self.watch_needed, self.refusal_share, self.stalled_at = (
            settings.discovery is it.Discovery.ASK,
            0.0,
            -math.inf,
        )
        self.next_bin_at, self.next_note_at, self.settle_until, self.last_vote_at = 0.0, 0.0, 0.0, -math.inf
        self.stage_news = it.StageNews(0, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        self.baseline_distances = [
            deque[float](maxlen=BASELINE_BINS * PAIRS_PER_BIN) for _ in range(2 * self.class_count)
        ]
        self.server_groups: list[list[list[Server]]] = []  # servers not on trial and on trial: near ones, all
        self.even_trial_share, self.ready_count, self.cold_count = (
            0.0,
            1,
            0,
        )  # trial's even share, servers ready, cold ones of them
        self.latest_start: float | None = None  # start of the ready server that started last
        self.trial_builds = set[int]()  # all builds on trial that ready servers run
        self.bin_count, self.ranked_bin, self.bin_scores = 0, -1, deque[float](maxlen=MAX_BIN_SCORES)
        # evidence must be whole somewhere: where agents may talk, all tell a few, spread over their numbers
        self.evaluators = sorted(
            {i * settings.agents // EVALUATOR_COUNT for i in range(EVALUATOR_COUNT * settings.limits.peers)}
        )
        # an evidence row: by class trial outcomes, errors, earlier ones; log-latency n, sum of both
        self.empty_row, self.late_bins, self.slower_bins, self.errors_widespread = (
            [0.0] * (4 * self.class_count + 4),
            0,
            0,
            False,
        )
        self.usual_error_shares, self.last_vote = dict[tuple[str, int, int], float](), (0, 0, it.Verdict.NONE)
        self._reset_evidence()

    def _reset_evidence(self) -> None:  # a new build: nothing seen of the last one speaks of it
        self.own_row, self.peer_row, self.unsent_row, self.tally_row = (self.empty_row[:] for _ in range(4))
        self.trip_reason, self.pools = "", {at: [*self.empty_row, 0.0, 0.0, 0.0] for at in POOLS}
        self.earlier_tallies: dict[
            int, tuple[float, int, float]
        ] = {}  # class: when, answers, mean of the earlier build
