"""Write variants of a deployment's site file: the site with a short overlay of our own laid over it.

    python deploy/sites/make.py SITE.toml deploy/sites/quotes-long.toml [...] --to deploy/sites/made

An overlay is TOML of the site's own form, with two differences: entries of a list of tables (classes, tenants,
tiers) stand in a table by the name that the site gives them, as in `[class.lobby-read]`, and may name only fields
that the site has. Each variant goes into a folder of its own, with the files that the bench wants beside a site.
Exit 2 with one line for an overlay that does not fit.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

BESIDE = ("design.json", "real.json", "unlock.txt", "wire.json")


class OverlayError(Exception):
    """The overlay does not fit the site; the text names the field."""


def overlaid(site: Any, overlay: Any, at: str = "") -> Any:
    """The site's value with the overlay's laid over it; OverlayError names a field that the site lacks."""
    if isinstance(site, list) and isinstance(overlay, dict):
        names = [entry.get("name") if isinstance(entry, dict) else None for entry in site]
        if unknown := [name for name in overlay if name not in names]:
            raise OverlayError(f"{at}.{unknown[0]}: the site has no entry of this name")
        return [
            overlaid(entry, overlay[name], f"{at}.{name}") if name in overlay else entry
            for name, entry in zip(names, site, strict=True)
        ]
    if isinstance(site, dict) and isinstance(overlay, dict):
        if unknown := [name for name in overlay if name not in site]:
            raise OverlayError(f"{at}.{unknown[0]}".lstrip(".") + ": the site has no such field")
        return {
            name: overlaid(value, overlay[name], f"{at}.{name}".lstrip(".")) if name in overlay else value
            for name, value in site.items()
        }
    if isinstance(site, dict | list) is not isinstance(overlay, dict | list):
        raise OverlayError(f"{at}: not of the kind that the site has there")
    return overlay


def make(site: Path, overlay: Path, to: Path) -> Path:
    """Write the variant with what belongs beside it; returns the site file."""
    laid = overlaid(tomllib.loads(site.read_text()), tomllib.loads(overlay.read_text()))
    folder = to / overlay.stem
    folder.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        if (beside := site.parent / name).exists():
            shutil.copyfile(beside, folder / name)
    made = folder / f"{overlay.stem}.toml"
    made.write_text(tomli_w.dumps(laid))
    return made


def main(arguments: list[str]) -> int:
    """The program."""
    parser = argparse.ArgumentParser(description="Write variants of a site file.")
    parser.add_argument("site", type=Path)
    parser.add_argument("overlays", type=Path, nargs="+")
    parser.add_argument("--to", type=Path, required=True)
    options = parser.parse_args(arguments)
    for overlay in options.overlays:
        try:
            print(make(options.site, overlay, options.to))
        except (OverlayError, OSError, tomllib.TOMLDecodeError) as error:
            print(f"{overlay}: {error}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
