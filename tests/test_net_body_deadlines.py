"""The time in which a client must send its body: what the head takes for it does not count."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from hophinge.net import frontend
from hophinge.net.frontend import MAX_RETAINED_BODY
from tests.stand_in import OBJECT, VOLUME, Backend, headers, run, until, world

BODY_TIMEOUT_S = 0.4
BODY = b"x" * (MAX_RETAINED_BODY + (512 << 10))
LAST = 1_000  # bytes that the client sends once the head has taken all others
PACE_S = 1.0  # that the head takes at least for a body that it passes on


class LargeBackend(Backend):
    """A backend that accepts larger bodies than its server allows by default."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request._client_max_size = 1 << 25
        return await super().handle(request)


@pytest.mark.parametrize(("pause_s", "is_served"), [(0.1, True), (1.0, False)])
def test_a_body_that_the_head_itself_delays_is_not_too_slow(
    pause_s: float, is_served: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an upload of a fast client that fails as the rate of its tenant holds it up."""
    monkeypatch.setattr(frontend, "BODY_TIMEOUT_S", BODY_TIMEOUT_S)
    monkeypatch.setattr(frontend, "MIN_BODY_RATE", 1e9)

    async def main() -> None:
        async with world(LargeBackend(0)) as made:
            service = await made.head()
            passed_on = MAX_RETAINED_BODY

            async def pace(_volume: str, _klass: str, _direction: int, size: int) -> None:
                nonlocal passed_on
                if passed_on == MAX_RETAINED_BODY:
                    await asyncio.sleep(PACE_S)
                passed_on += size

            service.front.rate_limit = pace
            wire = await made.wire(service)
            fields = {**headers(1, X_Remaining_Ms="20000"), "Content-Length": str(len(BODY))}
            wire.writer.write(wire.head(f"/transfer-write/{VOLUME}/{OBJECT}", fields, "PUT") + BODY[:-LAST])
            await until(lambda: passed_on > MAX_RETAINED_BODY)
            await asyncio.sleep(pause_s)
            wire.writer.write(BODY[-LAST:])
            assert ((await wire.receive())[0] == 200) is is_served

    run(main())
