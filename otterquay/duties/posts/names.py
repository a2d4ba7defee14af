"""Names of posts: `look/SITE/KIND`."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

from msgspec import Meta

PostName = Annotated[str, Meta(min_length=1, max_length=136)]
LOOK = "look"
MAX_POSTS = 4096  # sites' kinds beyond this limit are not watched


def post_name(site: str, kind: str) -> str:
    """The name of the post for a site and kind."""
    return f"{LOOK}/{site}/{kind}"


def site_and_kind(post: str) -> tuple[str, str]:
    """The site and kind of a post's name. ValueError if it is not the name of a post."""
    parts = post.split("/", 2)
    if len(parts) != 3 or parts[0] != LOOK or not all(parts):
        raise ValueError(f"{post[:80]!r} is no post")
    return parts[1], parts[2]


def post_names(sites: Iterable[str], kinds: Mapping[str, Iterable[str]]) -> list[str]:
    """Names of all posts of these sites and their kinds, sorted, up to the limit."""
    names = sorted({post_name(site, kind) for site in sites for kind in kinds.get(site, ())})
    return names[:MAX_POSTS]
