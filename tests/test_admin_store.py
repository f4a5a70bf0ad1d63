"""The store of accounts: locked, full, taken over from the old file, changed elsewhere."""

from __future__ import annotations

import json
import sqlite3
import subprocess
import sys
from pathlib import Path

from tests import books
from tests.administrator import caller
from tests.stand_in import run
from tests.test_service import ROOT


def test_locked_or_full_ledger_changes_nothing_and_reports_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            await to.call("PUT", "/v1/tenants/alba", status=201)
            other = sqlite3.connect(tmp_path / "tenants.db", isolation_level=None)
            other.execute("BEGIN IMMEDIATE")
            assert await to.call("PUT", "/v1/tenants/beith") == 503
            assert to.answered.headers["Retry-After"] == "1"
            other.execute("ROLLBACK")
            other.close()
            assert to.service.accounts is not None
            db = to.service.accounts.ledger.db
            pages = db.execute("PRAGMA page_count").fetchone()[0]
            db.execute(f"PRAGMA max_page_count = {pages}")
            codes = [await to.call("PUT", f"/v1/tenants/t{at:03}", {"note": "x" * 200}) for at in range(40)]
            assert codes[-1] == 507 and 201 in codes
            made = len((await to.call("GET", "/v1/tenants?limit=500", status=200))["tenants"])
            assert made == 1 + codes.count(201)
            db.execute("PRAGMA max_page_count = 1000000")
            assert await to.call("PUT", "/v1/tenants/beith") == 201

    run(main())


def test_old_accounts_file_is_imported_once_and_can_be_exported(tmp_path: Path) -> None:
    old = {
        "tenants": {
            "alba": {
                "name": "alba",
                "disabled": True,
                "keys": [{"id": "hk1", "digest": "d" * 64}],
                "volumes": {"receipts": {"id": "0" * 16, "plan": "basic"}},
            },
            "beith": {"name": "beith", "disabled": False, "keys": [], "volumes": {}},
        }
    }
    (tmp_path / "tenants.json").write_text(json.dumps(old))

    async def main() -> None:
        async with caller(tmp_path) as to:
            shown = await to.call("GET", "/v1/tenants/alba", status=200)
            assert (shown["state"], shown["keys"], shown["volumes"]) == ("suspended", 1, 1)
            await to.call("PUT", "/v1/tenants/carluke", status=201)
        (tmp_path / "tenants.json").write_text("{not json")  # not read again
        async with caller(tmp_path) as to:
            assert len((await to.call("GET", "/v1/tenants", status=200))["tenants"]) == 3

    run(main())
    done = subprocess.run(
        [sys.executable, "-m", "hophinge", "tenant", "export", str(tmp_path / "tenants.db")],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    found = json.loads(done.stdout)["tenants"]
    assert {name: found[name] for name in old["tenants"]} == old["tenants"] and "carluke" in found


def test_change_of_another_process_is_visible_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            key = books.tenant(tmp_path / "tenants.db")
            assert (await to.object("PUT", "/receipts/a", key, b"x"))[0] == 200

    run(main())
