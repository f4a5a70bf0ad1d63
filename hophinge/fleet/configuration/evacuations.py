"""Evacuated zones: no requests are sent to their instances until the operator ends the evacuation.

Each zone has a register in the chain and, once a value is committed, a gossip record with the same key.
"""

from __future__ import annotations

from hashlib import blake2b

from hophinge.coordination.dissemination import GossipRecord, GossipStore
from hophinge.coordination.registers import Change, Register

EVACUATION_PREFIX = "evacuation/"  # prefix of the keys of registers and records, followed by the zone
EVACUATED = b"evacuated"
IN_SERVICE = b"in service"
DIGEST_BYTES = 16


def evacuation_key(zone: str) -> str:
    """Return the key of a zone's register and record."""
    return EVACUATION_PREFIX + zone


def is_evacuated(payload: bytes) -> bool:
    """Return whether the payload of a register, or the value of a record, marks its zone as evacuated."""
    return payload == EVACUATED


def evacuation_change(zone: str, base_version: int, should_evacuate: bool) -> Change:
    """Return the change to a zone's register that begins or ends an evacuation, based on a version of the register.

    The digest covers the base version. Otherwise a second evacuation of the same zone would have the digest of the
    first and be taken for a change that is already applied.
    """
    key = evacuation_key(zone)
    payload = EVACUATED if should_evacuate else IN_SERVICE
    digest = blake2b(f"{key}\0{base_version}\0".encode() + payload, digest_size=DIGEST_BYTES).digest()
    return Change(key, base_version, base_version + 1, digest, payload)


def evacuation_record(key: str, register: Register) -> GossipRecord:
    """Return the record of a committed register, stamped with the register's version, which only increases."""
    return GossipRecord(key, (register.version, 0), register.payload)


def evacuated_zones(store: GossipStore) -> frozenset[str]:
    """Return the zones that are evacuated according to the records of a member."""
    records = [stored.record for key, stored in store.records.items() if key.startswith(EVACUATION_PREFIX)]
    return frozenset(record.key.removeprefix(EVACUATION_PREFIX) for record in records if is_evacuated(record.value))
