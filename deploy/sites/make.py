"""Write variants of a deployment's site file by applying overlays to it.

    python deploy/sites/make.py SITE.toml deploy/sites/quotes-long.toml [...] --to deploy/sites/made

An overlay is TOML with the structure of the site file, with two differences: the entries of a list of tables
(classes, tenants, tiers) are tables under the entry's name in the site, as in `[class.lobby-read]`, and an overlay
may set only fields that the site has. Each variant is written to its own folder, together with the files that the
bench expects next to a site file. Exits with status 2 and one line on standard error if an overlay does not fit.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

COMPANION_FILES = ("design.json", "real.json", "unlock.txt", "wire.json")


class OverlayError(Exception):
    """The overlay does not fit the site; the message names the field."""


def apply_overlay(site: Any, overlay: Any, path: str = "") -> Any:
    """Return the site's value with the overlay applied; raises OverlayError for a field that the site lacks."""
    if isinstance(site, list) and isinstance(overlay, dict):
        names = [entry.get("name") if isinstance(entry, dict) else None for entry in site]
        if unknown := [name for name in overlay if name not in names]:
            raise OverlayError(f"{path}.{unknown[0]}: the site has no entry with this name")
        return [
            apply_overlay(entry, overlay[name], f"{path}.{name}") if name in overlay else entry
            for name, entry in zip(names, site, strict=True)
        ]
    if isinstance(site, dict) and isinstance(overlay, dict):
        if unknown := [name for name in overlay if name not in site]:
            raise OverlayError(f"{path}.{unknown[0]}".lstrip(".") + ": the site has no such field")
        return {
            name: apply_overlay(value, overlay[name], f"{path}.{name}".lstrip(".")) if name in overlay else value
            for name, value in site.items()
        }
    if isinstance(site, dict | list) is not isinstance(overlay, dict | list):
        raise OverlayError(f"{path}: the site has a value of another kind here")
    return overlay


def write_variant(site: Path, overlay: Path, to: Path) -> Path:
    """Write the variant and its companion files; returns the path of the site file."""
    variant = apply_overlay(tomllib.loads(site.read_text()), tomllib.loads(overlay.read_text()))
    folder = to / overlay.stem
    folder.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        if (companion := site.parent / name).exists():
            shutil.copyfile(companion, folder / name)
    variant_file = folder / f"{overlay.stem}.toml"
    variant_file.write_text(tomli_w.dumps(variant))
    return variant_file


def main(arguments: list[str]) -> int:
    """Parse the arguments, write all variants and return the exit status."""
    parser = argparse.ArgumentParser(description="Write variants of a site file.")
    parser.add_argument("site", type=Path)
    parser.add_argument("overlays", type=Path, nargs="+")
    parser.add_argument("--to", type=Path, required=True)
    options = parser.parse_args(arguments)
    for overlay in options.overlays:
        try:
            print(write_variant(options.site, overlay, options.to))
        except (OverlayError, OSError, tomllib.TOMLDecodeError) as error:
            print(f"{overlay}: {error}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
