"""What members say to each other: the parts of a datagram, each a MessagePack array that may grow at its end.

A reader passes over elements beyond those it knows, and over parts of a kind that it does not know.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta, Struct

from hophinge.cluster.interface import MAX_VALUE, Member, Role, Standing, Topic

START_BITS = 18  # of an incarnation lie below its process's start: refutations
MAX_INCARNATION = 2**63 - 1
NAME_BYTES = 64  # of a member's name in UTF-8: what a datagram has room for beside an entry
STANDINGS = (Standing.ALIVE, Standing.SUSPECT, Standing.DEAD, Standing.LEFT)
ALIVE, SUSPECT, DEAD, LEFT = range(4)
TOPICS = tuple(Topic)
ROLES = {role.value: role for role in Role}

Name: TypeAlias = Annotated[str, Meta(min_length=1, max_length=NAME_BYTES)]
Label: TypeAlias = Annotated[str, Meta(max_length=128)]
Address: TypeAlias = Annotated[str, Meta(max_length=64, pattern=r"^[^\s:]{1,57}:[0-9]{1,5}$")]
Count: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Index: TypeAlias = Annotated[int, Meta(ge=0, le=255)]
Mark: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Value: TypeAlias = Annotated[bytes, Meta(max_length=MAX_VALUE)]


class Part(Struct, frozen=True, array_like=True):
    """Base of all parts."""


class Record(Part, frozen=True):
    """A word about a member; `by` tells who accuses it."""

    name: Name
    address: Address
    incarnation: Count
    standing: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    zone: Label = ""
    role: Label = Role.HEAD.value
    build: Label = ""
    by: Label = ""

    @property
    def start(self) -> int:
        """Tell the process's start, which each new process under the name exceeds."""
        return self.incarnation >> START_BITS

    @property
    def counts(self) -> bool:
        """Tell whether it is neither dead nor gone by its will."""
        return self.standing <= SUSPECT

    def member(self) -> Member:
        """Tell it as other parts see it; a role of a newer version counts as a head."""
        return Member(
            self.name,
            self.address,
            self.incarnation,
            STANDINGS[self.standing],
            self.zone,
            ROLES.get(self.role, Role.HEAD),
            self.build,
        )


class Ping(Part, frozen=True):
    """Asks whoever bears `target` (anybody where it is empty) to answer; `record` is the asker's own."""

    seq: Count
    target: Annotated[str, Meta(max_length=NAME_BYTES)]
    record: Record


class Ack(Part, frozen=True):
    """Answers a ping: who lives, under which incarnation; passed on by a helper for another."""

    seq: Count
    name: Name
    incarnation: Count


class PingRequest(Part, frozen=True):
    """Asks a helper to probe a member."""

    seq: Count
    target: Name
    address: Address


class Nack(Part, frozen=True):
    """A helper's word that the target has not answered: the asker itself is well connected."""

    seq: Count


class Summary(Part, frozen=True):
    """One mark for each bucket of members, over all that is held of them."""

    marks: Annotated[list[Mark], Meta(max_length=64)]


class Row(Part, frozen=True):
    """What is held of one member: its incarnation, and for each topic up to which count, and the mark of it."""

    name: Name
    incarnation: Count
    highs: Annotated[list[Count], Meta(max_length=16)] = []
    marks: Annotated[list[Mark], Meta(max_length=16)] = []


class Digest(Part, frozen=True):
    """Rows of a bucket, from a name on to another; where `whole`, all that counts there is listed."""

    bucket: Index
    rows: Annotated[list[Row], Meta(max_length=64)]
    whole: bool
    first: Label = ""
    last: Label = ""  # the first name that is not covered; empty: to the end


class Item(Part, frozen=True):
    """One entry, or where there is no value one taken back."""

    count: Count
    key: Label
    value: Value | None


class Delta(Part, frozen=True):
    """All that one owner holds under a topic above `after` up to `upto`."""

    owner: Name
    topic: Index
    start: Count
    after: Count
    upto: Count
    items: Annotated[list[Item], Meta(max_length=128)]
    floor: Count = 0  # tombstones up to here may be missing


class Clash(Part, frozen=True):
    """To another process under one's own name, by its start: who speaks, and for how long it has run."""

    record: Record
    age_us: Count
    to: Count


KINDS: dict[int, type[Part]] = {
    1: Ping,
    2: Ack,
    3: PingRequest,
    4: Nack,
    5: Record,
    6: Delta,
    7: Summary,
    8: Digest,
    9: Clash,
}
NUMBERS = {kind: number for number, kind in KINDS.items()}
DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in KINDS.items()}
_encoder = msgspec.msgpack.Encoder()


def packed(part: Part) -> bytes:
    """Encode a part with its kind."""
    return _encoder.encode((NUMBERS[type(part)], part))


def encoded(part: Part) -> bytes:
    """Encode a part as it stands within another."""
    return _encoder.encode(part)


def mark(data: bytes) -> int:
    """Tell a mark of 32 bits, many of which are compared by their sum without carry.

    No checksum such as CRC-32, which is linear: of two that changed by the same step the differences would cancel out.
    """
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")
