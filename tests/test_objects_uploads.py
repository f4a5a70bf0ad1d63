"""Multipart uploads: listed, completed, aborted, over dying heads and crashes."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from tests.objects_client import PIECE, content, field, listing, operator, store
from tests.stand_in import run, until


def test_an_upload_is_written_listed_completed_and_read(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (_, __, client):
            path, parts = "/receipts/file", [content(2 * PIECE), b"second" * 300, b"third"]
            upload = await client.upload(path)
            etags = []
            for number, body in enumerate(parts, 1):
                response, _ = await client.call("PUT", f"{path}?partNumber={number}&uploadId={upload}", body)
                etags.append(response.headers["ETag"])
            assert await client.status("GET", path) == 404  # nothing is seen before it is complete
            response, body = await client.call("GET", f"{path}?uploadId={upload}&max-parts=2")
            assert field(body, "IsTruncated") == "true" and field(body, "NextPartNumberMarker") == "2"
            assert body.count(b"<Part>") == 2 and field(body, "Size") == str(2 * PIECE)
            response, body = await client.call("GET", f"{path}?uploadId={upload}&part-number-marker=2")
            assert field(body, "IsTruncated") == "false" and body.count(b"<Part>") == 1
            named = [(number, etag) for number, etag in enumerate(etags, 1)]
            done = f"{path}?uploadId={upload}"
            for wrong, code in (
                (listing(*named[::-1]), "InvalidPartOrder"),
                (b"<no", "MalformedXML"),
                (listing((1, etags[1])), "InvalidPart"),
                (listing((9, etags[0])), "InvalidPart"),
                (listing(), "MalformedXML"),
                (b"<!DOCTYPE a><a/>", "MalformedXML"),
            ):
                response, body = await client.call("POST", done, wrong)
                assert (response.status, field(body, "Code")) == (400, code)
            for _ in range(2):  # a repeat gives the same
                response, body = await client.call("POST", done, listing(*named))
                assert response.status == 200 and field(body, "ETag").endswith('-3"')
            response, body = await client.call("GET", path)
            assert body == b"".join(parts) and response.headers["ETag"].endswith('-3"')
            assert (await client.call("GET", path, Range="bytes=1990-2010"))[1] == b"".join(parts)[1990:2011]
            assert await client.status("POST", done, listing(*named[:1])) == 404
            assert await client.status("PUT", f"{path}?partNumber=1&uploadId={upload}", b"late") == 404
            assert (await client.call("GET", path))[1] == b"".join(parts)

    run(main())


def test_an_aborted_upload_is_over_and_a_part_number_has_its_range(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (_, __, client):
            upload = await client.upload("/receipts/file")
            part = f"/receipts/file?partNumber=1&uploadId={upload}"
            for odd in ("0", "21", "x", ""):
                assert await client.status("PUT", f"/receipts/file?partNumber={odd}&uploadId={upload}", b"x") == 400
            assert await client.status("PUT", part, b"x") == 200
            assert await client.status("DELETE", f"/receipts/file?uploadId={upload}") == 204
            assert await client.status("PUT", part, b"x") == 404
            assert await client.status("GET", f"/receipts/file?uploadId={upload}") == 404
            assert await client.status("GET", "/receipts/file") == 404

    run(main())


def test_parts_are_accepted_by_a_head_that_was_killed_and_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, first, client):
            path, parts = "/receipts/file", [content(3 * PIECE), content(2 * PIECE + 1), b"end"]
            upload = await client.upload(path)
            etags = {}

            async def put(number: int) -> int:
                where = f"{path}?partNumber={number}&uploadId={upload}"
                response, _ = await client.call("PUT", where, parts[number - 1])
                etags[number] = response.headers.get("ETag", "")
                return response.status

            assert await put(1) == 200
            gate = asyncio.Event()

            async def hold(request: web.BaseRequest, _: bytes) -> None:
                if request.method == "PUT":
                    await gate.wait()

            for backend in made.backends:
                backend.behave = hold
            broken = asyncio.create_task(put(2))
            await until(
                lambda: (
                    sum(backend.seen[-1:] != [] and backend.seen[-1][0] == "PUT" for backend in made.backends) > 0
                    and first.exchange.unanswered > 0
                )
            )
            await made.kill(first)  # a part is on its way
            with pytest.raises(aiohttp.ClientError):
                await broken
            gate.set()
            for backend in made.backends:
                backend.behave = None
            returned = await made.head(operator(tmp_path))  # from nothing
            client.at(returned)
            body = (await client.call("GET", f"{path}?uploadId={upload}"))[1]
            assert body.count(b"<Part>") == 1  # the part that was answered is there, the broken one is not
            assert await put(2) == 200
            other = await made.head(operator(tmp_path))
            client.at(other)
            assert await put(3) == 200
            done = f"{path}?uploadId={upload}"
            # A head that has just started may refuse on a machine that is busy; that says it is safe to repeat.
            while (code := await client.status("POST", done, listing(*sorted(etags.items())))) == 503:
                await asyncio.sleep(0.05)
            assert code == 200
            client.at(returned)
            assert (await client.call("GET", path))[1] == b"".join(parts)
            assert await client.status("POST", done, listing(*sorted(etags.items()))) == 200
            # Each request of the core had one answer, on the plan of its volume.
            for service in (returned, other):
                counts = service.counters.counts
                answered = sum(counts[f"requests_{end}"] for end in ("served", "refused", "failed", "absent"))
                assert answered == counts["requests_taken"] > 0 and not service.exchange.open
                assert {volume.plan.name for volume in service.exchange.scheduler.volumes.values()} == {"priority"}

    run(main())


def test_a_crash_between_manifest_and_upload_state_is_repaired_by_a_retry(tmp_path: Path) -> None:
    async def main() -> None:
        async with store(tmp_path) as (made, _, client):
            upload = await client.upload("/receipts/file")
            response, _ = await client.call("PUT", f"/receipts/file?partNumber=1&uploadId={upload}", b"body")
            named = listing((1, response.headers["ETag"]))
            writes: Counter[str] = Counter()

            async def second_write_fails(request: web.BaseRequest, _: bytes) -> web.Response | None:
                if request.method == "GET":
                    return None
                writes["seen"] += 1
                return web.Response(status=500) if writes["seen"] > 1 else None

            for backend in made.backends:
                backend.behave = second_write_fails
            done = f"/receipts/file?uploadId={upload}"
            assert await client.status("POST", done, named) in (500, 503)
            assert (await client.call("GET", "/receipts/file"))[1] == b"body"  # new, not half
            for backend in made.backends:
                backend.behave = None
            assert await client.status("POST", done, named) == 200
            assert await client.status("PUT", f"/receipts/file?partNumber=1&uploadId={upload}", b"x") == 404

    run(main())
