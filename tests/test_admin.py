"""The administration API over HTTP: a tenant's life, refusals, lost updates, pages, its description."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import jsonschema
import msgspec
import pytest
from openapi_spec_validator import validate

from hophinge.admin import openapi
from hophinge.admin.api import OPERATIONS
from tests.administrator import TOKEN, caller
from tests.stand_in import run, until
from tests.test_service import ROOT


def test_lifecycle_of_a_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            assert await to.call("GET", "/v1/plans", status=200) == {"plans": ["basic", "priority"]}
            made = await to.call("PUT", "/v1/tenants/alba", {"note": "first"}, status=201)
            assert made["state"] == "active" and made["note"] == "first"
            assert await to.call("PUT", "/v1/tenants/alba") == 409
            volume = await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "basic"}, status=200)
            tag, key = to.tag, await to.key("alba")
            assert (await to.object("PUT", "/receipts/a", key, b"body"))[0] == 200
            assert await to.call("PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "priority"}) == 428
            moved = await to.call(
                "PUT", "/v1/tenants/alba/volumes/receipts", {"plan": "priority"}, status=200, If_Match=tag
            )
            assert moved == {**volume, "plan": "priority"}  # the same volume: nothing is lost
            assert await to.object("GET", "/receipts/a", key) == (200, b"body")
            shown = await to.call("GET", "/v1/tenants/alba/keys", status=200)
            assert [one["id"] for one in shown["keys"]] == [key.partition(".")[0]]
            kept = (tmp_path / "tenants.db").read_bytes() + (tmp_path / "tenants.db-wal").read_bytes()
            assert key.partition(".")[2].encode() not in kept + json.dumps(shown).encode()  # told once, kept as digest
            path = f"/v1/tenants/alba/keys/{key.partition('.')[0]}"
            new = (await to.call("POST", f"{path}/rotate", {"overlap_s": 60}, status=201))["key"]
            for one in (key, new):  # both, for a while
                assert await to.object("GET", "/receipts/a", one) == (200, b"body")
            assert await to.call("DELETE", path) == 204
            assert (await to.object("GET", "/receipts/a", key))[0] == 403
            await to.call("GET", "/v1/tenants/alba", status=200)
            await to.call("PATCH", "/v1/tenants/alba", {"state": "suspended"}, status=200, If_Match=to.tag)
            assert (await to.object("GET", "/receipts/a", new))[0] == 403
            await to.call("PATCH", "/v1/tenants/alba", {"state": "active"}, status=200, If_Match="*")
            assert await to.object("GET", "/receipts/a", new) == (200, b"body")
            assert await to.call("DELETE", "/v1/tenants/alba") == 428
            assert (await to.call("DELETE", "/v1/tenants/alba", status=202, If_Match="*"))["state"] == "closing"
            assert (await to.object("GET", "/receipts/a", new))[0] == 403
            assert to.service.accounts is not None
            tenants = to.service.accounts.accounts.tenants
            await until(lambda: tenants["alba"].state.value == "closed")
            assert not to.service.accounts.accounts.keys and not to.service.accounts.accounts.volumes
            assert await to.call("GET", "/v1/tenants/alba/volumes") == 404
            await to.call("PUT", "/v1/tenants/alba", status=201)  # the name is free again, and has nothing
            assert (await to.call("GET", "/v1/tenants/alba/volumes", status=200))["volumes"] == []
            told = await to.call("GET", "/v1/audit?limit=500", status=200)
            assert [one["what"] for one in told["entries"]][-4:] == [
                "purge_keys",
                "purge_volumes",
                "purged",
                "create_tenant",
            ]
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "hophinge",
                    "audit",
                    "verify",
                    str(tmp_path / "tenants.db"),
                    "--head",
                    told["head"],
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 0 and f"{len(told['entries'])} entries" in done.stdout

    run(main())


def test_rejected_calls_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            for token in ("", "wrong", TOKEN[:-1]):
                assert await to.call("PUT", "/v1/tenants/alba", token=token) == 401
            assert await to.call("PUT", "/v1/tenants/UPPER") == 400
            assert await to.call("GET", "/v1/tenants/none") == await to.call("GET", "/v2") == 404
            assert await to.call("POST", "/v1/tenants/none/keys") == 404
            assert await to.call("PUT", "/v1/tenants/none/volumes/receipts", {"plan": "basic"}) == 404
            assert await to.call("POST", "/v1/tenants") == 405
            assert to.service.accounts is not None and not to.service.accounts.ledger.seq
            await to.call("PUT", "/v1/tenants/alba", {"quotas": {"volumes": 1, "keys": 1}}, status=201)
            for body in ({"plan": "gold"}, {"plan": 3}, {}, {"plan": "basic", "more": 1}):
                assert await to.call("PUT", "/v1/tenants/alba/volumes/receipts", body) == 400
            assert await to.call("PATCH", "/v1/tenants/alba", "x" * 20_000, If_Match="*") == 413
            assert await to.call("PATCH", "/v1/tenants/alba", {"quotas": {"keys": -1}}, If_Match="*") == 400
            assert await to.call("DELETE", "/v1/tenants/alba/keys/hk0") == 404
            assert await to.call("GET", "/v1/tenants?limit=0") == await to.call("GET", "/v1/audit?after=x") == 400
            await to.call("PUT", "/v1/tenants/alba/volumes/one", {"plan": "basic"}, status=200)
            assert await to.call("PUT", "/v1/tenants/alba/volumes/two", {"plan": "basic"}) == 409
            await to.key("alba")
            assert await to.call("POST", "/v1/tenants/alba/keys") == 409

    run(main())


def test_concurrent_administrators_do_not_lose_updates(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            await to.call("PUT", "/v1/tenants/alba", status=201)
            tag = to.tag
            changes = [to.call("PATCH", "/v1/tenants/alba", {"note": f"by {at}"}, If_Match=tag) for at in range(8)]
            codes = sorted(await asyncio.gather(*changes))
            assert codes == [200] + [412] * 7
            makes = [to.call("PUT", "/v1/tenants/beith") for _ in range(8)]
            assert sorted(await asyncio.gather(*makes)) == [201] + [409] * 7
            # One call that is repeated: done once, answered alike, its secret told once.
            first = await to.call("POST", "/v1/tenants/alba/keys", {}, status=201, Idempotency_Key="k1")
            again = await to.call("POST", "/v1/tenants/alba/keys", {}, status=201, Idempotency_Key="k1")
            assert to.answered.headers["Idempotency-Replayed"] == "true"
            assert again == {**first, "key": None} and len(to.service.accounts.accounts.keys) == 1  # type: ignore
            assert await to.call("POST", "/v1/tenants/beith/keys", {}, Idempotency_Key="k1") == 422
            assert await to.call("POST", "/v1/tenants/alba/keys", {}, Idempotency_Key="é") == 400

    run(main())


def test_pagination_of_tenants_and_of_the_audit_is_complete(tmp_path: Path) -> None:
    async def main() -> None:
        async with caller(tmp_path) as to:
            names = [f"tenant-{at:02}" for at in range(23)]
            for name in reversed(names):
                await to.call("PUT", f"/v1/tenants/{name}", status=201)
            found, after = list[str](), ""
            while True:
                page = await to.call("GET", f"/v1/tenants?limit=10&after={after}", status=200)
                found += [one["name"] for one in page["tenants"]]
                if (after := page["next"]) is None:
                    break
            assert found == names
            seqs, start = list[int](), 0
            while start is not None:
                page = await to.call("GET", f"/v1/audit?limit=7&after={start}", status=200)
                seqs += [one["seq"] for one in page["entries"]]
                start = page["next"]
            assert seqs == list(range(1, 24))

    run(main())


def test_description_of_the_api_is_the_recorded_one() -> None:
    """Names of shapes and their docstrings stand in it: a change of either is a change of what clients read."""
    assert openapi.encoded_description() == (Path(__file__).parent / "fixtures" / "openapi.json").read_bytes()


def test_description_is_valid_and_the_server_conforms_to_it(tmp_path: Path) -> None:
    described = openapi.description()
    validate(described)
    resolver = jsonschema.validators.validator_for({"$schema": "https://json-schema.org/draft/2020-12/schema"})

    async def main() -> None:
        async with caller(tmp_path) as to:
            text = await to.call("GET", "/v1/openapi.json", status=200)
            assert text == json.loads(json.dumps(described))
            names = {"tenant": "alba", "bucket": "receipts", "key": ""}
            bodies: dict[str, Any] = {"put_volume": {"plan": "basic"}, "change_tenant": {"note": "x"}}
            seen = set()
            last = ("end_key", "remove_volume", "close_tenant")
            order = sorted(
                OPERATIONS,
                key=lambda one: (
                    one.name in last,
                    one.name not in ("create_tenant", "put_volume", "create_key"),
                    last.index(one.name) if one.name in last else 0,
                ),
            )
            for operation in order:
                path = operation.path.format(**names)
                for token in (TOKEN, "wrong"):
                    async with to.made.client.request(
                        operation.method,
                        f"{to.admin}{path}",
                        json=bodies.get(operation.name),
                        headers={"Authorization": f"Bearer {token}", "If-Match": "*"},
                    ) as response:
                        body = await response.read()
                    responses = described["paths"][operation.path][operation.method.lower()]["responses"]
                    assert str(response.status) in responses, (operation.name, response.status)
                    if token == TOKEN:
                        assert response.status == operation.status, (operation.name, body)
                        seen.add(operation.name)
                    if body:
                        content_type = response.headers["Content-Type"]
                        schema = responses[str(response.status)]["content"][content_type]["schema"]
                        resolver({**schema, "components": described["components"]}).validate(json.loads(body))
                    if operation.name in ("create_key", "rotate_key") and token == TOKEN:
                        names["key"] = json.loads(body)["id"]
            assert seen == {one.name for one in OPERATIONS}
            spoken = {(path, method) for path, rows in described["paths"].items() for method in rows}
            assert spoken == {(one.path, one.method.lower()) for one in OPERATIONS}

    run(main())


@pytest.mark.parametrize("text", ["[admin]\nlisten='a:1'\ntoken_file='t'\ncalls_s=0"])
def test_invalid_settings_are_reported(text: str, tmp_path: Path) -> None:
    from hophinge.head.operator_config import load

    (tmp_path / "op.toml").write_text(text)
    with pytest.raises((ValueError, msgspec.ValidationError), match="calls_s"):
        load(str(tmp_path / "op.toml"))
