"""A request body that arrives slowly during the shutdown of a head."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.restarting import NUMBERS
from tests.stand_in import Backend, headers, run, until, world
from tests.test_net import READ


def test_a_request_with_a_slow_body_gets_no_later_deadline_than_the_shutdown() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, deadlines_us = await made.head(), list[int]()

            async def record_deadline(request: Any, _: bytes) -> None:
                deadlines_us.append(service.exchange.now_us() + int(request.headers["X-Remaining-Ms"]) * 1000)

            made.backends[0].behave = record_deadline
            wire = await made.wire(service)
            shutdown_task = asyncio.create_task(service.shut_down())
            await until(lambda: service.front.final_drain is not None)
            fields = headers(next(NUMBERS), X_Remaining_Ms="3000") | {"Content-Length": "2"}
            wire.writer.write(wire.head(READ, fields, "PUT") + b"a")
            await until(lambda: bool(service.front.busy))
            schedule: Any = service.front.final_drain
            await until(lambda: service.exchange.now_us() > schedule.answer_by_us - 2_500_000)
            wire.writer.write(b"b")
            assert (await wire.receive())[0] == 200
            assert deadlines_us[0] <= schedule.answer_by_us + 20_000
            await shutdown_task
            made.services.remove(service)

    run(main())
