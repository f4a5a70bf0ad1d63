"""Caches of head processes under kills and overwrites in flight: outdated chunks are never served."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from aiohttp import ClientError, web

from hophinge.load.plan import LoadPlan
from hophinge.load.rig.run import RigRun
from hophinge.load.rig.conditions import wait_until
from tests import books
from tests.popular import SECRET
from tests.stand_in import Backend, DiscoveryAgent
from tests.together import BOUND_S, run

OLD, NEW, PIECE = b"old" * 1000, b"new" * 1000, 1000
PATH = "receipts/one"


class Heads:
    """Two head processes with simulated backends, which store the objects that are put."""

    def __init__(self, made: RigRun, backends: list[Backend], token: str) -> None:
        self.made, self.backends, self.token, self.front = made, backends, token, dict[str, str]()

    async def call(self, name: str, method: str, body: bytes | None = None) -> tuple[int, bytes]:
        """Repeat a call until it is neither rejected nor failed, as may happen on a busy machine."""
        assert self.made.session is not None
        while True:
            async with self.made.session.request(
                method,
                f"http://{self.front[name]}/{PATH}",
                data=body,
                headers={"Authorization": f"Bearer {self.token}"},
            ) as answer:
                content = await answer.read()
                if answer.status not in (500, 503):
                    return answer.status, content
            await asyncio.sleep(0.05)

    async def cached(self, name: str) -> tuple[int, int]:
        """Return the number of cache hits and of cached chunks of a head."""
        status = json.loads((await self.made.get(name, "/ops/popularity"))[1])
        return status["hits"], status["kept_pieces"]


@asynccontextmanager
async def heads(folder: Path) -> AsyncIterator[Heads]:
    token, agent, backends = books.tenant(folder / "tenants.db"), DiscoveryAgent(), [Backend(at) for at in range(3)]
    (folder / "key").write_bytes(SECRET)
    async with RigRun(folder / "run", 41, LoadPlan(backends=3)) as made:
        built = Heads(made, backends, token)
        try:
            for server in (*backends, agent):
                await server.open()
            agent.targets = {backend.name: backend.target() for backend in backends}
            made.platform.port = agent.port
            for name in ("a", "b"):
                built.front[name] = made.address()
                await made.add_head(
                    name,
                    sections={
                        "objects": {
                            "listen": built.front[name],
                            "tenants": str(folder / "tenants.json"),
                            "read_class": "record-read",
                            "write_class": "transfer-write",
                            "piece_bytes": PIECE,
                        },
                        "popularity": {"secret_file": str(folder / "key")},
                    },
                )
            await made.processes.start("a", "b")
            await wait_until([made.is_ready("a"), made.is_ready("b")], BOUND_S)
            yield built
        finally:
            for server in (*backends, agent):
                await server.close()


def test_no_cache_serves_an_overwritten_or_deleted_object_despite_kills(tmp_path: Path) -> None:
    async def main() -> None:
        async with heads(tmp_path) as built:
            assert (await built.call("a", "PUT", OLD))[0] == 200
            for _ in range(2):
                assert [await built.call(name, "GET") for name in "ab"] == [(200, OLD)] * 2
            assert await built.cached("b") == (3, 3)  # the chunks of the second read came from the cache
            # A backend delays the new manifest. Until it is stored, both heads read the old version, and a kill of the
            # writing head leaves the object unchanged.
            gate, put_held = asyncio.Event(), asyncio.Event()
            manifest = next(
                target for backend in built.backends for target, body in backend.objects.items() if len(body) < 600
            )

            async def hold(request: web.BaseRequest, _: bytes) -> None:
                if request.method == "PUT" and request.raw_path.endswith(manifest):
                    put_held.set()
                    await gate.wait()

            for backend in built.backends:
                backend.behave = hold
            writing = asyncio.create_task(built.call("a", "PUT", NEW))
            await put_held.wait()
            assert await built.call("b", "GET") == (200, OLD)
            await built.made["a"].kill()
            assert isinstance((await asyncio.gather(writing, return_exceptions=True))[0], ClientError | OSError)
            assert await built.call("b", "GET") == (200, OLD)
            for backend in built.backends:
                backend.behave = None
            gate.set()
            await built.made["a"].start()
            await wait_until([built.made.is_ready("a")], BOUND_S)
            assert await built.cached("a") == (0, 0)  # the cache is empty after a kill
            # The object is overwritten, then deleted: from then on no head serves what it had cached.
            assert await built.call("a", "GET") in ((200, OLD), (200, NEW))
            reading = [asyncio.create_task(built.call("b", "GET")) for _ in range(8)]
            assert (await built.call("a", "PUT", NEW))[0] == 200
            assert {found for _, found in await asyncio.gather(*reading)} <= {OLD, NEW}
            assert [await built.call(name, "GET") for name in "abab"] == [(200, NEW)] * 4
            assert (await built.cached("b"))[1] == 3  # no chunk of the old version
            await built.made["b"].kill()
            assert (await built.call("a", "DELETE"))[0] == 204
            await built.made["b"].start()
            await wait_until([built.made.is_ready("b")], BOUND_S)
            assert [(await built.call(name, "GET"))[0] for name in "ab"] == [404, 404]
            assert [(await built.cached(name))[1] for name in "ab"] == [0, 0]

    run(main())
