"""Fencing tokens: every effect carries one, and every receiver compares it with the newest that it has seen.

Tokens only increase. The first number is issued by the group, a new one for each grant. The second is a site's
term: 0 in the group's own grants, and above 0 for a coordinator that a site elected while it could not reach the
group. So all of a site's terms sort between the group's last grant and its next one.
"""

from __future__ import annotations

import msgspec

from otterquay.cores.bounds import Number


class Token(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A fencing token, ordered by the group's number, then by the site's term."""

    group: Number = 0
    term: Number = 0

    def __str__(self) -> str:
        return f"{self.group}.{self.term}"

    @classmethod
    def parse(cls, text: str) -> Token:
        """Parses a token from its text form GROUP.TERM. ValueError for anything else."""
        group, dot, term = text.partition(".")
        if not (dot and group.isascii() and group.isdigit() and term.isascii() and term.isdigit()):
            raise ValueError(f"{text[:40]!r} is no token")
        token = cls(int(group), int(term))
        if max(token.group, token.term) >= 2**62:
            raise ValueError(f"{text[:40]!r} is no token: out of range")
        return token


NONE = Token()
CAPACITY = "capacity"


def duty_of(site: str) -> str:
    """The name of the duty to manage one site's servers."""
    return f"{CAPACITY}/{site}"


def site_of(duty: str) -> str | None:
    """The site of a duty; None for the duty of the whole fleet."""
    _, slash, site = duty.partition("/")
    return site if slash else None
