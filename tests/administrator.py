"""A head with the administration API, and a client that calls it with or without the operator's token."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from hophinge.head.operator_config import OperatorConfig
from hophinge.head.service import Service
from hophinge.objects.config import AdminConfig, ObjectConfig
from tests.stand_in import Backend, World, world

TOKEN = "a-token-of-the-operator"


class Caller:
    """Client of a head's administration and object APIs; it sends the operator's token unless given another one."""

    def __init__(self, made: World, service: Service) -> None:
        self.made, self.service = made, service
        self.admin, self.objects = made.url(service, 2), made.url(service, 1)
        self.tags: dict[str, str] = {}

    async def call(
        self, method: str, path: str, body: Any = None, token: str = TOKEN, status: int = 0, **fields: str
    ) -> Any:
        data = None if body is None else msgspec.json.encode(body)
        request_headers = {
            "Authorization": f"Bearer {token}",
            **{name.replace("_", "-"): text for name, text in fields.items()},
        }
        async with self.made.client.request(
            method, f"{self.admin}{path}", data=data, headers=request_headers
        ) as response:
            text = await response.read()
            self.tag = response.headers.get("ETag", "")
            self.answered = response
            if response.status >= 400:
                assert response.content_type == "application/problem+json"
                assert msgspec.json.decode(text)["status"] == response.status
            if status:
                assert response.status == status, (response.status, text)
                return msgspec.json.decode(text) if text else None
            return response.status

    async def key(self, tenant: str, role: str = "data", **more: Any) -> str:
        made = await self.call("POST", f"/v1/tenants/{tenant}/keys", {"role": role, **more}, status=201)
        return str(made["key"])

    async def object(self, method: str, path: str, key: str, body: bytes | None = None) -> tuple[int, bytes]:
        async with self.made.client.request(
            method, f"{self.objects}{path}", data=body, headers={"Authorization": f"Bearer {key}"}
        ) as response:
            return response.status, await response.read()


def operator(folder: Path) -> OperatorConfig:
    (folder / "token").write_text(f"{TOKEN}\n")
    objects = ObjectConfig("127.0.0.1:0", folder / "tenants.json", "record-read", "transfer-write")
    return OperatorConfig(objects=objects, admin=AdminConfig("127.0.0.1:0", folder / "token", calls_s=1000.0))


@asynccontextmanager
async def caller(folder: Path) -> AsyncIterator[Caller]:
    async with world(Backend(0), Backend(1), Backend(2)) as made:
        yield Caller(made, await made.head(operator(folder)))
