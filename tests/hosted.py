"""Heads whose control service owns the accounts, over sockets, for tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from hophinge.cli.control_service import AccountsService
from hophinge.control import service as control_service
from hophinge.control.store import ControlStore
from hophinge.head.accounts import HeadAccounts
from hophinge.head.operator_config import OperatorConfig, StreamConfig
from hophinge.head.service import Service
from hophinge.objects.config import ObjectConfig
from hophinge.state.ledger import Ledger
from tests.installation import HEAD_TOKEN, SETTINGS, Installation
from tests.stand_in import Backend, world

TOKEN = "a-token-of-the-operator"


class Hosted(Installation):
    """An installation whose control service owns the accounts."""

    owner: AccountsService | None = None

    async def control(self, **options: Any) -> Any:
        (self.folder / "operator").write_text(TOKEN)
        self.owner = AccountsService(
            self.folder / "accounts.db",
            "127.0.0.1:0",
            self.folder / "operator",
            frozenset({"basic", "priority"}),
            self.log.append,
            1000.0,
        )
        self.service = control_service.ControlService(
            ControlStore(self.folder / "versions.db", **options),
            frozenset({HEAD_TOKEN}),
            {"a-token-of-staff-1": "tester"},
            self.log.append,
            self.owner.ledger,
            self.owner.accounts,
        )
        await self.service.start(f"127.0.0.1:{self.port}")
        self.port = self.service.port
        self.owner.start(self.service)
        return self.service

    async def end_control(self) -> None:
        assert self.owner is not None and self.service is not None
        await self.owner.stop()
        await self.service.stop()
        self.service = None

    async def hosted(self, name: str, settings: dict[str, Any] | None = None) -> Service:
        (self.folder / "token").write_text(HEAD_TOKEN)
        stream = StreamConfig(
            [f"127.0.0.1:{self.port}"], self.folder / "token", self.folder / f"state-{name}", accounts=True
        )
        objects = ObjectConfig("127.0.0.1:0", self.folder / f"{name}.json", "record-read", "transfer-write")
        return await self.made.head(OperatorConfig(objects=objects, stream=stream), settings or SETTINGS, name=name)

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        assert self.owner is not None and self.owner.acceptor is not None
        host, port = self.owner.acceptor.sockets[0].getsockname()
        async with self.made.client.request(
            method,
            f"http://{host}:{port}{path}",
            json=body,
            headers={"Authorization": f"Bearer {TOKEN}", "If-Match": "*"},
        ) as answer:
            text = await answer.read()
            assert answer.status < 300, (answer.status, text)
            return msgspec.json.decode(text) if text else None

    async def object(self, head: Service, method: str, path: str, key: str, body: bytes | None = None) -> int:
        async with self.made.client.request(
            method, f"{self.made.url(head, 1)}{path}", data=body, headers={"Authorization": f"Bearer {key}"}
        ) as answer:
            await answer.read()
            return answer.status

    async def tenant(self, name: str) -> str:
        await self.call("PUT", f"/v1/tenants/{name}", {"shares": {"reserve": 10}})
        await self.call("PUT", f"/v1/tenants/{name}/volumes/receipts", {"plan": "priority"})
        return str((await self.call("POST", f"/v1/tenants/{name}/keys"))["key"])


@asynccontextmanager
async def hosted(folder: Path) -> AsyncIterator[Hosted]:
    async with world(*(Backend(at) for at in range(3))) as made:
        here = Hosted(folder, made)
        await here.control()
        try:
            yield here
        finally:
            await made.kill_all()
            if here.service is not None:
                await here.end_control()


def accounts_of(head: Service) -> HeadAccounts:
    assert head.accounts is not None
    return head.accounts


def ledger_of(here: Hosted) -> Ledger:
    assert here.owner is not None
    return here.owner.ledger
