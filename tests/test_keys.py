"""Keyed writes: the key goes on with each attempt as it came, and without one nothing that may have run is repeated."""

from __future__ import annotations

from typing import Any

import pytest
from aiohttp import web
from msgspec import structs

from hophinge.core.interface import Fail, Result, Send
from hophinge.net.payload import MAX_SHORT_BODY
from tests.stand_in import OBJECT, VOLUME, Backend, headers, run, setup, until, world
from tests.test_choice import KEYED, MS, Gateway, ask, end

WRITE = f"/transfer-write/{VOLUME}/{OBJECT}"
LONG = b"x" * (3 * MAX_SHORT_BODY)


def keyed(**changes: Any) -> dict[str, Any]:
    """Settings whose writes carry a key that bricks of one rack drop repeats by."""
    made = setup(**changes)
    for row in made["RequestClasses"]:
        if row["Name"] == "transfer-write":
            row.update(Effect="token", Group="cell", DedupWindowUs=2_000_000)
    return made


@pytest.mark.parametrize(
    "key",
    [
        None,
        b"",
        b"k",
        b"0f3c-9d",
        b'"quoted, with: marks"',
        b"inner \t white space",
        "schl\u00fcssel".encode(),
        b"\xff\xfe not text",
        b"k" * 1024,
    ],
)
@pytest.mark.parametrize("body", [b"whole", LONG])
def test_a_key_goes_on_with_each_attempt_as_it_came(key: bytes | None, body: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            lines: list[list[bytes]] = []

            async def once_full(request: web.BaseRequest, _: bytes) -> web.Response | None:
                lines.append([value for name, value in request.raw_headers if name.lower() == b"idempotency-key"])
                whole = len(lines) > 1 or len(body) > MAX_SHORT_BODY  # a long body has one attempt
                return None if whole else web.Response(status=503, headers={"X-Turned-Away": "1"})

            made.backends[0].behave = once_full
            wire = await made.wire(await made.head(settings=keyed()))
            head = wire.head(WRITE, headers(1, Content_Length=str(len(body)), X_Remaining_Ms="1200"), "PUT")
            if key is not None:
                head = head[:-2] + b"Idempotency-Key: " + key + b"\r\n\r\n"
            wire.writer.write(head + body)
            assert (await wire.receive())[0] == 200
            expected = [] if key is None else [key]
            assert lines == [expected] * (1 if len(body) > MAX_SHORT_BODY else 2)
            assert made.backends[0].objects[f"{VOLUME}/{OBJECT}"] == body

    run(main())


@pytest.mark.parametrize(
    "lines",
    [
        b"Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
        b"Idempotency-Key: a\r\nidempotency-key: b\r\n",
        b"Idempotency-Key: " + b"k" * 1025 + b"\r\n",
        b"Idempotency-Key: a\nX-Txn: 00000000000000ff\r\n",
        b"Idempotency-Key: a\rX-Txn: 00000000000000ff\r\n",
        b"Idempotency-Key: a\r\n X-Txn: 00000000000000ff\r\n",
        b"Idempotency-Key: a\0b\r\n",
        b"Idempotency-Key: a\x7f\r\n",
    ],
)
def test_a_key_that_is_doubled_over_long_or_smuggles_a_line_is_told_so(lines: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head(settings=keyed())
            wire = await made.wire(service)
            wire.writer.write(wire.head(WRITE, headers(1, Content_Length="2"), "PUT")[:-2] + lines + b"\r\nok")
            assert (await wire.receive())[0] == 400
            wire = await made.wire(service)
            wire.send(WRITE, headers(2), "PUT", b"next")
            assert (await wire.receive())[0] == 200
            assert len(made.backends[0].seen) == 1

    run(main())


@pytest.mark.parametrize(("keyless", "took_ms", "again"), [(False, 10, True), (True, 10, False), (False, 999, False)])
def test_a_write_whose_answer_is_lost_is_repeated_with_a_key_within_its_window_alone(
    keyless: bool, took_ms: int, again: bool
) -> None:
    gate = Gateway()
    assert gate.sends(0, structs.replace(ask("w", kind=KEYED), keyless=keyless))
    actions = gate.at(took_ms * MS, end("w", Result.RESET, took=took_ms * MS)) + gate.run(200 * MS)
    assert bool([one for one in actions if isinstance(one, Send)]) is again
    assert bool([one for one in actions if isinstance(one, Fail)]) is not again


def test_each_further_attempt_of_a_write_bears_its_key() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(0, "s-other")) as made:

            async def lost(request: web.BaseRequest, _: bytes) -> None:
                if request.transport is not None:
                    request.transport.abort()

            for backend in made.backends:
                backend.behave = lost
            service = await made.head(settings=keyed())
            wire = await made.wire(service)
            wire.send(WRITE, headers(1, Idempotency_Key="a", X_Placement="units=1,shard=0,hosts=1"), "PUT", b"x")
            assert (await wire.receive())[0] == 502
            await until(lambda: not service.exchange.open)
            keys = [seen["Idempotency-Key"] for backend in made.backends for seen in backend.headers]
            assert keys == ["a"] * len(keys)
            assert 2 <= len(keys) <= 3

    run(main())
