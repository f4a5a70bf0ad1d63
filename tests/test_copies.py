"""Accounts of a control service: heads replicate them by increments, serve from their replica, and report usage."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from hophinge.head.operator_config import load
from hophinge.state.rows import Row
from hophinge.tenancy.records import Bucket, row_of
from tests import books
from tests.hosted import accounts_of, hosted, ledger_of
from tests.installation import GOOD, SETTINGS, follower
from tests.stand_in import held_by, run, until
from tests.test_service import ROOT

UNITS = 8  # of each request


def test_heads_replicate_the_accounts_and_serve_from_their_replica_without_the_service(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosted(tmp_path) as here:
            heads = [await here.hosted(f"n{at}", {**SETTINGS, "Balancers": 2}) for at in range(2)]
            key = await here.tenant("alba")
            for head in heads:
                await until(lambda head=head: accounts_of(head).ledger.seq == 3)  # type: ignore[misc]
            assert await here.object(heads[0], "PUT", "/receipts/a", key, b"x" * 100) == 200
            assert await here.object(heads[1], "GET", "/receipts/a", key) == 200  # the same object at any head
            # Used at both heads, reported in one total; a repeated report is not counted again.
            assert here.owner is not None
            ledger = here.owner.ledger
            await until(lambda: sum(usage.get("served", 0) for usage in ledger.usage_by_volume("alba").values()) == 2)
            shown = await here.call("GET", "/v1/tenants/alba/usage")
            assert shown["volumes"]["receipts"]["bytes_in"] == 100 and shown["total"]["bytes_out"] == 100
            await here.end_control()
            assert await here.object(heads[0], "GET", "/receipts/a", key) == 200
            await here.made.kill(heads[1])
            restarted = await here.hosted("n1")  # from its replica, without the control service
            assert await here.object(restarted, "GET", "/receipts/a", key) == 200
            await here.control()
            await here.call("PATCH", "/v1/tenants/alba", {"state": "suspended"})
            for head in (heads[0], restarted):
                await until(lambda head=head: accounts_of(head).accounts.is_blocked("alba"))  # type: ignore[misc]
                assert await here.object(head, "GET", "/receipts/a", key) == 403
            await here.call("DELETE", "/v1/tenants/alba")
            for head in (heads[0], restarted):
                await until(lambda head=head: not accounts_of(head).accounts.keys)  # type: ignore[misc]
                await until(lambda head=head: not accounts_of(head).accounts.volumes)  # type: ignore[misc]
            shown = await here.call("GET", "/v1/tenants/alba")
            assert shown["state"] in ("closing", "closed")
            await until(
                lambda: sum(usage.get("served", 0) for usage in ledger_of(here).usage_by_volume("alba").values()) == 4
            )

    run(main())


def test_a_head_gets_a_full_copy_in_chunks_and_then_only_changes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with hosted(tmp_path) as here:
            ledger = ledger_of(here)
            for at in range(8):
                books.write(
                    ledger,
                    *(row_of(Bucket("alba", f"bucket{at}-{n}", f"{at * 1000 + n:016x}", "basic")) for n in range(300)),
                )
            head = await here.hosted("n0")
            await until(lambda: len(accounts_of(head).accounts.volumes) == 2400)
            assert head.streamed is not None
            before = head.streamed.client.bytes_received
            books.write(ledger, row_of(Bucket("alba", "one", "f" * 16, "basic")), Row("bucket", "alba/bucket0-0", None))
            await until(lambda: accounts_of(head).accounts.owner("f" * 16) == "alba")
            assert "bucket0-0" not in accounts_of(head).accounts.buckets["alba"]
            assert head.streamed.client.bytes_received - before < 1000
            # A head whose ledger cannot be written retries at the next heartbeat: nothing is lost, it keeps serving.
            db = accounts_of(head).ledger.db
            db.execute("PRAGMA max_page_count = 1")
            books.write(ledger, *(row_of(Bucket("alba", f"more{n}", f"{9000 + n:016x}", "basic")) for n in range(2000)))
            await until(
                lambda: (
                    head.streamed is not None
                    and head.streamed.replicated_accounts is not None
                    and head.streamed.replicated_accounts.pending_chunk is not None
                )
            )
            assert accounts_of(head).accounts.owner("f" * 16) == "alba"
            db.execute("PRAGMA max_page_count = 1000000")
            await until(lambda: len(accounts_of(head).accounts.volumes) == 4400)
            # With another ledger of the control service, all entries of the old one are removed at once.
            await here.end_control()
            for path in tmp_path.glob("accounts.db*"):
                path.unlink()
            await here.control()
            books.write(ledger_of(here), row_of(Bucket("beith", "new", "e" * 16, "basic")))
            await until(lambda: list(accounts_of(head).accounts.volumes) == ["e" * 16])

    run(main())


def test_the_queued_requests_of_a_deleted_tenant_are_rejected_at_once_by_the_platform_s_frontend(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with hosted(tmp_path) as here:
            gate = asyncio.Event()

            classes = [{**row, "GoalTimeUs": 5_000_000, "DeadlineUs": 30_000_000} for row in SETTINGS["RequestClasses"]]
            head = await here.hosted("n0", {**SETTINGS, "RequestClasses": classes})
            await here.tenant("alba")
            await here.push(GOOD + "(spare (depth 4 units) (wait 20 s))")
            await here.runs(head, "1.1")
            await until(lambda: accounts_of(head).accounts.is_active("alba"))
            volume = accounts_of(head).accounts.buckets["alba"]["receipts"].id
            for backend in here.made.backends:
                backend.behave = held_by(gate)
            assert head.streamed is not None
            router = head.streamed.router

            async def ask(number: int) -> int:
                async with here.made.client.put(
                    f"{here.made.url(head)}/transfer-write/{volume}/{number:016x}",
                    data=b"x",
                    headers={
                        "X-Txn": f"{number:016x}",
                        "X-Qos-Policy": "priority",
                        "X-Remaining-Ms": "30000",
                        "X-Placement": f"units={UNITS},shard=-1,hosts=1",
                    },
                ) as answer:
                    await answer.read()
                    return answer.status

            tasks = [asyncio.create_task(ask(at)) for at in range(1, 12)]
            await until(
                lambda: (
                    router.admission is not None
                    and router.admission.queue.queued_items + router.admission.units_in_flight / UNITS == len(tasks)
                )
            )
            assert router.admission is not None
            assert router.admission.queue.queued_items >= 5
            waiting, admitted = router.admission.queue.queued_items, 11 - router.admission.queue.queued_items
            # The administrator lowers its reserve and raises it again meanwhile: admitted requests stay admitted.
            for reserve in (1, 100):
                await here.call("PATCH", "/v1/tenants/alba", {"shares": {"reserve": reserve}})
                await until(
                    lambda reserve=reserve: (
                        accounts_of(head)
                        .accounts.tenants[  # type: ignore[misc]
                            "alba"
                        ]
                        .shares.reserve
                        == reserve
                    )
                )
            assert router.admission.queue.queued_items == waiting
            await here.call("DELETE", "/v1/tenants/alba")
            await until(lambda: sum(task.done() for task in tasks) == waiting)  # long before their 20 s
            assert all(task.result() == 503 for task in tasks if task.done()) and not gate.is_set()
            assert await ask(99) == 503  # and new requests too
            gate.set()
            codes = await asyncio.gather(*tasks)
            assert codes.count(200) == admitted and not router.queued and router.admission.units_in_flight == 0

    run(main())


def test_reserves_of_accounts_are_granted_only_if_they_can_be_met(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosted(tmp_path) as here:
            head = await here.hosted("n0")
            await here.push(GOOD + "(spare (depth 9 units) (capacity 50 units/s))")
            await here.runs(head, "1.1")
            await here.tenant("alba")  # 10 units/s
            await here.call("PUT", "/v1/tenants/beith", {"shares": {"reserve": 40}})
            with pytest.raises(AssertionError, match="lower reserves by 5 units/s"):
                await here.call("PATCH", "/v1/tenants/beith", {"shares": {"reserve": 45}})
            await here.call("PATCH", "/v1/tenants/beith", {"shares": {"reserve": 5}})  # a lower one is always accepted
            with pytest.raises(ConnectionError, match=r"with 1 heads .* lower reserves by 15"):
                await here.push(
                    GOOD + "(spare (depth 9 units) (capacity 50 units/s))"
                    "(tenant doc (volumes 00000000000000aa) (reserve 50 units/s))"
                )
            assert follower(head).active_name == "1.1"

    run(main())


def test_the_tenant_commands_use_the_api(tmp_path: Path) -> None:
    async def main() -> None:
        async with hosted(tmp_path) as here:
            assert here.owner is not None and here.owner.acceptor is not None
            host, port = here.owner.acceptor.sockets[0].getsockname()
            connection_options = ("--token-file", str(tmp_path / "operator"), "--url", f"http://{host}:{port}")

            async def command(*arguments: str) -> tuple[int, str]:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "hophinge",
                    "tenant",
                    *arguments,
                    *connection_options,
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.STDOUT,
                )
                output, _ = await process.communicate()
                return process.returncode or 0, output.decode()

            assert (await command("create", "alba", "--reserve", "5"))[0] == 0
            assert '"plan": "basic"' in (await command("volume", "put", "alba", "receipts", "basic"))[1]
            made = msgspec.json.decode((await command("key", "create", "alba", "--role", "reader"))[1])
            assert made["key"].startswith(made["id"])
            code, output = await command("create", "alba")
            assert code == 1 and output == "hophinge: The state does not allow it (409): tenant alba exists\n"
            assert '"suspended"' in (await command("suspend", "alba"))[1]
            assert "alba" in (await command("list"))[1] and (await command("delete", "alba"))[0] == 2
            assert '"closing"' in (await command("delete", "alba", "--yes"))[1]
            assert here.owner.accounts.tenants["alba"].shares.reserve == 5

    run(main())


def test_accounts_of_the_control_service_exclude_an_administration_api_of_the_head(tmp_path: Path) -> None:
    (tmp_path / "op.toml").write_text(
        '[objects]\nlisten = "127.0.0.1:0"\ntenants = "t.json"\nread_class = "a"\n'
        'write_class = "b"\n[admin]\nlisten = "127.0.0.1:0"\ntoken_file = "t"\n[stream]\n'
        'endpoints = ["a:1"]\ntoken_file = "t"\nfolder = "f"\naccounts = true\n'
    )
    with pytest.raises(ValueError, match="control service's"):
        load(str(tmp_path / "op.toml"))
