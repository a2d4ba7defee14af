"""Parses HCL, validates it against a model and reports every problem with its location."""

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

_HCL_OPTIONS = SerializationOptions(
    with_comments=False, explicit_blocks=False, strip_string_quotes=True, preserve_scientific_notation=False
)
Model = TypeVar("Model", bound=BaseModel)


class ConfigError(Exception):
    """A settings file is invalid; each line of the message names file, block, field and what is allowed."""

    def __init__(self, source: str, problems: list[str]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems))
        self.problems = problems


def _block_model(annotation: Any) -> type[BaseModel] | None:
    """The block model inside an annotation: unwraps optionals, lists and dictionaries; None if there is none."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (list, dict, Union, types.UnionType):
        found = [m for m in map(_block_model, get_args(annotation)) if m]
        return found[0] if found else None
    return None


def _normalize_blocks(
    model: type[BaseModel], data: dict[str, Any], location: str, problems: list[str]
) -> dict[str, Any]:
    """Convert the lists in which the HCL parser returns blocks to the form of the model's fields.

    A field marked REPEATED becomes a list, one marked LABELLED a dictionary by label, any other a single block.
    Appends to `problems` what does not fit.
    """
    normalized = dict(data)
    for name, field in model.model_fields.items():
        key = field.alias or name
        block_model = _block_model(field.annotation)
        if key not in data or block_model is None:
            continue
        found, path = data[key], f"{location}{key}"
        if not isinstance(found, list) or not all(isinstance(block, dict) for block in found):
            problems.append(f"{path}: is a block: write {key} {{ ... }}")
            del normalized[key]
        elif REPEATED in field.metadata:
            normalized[key] = [
                _normalize_blocks(block_model, b, f"{path}[{i}].", problems) for i, b in enumerate(found)
            ]
        elif LABELLED in field.metadata:
            labelled: dict[str, Any] = {}
            for block in found:
                if len(block) != 1 or not isinstance(body := next(iter(block.values())), dict):
                    problems.append(f'{path}: needs exactly one name: write {key} "NAME" {{ ... }}')
                    continue
                label = next(iter(block))
                if label in labelled:
                    problems.append(f'{path} "{label}": is defined twice')
                labelled[label] = _normalize_blocks(block_model, body, f'{path} "{label}".', problems)
            normalized[key] = labelled
        elif len(found) != 1:
            problems.append(f"{path}: is defined {len(found)} times, but only one is allowed")
            del normalized[key]
        else:
            normalized[key] = _normalize_blocks(block_model, found[0], f"{path}.", problems)
    return normalized


def _problem_lines(error: ValidationError) -> list[str]:
    lines = []
    for item in error.errors():
        location = ".".join(str(part) for part in item["loc"]) or "file"
        message = item["msg"].removeprefix("Value error, ")
        if item["type"] == "extra_forbidden":
            message = "unknown key"
        elif item["type"] == "missing":
            message = "missing"
        lines.append(f"{location}: {message}")
    return lines


Overrides = Mapping[str, Mapping[str, Any]]


def parse_document(
    model: type[Model], text: str, source: str = "settings", overrides: Overrides | None = None
) -> Model:
    """Parse and validate HCL text; raises ConfigError with every problem found.

    `overrides` replaces fields of single blocks before validation, as command line options do; a value of None
    leaves the field as it is.
    """
    try:
        data = hcl2.loads(text if text.endswith("\n") else text + "\n", serialization_options=_HCL_OPTIONS)
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
    normalized = _normalize_blocks(model, data, "", problems)
    if problems:
        raise ConfigError(source, problems)
    try:
        return model.model_validate(normalized)
    except ValidationError as error:
        raise ConfigError(source, _problem_lines(error)) from None


def load_document(model: type[Model], path: Path, overrides: Overrides | None = None) -> Model:
    """Load and validate a file; raises ConfigError, also when the file cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(str(path), [f"cannot be read: {error}"]) from None
    return parse_document(model, text, str(path), overrides)


def parse_service(text: str, source: str = "settings", overrides: Overrides | None = None) -> Service:
    """Parse and validate an agent's settings from HCL text; raises ConfigError."""
    return parse_document(Service, text, source, overrides)


def load_service(path: Path, overrides: Overrides | None = None) -> Service:
    """Load and validate an agent's settings from a file; raises ConfigError."""
    return load_document(Service, path, overrides)
