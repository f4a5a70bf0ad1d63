"""What a tenant's end does to its waiting requests, streams and uploads, also over a restart."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from aiohttp import web

from tests.administrator import Caller, caller, operator
from tests.objects_client import content, field
from tests.stand_in import Backend, run, until, world


def test_tenant_is_closed_while_its_requests_wait_stream_and_upload(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            await to.call("PUT", "/v1/tenants/alba", status=201)
            await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "priority"}, status=200)
            key, gate = await to.key("alba"), asyncio.Event()
            bearer = {"Authorization": f"Bearer {key}"}
            big = content(400_000)
            assert (await to.object("PUT", "/receipts/big", key, big))[0] == 200
            uploads = []
            for at in range(3):
                _, body = await to.object("POST", f"/receipts/up{at}?uploads", key)
                uploads.append(field(body, "UploadId"))
            # One that streams: begun, its client reads on later.
            streaming = await to.made.client.get(f"{to.objects}/receipts/big", headers=bearer)
            begun = await streaming.content.readexactly(1000)

            async def hold(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                if request.method == "GET":
                    await gate.wait()
                return None

            for backend in to.made.backends:
                backend.behave = hold
            waiting = [asyncio.create_task(to.object("GET", "/receipts/big", key)) for _ in range(5)]
            coming = asyncio.Event()

            async def slowly() -> AsyncIterator[bytes]:
                yield b"x" * 1000
                await coming.wait()
                yield b"y"

            uploading = asyncio.create_task(
                status_of(
                    to.made.client.put(
                        f"{to.objects}/receipts/up0?partNumber=1&uploadId={uploads[0]}", data=slowly(), headers=bearer
                    )
                )
            )
            assert to.service.objects is not None and to.service.accounts is not None
            front, accounts = to.service.objects, to.service.accounts
            await until(lambda: len(front.unanswered.get("alba", ())) == 6)
            assert await to.call("DELETE", "/v1/tenants/alba", If_Match="*") == 202
            codes = await asyncio.gather(*waiting)
            assert [code for code, _ in codes] == [403] * 5  # each once, and long before its time is over
            assert await uploading == 403 and not front.unanswered
            assert await to.call("PUT", "/v1/tenants/alba") == 409 and not gate.is_set()  # its purge has not ended
            gate.set()
            coming.set()
            assert begun + await streaming.read() == big  # what had begun went on to its end
            await until(lambda: accounts.accounts.tenants["alba"].state.value == "closed")
            assert not accounts.ledger.count_uploads("alba") and not front.active_requests
            records = [body for backend in to.made.backends for body in backend.objects.values()]
            assert sum(body[1:9] == b"\xa7aborted" for body in records) == 3
            assert await to.call("PUT", "/v1/tenants/alba") == 201

    run(main())


async def status_of(asking: Any) -> int:
    async with asking as answer:
        await answer.read()
        return int(answer.status)


def test_interrupted_purge_continues_after_a_restart(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1), Backend(2)) as made:
            to = Caller(made, await made.head(operator(tmp_path)))
            await to.call("PUT", "/v1/tenants/alba", status=201)
            await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "priority"}, status=200)
            key = await to.key("alba")
            for at in range(3):
                await to.object("POST", f"/receipts/up{at}?uploads", key)

            async def refuse(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                return web.Response(status=503, headers={"X-Turned-Away": "1"})

            for backend in made.backends:  # the uploads cannot be aborted: the purge stands still there
                backend.behave = refuse
            await to.call("DELETE", "/v1/tenants/alba", status=202, If_Match="*")
            assert to.service.accounts is not None
            accounts = to.service.accounts
            await until(lambda: not accounts.accounts.keys)
            assert accounts.ledger.count_uploads("alba") == 3 and accounts.accounts.volumes
            await made.kill(to.service)
            for backend in made.backends:
                backend.behave = None
            again = await made.head(operator(tmp_path))
            assert again.accounts is not None
            rows = again.accounts.accounts
            assert rows.tenants["alba"].state.value == "closing" and not rows.authenticate(key, 0)
            await until(lambda: rows.tenants["alba"].state.value == "closed")
            assert not again.accounts.ledger.count_uploads("alba") and not rows.volumes

    run(main())
