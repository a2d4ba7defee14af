"""Builds an agent's fleet work from its settings; imported only if the settings configure it."""

from __future__ import annotations

import random
from pathlib import Path

from otterquay.agent.http_agent import HttpAgent
from otterquay.config.schema import Service
from otterquay.duties.lease import LeaseTerms
from otterquay.fleet.plan import Intervals, Plan
from otterquay.fleet.shell import FleetWork
from otterquay.fleet.transport import group_id
from otterquay.group.types import Times as GroupTimes
from otterquay.logs import Logger
from otterquay.runtimes.machine import Machine
from otterquay.sites.site import Times as SiteTimes
from otterquay.store import Store


def plan_from_settings(service: Service) -> Plan:
    """Return the plan that the blocks `group` and `capacity` describe; ValueError without them."""
    group, capacity = service.group, service.capacity
    if group is None or capacity is None:
        raise ValueError("no block group or no block capacity")
    sites = {int(name): agent.zone for name, agent in group.agent.items()}
    wanted = {zone: dict(capacity.site[zone].want) if zone in capacity.site else {} for zone in sites.values()}
    return Plan(
        service.agent.number,
        tuple(group.members),
        sites,
        capacity.bound,
        capacity.allowance,
        wanted,
        max(service.rollout.back_votes, 1),
        machines={
            kind: Machine(m.family, (m.cores, m.clock_ghz, m.memory_gib)) for kind, m in service.machine.items()
        },
        demand_driven_kinds={name: site.size for name, site in capacity.site.items() if site.size is not None},
        intervals=Intervals(
            yard=capacity.look / 1e3,
            settle=group.settle / 1e3,
            owes=capacity.owes / 1e3,
            retire=capacity.retire / 1e3,
        ),
        terms=LeaseTerms(group.lease / 1e3, group.drift),
        group=GroupTimes(group.beat / 1e3, group.election / 1e3, group.beat * 3 / 1e3),
        site_times=SiteTimes(lost=group.lost / 1e3, back=group.back / 1e3, lease=group.lost / 2e3),
    )


def read_key(path: Path) -> bytes:
    """Read the group's key of 64 hex digits. Raises OSError or ValueError."""
    key = bytes.fromhex(path.read_text(encoding="ascii").strip())
    if len(key) != 32:
        raise ValueError("the group's key file must hold 64 hex digits")
    return key


def attach(agent: HttpAgent, store: Store, rng: random.Random, log: Logger) -> FleetWork:
    """Attach fleet work to an agent. Raises OSError or ValueError if the key cannot be read."""
    service = agent.service
    group, capacity = service.group, service.capacity
    assert group is not None and capacity is not None
    plan = plan_from_settings(service)
    work = FleetWork(
        plan,
        group.listen or group.agent[str(plan.me)].address,
        {int(name): one.address for name, one in group.agent.items()},
        group_id(group.name),
        read_key(Path(group.key_file)),
        capacity.yard,
        store,
        rng,
        log,
    )
    work.on_caps_changed = agent.repost_stage
    agent.ports.fleet = work
    return work
