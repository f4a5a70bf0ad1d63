"""The administration API, the accounts behind it, and what a tenant reaches."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hophinge.head.operator import OperatorConfig
from hophinge.objects.config import AdminConfig, ObjectConfig
from hophinge.objects.tenants import TenantError, Tenants
from tests.stand_in import Brick, World, run, world

TOKEN = "a-token-of-the-operator"


class Caller:
    """An operator with the token, or somebody without."""

    def __init__(self, made: World, admin: str, objects: str) -> None:
        self.made, self.admin, self.objects = made, admin, objects

    async def call(self, method: str, path: str, body: Any = None, token: str = TOKEN) -> tuple[int, Any]:
        data = None if body is None else msgspec.json.encode(body)
        async with self.made.client.request(method, f"{self.admin}{path}", data=data,
                                            headers={"Authorization": f"Bearer {token}"}) as response:
            text = await response.read()
            return response.status, msgspec.json.decode(text) if text else None

    async def object(self, method: str, path: str, key: str, body: bytes | None = None) -> tuple[int, bytes]:
        async with self.made.client.request(method, f"{self.objects}{path}", data=body,
                                            headers={"Authorization": f"Bearer {key}"}) as response:
            return response.status, await response.read()


@asynccontextmanager
async def caller(folder: Path) -> AsyncIterator[Caller]:
    (folder / "token").write_text(f"{TOKEN}\n")
    objects = ObjectConfig("127.0.0.1:0", folder / "tenants.json", "record-read", "transfer-write")
    config = OperatorConfig(objects=objects, admin=AdminConfig("127.0.0.1:0", folder / "token"))
    async with world(Brick(0), Brick(1), Brick(2)) as made:
        service = await made.head(config)
        yield Caller(made, made.url(service, 2), made.url(service, 1))


def test_a_tenant_from_its_making_to_its_end(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            assert await to.call("GET", "/v1/plans") == (200, {"plans": ["basic", "priority"]})
            assert (await to.call("PUT", "/v1/tenants/alba"))[0] == 201
            assert (await to.call("PUT", "/v1/tenants/alba"))[0] == 409
            status, volume = await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "basic"})
            assert status == 200 and volume["plan"] == "basic"
            status, made = await to.call("POST", "/v1/tenants/alba/keys")
            key = made["key"]
            assert status == 201
            assert (await to.object("PUT", "/receipts/a", key, b"body"))[0] == 200
            status, moved = await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "priority"})
            assert moved == {**volume, "plan": "priority"}      # the same volume: nothing is lost
            assert await to.object("GET", "/receipts/a", key) == (200, b"body")
            shown = (await to.call("GET", "/v1/tenants/alba"))[1]
            assert shown["keys"] == [key.partition(".")[0]]
            kept = (tmp_path / "tenants.json").read_text()
            assert key.partition(".")[2] not in kept + str(shown)    # told once, kept as a digest
            status, made = await to.call("POST", f"/v1/tenants/alba/keys/{shown['keys'][0]}/rotate")
            assert status == 201 and (await to.object("GET", "/receipts/a", key))[0] == 403
            key = made["key"]
            assert await to.object("GET", "/receipts/a", key) == (200, b"body")
            assert (await to.call("PATCH", "/v1/tenants/alba", {"disabled": True}))[1]["disabled"] is True
            assert (await to.object("GET", "/receipts/a", key))[0] == 403
            await to.call("PATCH", "/v1/tenants/alba", {"disabled": False})
            assert await to.object("GET", "/receipts/a", key) == (200, b"body")
            assert (await to.call("DELETE", f"/v1/tenants/alba/keys/{key.partition('.')[0]}"))[0] == 204
            assert (await to.object("GET", "/receipts/a", key))[0] == 403
            assert (await to.call("DELETE", "/v1/tenants/alba"))[0] == 204
            assert await to.call("GET", "/v1/tenants") == (200, {"tenants": []})
    run(main())


def test_no_tenant_reaches_another_s_objects(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            keys = {}
            for name in ("alba", "beith"):
                await to.call("PUT", f"/v1/tenants/{name}")
                await to.call("PUT", f"/v1/tenants/{name}/volumes/receipts", {"plan": "basic"})
                keys[name] = (await to.call("POST", f"/v1/tenants/{name}/keys"))[1]["key"]
                assert (await to.object("PUT", "/receipts/a", keys[name], name.encode()))[0] == 200
            await to.call("PUT", "/v1/tenants/alba/volumes/ledgers", {"plan": "basic"})
            for name, key in keys.items():      # the same bucket and object names, each its own bytes
                assert await to.object("GET", "/receipts/a", key) == (200, name.encode())
            assert (await to.object("GET", "/ledgers/a", keys["beith"]))[0] == 404
            crossed = f"{keys['alba'].partition('.')[0]}.{keys['beith'].partition('.')[2]}"
            assert (await to.object("GET", "/receipts/a", crossed))[0] == 403
    run(main())


def test_calls_that_are_not_allowed_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            for token in ("", "wrong", TOKEN[:-1]):
                assert (await to.call("PUT", "/v1/tenants/alba", token=token))[0] == 401
            assert (await to.call("PUT", "/v1/tenants/UPPER"))[0] == 400
            assert (await to.call("GET", "/v1/tenants/none"))[0] == 404
            assert (await to.call("POST", "/v1/tenants/none/keys"))[0] == 404
            assert (await to.call("GET", "/v2"))[0] == 404
            assert (await to.call("PUT", "/v1/tenants/none/volumes/receipts", {"plan": "basic"}))[0] == 404
            assert not (tmp_path / "tenants.json").exists()
            await to.call("PUT", "/v1/tenants/alba")
            for body in ({"plan": "gold"}, {"plan": 3}, {}, {"plan": "basic", "more": 1}):
                assert (await to.call("PUT", "/v1/tenants/alba/volumes/receipts", body))[0] == 400
            assert (await to.call("PATCH", "/v1/tenants/alba", "x" * 20_000))[0] == 413
            assert (await to.call("DELETE", "/v1/tenants/alba/keys/hk0"))[0] == 404
            assert (await to.call("GET", "/v1/tenants/alba"))[1] == {
                "name": "alba", "disabled": False, "keys": [], "volumes": {}}
    run(main())


def test_a_write_that_fails_leaves_file_and_memory_as_they_were(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    tenants = Tenants(tmp_path / "tenants.json", frozenset({"basic"}))
    tenants.create("alba")
    before = (tmp_path / "tenants.json").read_bytes()

    def full(*_: object) -> None:
        raise OSError("no space left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "replace", full)
        with pytest.raises(OSError, match="no space"):
            tenants.create("beith")
    assert (tmp_path / "tenants.json").read_bytes() == before
    assert os.listdir(tmp_path) == ["tenants.json"]     # nothing half is left beside it
    with pytest.raises(TenantError):
        tenants.get("beith")
    tenants.create("beith")


def test_another_process_s_change_is_seen(tmp_path: Path) -> None:
    here, there = (Tenants(tmp_path / "tenants.json", frozenset({"basic"})) for _ in range(2))
    there.create("alba")
    token = there.add_key("alba")
    assert here.authenticate(token) is None
    here.refresh()
    found = here.authenticate(token)
    assert found is not None and found.name == "alba" and here.authenticate("") is None


def test_a_slip_in_the_file_leaves_what_was_read_before_in_force(tmp_path: Path) -> None:
    path = tmp_path / "tenants.json"
    tenants = Tenants(path, frozenset({"basic"}))
    tenants.create("alba")
    path.write_text("{not json")
    tenants.refresh()
    assert tenants.get("alba").name == "alba"
    with pytest.raises(msgspec.MsgspecError):
        Tenants(path, frozenset({"basic"}))
