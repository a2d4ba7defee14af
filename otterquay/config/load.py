"""Reads HCL, checks it against a model and says plainly where it is wrong."""

from __future__ import annotations

import types
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar, Union, get_args, get_origin

import hcl2
from hcl2.utils import SerializationOptions
from lark.exceptions import LarkError, UnexpectedInput
from pydantic import BaseModel, ValidationError

from otterquay.config.schema import LABELLED, REPEATED, Service

_OPTIONS = SerializationOptions(
    with_comments=False, explicit_blocks=False, strip_string_quotes=True, preserve_scientific_notation=False
)
Model = TypeVar("Model", bound=BaseModel)


class ConfigError(Exception):
    """A settings file is refused; each line names file, block, field and what is allowed."""

    def __init__(self, source: str, problems: list[str]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems))
        self.problems = problems


def _model(annotation: Any) -> type[BaseModel] | None:
    """The block behind an annotation, through optionals, lists and dictionaries."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (list, dict, Union, types.UnionType):
        found = [m for m in map(_model, get_args(annotation)) if m]
        return found[0] if found else None
    return None


def _shape(model: type[BaseModel], data: dict[str, Any], where: str, problems: list[str]) -> dict[str, Any]:
    """HCL hands each block over as a list; give every one the form that its model wants."""
    shaped = dict(data)
    for name, field in model.model_fields.items():
        key = field.alias or name
        inner = _model(field.annotation)
        if key not in data or inner is None:
            continue
        found, path = data[key], f"{where}{key}"
        if not isinstance(found, list) or not all(isinstance(block, dict) for block in found):
            problems.append(f"{path}: is a block, write {key} {{ ... }}")
            del shaped[key]
        elif REPEATED in field.metadata:
            shaped[key] = [_shape(inner, b, f"{path}[{i}].", problems) for i, b in enumerate(found)]
        elif LABELLED in field.metadata:
            named: dict[str, Any] = {}
            for block in found:
                if len(block) != 1 or not isinstance(body := next(iter(block.values())), dict):
                    problems.append(f'{path}: needs one name, write {key} "NAME" {{ ... }}')
                    continue
                label = next(iter(block))
                if label in named:
                    problems.append(f'{path} "{label}": stands twice')
                named[label] = _shape(inner, body, f'{path} "{label}".', problems)
            shaped[key] = named
        elif len(found) != 1:
            problems.append(f"{path}: stands {len(found)} times, may stand once")
            del shaped[key]
        else:
            shaped[key] = _shape(inner, found[0], f"{path}.", problems)
    return shaped


def _words(error: ValidationError) -> list[str]:
    lines = []
    for item in error.errors():
        where = ".".join(str(part) for part in item["loc"]) or "file"
        message = item["msg"].removeprefix("Value error, ")
        if item["type"] == "extra_forbidden":
            message = "unknown key"
        elif item["type"] == "missing":
            message = "missing"
        lines.append(f"{where}: {message}")
    return lines


Overrides = Mapping[str, Mapping[str, Any]]


def parse_document(
    model: type[Model], text: str, source: str = "settings", overrides: Overrides | None = None
) -> Model:
    """A checked document from HCL text, or ConfigError with every problem found.

    `overrides` replaces fields of single blocks before the check, as a command line does; None leaves a field.
    """
    try:
        data = hcl2.loads(text if text.endswith("\n") else text + "\n", serialization_options=_OPTIONS)
    except UnexpectedInput as error:
        raise ConfigError(source, [f"line {error.line}: not HCL: {str(error).splitlines()[0]}"]) from None
    except (LarkError, ValueError) as error:
        raise ConfigError(source, [f"not HCL: {str(error).splitlines()[0]}"]) from None
    problems: list[str] = []
    for block, fields in (overrides or {}).items():
        given = {name: value for name, value in fields.items() if value is not None}
        found = data.setdefault(block, [{}]) if given else None
        if isinstance(found, list) and len(found) == 1 and isinstance(found[0], dict):
            found[0].update(given)
    shaped = _shape(model, data, "", problems)
    if problems:
        raise ConfigError(source, problems)
    try:
        return model.model_validate(shaped)
    except ValidationError as error:
        raise ConfigError(source, _words(error)) from None


def load_document(model: type[Model], path: Path, overrides: Overrides | None = None) -> Model:
    """A checked document from a file, or ConfigError (also when the file cannot be read)."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(str(path), [f"cannot be read: {error}"]) from None
    return parse_document(model, text, str(path), overrides)


def parse_service(text: str, source: str = "settings", overrides: Overrides | None = None) -> Service:
    """An agent's settings from HCL text, or ConfigError."""
    return parse_document(Service, text, source, overrides)


def load_service(path: Path, overrides: Overrides | None = None) -> Service:
    """An agent's settings from a file, or ConfigError."""
    return load_document(Service, path, overrides)
