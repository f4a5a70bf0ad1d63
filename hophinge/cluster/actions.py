"""The actions that the state machine of a member asks its driver to perform."""

from __future__ import annotations

from typing import TypeAlias

from msgspec import Struct

from hophinge.cluster.interface import Entry, Member


class SendDatagram(Struct, frozen=True):
    """Send a datagram; `address` is host:port."""

    address: str
    data: bytes


class MemberChanged(Struct, frozen=True):
    """Notify subscribers of a member that joined, or whose record has changed."""

    member: Member


class EntryChanged(Struct, frozen=True):
    """Notify subscribers of an entry that was published or deleted."""

    entry: Entry
    is_deleted: bool


class SteppedDown(Struct, frozen=True):
    """An older process uses the same name: this member sends nothing any more."""

    reason: str


Action: TypeAlias = SendDatagram | MemberChanged | EntryChanged | SteppedDown
