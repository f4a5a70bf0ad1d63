"""Bounds of a tenant, and its usage."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from tests.administrator import Caller, caller, operator
from tests.objects_client import field
from tests.stand_in import Backend, Wire, headers, held_by, run, until, world


def test_quotas_on_connections_requests_and_uploads(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            quotas = {"connections": 2, "requests": 2, "uploads": 2}
            for name, more in (("alba", quotas), ("beith", {})):
                await to.call("PUT", f"/v1/tenants/{name}", {"quotas": more}, status=201)
                await to.call("PUT", f"/v1/tenants/{name}/volumes/receipts", {"plan": "priority"}, status=200)
            key, other = await to.key("alba"), await to.key("beith")
            assert to.service.accounts is not None and to.service.objects is not None
            accounts = to.service.accounts
            host, port = to.objects.removeprefix("http://").split(":")
            wires = []
            for at in range(3):
                wires.append(Wire(*await asyncio.open_connection(host, int(port))))
                wires[-1].send("/receipts/none", {"Authorization": f"Bearer {key}"})
                status, fields, _ = await wires[-1].receive()
                assert (status, fields.get("retry-after")) == ((404, None) if at < 2 else (503, "1"))
            assert (await to.object("GET", "/receipts/none", other))[0] == 404  # nobody else feels it
            wires[0].close()
            await until(lambda: accounts.connections.open_counts["alba"] == 1)
            wires[2].send("/receipts/none", {"Authorization": f"Bearer {key}"})
            assert (await wires[2].receive())[0] == 404
            for wire in wires[1:]:
                wire.close()
            await until(lambda: "alba" not in accounts.connections.open_counts)
            uploads = [await to.object("POST", f"/receipts/u{at}?uploads", key) for at in range(3)]
            assert [code for code, _ in uploads] == [200, 200, 409]
            first = field(uploads[0][1], "UploadId")
            assert (await to.object("DELETE", f"/receipts/u0?uploadId={first}", key))[0] == 204
            assert (await to.object("POST", "/receipts/u3?uploads", key))[0] == 200
            # Ended through another head, which this one does not know: found out before the next is refused.
            accounts.ledger.add_upload(
                "f" * 32,
                "alba",
                msgspec.json.encode({"bucket": "receipts", "volume": "0" * 16, "plan": "basic", "name": "gone"}),
            )
            accounts.ledger.remove_upload(field(uploads[1][1], "UploadId"))
            assert (await to.object("POST", "/receipts/u4?uploads", key))[0] == 200
            gate = asyncio.Event()

            for backend in to.made.backends:
                backend.behave = held_by(gate)
            tasks = [asyncio.create_task(to.object("GET", "/receipts/x", key)) for _ in range(2)]
            await until(lambda: accounts.requests.open_counts.get("alba") == 2)
            assert (await to.object("GET", "/receipts/x", key))[0] == 503
            gate.set()
            assert [code for code, _ in await asyncio.gather(*tasks)] == [404, 404]
            assert not accounts.requests.open_counts

    run(main())


def test_usage_is_exact_over_restarts_and_visible_to_its_tenant_only(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1), Backend(2)) as made:
            to = Caller(made, await made.head(operator(tmp_path)))
            keys, sizes = {}, {"alba": 7000, "beith": 10}
            for name in sizes:
                await to.call("PUT", f"/v1/tenants/{name}", status=201)
                await to.call("PUT", f"/v1/tenants/{name}/volumes/receipts", {"plan": "priority"}, status=200)
                keys[name] = await to.key(name)
            for turn in range(3):
                for name, size in sizes.items():
                    assert (await to.object("PUT", f"/receipts/{turn}", keys[name], b"x" * size))[0] == 200
                    assert (await to.object("GET", f"/receipts/{turn}", keys[name]))[0] == 200
                    assert (await to.object("GET", "/receipts/none", keys[name]))[0] == 404
                volume = to.service.accounts.accounts.buckets["alba"]["receipts"].id  # type: ignore[union-attr]
                wire = await made.wire(to.service)  # the same volume through the platform's front
                wire.send(f"/record-read/{volume}/{'0' * 15}{turn}", headers(turn + 100))
                assert (await wire.receive())[0] == 404
                assert to.service.accounts is not None
                to.service.accounts.flush()
                await made.kill(to.service)
                to = Caller(made, await made.head(operator(tmp_path)))
            reader = await to.key("alba", "reader")
            told = await to.call("GET", "/v1/tenants/alba/usage", token=reader, status=200)
            assert told["volumes"]["receipts"] == told["total"]
            assert (told["total"]["served"], told["total"]["failed"]) == (3 * 2 + 3, 3)
            assert told["total"]["bytes_in"] == 3 * 7000 and told["total"]["bytes_out"] >= 3 * 7000
            assert told["total"]["units"] > 9 and "refused" not in told["total"]
            assert await to.call("GET", "/v1/tenants/beith/usage", token=reader) == 404
            assert (await to.call("GET", "/v1/tenants/beith/usage", status=200))["total"]["bytes_in"] == 30

    run(main())
