"""The command line, on click."""

from otterquay.cli.root import main

__all__ = ["main"]
