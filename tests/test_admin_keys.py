"""Keys at the administration API: foreign tenants and tricks reach nothing, guesses are slowed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from hophinge.admin.api import OPERATIONS, ApiRequest
from tests import books
from tests.administrator import TOKEN, caller
from tests.stand_in import Wire, run


def test_key_of_a_tenant_cannot_access_or_detect_another_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            keys = {}
            for name in ("alba", "beith"):
                await to.call("PUT", f"/v1/tenants/{name}", status=201)
                await to.call("PUT", f"/v1/tenants/{name}/volumes/receipts", {"plan": "basic"}, status=200)
                keys[name] = await to.key(name)
                assert (await to.object("PUT", "/receipts/a", keys[name], name.encode()))[0] == 200
            await to.call("PUT", "/v1/tenants/alba/volumes/ledgers", {"plan": "basic"}, status=200)
            for name, key in keys.items():  # the same bucket and object names, each its own bytes
                assert await to.object("GET", "/receipts/a", key) == (200, name.encode())
            assert (await to.object("GET", "/ledgers/a", keys["beith"]))[0] == 404
            crossed = f"{keys['alba'].partition('.')[0]}.{keys['beith'].partition('.')[2]}"
            assert (await to.object("GET", "/receipts/a", crossed))[0] == 403
            administrator, reader = await to.key("beith", "administrator"), await to.key("beith", "reader")
            assert (await to.object("GET", "/receipts/a", administrator))[0] == 403  # it is not one for objects
            assert await to.call("GET", "/v1/tenants/beith", token=keys["beith"]) == 401
            for operation in OPERATIONS:
                if "{tenant}" not in operation.path:
                    continue
                answers = []
                for name in ("alba", "nobody"):
                    path = operation.path.format(tenant=name, bucket="receipts", key=keys["alba"].partition(".")[0])
                    async with to.made.client.request(
                        operation.method,
                        f"{to.admin}{path}",
                        headers={"Authorization": f"Bearer {administrator}", "If-Match": "*"},
                    ) as response:
                        answers.append((response.status, (await response.text()).replace(name, "X")))
                assert answers[0] == answers[1] and answers[0][0] == 404, operation.name
            for path in (
                "alba/../beith",
                "beith%2f..%2falba",
                "ALBA",
                "%61lba",
                "beith/../alba",
                "alba/",
                "/alba",
                "./alba",
                "beith;/alba",
                "beith%00",
            ):
                wire = Wire(*await asyncio.open_connection(*to.admin.removeprefix("http://").split(":")))
                wire.send(f"/v1/tenants/{path}", {"Authorization": f"Bearer {administrator}"})
                status, _, body = await wire.receive()
                assert status == 404 and b"basic" not in body
                wire.close()
            wire = Wire(*await asyncio.open_connection(*to.admin.removeprefix("http://").split(":")))
            wire.writer.write(
                f"GET /v1/tenants HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {reader}\r\n"
                f"Authorization: Bearer {TOKEN}\r\n\r\n".encode()
            )
            assert (await wire.receive())[0] == 400  # which of two would count is anyone's guess
            wire.close()
            assert (await to.call("GET", "/v1/tenants/beith/usage", token=reader, status=200))["tenant"] == "beith"
            assert await to.call("PUT", "/v1/tenants/beith/volumes/more", {"plan": "basic"}, token=reader) == 403
            assert await to.call("PUT", "/v1/tenants/beith/volumes/more", {"plan": "basic"}, token=administrator) == 200
            assert await to.call("PATCH", "/v1/tenants/beith", {"quotas": {}}, token=administrator, If_Match="*") == 403
            assert await to.call("GET", "/v1/tenants", token=administrator) == 403

    run(main())


def test_a_million_wrong_keys_cost_little_and_lock_no_other_client_out(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            codes = [await to.call("GET", "/v1/tenants", token=f"hk{at:016x}.guess") for at in range(60)]
            assert codes[:10] == [401] * 10 and codes[-10:] == [429] * 10
            assert int(to.answered.headers["Retry-After"]) >= 1
            assert to.service.admin is not None
            api, looked = to.service.admin.api, 0
            assert len(api.failed_logins.buckets) == 1  # one place, whatever it makes up
            authenticate, now = api.accounts.authenticate, 10**12
            api.now_us = lambda: now

            def counting(token: str, now_ms: int) -> Any:
                nonlocal looked
                looked += 1
                return authenticate(token, now_ms)

            api.accounts.authenticate = counting  # type: ignore[method-assign]
            for at in range(100_000):  # in ten seconds of its clock, by the same way without sockets
                now += 100
                call = ApiRequest(
                    "GET", "/v1/tenants", {}, {"authorization": f"Bearer hk{at:016x}.{at}"}, b"", "127.9.9.9"
                )
                assert api.answer(call).status in (401, 429)
            assert 20 <= looked <= 31 and len(api.failed_logins.buckets) == 2
            good = ApiRequest("GET", "/v1/tenants", {}, {"authorization": f"Bearer {TOKEN}"}, b"", "127.8.8.8")
            assert api.answer(good).status == 200  # from elsewhere

    run(main())


def test_wrong_object_keys_are_rate_limited_without_a_debt(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            key, accounts = books.tenant(tmp_path / "tenants.db"), to.service.accounts
            assert accounts is not None
            accounts.guesses.rate, accounts.guesses.burst = 20.0, 5.0
            codes = [(await to.object("GET", "/receipts/a", f"hk{at:016x}.guess"))[0] for at in range(100)]
            assert codes[:5] == [403] * 5 and 503 in codes  # not taken for wrong while nobody looks
            level = next(iter(accounts.guesses.buckets.values())).level
            assert level > -1.0
            while (code := (await to.object("GET", "/receipts/a", key))[0]) == 503:
                await asyncio.sleep(0.01)
            assert code == 404  # a good key, as soon as one is looked at again

    run(main())
