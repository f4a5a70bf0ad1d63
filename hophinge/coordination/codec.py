"""CBOR encoding of typed messages: each class has one number, and an unknown or malformed message is an error."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

TAG_BASE = 60_000  # CBOR tags of this protocol: in the range that is given to who comes first
MAX_DEPTH = 32  # nesting of a message; a deeper one is refused before it is built

MessageClass = TypeVar("MessageClass", bound=type)

_class_by_tag: dict[int, type] = {}
_layout_by_class: dict[type, tuple[int, tuple[str, ...]]] = {}


class CodecError(ValueError):
    """Bytes that are no message of this protocol."""


def wire(number: int) -> Callable[[MessageClass], MessageClass]:
    """Register a dataclass under a number that is never reused for another class."""

    def register(message: MessageClass) -> MessageClass:
        tag = TAG_BASE + number
        if tag in _class_by_tag:
            raise ValueError(f"message number {number} is taken by {_class_by_tag[tag].__name__}")
        _class_by_tag[tag] = message
        _layout_by_class[message] = tag, tuple(field.name for field in dataclasses.fields(message))
        return message

    return register


def _encode_value(encoder: Any, value: object) -> None:
    layout = _layout_by_class.get(type(value))
    if layout is None:
        raise CodecError(f"{type(value).__name__} is not a registered message")
    tag, names = layout
    encoder.encode(cbor2.CBORTag(tag, [getattr(value, name) for name in names]))


def _decode_tag(tag: Any, _immutable: bool) -> object:
    message_class = _class_by_tag.get(tag.tag)
    if message_class is None:
        raise CodecError(f"message number {tag.tag - TAG_BASE} is not known")
    return message_class(*tag.value)


def encode(message: object) -> bytes:
    """Encode one registered message, with the registered messages inside it."""
    return cbor2.dumps(message, default=_encode_value)


def decode(data: bytes) -> object:
    """Decode one message; raises CodecError for anything else."""
    try:
        message: object = cbor2.loads(data, tag_hook=_decode_tag, max_depth=MAX_DEPTH, immutable=True)
    except CodecError:
        raise
    except (cbor2.CBORError, TypeError, ValueError) as error:
        raise CodecError(f"malformed message: {error}") from error
    if type(message) not in _layout_by_class:
        raise CodecError("the bytes hold no message")
    return message
