"""The state of an agent: servers, attempts, requests, evidence; and the constants that several modules share."""

import math
import random
from bisect import bisect_right
from collections import deque
from statistics import median

from otterquay import interface as it

# Length of a bin, the period over which outcomes are collected. Prescribed by the published design.
BIN_MS = 500.0
# Bins that a server's series keeps. Prescribed by the published design.
SERIES_BINS = 8
# Pairs of servers compared per bin and metric.
PAIRS_PER_BIN = 4
# Bins whose pair distances form the baseline: 30 s, prescribed by the published design.
BASELINE_BINS = 60
# Scores of the newest build that are kept, one per bin.
MAX_BIN_SCORES = 12
# Bins over which the long pools of evidence decay.
POOL_BINS = 40
# Pools by source of the evidence (own and peers', or the platform's tallies) and by the bins they decay over.
POOLS = [(name, span) for name in ("own", "tally") for span in (POOL_BINS, SERIES_BINS)]
# Trial outcomes of a class below which the class counts as not seen.
MIN_CLASS_OUTCOMES = 2
# Part of a server's concurrency limit that is open to requests of the least worth.
LOW_WORTH_LIMIT_PART = 0.5
# Agents to which all others send their evidence.
EVALUATOR_COUNT = 5
# Open attempts of one agent that a server may hold at first.
INITIAL_CONCURRENCY_LIMIT = 6.0
# Outcomes which prove that the request never ran.
UNRUN = {it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT}


def count_recent(times: list[float], since: float) -> int:
    """Drop the times up to `since` from the sorted list and return how many remain."""
    del times[: bisect_right(times, since)]
    return len(times)


class Server:
    """One incarnation of a server: its entry in the server list and what this agent has observed of it.

    `open_attempts` maps (request, attempt) to the time of the send and holds this agent's attempts only.
    `started_at` is 0 for a server that started long ago. `load` is the number of requests that the server held
    by its last load report, `load_at` the time of that report.
    """

    def __init__(self, entry: it.ServerEntry, now: float, me: int) -> None:
        self.id, self.entry, self.listed_at, self.send_times = entry.server, entry, now, list[float]()
        # Rendezvous hashing: each agent orders the servers in its own way, and the first few servers of all
        # agents together are spread evenly. `connected_at` is the time of the last answer.
        self.hash_rank, self.connected_at = (
            random.Random(me << 32 | entry.server).random(),
            -math.inf,
        )
        self.open_attempts, self.ready = dict[tuple[int, int], float](), True
        self.health, self.slowness, self.concurrency_limit, self.limit_cut_at, self.outcomes, self.errors = (
            1.0,
            1.0,
            INITIAL_CONCURRENCY_LIMIT,
            0.0,
            0,
            0,
        )
        self.load, self.load_at = 0.0, -math.inf
        self.started_at, self.last_ready_at = entry.started_ms, now
        # Latencies of the current bin by class; NaN stands for an error.
        self.bin_latencies: dict[int, list[float]] = {}
        # One series per metric. Each class has two: its error share (2 * class) and its latency (2 * class + 1).
        self.series: dict[int, deque[float]] = {}

    def close_bin(self) -> None:
        """Append the current bin to the series; an empty bin repeats the last value, as the design prescribes."""
        for series in self.series.values():
            series.append(series[-1])
        for cls, latencies in self.bin_latencies.items():
            good = [x for x in latencies if x == x]
            self.outcomes, self.errors = (
                self.outcomes + len(latencies),
                self.errors + len(latencies) - len(good),
            )
            values = [1 - len(good) / len(latencies)] + ([median(good)] if good else [])
            for metric, value in enumerate(values, 2 * cls):
                self.series.setdefault(metric, deque([value], maxlen=SERIES_BINS))[-1] = value
        self.bin_latencies = {}


class Attempt:
    """One attempt: where and when it was sent, whether it has no outcome yet, and whether it provably never ran."""

    def __init__(self, server: Server, cls: int, now: float) -> None:
        self.server, self.cls, self.sent_at, self.is_open, self.never_ran = server, cls, now, True, False


class PendingRequest:
    """A request that has no final answer yet.

    `group_indexes` are the request's places in `AgentState.sent_and_useful`: its class and, if any, its tenant.
    """

    def __init__(self, request: it.Request, now: float, cls: it.RequestClass) -> None:
        self.request, self.id, self.cls = request, request.request, request.cls
        aim = cls.aim_ms + cls.aim_stretch * (request.work_hint_ms if request.hinted else 0.0)
        # After `useful_until` an answer has no worth, so no attempt runs longer than that.
        useful = min(request.budget_ms, cls.deadline_ms if cls.late_worth > 0 else aim)
        self.expires_at, self.useful_until = now + request.budget_ms, now + useful
        self.aim_at, self.attempts, self.group_indexes, self.send_weight = (
            now + aim,
            list[Attempt](),
            [request.cls],
            0.0,
        )


class AgentState:
    """All state of an agent. The decisions on it are made by the classes that derive from this one.

    An evidence row is a flat list of floats: for each class the trial build's outcomes and errors and the earlier
    builds' outcomes and errors, then the number and the sum of log latencies (relative to the usual latency) of the
    trial build and of the earlier builds. A pool adds three values that compare both builds within the same bins:
    the number of latencies counted and the sums of the trial build and of the earlier builds over that number.
    """

    def __init__(self, settings: it.Settings, seed: int) -> None:
        self.settings, self.rollout, self.class_count = settings, settings.rollout, len(settings.classes)
        self.rng, self.now, self.actions = random.Random(seed), 0.0, list[it.Action]()
        self.servers, self.pending_requests = dict[int, Server](), dict[int, PendingRequest]()
        # Attempts without an outcome, by (request, attempt).
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        # Times of the attempts by (build, class).
        self.attempt_times = dict[tuple[int, int], list[float]]()
        # Until then attempts of an earlier process may count that no store kept.
        self.exposure_known_from = -math.inf
        self.request_times = [list[float]() for _ in settings.classes]
        # Times of good answers, and of sends to cold servers.
        self.success_times, self.cold_send_times = (
            list[float](),
            list[float](),
        )
        # Decaying sums of the good answers per overload window and of the capacity in warm servers; and the time
        # of the last good answer from a warm server.
        self.success_and_capacity, self.last_warm_success_at = (
            (0.0, 0.0),
            math.inf,
        )
        self.tenant_request_times = [list[float]() for _ in settings.tenants]
        # Decaying sums by class, then by tenant: requests sent, and the worth that their answers brought.
        self.sent_and_useful = [(0.0, 0.0)] * (self.class_count + len(settings.tenants))
        # For one-way rollouts: the highest build that answered a key, and the lowest build permitted for any key.
        self.key_builds, self.any_key_build = dict[int, int](), 0
        # Usual latency by class, and the number of answers that it rests on.
        self.usual_latency_ms, self.usual_sample_count = (
            [c.aim_ms / 4 for c in settings.classes],
            [0] * self.class_count,
        )
        # Position in load reports of the field that tells how many requests a server holds, if there is one.
        fields, held = enumerate(settings.report_fields), (it.LoadField.INFLIGHT, it.LoadField.QUEUE)
        self.load_index = next((i for i, f in fields if f in held and settings.reports_in_answers), None)
        self.watch_needed, self.refusal_share, self.stalled_at = (
            settings.discovery is it.Discovery.ASK,
            0.0,
            -math.inf,
        )
        self.next_bin_at, self.next_note_at, self.settle_until, self.last_vote_at = 0.0, 0.0, 0.0, -math.inf
        self.stage_news = it.StageNews(0, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        # Distances of pairs of servers of earlier builds, by metric.
        self.baseline_distances = [
            deque[float](maxlen=BASELINE_BINS * PAIRS_PER_BIN) for _ in range(2 * self.class_count)
        ]
        # Ready servers that are not on trial, then those on trial; each as [in the agent's zone, all].
        self.server_groups: list[list[list[Server]]] = []
        # The trial's even share of the requests, the number of ready servers, and how many of them are cold.
        self.even_trial_share, self.ready_count, self.cold_count = (
            0.0,
            1,
            0,
        )
        # Start of the ready server that started last; None until it is computed.
        self.latest_start: float | None = None
        # All builds on trial that ready servers run.
        self.trial_builds = set[int]()
        self.bin_count, self.ranked_bin, self.bin_scores = 0, -1, deque[float](maxlen=MAX_BIN_SCORES)
        # For the log of a vote: when the stage's news came, and of the newest bin the pairs compared and the number
        # of servers on trial and of earlier builds.
        self.stage_began_at, self.compared_pairs = 0.0, 0
        self.judged_servers = (0, 0)
        # Some agent must see all evidence: where agents may exchange messages, all send theirs to a few of them,
        # the evaluators, whose numbers are spread evenly over all agents.
        self.evaluators = sorted(
            {i * settings.agents // EVALUATOR_COUNT for i in range(EVALUATOR_COUNT * settings.limits.peers)}
        )
        self.empty_row, self.late_bins, self.slower_bins, self.errors_widespread = (
            [0.0] * (4 * self.class_count + 4),
            0,
            0,
            False,
        )
        self.usual_error_shares, self.last_vote = dict[tuple[str, int, int], float](), (0, 0, it.Verdict.NONE)
        self._reset_evidence()

    def _reset_evidence(self) -> None:
        """Discard the evidence at the offer of a new build: nothing seen of the last one applies to it."""
        self.own_row, self.peer_row, self.unsent_row, self.tally_row = (self.empty_row[:] for _ in range(4))
        self.trip_reason, self.pools = "", {at: [*self.empty_row, 0.0, 0.0, 0.0] for at in POOLS}
        # The last tally of the earlier build by class: its time, good answers and mean latency.
        self.earlier_tallies: dict[int, tuple[float, int, float]] = {}
