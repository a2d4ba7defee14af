"""Decodes the settings of a starting instance; ignores unknown keys and gives missing ones neutral defaults."""

from __future__ import annotations

import json
from typing import Any

from otterquay import interface as it
from otterquay.benchlink.wire import WireError

_EFFECT = {"idempotent": it.Effect.SAFE, "deduplicated": it.Effect.KEYED, "at_most_once": it.Effect.UNSAFE}
_CONTROL = {"first_voice": it.Control.ANY, "by_count": it.Control.SHARE, "automatic": it.Control.TIMER}
_REPLACEMENT = {"parallel": it.Replacement.BESIDE, "replace": it.Replacement.IN_PLACE}
_DISCOVERY = {"automatic": it.Discovery.PUSH, "subscribe": it.Discovery.ASK}
_LOAD_FIELD = {
    "busy_reqs": it.LoadField.INFLIGHT,
    "pending": it.LoadField.QUEUE,
    "cpu_share": it.LoadField.UTIL,
    "svc_ms": it.LoadField.LATENCY_MS,
    "served_ps": it.LoadField.QPS,
    "failed_ps": it.LoadField.EPS,
}
Json = dict[str, Any]


def _section(data: Json, key: str) -> Json:
    value = data.get(key)
    return value if isinstance(value, dict) else {}


def _enum_value(table: dict[str, Any], data: Json, key: str, default: str) -> Any:
    label = data.get(key, default)
    if label not in table:
        raise WireError(f"settings: {key}: unknown value {label!r}")
    return table[label]


def _request_class(data: Json) -> it.RequestClass:
    deadline = float(data["deadlineMs"])
    return it.RequestClass(
        name=str(data.get("name", "")),
        effect=_enum_value(_EFFECT, data, "effect", "at_most_once"),
        scope=it.Scope(data.get("dedupScope", "cell")),
        repeat_window_ms=float(data.get("repeatWindowMs", 0.0)),
        aim_ms=float(data.get("onTimeMs", deadline)),
        aim_stretch=float(data.get("aimStretch") or 0.0),
        deadline_ms=deadline,
        worth=float(data.get("value", 1.0)),
        late_worth=float(data.get("lateWorth", 0.0)),
        streamed=bool(data.get("streamed", False)),
    )


def _limits(data: Json) -> it.Limits:
    return it.Limits(
        cancel=bool(data.get("cancel", False)),
        peers=bool(data.get("peers", False)),
        probes=bool(data.get("probes", False)),
        retry_after=bool(data.get("retryAfter", False)),
        second_copies=bool(data.get("secondCopies", False)),
        max_attempts=int(data.get("sendCap", 1)),
        max_open=int(data.get("maxOpen", 1)),
        max_retry_after_ms=float(data.get("maxRetryAfterMs", 0.0)),
        keepalive_ms=float(data.get("keepaliveMs", 0.0)),
    )


def _rules(data: Json) -> it.RuleFigures:
    return it.RuleFigures(
        answer_slack_ms=float(data.get("answerSlackMs", 0.0)),
        ask_within_ms=float(data.get("askEveryMs", 10000.0)),
        cold_ms=float(data.get("coldMs", 0.0)),
        start_capacity=float(data.get("startCapacity", 1.0)),
        drain_grace_ms=float(data.get("drainGraceMs", 0.0)),
        fall_multiple=float(data.get("fallMultiple", 1.0)),
        fall_ms=float(data.get("fallMs", 1000.0)),
    )


def _rollout(data: Json) -> it.Rollout:
    shares = tuple(float(x) for x in data.get("stageShare", [1.0]))
    return it.Rollout(
        control=_enum_value(_CONTROL, data, "control", "first_voice"),
        replacement=_enum_value(_REPLACEMENT, data, "swap", "parallel"),
        on_votes=int(data.get("ayesNeeded", 1)),
        back_votes=int(data.get("votesToRevert", 1)),
        hold_votes=int(data.get("votesToHold", 0)),
        bake_ms=float(data.get("soakMs", 0.0)),
        step_ms=float(data.get("stepMs", 0.0)),
        push_ms=float(data.get("repeatEveryMs", 0.0)),
        call_timeout_ms=float(data.get("apiTimeoutMs", 1000.0)),
        calls_per_s=float(data.get("callsPerS", 1.0)),
        vote_life_ms=float(data.get("voteLifeMs", 1000.0)),
        stage_share=shares,
        stage_cap=tuple(float(x) for x in data.get("caps", shares)),
        window_ms=float(data.get("windowMs", 1000.0)),
        free=float(data.get("allowance", 0.0)),
        per_class=data.get("counts") == "each_class",
        guarded_stages=int(data.get("closedStages", 0)),
        one_way=bool(data.get("noReturn", False)),
        tally_ms=float(data.get("tallyEveryMs", 0.0)),
        tally_sample=float(data.get("tallySample", 0.0)),
        flag_share=float(data.get("complaintShare", 0.0)),
        behind_price=float(data.get("staleBuildPrice", 0.0)),
        harm_price=float(data.get("harmFee", 0.0)),
    )


def _validate(settings: it.Settings) -> None:
    """Reject contradictory settings at start, before a run is spent on them."""
    rollout = settings.rollout
    if not settings.classes:
        raise WireError("settings: requestClasses is empty")
    if len(rollout.stage_share) != len(rollout.stage_cap) or not rollout.stage_cap:
        raise WireError("settings: stageShare and caps must be non-empty and of the same length")
    if settings.agents < 1 or not 0 <= settings.me < settings.agents:
        raise WireError("settings: myNumber must be at least 0 and less than groupSize")
    for cls in settings.classes:
        if cls.deadline_ms <= 0 or cls.aim_ms <= 0:
            raise WireError(f"settings: class {cls.name!r}: deadlineMs and onTimeMs must be greater than 0")


def decode_settings(text: bytes) -> it.Settings:
    """Decode settings from JSON text; raises WireError naming the problem."""
    try:
        data = json.loads(text)
        if not isinstance(data, dict):
            raise WireError("settings: must be a JSON object")
        report = _section(data, "loadReport")
        source = report.get("source", "none")
        tenants = tuple(
            it.Tenant(str(t.get("name", "")), float(t.get("quotaPerS", 0.0)), float(t.get("share", 0.0)))
            for t in data.get("tenants") or []
        )
        settings = it.Settings(
            agents=int(data.get("groupSize", 1)),
            me=int(data.get("myNumber", 0)),
            zone=int(data.get("zone", 0)),
            zones=max(1, len(data.get("localities") or [])),
            classes=tuple(_request_class(c) for c in data["requestClasses"]),
            tenants=tenants,
            over_share_worth=float(data.get("overShareWorth", 1.0)),
            worth_by_work=data.get("valueBy") == "work",
            clients_mark_retries=bool(_section(data, "clientHabits").get("marksRetry", False)),
            tick_ms=float(data.get("tickMs", 0.0)),
            discovery=_enum_value(_DISCOVERY, data, "discovery", "automatic"),
            report_fields=tuple(_LOAD_FIELD.get(n, it.LoadField.OTHER) for n in report.get("names") or []),
            reports_in_answers=source == "answers",
            cross_zone_price=float(_section(data, "charges").get("crossZone", 0.0)),
            limits=_limits(_section(data, "limits")),
            rules=_rules(_section(data, "rules")),
            rollout=_rollout(_section(data, "familyInfo")),
        )
    except WireError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise WireError(f"settings: {type(error).__name__}: {error}") from None
    _validate(settings)
    return settings
