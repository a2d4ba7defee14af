"""Names of posts: `look/SITE/KIND`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

from msgspec import Meta

PostName = Annotated[str, Meta(min_length=1, max_length=136)]
LOOK = "look"
MAX_POSTS = 4096  # beyond them a site's kind is looked at by nobody


def post_name(site: str, kind: str) -> str:
    """The post of a site and kind."""
    return f"{LOOK}/{site}/{kind}"


def site_and_kind(post: str) -> tuple[str, str]:
    """Its site and kind; ValueError for what is no post."""
    parts = post.split("/", 2)
    if len(parts) != 3 or parts[0] != LOOK or not all(parts):
        raise ValueError(f"{post[:80]!r} is no post")
    return parts[1], parts[2]


def post_names(sites: Iterable[str], kinds: Mapping[str, Iterable[str]]) -> list[str]:
    """All posts of these sites and their kinds, in order, within the bound."""
    found = sorted({post_name(site, kind) for site in sites for kind in kinds.get(site, ())})
    return found[:MAX_POSTS]
