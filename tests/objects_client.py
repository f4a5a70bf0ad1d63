"""A head with an object front before stand-in bricks, and a client of one bucket."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from xml.etree import ElementTree

from aiohttp import ClientResponse

from hophinge.head.service import Service
from hophinge.head.operator_config import OperatorConfig
from hophinge.objects.config import ObjectConfig
from tests import books
from tests.stand_in import Backend, World, world

PIECE = 1000


class Client:
    """An object client of one bucket."""

    def __init__(self, made: World, service: Service, token: str) -> None:
        self.world, self.token = made, token
        self.at(service)

    def at(self, service: Service) -> None:
        """Talk to this head from now on."""
        self.base = self.world.url(service, 1)

    async def call(
        self, method: str, path: str, body: bytes | None = None, **more: str
    ) -> tuple[ClientResponse, bytes]:
        sent = {"Authorization": f"Bearer {self.token}"}
        sent |= {name.replace("_", "-"): text for name, text in more.items()}
        async with self.world.client.request(method, f"{self.base}{path}", data=body, headers=sent) as response:
            return response, await response.read()

    async def status(self, method: str, path: str, body: bytes | None = None, **more: str) -> int:
        return (await self.call(method, path, body, **more))[0].status

    async def upload(self, path: str) -> str:
        _, body = await self.call("POST", f"{path}?uploads")
        return field(body, "UploadId")


def field(body: bytes, name: str) -> str:
    return next(one.text or "" for one in ElementTree.fromstring(body).iter() if one.tag.rpartition("}")[2] == name)


def listing(*parts: tuple[int, str]) -> bytes:
    rows = "".join(f"<Part><PartNumber>{number}</PartNumber><ETag>{etag}</ETag></Part>" for number, etag in parts)
    return f"<CompleteMultipartUpload>{rows}</CompleteMultipartUpload>".encode()


def content(size: int) -> bytes:
    return b"".join(hashlib.sha256(str(at).encode()).digest() for at in range(size // 32 + 1))[:size]


def operator(folder: Path, requests: int = 64) -> OperatorConfig:
    return OperatorConfig(
        objects=ObjectConfig(
            listen="127.0.0.1:0",
            tenants=folder / "tenants.json",
            read_class="record-read",
            write_class="transfer-write",
            piece_bytes=PIECE,
            requests=requests,
            parts=20,
            idle_s=2.0,
        )
    )


@asynccontextmanager
async def store(folder: Path, requests: int = 64) -> AsyncIterator[tuple[World, Service, Client]]:
    """Three bricks, a head with an object front, and a client of the bucket `receipts` on plan priority."""
    token = books.tenant(folder / "tenants.db")
    async with world(Backend(0), Backend(1), Backend(2)) as made:
        service = await made.head(operator(folder, requests))
        yield made, service, Client(made, service, token)
