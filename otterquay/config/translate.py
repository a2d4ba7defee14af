"""Converts validated settings to the types of the decision module."""

from __future__ import annotations

from otterquay import interface as it
from otterquay.config.schema import Service


def decision_settings(service: Service) -> it.Settings:
    """The settings with which the decision module starts."""
    limits, rules, roll = service.limits, service.rules, service.rollout
    return it.Settings(
        agents=service.agent.count,
        me=service.agent.number,
        zone=service.zones.index(service.agent.zone),
        zones=len(service.zones),
        classes=tuple(
            it.RequestClass(
                name,
                it.Effect(c.effect),
                it.Scope(c.scope),
                c.repeat_window,
                c.aim,
                c.aim_stretch,
                c.deadline,
                c.worth,
                c.late_worth,
                False,
            )
            for name, c in service.class_.items()
        ),
        tenants=tuple(it.Tenant(name, t.quota_per_s, t.share) for name, t in service.tenant.items()),
        over_share_worth=service.over_share_worth,
        worth_by_work=service.worth_by == "work",
        clients_mark_retries=service.clients_mark_retries,
        tick_ms=service.tick,
        discovery=it.Discovery(service.discovery),
        report_fields=tuple(it.LoadField(f) for f in service.report_fields),
        reports_in_answers=service.reports_in == "answers",
        cross_zone_price=service.cross_zone_price,
        limits=it.Limits(
            limits.cancel,
            limits.peers,
            limits.probes,
            limits.retry_after,
            limits.second_copies,
            limits.max_attempts,
            limits.max_open,
            limits.max_retry_after,
            limits.keepalive,
        ),
        rules=it.RuleFigures(
            rules.answer_slack,
            rules.ask_within,
            rules.cold,
            rules.start_capacity,
            rules.drain_grace,
            rules.fall_multiple,
            rules.fall,
        ),
        rollout=it.Rollout(
            control=it.Control(roll.control),
            replacement=it.Replacement(roll.replacement),
            on_votes=roll.on_votes,
            back_votes=roll.back_votes,
            hold_votes=roll.hold_votes,
            bake_ms=roll.bake,
            step_ms=roll.step,
            push_ms=roll.push,
            call_timeout_ms=roll.call_timeout,
            calls_per_s=roll.calls_per_s,
            vote_life_ms=roll.vote_life,
            stage_share=tuple(s.share for s in roll.stage),
            stage_cap=tuple(s.cap for s in roll.stage),
            window_ms=roll.window,
            free=roll.free,
            per_class=roll.per_class,
            guarded_stages=roll.guarded_stages,
            one_way=roll.one_way,
            tally_ms=roll.tally,
            tally_sample=roll.tally_sample,
            flag_share=roll.flag_share,
            behind_price=roll.behind_price,
            harm_price=roll.harm_price,
        ),
    )
