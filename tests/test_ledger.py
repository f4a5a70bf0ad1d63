"""The ledger: changes whole or not at all, and a chain that shows what was touched."""

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
from hophinge.state.rows import Entry, Kept, Row
from hophinge.tenancy.records import AccountError
from tests.books import write
from tests.test_service import ROOT


def rows_of(ledger: Ledger) -> dict[tuple[str, str], bytes]:
    return {(one.kind, one.name): one.body for one in ledger.rows() if one.body is not None}


def test_a_change_that_fails_anywhere_leaves_everything_as_it_was(tmp_path: Path) -> None:
    heard: list[Row] = []
    ledger = Ledger(tmp_path / "a.db", heard.extend)
    write(ledger, Row("k", "a", b"1"))

    def fail() -> tuple[list[Row], Entry, Kept | None]:
        raise AccountError("state", "no")

    before, audit = rows_of(ledger), ledger.head()
    with pytest.raises(AccountError):
        ledger.change(fail)
    entry = Entry(1, "w", "r", "x", "t")
    with pytest.raises(sqlite3.Error):  # the last statement of a change fails: its rows go back with it
        ledger.change(lambda: ([Row("k", "b", b"2")], entry, Kept(b"", 200, object())), "c", "k")  # type: ignore
    assert rows_of(ledger) == before and ledger.head() == audit and [one.name for one in heard] == ["a"]
    other = Ledger(tmp_path / "a.db")
    other.db.execute("BEGIN IMMEDIATE")
    with pytest.raises(BusyError):
        write(ledger, Row("k", "c", b"3"))
    other.db.execute("ROLLBACK")
    write(other, Row("k", "c", b"3"))
    assert rows_of(ledger) == {("k", "a"): b"1", ("k", "c"): b"3"}
    ledger.refresh()
    assert [one.name for one in heard] == ["a", "c"]  # another process's change is heard of, once
    write(ledger, Row("k", "a", None))
    assert write(other, Row("k", "d", b"4")) == 4  # a number is never given twice
    ledger.close()
    other.close()


def test_a_ledger_that_is_cut_anywhere_is_whole_or_refused(tmp_path: Path) -> None:
    ledger = Ledger(tmp_path / "a.db")
    states = [rows_of(ledger)]
    for at in range(30):
        write(ledger, Row("k", f"n{at % 7}", bytes(200) if at % 5 else None), Row("k", f"m{at}", b"x" * at))
        states.append(rows_of(ledger))
    rng = random.Random(1)
    size = (tmp_path / "a.db-wal").stat().st_size
    opened = refused = 0
    for turn in range(60):
        folder = tmp_path / f"cut{turn}"
        folder.mkdir()
        for name in ("a.db", "a.db-wal"):
            shutil.copy(tmp_path / name, folder / name)
        # A power cut: what was being written to the log is there up to some byte, or spoilt at one.
        place = rng.randrange(size)
        with (folder / "a.db-wal").open("r+b") as file:
            if turn % 2:
                file.truncate(place)
            else:
                file.seek(place)
                file.write(b"\xff")
        try:
            found = Ledger(folder / "a.db")
        except LedgerError:
            refused += 1
            continue
        opened += 1
        assert rows_of(found) in states
        assert verify(folder / "a.db")[2] is None
        found.close()
    assert opened > 50, (opened, refused)
    (tmp_path / "junk.db").write_bytes(os.urandom(8192))
    with pytest.raises(LedgerError, match="not a database"):
        Ledger(tmp_path / "junk.db")
    ledger.close()
    whole = (tmp_path / "a.db").read_bytes()
    (tmp_path / "half.db").write_bytes(whole[: len(whole) // 2])
    with pytest.raises(LedgerError, match=r"half\.db"):
        Ledger(tmp_path / "half.db")


KILLED = """
import sys
from pathlib import Path
from hophinge.state.ledger import Ledger
from hophinge.state.rows import Entry, Row
ledger = Ledger(Path(sys.argv[1]))
at = ledger.seq
while True:
    at += 1
    ledger.change(lambda: ([Row("k", f"n{at}", b"x" * 300), Row("k", "last", str(at).encode())],
                           Entry(at, "w", "r", "x", "t"), None))
    print(at, flush=True)
"""


def test_what_a_killed_process_was_told_is_there(tmp_path: Path) -> None:
    path, told = tmp_path / "a.db", 0
    for turn in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        for line in process.stdout:
            told = int(line)
            if told >= (turn + 1) * 25:
                process.send_signal(signal.SIGKILL)
                break
        told = max([told, *(int(line) for line in process.stdout if line.endswith("\n"))])
        process.wait()
        process.stdout.close()
        ledger = Ledger(path)
        rows = rows_of(ledger)
        assert ledger.seq >= told and len(rows) == ledger.seq + 1 and int(rows["k", "last"]) == ledger.seq
        assert verify(path)[0] == ledger.seq and verify(path)[2] is None
        ledger.close()


@pytest.mark.parametrize("way", ["changed", "removed", "inserted", "swapped", "cut off", "none"])
def test_the_audit_shows_the_first_entry_that_was_touched(way: str, tmp_path: Path) -> None:
    path = tmp_path / "a.db"
    ledger = Ledger(path)
    for at in range(20):
        write(ledger, Row("k", f"n{at}", b"x"), what=f"what{at}")
    head = ledger.head()[1]
    db, wanted = ledger.db, {"changed": 7, "removed": 8, "inserted": 21, "swapped": 5, "cut off": 18, "none": 0}[way]
    if way == "changed":
        db.execute("UPDATE audit SET entry = replace(entry, 'tester', 'nobody') WHERE seq = 7")
    elif way == "removed":
        db.execute("DELETE FROM audit WHERE seq = 7")
    elif way == "inserted":
        db.execute("INSERT INTO audit SELECT 21, entry, hash FROM audit WHERE seq = 20")
    elif way == "swapped":
        rows = db.execute("SELECT entry FROM audit WHERE seq IN (5, 6) ORDER BY seq").fetchall()
        for seq, (entry,) in zip((6, 5), rows, strict=True):
            db.execute("UPDATE audit SET entry = ? WHERE seq = ?", (entry, seq))
    elif way == "cut off":
        db.execute("DELETE FROM audit WHERE seq > 17")
    ledger.close()
    count, _, touched = verify(path, head)
    assert (touched.seq if touched else 0) == wanted and (count == 20) is (way in ("none", "inserted"))
    done = subprocess.run(
        [sys.executable, "-m", "hophinge", "audit", "verify", str(path), "--head", head],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == (3 if wanted else 0) and (f"entry {wanted} was touched" in done.stderr) is bool(wanted)


def test_names_of_removed_rows_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ledger_module, "GONE_KEPT", 10)
    ledger = Ledger(tmp_path / "a.db")
    for at in range(100):
        write(ledger, Row("k", f"n{at}", b"x"))
        write(ledger, Row("k", f"n{at}", None))
    assert ledger.db.execute("SELECT count(*) FROM row").fetchone()[0] <= 21
    assert 1 < ledger.floor() < ledger.seq
    ledger.close()


OPENED = """
import sys, time
from pathlib import Path
from hophinge.state.ledger import Ledger
while time.time() < float(sys.argv[2]):
    pass
Ledger(Path(sys.argv[1])).close()
"""


def test_processes_that_make_a_ledger_at_once_all_open_it(tmp_path: Path) -> None:
    """One of two heads of an upgrade that started together ended with 'database is locked' (14 of 60 opens)."""
    for turn in range(6):
        at = time.time() + 0.5
        opened = [
            subprocess.Popen(
                [sys.executable, "-c", OPENED, str(tmp_path / f"{turn}.db"), str(at)],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
            )
            for _ in range(4)
        ]
        assert [one.communicate()[1] for one in opened] == [""] * 4
