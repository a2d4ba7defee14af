"""Base class and field markers for the blocks of a settings file."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

LABELLED = "labelled"  # any number of blocks: block "name" { ... }
REPEATED = "repeated"  # any number of blocks in order: block { ... }


class Block(BaseModel):
    """Base model of a block; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)
