"""A message together with the address that it is to be sent to."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MessageT = TypeVar("MessageT")


class AddressedMessage(NamedTuple, Generic[MessageT]):
    """A message that a state machine hands to its host for sending."""

    address: str
    message: MessageT
