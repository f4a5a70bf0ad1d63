"""The object front against stand-in bricks: one whole path, refusals, errors, plans, ranges."""

from __future__ import annotations

import asyncio
import base64
import hashlib
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest
from aiohttp import web

from hophinge.core.exchange import Answer
from hophinge.core.interface import Arrival
from hophinge.objects.range_header import UnsatisfiableRangeError, parse_range
from tests import books
from tests.objects_client import PIECE, Client, content, field, operator, store
from tests.stand_in import held_by, run, until

__all__ = ["PIECE", "Client", "content", "field", "operator"]


def test_an_object_is_written_read_by_ranges_replaced_and_deleted(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, service, client):
            body, path = content(10 * PIECE + 17), "/receipts/2026/r%C3%A9cu%201.pdf"
            md5 = hashlib.md5(body).hexdigest()
            response, _ = await client.call(
                "PUT",
                path,
                body,
                Content_Type="application/pdf",
                Content_MD5=base64.b64encode(bytes.fromhex(md5)).decode(),
            )
            assert response.status == 200 and response.headers["ETag"] == f'"{md5}"'
            response, got = await client.call("GET", path)
            assert (response.status, got) == (200, body) and response.headers["Content-Type"] == "application/pdf"
            assert response.headers["Accept-Ranges"] == "bytes" and "Last-Modified" in response.headers
            response, got = await client.call("HEAD", path)
            assert (response.status, response.headers["Content-Length"], got) == (200, str(len(body)), b"")
            for text, first, last in (
                ("bytes=0-0", 0, 0),
                ("bytes=995-3004", 995, 3004),
                ("bytes=10000-", 10000, 10016),
                ("bytes=-18", 9999, 10016),
            ):
                response, got = await client.call("GET", path, Range=text)
                assert (response.status, got) == (206, body[first : last + 1])
                assert response.headers["Content-Range"] == f"bytes {first}-{last}/{len(body)}"
            response, _ = await client.call("GET", path, Range="bytes=10017-")
            assert response.status == 416 and response.headers["Content-Range"] == "bytes */10017"
            assert await client.status("GET", path, If_None_Match=f'"{md5}"') == 304
            assert await client.status("GET", path, If_Match='"other"') == 412
            assert await client.status("GET", path, Range="bytes=0-0", If_Range='"other"') == 200
            assert await client.status("PUT", path, b"new") == 200
            assert (await client.call("GET", path))[1] == b"new"
            assert await client.status("DELETE", path) == 204 and await client.status("GET", path) == 404
            assert await client.status("PUT", "/receipts/empty", b"") == 200
            response, got = await client.call("GET", "/receipts/empty")
            assert (response.status, got) == (200, b"")
            # No bypass: whatever reached a brick was a request of the core, in the class of its kind.
            reads = [target for backend in made.backends for method, target in backend.seen if method == "GET"]
            writes = [target for backend in made.backends for method, target in backend.seen if method == "PUT"]
            assert {target.split("/")[1] for target in reads} == {"record-read"}
            assert {target.split("/")[1] for target in writes} == {"transfer-write"}
            counts = service.counters.counts
            assert counts["requests_taken"] == counts["attempts_sent"] == len(reads) + len(writes)
            assert counts["requests_taken"] == counts["requests_served"] + counts["requests_absent"]

    run(main())


def test_a_client_error_is_answered_and_reaches_no_backend(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, _, client):
            stranger = books.tenant(tmp_path / "tenants.db", "beith", {})
            async with made.client.get(f"{client.base}/receipts/a") as response:
                assert response.status == 403 and field(await response.read(), "Code") == "AccessDenied"
            assert await client.status("GET", "/receipts/a", Authorization="Bearer hk00.wrong") == 403
            assert await client.status("GET", "/receipts/a", Authorization=f"Bearer {stranger}") == 404
            assert await client.status("GET", "/other/a") == 404
            assert await client.status("GET", "/receipts/") == 501
            assert await client.status("GET", "/receipts/%ff") == 400
            assert await client.status("PATCH", "/receipts/a", b"x") == 405
            assert await client.status("PUT", f"/receipts/{'n' * 1025}", b"x") == 400
            assert await client.status("PUT", "/receipts/a", b"x", Content_MD5="short") == 400
            assert await client.status("GET", "/receipts/a", X_Remaining_Ms="soon") == 400
            assert await client.status("PUT", "/receipts/a?partNumber=1&uploadId=odd", b"x") == 404
            assert not any(backend.seen for backend in made.backends)
            response, body = await client.call("GET", "/receipts/a")
            assert response.status == 404 and field(body, "Code") == "NoSuchKey"
            wrong = base64.b64encode(bytes(16)).decode()
            response, body = await client.call("PUT", "/receipts/a", b"x", Content_MD5=wrong)
            assert response.status == 400 and field(body, "Code") == "BadDigest"
            assert await client.status("GET", "/receipts/a") == 404

    run(main())


def test_a_rejection_by_the_core_is_answered_at_once_with_retry_after(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, _, client):
            assert await client.status("PUT", "/receipts/a", content(PIECE)) == 200
            for backend in made.backends:
                await made.agent.tell(backend.target("Terminating"))
            await until(lambda: all(phase.value == "draining" for phase in made.services[0].exchange.phases.values()))
            for method, body in (("GET", None), ("PUT", b"x")):
                response, text = await client.call(method, "/receipts/a", body)
                assert response.status == 503 and field(text, "Code") == "SlowDown"
                assert 0 < float(response.headers["Retry-After"]) <= 1

    run(main())


def test_a_failing_backend_is_an_error_and_the_old_object_stays(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, _, client):
            assert await client.status("PUT", "/receipts/a", b"old") == 200

            async def fail_writes(request: web.BaseRequest, _: bytes) -> web.Response | None:
                return web.Response(status=500) if request.method == "PUT" else None

            for backend in made.backends:
                backend.behave = fail_writes
            assert await client.status("PUT", "/receipts/a", b"new") in (500, 503)
            assert (await client.call("GET", "/receipts/a"))[1] == b"old"

    run(main())


def test_a_damaged_chunk_is_not_served(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, _, client):
            assert await client.status("PUT", "/receipts/a", content(3 * PIECE)) == 200
            for backend in made.backends:
                backend.objects.update(
                    {where: b"x" * PIECE for where, body in backend.objects.items() if len(body) == PIECE}
                )
            response, body = await client.call("GET", "/receipts/a")
            assert response.status == 500 and field(body, "Code") == "InternalError"

    run(main())


def test_requests_beyond_the_bound_get_retry_after(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path, requests=1) as (made, service, client):
            assert service.objects is not None
            gate = asyncio.Event()

            for backend in made.backends:
                backend.behave = held_by(gate)
            first = asyncio.create_task(client.status("GET", "/receipts/a"))
            await until(lambda: service.objects is not None and service.objects.active_requests == 1)
            response, _ = await client.call("GET", "/receipts/a")
            assert response.status == 503 and response.headers["Retry-After"] == "1"
            gate.set()
            assert await first == 404

    run(main())


def test_a_client_that_goes_away_departs_from_the_core(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, service, client):
            gate = asyncio.Event()

            for backend in made.backends:
                backend.behave = held_by(gate)
            task = asyncio.create_task(client.status("GET", "/receipts/a"))
            await until(lambda: any(backend.seen for backend in made.backends))
            task.cancel()
            await until(lambda: service.counters.counts["requests_departed"] == 1)
            assert service.exchange.unanswered == 0
            gate.set()
            await until(lambda: not service.exchange.open)

    run(main())


def test_each_tenants_requests_count_on_its_own_plan(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, service, client):
            other = Client(made, service, books.tenant(tmp_path / "tenants.db", "beith", {"receipts": "basic"}))
            asks: list[Arrival] = []
            arrive = service.exchange.arrive

            def noted(ask: Arrival, payload: object, answer: Callable[[Answer], None]) -> None:
                asks.append(ask)
                arrive(ask, payload, answer)

            monkeypatch.setattr(service.exchange, "arrive", noted)
            big = content(6 * PIECE)
            for one, body in ((client, big), (other, b"small")):
                assert await one.status("PUT", "/receipts/a", body) == 200
                assert (await one.call("GET", "/receipts/a", Range="bytes=0-4"))[1] == body[:5]
            classes, plans = service.exchange.settings.classes, service.exchange.settings.plans
            share = Counter((plans[ask.plan].name, classes[ask.klass].name) for ask in asks)
            # A ranged read costs its manifest and the one piece it touches, whatever the object's size.
            assert share == {
                ("priority", "transfer-write"): 7,
                ("priority", "record-read"): 2,
                ("basic", "transfer-write"): 2,
                ("basic", "record-read"): 2,
            }
            assert service.accounts is not None
            bucket = service.accounts.accounts.buckets["beith"]["receipts"]
            assert {ask.plan for ask in asks if ask.volume == bucket.id} == {0}
            assert all(ask.units == 1 and ask.time_left_us == classes[ask.klass].deadline_us for ask in asks)
            assert service.objects is not None
            assert service.objects.store.chunk_store.units(64 * 1024) == service.exchange.settings.max_units
            assert all(
                ask.shard == -1
                for ask in asks
                if ask.write
                and ask.key
                in {
                    where.partition("/")[2]
                    for backend in made.backends
                    for where, held in backend.objects.items()
                    if len(held) == PIECE
                }
            )

    run(main())


@pytest.mark.parametrize(
    ("header", "size", "expected"),
    [
        (None, 10, None),
        ("bytes=0-3", 10, (0, 3)),
        ("bytes=4-", 10, (4, 9)),
        ("bytes=-3", 10, (7, 9)),
        ("bytes=-30", 10, (0, 9)),
        ("bytes=8-99", 10, (8, 9)),
        ("bytes=3-1", 10, None),
        ("bytes=0-1,4-5", 10, None),
        ("lines=0-1", 10, None),
        ("bytes=-", 10, None),
        ("bytes=10-", 10, "none"),
        ("bytes=-0", 10, "none"),
        ("bytes=-5", 0, "none"),
        ("bytes=0-", 0, "none"),
        (f"bytes={'9' * 30}-", 10, None),
    ],
)
def test_range_header(header: str | None, size: int, expected: tuple[int, int] | str | None) -> None:
    try:
        found: tuple[int, int] | str | None = parse_range(header, size)
    except UnsatisfiableRangeError:
        found = "none"
    assert found == expected
