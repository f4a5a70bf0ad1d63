"""The audit's chain: each entry's hash covers the entry and the hash before it, so a change shows in all after it."""

from __future__ import annotations

import hashlib
import sqlite3
from pathlib import Path

from hophinge.state.errors import LedgerError
from hophinge.state.rows import Touched

GENESIS = b"hophinge-audit-1"


def chained(before: bytes, seq: int, entry: bytes) -> bytes:
    """Tell an entry's hash: of the one before it, its number and its bytes."""
    return hashlib.blake2b(before + seq.to_bytes(8, "big") + entry, digest_size=32).digest()


def verify(path: Path, head: str = "") -> tuple[int, str, Touched | None]:
    """Read a ledger's audit; tell the number of entries, the last hash and the first entry that was touched.

    `head`: a hash told earlier, which has to be one of the chain. Raises LedgerError where the file is none.
    """
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        rows = db.execute("SELECT seq, entry, hash FROM audit ORDER BY seq")
        before, count, met = GENESIS, 0, not head or head == GENESIS.hex()
        try:
            for seq, entry, mark in rows:
                # Whoever wrote there by hand may have left text where bytes were.
                if not isinstance(entry, bytes) or mark != chained(before, seq, entry):
                    return count, before.hex(), Touched(seq, "its hash is not that of it and the one before")
                before, count, met = mark, count + 1, met or mark.hex() == head
        finally:
            db.close()
    except sqlite3.DatabaseError as error:
        raise LedgerError(f"{path}: {error}") from error
    return count, before.hex(), None if met else Touched(count + 1, "entries were cut off: the given hash is not there")
