"""A brick that drains halfway through a ranged read of an object."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from tests.objects_client import PIECE, content, store
from tests.stand_in import Backend, run, until


async def _drain_halfway(folder: Path, replaced: bool) -> tuple[bytes | None, bytes, dict[str, int]]:
    """Read a range while the brick of its later pieces drains; tell what came, what should, and the counts."""
    async with store(folder) as (made, service, client):
        body = content(12 * PIECE)
        assert await client.status("PUT", "/receipts/a", body) == 200
        volume = next(iter(service.exchange.scheduler.volumes))
        pieces = {where for backend in made.backends for where, held in backend.objects.items() if len(held) == PIECE}
        assert len(pieces) == 12 and all(where.startswith(volume) for where in pieces)
        reads, asked, told = 0, set[str](), asyncio.Event()

        async def slow(request: web.BaseRequest, _: bytes) -> web.Response | None:
            nonlocal reads
            if request.method == "GET" and (where := request.raw_path.split("/", 2)[2]) in pieces:
                asked.add(where)
                reads += 1
                if reads > 4:
                    await told.wait()  # what was out when the drain began is finished
            return None

        for backend in made.backends:
            backend.behave = slow
        task = asyncio.create_task(client.call("GET", "/receipts/a", Range="bytes=500-11499"))
        await until(lambda: reads > 4)
        # The one with most of what is still to be read: where the pieces lie is drawn anew in each run.
        drained = max(made.backends, key=lambda backend: len((pieces - asked) & backend.objects.keys()))
        await made.agent.tell(drained.target("Terminating"))
        await until(lambda: service.exchange.phases[drained.name].value == "draining")
        before = len(drained.seen)
        told.set()
        if replaced:
            spare = Backend(drained.shard, "s-new")
            spare.objects = drained.objects
            made.backends.append(spare)
            await spare.open()
            try:
                await made.agent.tell(spare.target())
                response, got = await task
            finally:
                await spare.close()
            assert response.status == 206 and spare.seen
        else:
            with pytest.raises(aiohttp.ClientPayloadError):  # the client can tell that it is incomplete
                await task
            got = None
        assert len(drained.seen) == before  # nothing new went to it once its drain was heard
        return got, body[500:11500], service.counters.counts


def test_a_ranged_read_continues_at_the_backend_that_replaces_a_draining_one(tmp_path: Path) -> None:
    got, wanted, counts = run(_drain_halfway(tmp_path, True))
    assert got == wanted and counts["object_truncated"] == 0


def test_a_ranged_read_without_a_replacement_is_truncated_detectably(tmp_path: Path) -> None:
    got, _, counts = run(_drain_halfway(tmp_path, False))
    assert got is None and counts["object_truncated"] == 1 and counts["requests_refused"] > 0
