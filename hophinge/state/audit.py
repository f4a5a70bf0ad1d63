"""Hash chain of a ledger's audit log.

Each entry's hash covers the entry and the previous entry's hash, so that changing, removing or inserting an entry
changes every later hash.
"""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path

from hophinge.state.errors import LedgerError
from hophinge.state.rows import AuditVerification, ModifiedEntry

GENESIS_HASH = b"hophinge-audit-1"


def entry_hash(previous_hash: bytes, seq: int, entry: bytes) -> bytes:
    """Return the hash of an entry from the previous hash, its sequence number and its stored bytes."""
    return hashlib.blake2b(previous_hash + seq.to_bytes(8, "big") + entry, digest_size=32).digest()


def verify(path: Path, expected_hash: str = "") -> AuditVerification:
    """Check the audit log of a ledger file, which is opened for reading only.

    Args:
        path: The ledger's SQLite file.
        expected_hash: A hash (hexadecimal) published earlier, which must occur in the chain; empty skips this check.

    Raises:
        LedgerError: The file cannot be read as a ledger.

    """
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        rows = db.execute("SELECT seq, entry, hash FROM audit ORDER BY seq")
        previous_hash, count = GENESIS_HASH, 0
        has_expected = not expected_hash or expected_hash == GENESIS_HASH.hex()
        try:
            for seq, entry, stored_hash in rows:
                # A manual edit of the file may have replaced the bytes with text.
                if not isinstance(entry, bytes) or stored_hash != entry_hash(previous_hash, seq, entry):
                    modified = ModifiedEntry(seq, "its hash does not match its content and the previous hash")
                    return AuditVerification(count, previous_hash.hex(), modified)
                previous_hash = stored_hash
                count += 1
                has_expected = has_expected or stored_hash.hex() == expected_hash
        finally:
            db.close()
    except sqlite3.DatabaseError as error:
        raise LedgerError(f"{path}: {error}") from error
    if has_expected:
        return AuditVerification(count, previous_hash.hex(), None)
    truncated = ModifiedEntry(count + 1, "the log was truncated: the expected hash does not occur in it")
    return AuditVerification(count, previous_hash.hex(), truncated)
