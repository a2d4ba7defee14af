"""What players type, as a grammar (lark): `/name word "quoted words" --option --option=value`."""

from __future__ import annotations

from dataclasses import dataclass

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError, UnexpectedInput

GRAMMAR = r"""
start: "/" NAME (_WS part)* _WS?
?part: option | word
option: "--" OPTION ["=" value]
word: value
?value: QUOTED | BARE
NAME: /[a-z][a-z0-9-]{0,31}/
OPTION: /[a-z][a-z0-9-]{0,31}/
QUOTED: /"(?:[^"\\\x00-\x1f]|\\["\\])*"/
BARE: /(?!--)[^\s"\\=\x00-\x1f][^\s"\\\x00-\x1f]*/
_WS: /[ \t]+/
"""
TEXT_MOST = 2000


class Mistyped(Exception):
    """Not a command; `column` counts from 1."""

    def __init__(self, reason: str, column: int) -> None:
        super().__init__(f"{reason}, at column {column}")
        self.column = column


@dataclass(frozen=True, slots=True)
class Typed:
    """A command as typed; options without a value have an empty one."""

    name: str
    words: tuple[str, ...]
    options: tuple[tuple[str, str], ...]


def _plain(token: Token) -> str:
    text = str(token)
    if token.type == "QUOTED":
        return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return text


class _Build(Transformer[Token, Typed]):
    def word(self, items: list[Token]) -> str:
        return _plain(items[0])

    def option(self, items: list[Token | None]) -> tuple[str, str]:
        return str(items[0]), _plain(items[1]) if items[1] is not None else ""

    def start(self, items: list[object]) -> Typed:
        words = tuple(i for i in items[1:] if isinstance(i, str))
        return Typed(str(items[0]), words, tuple(i for i in items[1:] if isinstance(i, tuple)))


_PARSER = Lark(GRAMMAR, parser="lalr", transformer=_Build(), maybe_placeholders=True)


def parse(text: str) -> Typed:
    """The command in a line; Mistyped says where it goes wrong."""
    if len(text) > TEXT_MOST:
        raise Mistyped(f"over {TEXT_MOST} characters", TEXT_MOST + 1)
    try:
        typed = _PARSER.parse(text)
    except UnexpectedInput as error:
        ended = getattr(getattr(error, "token", None), "type", "") == "$END"
        raise Mistyped("not a command", len(text) + 1 if ended else max(error.column, 1)) from None
    except LarkError as error:
        raise Mistyped(str(error).splitlines()[0], 1) from None
    assert isinstance(typed, Typed)
    return typed
