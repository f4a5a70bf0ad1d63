"""Two slots and a log: what is read back is what was synced, or more of what was written, never something else.

The promise, sentence by sentence. A slot holds a whole state under a generation; of two slots the newer readable one
counts. The log holds what came after that slot, each record with the slot's generation, its place and a checksum; it
ends at the first record that does not fit. A new slot is written over the older one, and is synced before the log
begins anew at its start. So a write that is lost or torn at any point leaves the newer slot and its log readable.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import cast

from hophinge.coordination.codec import CodecError, decode, encode
from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.storage.volume import StorageVolume

SLOTS = ("slot-a", "slot-b")
LOG = "log"
MAX_LOG_BYTES = 1 << 20  # bytes of log after which a slot is written; the log exceeds it by one record at most
CHECKSUM_BYTES = 16
SLOT_HEADER = struct.Struct(f">8sQQ{CHECKSUM_BYTES}s")  # magic, generation, length, checksum
LOG_HEADER = struct.Struct(f">QQI{CHECKSUM_BYTES}s")  # generation, index, length, checksum
MAGIC = b"hopslot1"


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What a disk held: a state, where there is one, and the records after it.

    A disk whose newer state cannot be read any more counts as empty: what it promised since is not known.
    """

    state: StateRecord | None
    records: tuple[LogRecord, ...]
    is_damaged: bool = False


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes on the disk that are not what was written there."""

    file: str
    description: str

    def __str__(self) -> str:
        return f"{self.file}: {self.description}"


def _checksum(generation: int, index: int, payload: bytes) -> bytes:
    position = struct.pack(">QQ", generation, index)
    return blake2b(position + payload, digest_size=CHECKSUM_BYTES).digest()


def _read_slot(data: bytes) -> tuple[int, StateRecord] | None:
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
    return (generation, state) if isinstance(state, StateRecord) else None


def _log_generation(data: bytes) -> int:
    """Tell the generation of a log's first record, which was synced after that generation's slot; 0 where none fits."""
    if len(data) < LOG_HEADER.size:
        return 0
    generation, index, length, checksum = LOG_HEADER.unpack_from(data)
    payload = data[LOG_HEADER.size : LOG_HEADER.size + length]
    is_complete = index == 0 and len(payload) == length and _checksum(generation, 0, payload) == checksum
    return int(generation) if is_complete else 0


class DurableStore:
    """The durable state of one replica on one volume."""

    def __init__(self, volume: StorageVolume) -> None:
        self.volume = volume
        self.generation = 0
        self.index = 0
        self.offset = 0
        self.current_slot = 1  # the slot that holds the newer state; the other is written next
        self.unreadable_slots = 0  # slots whose bytes were there and did not fit their checksum

    def recover(self) -> RecoveredState:
        """Read what was synced; raises OSError where the disk does not answer."""
        newest: tuple[int, StateRecord] | None = None
        for number, name in enumerate(SLOTS):
            data = self.volume.read(name)
            slot = _read_slot(data)
            if slot is None:
                self.unreadable_slots += bool(data)
            elif newest is None or slot[0] > newest[0]:
                newest, self.current_slot = slot, number
        log = self.volume.read(LOG)
        log_generation = _log_generation(log)
        if log_generation > (newest[0] if newest is not None else 0):
            self.generation = log_generation  # what is written from now on counts before all that is there
            return RecoveredState(None, (), is_damaged=True)
        if newest is None:
            return RecoveredState(None, ())
        self.generation = newest[0]
        return RecoveredState(newest[1], tuple(self._read_log(log)))

    def scrub(self) -> list[Damage]:
        """Read back what counts, and tell what does not fit its checksum; raises OSError as recovery does."""
        damages: list[Damage] = []
        if self.generation:
            slot = _read_slot(self.volume.read(SLOTS[self.current_slot]))
            if slot is None or slot[0] != self.generation:
                damages.append(
                    Damage(SLOTS[self.current_slot], f"the state of generation {self.generation} cannot be read")
                )
        reader = DurableStore(self.volume)
        reader.generation = self.generation
        readable_records = sum(1 for _ in reader._read_log(self.volume.read(LOG)))
        if readable_records < self.index:
            damages.append(Damage(LOG, f"record {readable_records} of {self.index} cannot be read"))
        return damages

    def _read_log(self, data: bytes) -> Iterator[LogRecord]:
        """Read records of this generation in their order, up to the first that does not fit."""
        while self.offset + LOG_HEADER.size <= len(data):
            generation, index, length, checksum = LOG_HEADER.unpack_from(data, self.offset)
            begin = self.offset + LOG_HEADER.size
            payload = data[begin : begin + length]
            if generation != self.generation or index != self.index or len(payload) != length:
                return
            if _checksum(generation, index, payload) != checksum:
                return
            self.offset, self.index = begin + length, index + 1
            yield cast("LogRecord", decode(payload))

    @property
    def is_log_full(self) -> bool:
        """Tell whether the log has grown enough for a slot to be written."""
        return self.offset >= MAX_LOG_BYTES

    def append(self, records: list[LogRecord]) -> None:
        """Append records and sync them; after an OSError the caller saves a whole state before it goes on."""
        chunks: list[bytes] = []
        index = self.index
        for record in records:
            payload = encode(record)
            checksum = _checksum(self.generation, index, payload)
            chunks += [LOG_HEADER.pack(self.generation, index, len(payload), checksum), payload]
            index += 1
        data = b"".join(chunks)
        self.volume.write(LOG, self.offset, data)
        self.volume.sync(LOG)
        self.index, self.offset = index, self.offset + len(data)

    def save(self, state: StateRecord) -> None:
        """Write a whole state to the older slot; the log begins anew."""
        generation, slot = self.generation + 1, 1 - self.current_slot
        payload = encode(state)
        header = SLOT_HEADER.pack(MAGIC, generation, len(payload), _checksum(generation, 0, payload))
        self.volume.write(SLOTS[slot], 0, header + payload)
        self.volume.sync(SLOTS[slot])
        self.generation, self.current_slot = generation, slot
        self.index = self.offset = 0
