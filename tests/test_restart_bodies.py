"""A body that comes slowly while its head ends."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.restarting import NUMBERS
from tests.stand_in import Backend, headers, run, until, world
from tests.test_net import READ


def test_a_request_whose_body_came_slowly_is_given_no_longer_than_the_head_has() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, promised = await made.head(), list[int]()

            async def note(request: Any, _: bytes) -> None:
                promised.append(service.exchange.now_us() + int(request.headers["X-Remaining-Ms"]) * 1000)

            made.backends[0].behave = note
            one = await made.wire(service)
            ending = asyncio.create_task(service.shut_down())
            await until(lambda: service.front.final_drain is not None)
            fields = headers(next(NUMBERS), X_Remaining_Ms="3000") | {"Content-Length": "2"}
            one.writer.write(one.head(READ, fields, "PUT") + b"a")
            await until(lambda: bool(service.front.busy))
            last: Any = service.front.final_drain
            await until(lambda: service.exchange.now_us() > last.answer_by_us - 2_500_000)
            one.writer.write(b"b")
            assert (await one.receive())[0] == 200
            assert promised[0] <= last.answer_by_us + 20_000
            await ending
            made.services.remove(service)

    run(main())
