"""The ledger: transactions, crash consistency, and the hash chain of its audit log."""

from __future__ import annotations

import os
import random
import shutil
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path

import pytest

from hophinge.state import ledger as ledger_module
from hophinge.state.ledger import BusyError, Ledger, LedgerError, verify
from hophinge.state.rows import AuditEntry, IdempotentResponse, LedgerChange, Row
from hophinge.tenancy.records import AccountError
from tests.books import write
from tests.test_service import ROOT


def rows_of(ledger: Ledger) -> dict[tuple[str, str], bytes]:
    return {(row.kind, row.name): row.body for row in ledger.rows() if row.body is not None}


def test_failed_change_is_rolled_back(tmp_path: Path) -> None:
    notified: list[Row] = []
    ledger = Ledger(tmp_path / "a.db", notified.extend)
    write(ledger, Row("k", "a", b"1"))

    def fail() -> LedgerChange:
        raise AccountError("state", "no")

    before, audit = rows_of(ledger), ledger.audit_head()
    with pytest.raises(AccountError):
        ledger.change(fail)
    entry = AuditEntry(1, "w", "r", "x", "t")
    bad_response = IdempotentResponse(b"", 200, object())  # type: ignore[arg-type]  # SQLite cannot store it
    with pytest.raises(sqlite3.Error):  # the last statement of the change fails, which rolls its rows back
        ledger.change(lambda: LedgerChange([Row("k", "b", b"2")], entry, bad_response), "c", "k")
    assert rows_of(ledger) == before and ledger.audit_head() == audit and [row.name for row in notified] == ["a"]
    other = Ledger(tmp_path / "a.db")
    other.db.execute("BEGIN IMMEDIATE")
    with pytest.raises(BusyError):
        write(ledger, Row("k", "c", b"3"))
    other.db.execute("ROLLBACK")
    write(other, Row("k", "c", b"3"))
    assert rows_of(ledger) == {("k", "a"): b"1", ("k", "c"): b"3"}
    ledger.refresh()
    assert [row.name for row in notified] == ["a", "c"]  # the callback gets another process's change once
    write(ledger, Row("k", "a", None))
    assert write(other, Row("k", "d", b"4")) == 4  # no sequence number is assigned twice
    ledger.close()
    other.close()


def test_truncated_ledger_is_consistent_or_rejected(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "a.db")
    states = [rows_of(ledger)]
    for at in range(30):
        write(ledger, Row("k", f"n{at % 7}", bytes(200) if at % 5 else None), Row("k", f"m{at}", b"x" * at))
        states.append(rows_of(ledger))
    rng = random.Random(1)
    size = (tmp_path / "a.db-wal").stat().st_size
    opened = rejected = 0
    for turn in range(60):
        folder = tmp_path / f"cut{turn}"
        folder.mkdir()
        for name in ("a.db", "a.db-wal"):
            shutil.copy(tmp_path / name, folder / name)
        # A power failure: the write-ahead log is truncated at some byte, or one byte is corrupt.
        offset = rng.randrange(size)
        with (folder / "a.db-wal").open("r+b") as file:
            if turn % 2:
                file.truncate(offset)
            else:
                file.seek(offset)
                file.write(b"\xff")
        try:
            reopened = Ledger(folder / "a.db")
        except LedgerError:
            rejected += 1
            continue
        opened += 1
        assert rows_of(reopened) in states
        assert verify(folder / "a.db").modified is None
        reopened.close()
    assert opened > 50, (opened, rejected)
    (tmp_path / "junk.db").write_bytes(os.urandom(8192))
    with pytest.raises(LedgerError, match="not a database"):
        Ledger(tmp_path / "junk.db")
    ledger.close()
    content = (tmp_path / "a.db").read_bytes()
    (tmp_path / "half.db").write_bytes(content[: len(content) // 2])
    with pytest.raises(LedgerError, match=r"half\.db"):
        Ledger(tmp_path / "half.db")


WRITER_SCRIPT = """
import sys
from pathlib import Path
from hophinge.state.ledger import Ledger
from hophinge.state.rows import AuditEntry, LedgerChange, Row
ledger = Ledger(Path(sys.argv[1]))
at = ledger.seq
while True:
    at += 1
    ledger.change(lambda: LedgerChange([Row("k", f"n{at}", b"x" * 300), Row("k", "last", str(at).encode())],
                                       AuditEntry(at, "w", "r", "x", "t")))
    print(at, flush=True)
"""


def test_acknowledged_changes_survive_a_killed_process(tmp_path: Path) -> None:
    path, acknowledged = tmp_path / "a.db", 0
    for turn in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER_SCRIPT, str(path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for line in process.stdout:
            acknowledged = int(line)
            if acknowledged >= (turn + 1) * 25:
                process.send_signal(signal.SIGKILL)
                break
        acknowledged = max([acknowledged, *(int(line) for line in process.stdout if line.endswith("\n"))])
        process.wait()
        process.stdout.close()
        ledger = Ledger(path)
        rows = rows_of(ledger)
        assert ledger.seq >= acknowledged and len(rows) == ledger.seq + 1 and int(rows["k", "last"]) == ledger.seq
        assert verify(path).intact_entries == ledger.seq and verify(path).modified is None
        ledger.close()


@pytest.mark.parametrize("tampering", ["changed", "removed", "inserted", "swapped", "cut off", "none"])
def test_audit_verification_reports_the_first_modified_entry(tampering: str, tmp_path: Path) -> None:
    path = tmp_path / "a.db"
    ledger = Ledger(path)
    for at in range(20):
        write(ledger, Row("k", f"n{at}", b"x"), what=f"what{at}")
    head = ledger.audit_head().hash
    db = ledger.db
    expected_seq = {"changed": 7, "removed": 8, "inserted": 21, "swapped": 5, "cut off": 18, "none": 0}[tampering]
    if tampering == "changed":
        db.execute("UPDATE audit SET entry = replace(entry, 'tester', 'nobody') WHERE seq = 7")
    elif tampering == "removed":
        db.execute("DELETE FROM audit WHERE seq = 7")
    elif tampering == "inserted":
        db.execute("INSERT INTO audit SELECT 21, entry, hash FROM audit WHERE seq = 20")
    elif tampering == "swapped":
        rows = db.execute("SELECT entry FROM audit WHERE seq IN (5, 6) ORDER BY seq").fetchall()
        for seq, (entry,) in zip((6, 5), rows, strict=True):
            db.execute("UPDATE audit SET entry = ? WHERE seq = ?", (entry, seq))
    elif tampering == "cut off":
        db.execute("DELETE FROM audit WHERE seq > 17")
    ledger.close()
    count, _, modified = verify(path, head)
    assert (modified.seq if modified else 0) == expected_seq and (count == 20) is (tampering in ("none", "inserted"))
    done = subprocess.run(
        [sys.executable, "-m", "hophinge", "audit", "verify", str(path), "--head", head],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == (3 if expected_seq else 0) and (
        f"entry {expected_seq} was touched" in done.stderr
    ) is bool(expected_seq)


def test_tombstones_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ledger_module, "MAX_TOMBSTONES", 10)
    ledger = Ledger(tmp_path / "a.db")
    for at in range(100):
        write(ledger, Row("k", f"n{at}", b"x"))
        write(ledger, Row("k", f"n{at}", None))
    assert ledger.db.execute("SELECT count(*) FROM row").fetchone()[0] <= 21
    assert 1 < ledger.tombstone_floor() < ledger.seq
    ledger.close()


OPENER_SCRIPT = """
import sys, time
from pathlib import Path
from hophinge.state.ledger import Ledger
while time.time() < float(sys.argv[2]):
    pass
Ledger(Path(sys.argv[1])).close()
"""


def test_processes_that_create_a_ledger_concurrently_all_open_it(tmp_path: Path) -> None:
    """Guards against 'database is locked', seen in 14 of 60 opens when two heads of an upgrade started together."""
    for turn in range(6):
        at = time.time() + 0.5
        opened = [
            subprocess.Popen(
                [sys.executable, "-c", OPENER_SCRIPT, str(tmp_path / f"{turn}.db"), str(at)],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
            )
            for _ in range(4)
        ]
        assert [process.communicate()[1] for process in opened] == [""] * 4
