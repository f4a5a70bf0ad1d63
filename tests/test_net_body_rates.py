"""The rate of a tenant: no piece of an answer's body reaches its client ahead of it."""

from __future__ import annotations

import asyncio
import io
from pathlib import Path

from aiohttp import ClientResponse, web

from tests.objects_client import PIECE, content, store
from tests.stand_in import OBJECT, VOLUME, Backend, headers, run, world

UNREAD_S = 0.2  # in which nothing arrives while the rate does not allow it
LONG_BODY = b"x" * (1 << 20)


class ClosedRate:
    """A rate that allows nothing before it is opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.sizes: list[int] = []

    async def __call__(self, _volume: str, _klass: str, _direction: int, size: int) -> None:
        """Wait until it is opened."""
        self.sizes.append(size)
        await self.opened.wait()


async def _check(response: ClientResponse, rate: ClosedRate, body: bytes) -> None:
    """Check that the body waits for the rate."""
    reading = asyncio.create_task(response.content.readany())
    done, _ = await asyncio.wait([reading], timeout=UNREAD_S)
    assert not done and len(rate.sizes) == 1, "the first piece waits"
    rate.opened.set()
    assert await reading + await response.read() == body
    assert sum(rate.sizes) == len(body)


def test_no_piece_of_an_answer_comes_ahead_of_the_rate() -> None:
    async def send_long_body(_request: web.BaseRequest, _body: bytes) -> web.StreamResponse:
        return web.Response(body=io.BytesIO(LONG_BODY), headers={"Content-Length": str(len(LONG_BODY))})

    async def main() -> None:
        async with world(Backend(0)) as made:
            made.backends[0].behave = send_long_body
            service, rate = await made.head(), ClosedRate()
            service.front.rate_limit = rate
            path = f"{made.url(service)}/record-read/{VOLUME}/{OBJECT}"
            async with made.client.get(path, headers=headers(1, X_Remaining_Ms="20000")) as response:
                await _check(response, rate, LONG_BODY)

    run(main())


def test_no_piece_of_an_object_comes_ahead_of_the_rate(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, service, client):
            body = content(10 * PIECE)
            assert await client.status("PUT", "/receipts/name", body) == 200
            assert service.objects is not None
            service.objects.rate_limit = rate = ClosedRate()
            fields = {"Authorization": f"Bearer {client.token}"}
            async with made.client.get(f"{client.base}/receipts/name", headers=fields) as response:
                await _check(response, rate, body)

    run(main())
