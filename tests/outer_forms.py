"""Values of the classes that are written to wires and disks, made from their field types alone, and their bytes.

A value depends on the types and the order of fields, never on a Python name: so the recorded bytes stay the same while
classes and fields are renamed, and differ as soon as a rename reaches a wire or a disk.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import types
import typing
from collections.abc import Callable
from typing import Any

import msgspec

MAX_DEPTH = 6  # of nested values; beyond it optional parts are left out and sequences are empty
SCALARS: dict[type, object] = {
    bool: True,
    int: 3,
    float: 0.5,
    str: "alba:80",
    bytes: b"\x01\x02",
    msgspec.Raw: msgspec.Raw(b'{"a":1}'),
    type(None): None,
}
MAPPINGS = (dict, collections.abc.Mapping)
SEQUENCES: dict[object, Callable[[Any], object]] = {
    list: list,
    collections.abc.Sequence: list,
    collections.abc.Collection: list,
    frozenset: frozenset,
    set: set,
}


def _of_tuple(arguments: tuple[Any, ...], depth: int) -> tuple[object, ...]:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return () if depth > MAX_DEPTH else (sample(arguments[0], depth + 1),)
    return tuple(sample(argument, depth + 1) for argument in arguments)


def _of_union(arguments: tuple[Any, ...], depth: int) -> object:
    if depth > MAX_DEPTH and type(None) in arguments:
        return None
    return sample(next(argument for argument in arguments if argument is not type(None)), depth)


def _substituted(hint: Any, variables: dict[Any, Any]) -> Any:
    """A field's type with the type variables of its generic class replaced."""
    if hint in variables:
        return variables[hint]
    inner = tuple(variables[one] for one in getattr(hint, "__parameters__", ()) if one in variables)
    return hint[inner] if inner else hint


def _of_class(hint: Any, depth: int, variables: dict[Any, Any] | None = None) -> object:
    hints = typing.get_type_hints(hint, include_extras=True)
    if dataclasses.is_dataclass(hint):
        names = [field.name for field in dataclasses.fields(hint) if field.init]
    else:
        names = list(hint.__struct_fields__)
    values = [sample(_substituted(hints[name], variables or {}), depth + 1) for name in names]
    return hint(**dict(zip(names, values, strict=True)))


def sample(hint: Any, depth: int = 0) -> object:
    """Make a value of a type; raises TypeError for a type that it does not know."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is typing.Annotated:
        return sample(arguments[0], depth)
    if origin in (typing.Union, types.UnionType):
        return _of_union(arguments, depth)
    if origin is typing.Literal:
        return arguments[0]
    if origin is tuple:
        return _of_tuple(arguments, depth)
    if origin in MAPPINGS:
        return {} if depth > MAX_DEPTH else {sample(arguments[0], depth + 1): sample(arguments[1], depth + 1)}
    if origin in SEQUENCES:
        return SEQUENCES[origin]([] if depth > MAX_DEPTH else [sample(arguments[0], depth + 1)])
    if hint in SCALARS:
        return SCALARS[hint]
    if hint in (object, Any):
        return "object"
    if hasattr(origin, "__struct_fields__"):
        return _of_class(origin, depth, dict(zip(origin.__parameters__, arguments, strict=True)))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return next(iter(hint))
    if isinstance(hint, type):
        return _of_class(hint, depth)
    raise TypeError(f"no value of {hint!r}")
