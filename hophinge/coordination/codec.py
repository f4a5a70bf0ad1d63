"""CBOR encoding of typed messages: each class has one number, and an unknown or malformed message is an error."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import cbor2

TAG_BASE = 60_000  # CBOR tags of this protocol: in the first-come-first-served range (RFC 8949, section 9.2)
MAX_DEPTH = 32  # nesting of a message; a deeper one is rejected before it is built

MessageClass = TypeVar("MessageClass", bound=type)

_class_by_tag: dict[int, type] = {}


class MessageLayout(NamedTuple):
    """The tag of a message class, and its fields in the order in which they are encoded."""

    tag: int
    field_names: tuple[str, ...]


_layout_by_class: dict[type, MessageLayout] = {}


class CodecError(ValueError):
    """The bytes are no message of this protocol, or the object is no registered message."""


def wire(number: int) -> Callable[[MessageClass], MessageClass]:
    """Register a dataclass as a message, under a number that is never reused for another class.

    Fields are encoded in their order, without names: they may be renamed, but neither moved nor added.

    Raises:
        ValueError: the number is in use.

    """

    def register(message: MessageClass) -> MessageClass:
        tag = TAG_BASE + number
        if tag in _class_by_tag:
            raise ValueError(f"message number {number} is taken by {_class_by_tag[tag].__name__}")
        _class_by_tag[tag] = message
        field_names = tuple(field.name for field in dataclasses.fields(message))
        _layout_by_class[message] = MessageLayout(tag, field_names)
        return message

    return register


# Any: cbor2 gives its hooks an encoder and tags of types that it does not export.
def _encode_value(encoder: Any, value: object) -> None:
    layout = _layout_by_class.get(type(value))
    if layout is None:
        raise CodecError(f"{type(value).__name__} is not a registered message")
    values = [getattr(value, name) for name in layout.field_names]
    encoder.encode(cbor2.CBORTag(layout.tag, values))


def _decode_tag(tag: Any, _immutable: bool) -> object:
    message_class = _class_by_tag.get(tag.tag)
    if message_class is None:
        raise CodecError(f"message number {tag.tag - TAG_BASE} is not known")
    return message_class(*tag.value)


def encode(message: object) -> bytes:
    """Encode one registered message, with the registered messages inside it.

    Raises:
        CodecError: the object, or one inside it, is no registered message.

    """
    return cbor2.dumps(message, default=_encode_value)


def decode(data: bytes) -> object:
    """Decode one registered message.

    Raises:
        CodecError: the bytes are malformed, or hold something else.

    """
    try:
        message: object = cbor2.loads(data, tag_hook=_decode_tag, max_depth=MAX_DEPTH, immutable=True)
    except CodecError:
        raise
    except (cbor2.CBORError, TypeError, ValueError) as error:
        raise CodecError(f"malformed message: {error}") from error
    if type(message) not in _layout_by_class:
        raise CodecError("the bytes hold no message")
    return message
