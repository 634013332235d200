"""Comparison of decoded JSON with a Struct type."""

import types
from collections.abc import Iterator
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

from gooseberrydeck_daemon.checks.messages import CheckMessage

__all__ = ["find_structure_problems"]

UNKNOWN_FIELD = "settings.E002"
MISSING_FIELD = "settings.E003"
INVALID_VALUE = "settings.E004"


def find_structure_problems(
    value: object, expected: Any, path: str = "$"
) -> Iterator[CheckMessage]:
    """Yield unknown fields, missing fields and invalid values at and below ``path``.

    Unlike ``msgspec.convert``, which stops at the first error, this reports all.
    """
    expected = strip_optional(expected, value)
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        yield from find_struct_problems(value, expected, path)
    elif get_origin(expected) is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            item_path = f"{path}[{index}]"
            yield from find_structure_problems(item, get_args(expected)[0], item_path)
    else:
        yield from find_value_problems(value, expected, path)


def strip_optional(expected: Any, value: object) -> Any:
    """Return ``T`` for an expected ``T | None``, unless ``value`` is None."""
    if get_origin(expected) in (Union, types.UnionType) and value is not None:
        others = [item for item in get_args(expected) if item is not type(None)]
        if len(others) == 1:
            return others[0]
    return expected


def find_struct_problems(
    value: object, expected: type[msgspec.Struct], path: str
) -> Iterator[CheckMessage]:
    """Yield the problems of a value that must be a JSON object."""
    if not isinstance(value, dict):
        hint = f"Write an object with the fields of {expected.__name__}."
        yield CheckMessage(path, INVALID_VALUE, "expected a JSON object", hint)
        return
    hints = get_type_hints(expected, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected)}
    for name in value:
        if name not in fields:
            hint = f"Known fields are {', '.join(sorted(fields))}."
            text = f"unknown field {name!r}"
            yield CheckMessage(f"{path}.{name}", UNKNOWN_FIELD, text, hint)
    for name, field in fields.items():
        if name in value:
            yield from find_structure_problems(
                value[name], hints[field.name], f"{path}.{name}"
            )
        elif field.required:
            hint = f"Add the field {name!r}."
            yield CheckMessage(f"{path}.{name}", MISSING_FIELD, "missing field", hint)


def find_value_problems(
    value: object, expected: Any, path: str
) -> Iterator[CheckMessage]:
    """Yield a problem if a value can't be converted to the expected type."""
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        text = str(error).split(" - at ")[0]
        hint = "Write a value of the type named in docs/ref/settings.md."
        yield CheckMessage(path, INVALID_VALUE, text, hint)
