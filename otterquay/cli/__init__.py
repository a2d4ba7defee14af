"""The command line interface, built with click."""

from otterquay.cli.root import main

__all__ = ["main"]
