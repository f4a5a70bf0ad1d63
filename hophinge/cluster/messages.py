"""The messages that members exchange: each is a MessagePack array, a datagram carries several.

Fields may be appended to a message, never moved or removed: a reader ignores elements beyond those that it knows, and
messages of an unknown type.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta, Struct

from hophinge.cluster.interface import MAX_VALUE_BYTES, Member, MemberState, Role, Topic

REFUTATION_BITS = 18  # low bits of an incarnation that count refutations; the high bits are the generation
MAX_INCARNATION = 2**63 - 1
MAX_NAME_BYTES = 64  # of a member's name in UTF-8: fits into a datagram beside the largest entry
MEMBER_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
ALIVE, SUSPECT, DEAD, LEFT = range(4)
TOPICS = tuple(Topic)
ROLES_BY_VALUE = {role.value: role for role in Role}

Name: TypeAlias = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Label: TypeAlias = Annotated[str, Meta(max_length=128)]
Address: TypeAlias = Annotated[str, Meta(max_length=64, pattern=r"^[^\s:]{1,57}:[0-9]{1,5}$")]
Unsigned: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Index: TypeAlias = Annotated[int, Meta(ge=0, le=255)]
Fingerprint: TypeAlias = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Value: TypeAlias = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]


class Message(Struct, frozen=True, array_like=True):
    """Base of all messages."""


class MemberRecord(Message, frozen=True):
    """The state of a member, as gossiped; `accuser` is the member that suspects it or declared it dead."""

    name: Name
    address: Address
    incarnation: Unsigned
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    zone: Label = ""
    role: Label = Role.HEAD.value
    build: Label = ""
    accuser: Label = ""

    @property
    def generation(self) -> int:
        """The generation of the process: each new process under the same name has a larger one."""
        return self.incarnation >> REFUTATION_BITS

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= SUSPECT

    def with_state(self, state: int, accuser: str = "") -> MemberRecord:
        """Return the record of the same incarnation in another state."""
        return MemberRecord(self.name, self.address, self.incarnation, state, self.zone, self.role, self.build, accuser)

    def with_incarnation(self, incarnation: int) -> MemberRecord:
        """Return the record as alive under another incarnation."""
        return MemberRecord(self.name, self.address, incarnation, ALIVE, self.zone, self.role, self.build)

    def to_member(self) -> Member:
        """Return the record as a member for other packages; an unknown role of a newer version is treated as a head."""
        return Member(
            self.name,
            self.address,
            self.incarnation,
            MEMBER_STATES[self.state],
            self.zone,
            ROLES_BY_VALUE.get(self.role, Role.HEAD),
            self.build,
        )


class Ping(Message, frozen=True):
    """Probe of the member named `target` (of any member if empty); `record` is the sender's own."""

    request_id: Unsigned
    target: Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
    record: MemberRecord


class Ack(Message, frozen=True):
    """Acknowledgement of a ping with the target's incarnation; also relayed by the member that probed indirectly."""

    request_id: Unsigned
    name: Name
    incarnation: Unsigned


class PingRequest(Message, frozen=True):
    """Request to another member to probe a target on the sender's behalf (indirect probe)."""

    request_id: Unsigned
    target: Name
    address: Address


class Nack(Message, frozen=True):
    """Report of an indirect probe that the target has not answered: the requester itself is well connected."""

    request_id: Unsigned


class Summary(Message, frozen=True):
    """One fingerprint for each bucket of members, over their records and entries."""

    fingerprints: Annotated[list[Fingerprint], Meta(max_length=64)]


class MemberDigest(Message, frozen=True):
    """What the sender stores of one member: the incarnation, and the high sequence and fingerprint of each topic."""

    name: Name
    incarnation: Unsigned
    high_sequences: Annotated[list[Unsigned], Meta(max_length=16)] = []
    fingerprints: Annotated[list[Fingerprint], Meta(max_length=16)] = []


class BucketDigest(Message, frozen=True):
    """Digests of the members of one bucket within a range of names.

    If `is_complete`, every live member in that range is listed, so a missing one is unknown to the sender.
    """

    bucket: Index
    members: Annotated[list[MemberDigest], Meta(max_length=64)]
    is_complete: bool
    first_name: Label = ""
    end_name: Label = ""  # the first name beyond the range; empty: to the end


class StreamItem(Message, frozen=True):
    """One change of an entry stream: an entry, or its tombstone if there is no value."""

    sequence: Unsigned
    key: Label
    value: Value | None


class StreamDelta(Message, frozen=True):
    """The changes of one owner's entry stream under a topic, after one sequence number up to another."""

    owner: Name
    topic: Index
    generation: Unsigned
    after_sequence: Unsigned
    up_to_sequence: Unsigned
    items: Annotated[list[StreamItem], Meta(max_length=128)]
    tombstone_floor: Unsigned = 0  # tombstones up to this sequence may have been discarded


class IdentityConflict(Message, frozen=True):
    """Sent to another process that uses the sender's name; the one with the shorter uptime steps down."""

    record: MemberRecord
    uptime_us: Unsigned
    target_generation: Unsigned


MESSAGE_TYPES: dict[int, type[Message]] = {
    1: Ping,
    2: Ack,
    3: PingRequest,
    4: Nack,
    5: MemberRecord,
    6: StreamDelta,
    7: Summary,
    8: BucketDigest,
    9: IdentityConflict,
}
MESSAGE_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}
DECODERS = {number: msgspec.msgpack.Decoder(kind) for number, kind in MESSAGE_TYPES.items()}
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Encode a message with the number of its type."""
    return _encoder.encode((MESSAGE_NUMBERS[type(message)], message))


def encode_fields(message: Message) -> bytes:
    """Encode a message as it is nested within another, without its type."""
    return _encoder.encode(message)


def fingerprint(data: bytes) -> int:
    """Return a fingerprint of 32 bits; those of several records are combined by XOR.

    A linear checksum such as CRC-32 would not do: equal changes of two records would cancel each other out.
    """
    return int.from_bytes(hashlib.blake2b(data, digest_size=4).digest(), "big")
