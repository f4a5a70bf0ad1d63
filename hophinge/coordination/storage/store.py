"""Two slots and a log: what is recovered is what was synced, or more of what was written, never anything else.

A slot holds a complete state under a generation; of two slots the newer readable one counts. The log holds what came
after that slot, each record with the slot's generation, its index and a checksum; it ends at the first record whose
checksum fails. A new slot is written over the older one, and is synced before the log
begins anew at its start. So a write that is lost or torn at any point leaves the newer slot and its log readable.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Generic, TypeVar, cast

from hophinge.coordination.codec import CodecError, decode, encode
from hophinge.coordination.storage.volume import StorageVolume

StateT = TypeVar("StateT")  # the complete state, which a slot holds
RecordT = TypeVar("RecordT")  # the records after it, which the log holds

SLOTS = ("slot-a", "slot-b")
LOG = "log"
MAX_LOG_BYTES = 1 << 20  # after which a slot is written; the log exceeds it by one record at most
CHECKSUM_BYTES = 16
SLOT_HEADER = struct.Struct(f">8sQQ{CHECKSUM_BYTES}s")  # magic, generation, length, checksum
LOG_HEADER = struct.Struct(f">QQI{CHECKSUM_BYTES}s")  # generation, index, length, checksum
MAGIC = b"hopslot1"


@dataclass(frozen=True, slots=True)
class RecoveredState(Generic[StateT, RecordT]):
    """The content of a disk: a state, where there is one, and the records after it.

    A disk whose newer state cannot be read any more counts as empty, and as damaged: what the replica promised since
    is not known.
    """

    state: StateT | None
    records: tuple[RecordT, ...]
    is_damaged: bool = False


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes on the disk that are not what was written there."""

    file: str
    description: str

    def __str__(self) -> str:
        return f"{self.file}: {self.description}"


@dataclass(frozen=True, slots=True)
class SlotContent(Generic[StateT]):
    """A state and its generation."""

    generation: int
    state: StateT


def _checksum(generation: int, index: int, payload: bytes) -> bytes:
    position = struct.pack(">QQ", generation, index)
    return blake2b(position + payload, digest_size=CHECKSUM_BYTES).digest()


def _read_slot(data: bytes, state_class: type[StateT]) -> SlotContent[StateT] | None:
    """Return the content of a slot, or None where it is empty, fails its checksum or holds a state of another class."""
    if len(data) < SLOT_HEADER.size:
        return None
    magic, generation, length, checksum = SLOT_HEADER.unpack_from(data)
    payload = data[SLOT_HEADER.size : SLOT_HEADER.size + length]
    if magic != MAGIC or len(payload) != length or _checksum(generation, 0, payload) != checksum:
        return None
    try:
        state = decode(payload)
    except CodecError:
        return None
    return SlotContent(generation, state) if isinstance(state, state_class) else None


def _log_generation(data: bytes) -> int:
    """Return the generation of a log's first record, which was synced after that generation's slot; 0 without one."""
    if len(data) < LOG_HEADER.size:
        return 0
    generation, index, length, checksum = LOG_HEADER.unpack_from(data)
    payload = data[LOG_HEADER.size : LOG_HEADER.size + length]
    is_complete = index == 0 and len(payload) == length and _checksum(generation, 0, payload) == checksum
    return int(generation) if is_complete else 0


class DurableStore(Generic[StateT, RecordT]):
    """One durable state on one volume.

    Args:
        volume: Where the files are.
        state_class: The class of the complete state.
        prefix: What the names of this state's files begin with.

    """

    def __init__(self, volume: StorageVolume, state_class: type[StateT], prefix: str = "") -> None:
        self.volume = volume
        self.state_class = state_class
        self.slots = tuple(prefix + name for name in SLOTS)
        self.log = prefix + LOG
        self.generation = 0
        self.index = 0
        self.offset = 0
        self.current_slot = 1  # the index of the slot with the newer state; the other one is written next
        self.unreadable_slots = 0  # slots that are not empty and failed their checksum

    def recover(self) -> RecoveredState[StateT, RecordT]:
        """Read what was synced.

        Raises:
            OSError: the disk does not answer.

        """
        newest: SlotContent[StateT] | None = None
        for number, name in enumerate(self.slots):
            data = self.volume.read(name)
            slot = _read_slot(data, self.state_class)
            if slot is None:
                self.unreadable_slots += bool(data)
            elif newest is None or slot.generation > newest.generation:
                newest = slot
                self.current_slot = number
        log = self.volume.read(self.log)
        log_generation = _log_generation(log)
        if log_generation > (newest.generation if newest is not None else 0):
            self.generation = log_generation  # what is written from now on is newer than all that is there
            return RecoveredState(None, (), is_damaged=True)
        if newest is None:
            return RecoveredState(None, ())
        self.generation = newest.generation
        return RecoveredState(newest.state, tuple(self._read_log(log)))

    def scrub(self) -> list[Damage]:
        """Read back the current slot and the log, and return what fails its checksum.

        Raises:
            OSError: the disk does not answer.

        """
        damages: list[Damage] = []
        if self.generation:
            name = self.slots[self.current_slot]
            slot = _read_slot(self.volume.read(name), self.state_class)
            if slot is None or slot.generation != self.generation:
                description = f"the state of generation {self.generation} cannot be read"
                damages.append(Damage(name, description))
        reader = DurableStore[StateT, RecordT](self.volume, self.state_class)
        reader.generation = self.generation
        readable_records = sum(1 for _ in reader._read_log(self.volume.read(self.log)))
        if readable_records < self.index:
            damages.append(Damage(self.log, f"record {readable_records} of {self.index} cannot be read"))
        return damages

    def _read_log(self, data: bytes) -> Iterator[RecordT]:
        """Read the records of this generation in their order, up to the first that fails its checksum."""
        while self.offset + LOG_HEADER.size <= len(data):
            generation, index, length, checksum = LOG_HEADER.unpack_from(data, self.offset)
            begin = self.offset + LOG_HEADER.size
            payload = data[begin : begin + length]
            if generation != self.generation or index != self.index or len(payload) != length:
                return
            if _checksum(generation, index, payload) != checksum:
                return
            self.offset = begin + length
            self.index = index + 1
            yield cast("RecordT", decode(payload))  # the checksum says that `append` wrote it

    @property
    def is_log_full(self) -> bool:
        """Whether the log is so long that a slot should be written."""
        return self.offset >= MAX_LOG_BYTES

    def append(self, records: list[RecordT]) -> None:
        """Append records to the log and sync it.

        Raises:
            OSError: the disk failed; the caller has to save a complete state before it appends again.

        """
        chunks: list[bytes] = []
        index = self.index
        for record in records:
            payload = encode(record)
            checksum = _checksum(self.generation, index, payload)
            chunks += [LOG_HEADER.pack(self.generation, index, len(payload), checksum), payload]
            index += 1
        data = b"".join(chunks)
        self.volume.write(self.log, self.offset, data)
        self.volume.sync(self.log)
        self.index = index
        self.offset += len(data)

    def save(self, state: StateT) -> None:
        """Write a complete state to the older slot and sync it; the log begins anew.

        Raises:
            OSError: the disk failed.

        """
        generation = self.generation + 1
        slot = 1 - self.current_slot
        payload = encode(state)
        header = SLOT_HEADER.pack(MAGIC, generation, len(payload), _checksum(generation, 0, payload))
        self.volume.write(self.slots[slot], 0, header + payload)
        self.volume.sync(self.slots[slot])
        self.generation = generation
        self.current_slot = slot
        self.index = 0
        self.offset = 0
