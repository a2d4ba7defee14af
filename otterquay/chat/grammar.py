"""The grammar of typed commands (lark): `/name argument "quoted argument" --option --option=value`."""

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
MAX_TEXT_CHARS = 2000


class CommandSyntaxError(Exception):
    """The text is not a command; `column` is where parsing failed, counted from 1."""

    def __init__(self, reason: str, column: int) -> None:
        super().__init__(f"{reason}, at column {column}")
        self.column = column


@dataclass(frozen=True, slots=True)
class ParsedCommand:
    """A parsed command; an option without a value has an empty string as its value."""

    name: str
    arguments: tuple[str, ...]
    options: tuple[tuple[str, str], ...]


def _unquote(token: Token) -> str:
    text = str(token)
    if token.type == "QUOTED":
        return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return text


class _CommandBuilder(Transformer[Token, ParsedCommand]):
    def word(self, items: list[Token]) -> str:
        return _unquote(items[0])

    def option(self, items: list[Token | None]) -> tuple[str, str]:
        return str(items[0]), _unquote(items[1]) if items[1] is not None else ""

    def start(self, items: list[object]) -> ParsedCommand:
        arguments = tuple(i for i in items[1:] if isinstance(i, str))
        return ParsedCommand(str(items[0]), arguments, tuple(i for i in items[1:] if isinstance(i, tuple)))


_PARSER = Lark(GRAMMAR, parser="lalr", transformer=_CommandBuilder(), maybe_placeholders=True)


def parse(text: str) -> ParsedCommand:
    """Parse one command; raises CommandSyntaxError with the column of the first error."""
    if len(text) > MAX_TEXT_CHARS:
        raise CommandSyntaxError(f"over {MAX_TEXT_CHARS} characters", MAX_TEXT_CHARS + 1)
    try:
        parsed = _PARSER.parse(text)
    except UnexpectedInput as error:
        at_end = getattr(getattr(error, "token", None), "type", "") == "$END"
        raise CommandSyntaxError("not a command", len(text) + 1 if at_end else max(error.column, 1)) from None
    except LarkError as error:
        raise CommandSyntaxError(str(error).splitlines()[0], 1) from None
    assert isinstance(parsed, ParsedCommand)
    return parsed
