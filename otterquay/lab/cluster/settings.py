"""Generates the settings blocks `group` and `capacity` of each agent of a cluster day."""

from __future__ import annotations

from collections.abc import Mapping

from otterquay.lab.cluster.day import ClusterDay

GROUP_NAME = "lab"
GROUP_TEMPLATE = """
group {{
  name     = "{name}"
  members  = {members}
  key_file = "{key}"
  listen   = "{listen}"
  beat     = "100ms"
  election = "800ms"
  lease    = "2500ms"
  lost     = "3s"
  back     = "700ms"
  settle   = "6s"
{agents}}}

capacity {{
  yard      = "http://{yard}"
  bound     = {bound}
  allowance = {allowance}
  look      = "400ms"
  owes      = "{owes}ms"
{sites}}}
"""


AGENT_TEMPLATE = """  agent "{number}" {{
    address = "{address}"
    zone    = "{zone}"
  }}
"""
SITE_TEMPLATE = """  site "{name}" {{
    want = {{ {want} }}
  }}
"""


def blocks(
    day: ClusterDay,
    members: list[int],
    key_file: str,
    listen: str,
    addresses: Mapping[int, str],
    sites: Mapping[int, str],
    yard: str,
) -> str:
    """The blocks of one agent. `addresses` are those of the relays by which it reaches the other agents."""
    agents = "".join(
        AGENT_TEMPLATE.format(number=b, address=addresses.get(b, listen), zone=site) for b, site in sites.items()
    )
    wants = "".join(
        SITE_TEMPLATE.format(name=name, want=", ".join(f"{k} = {n}" for k, n in plan.want.items()))
        for name, plan in day.site.items()
    )
    return GROUP_TEMPLATE.format(
        name=GROUP_NAME,
        members=members,
        key=key_file,
        listen=listen,
        agents=agents,
        yard=yard,
        bound=day.bound,
        allowance=day.allowance,
        owes=round(day.owes),
        sites=wants,
    )
