"""Streamed configuration over sockets while a service, a disk or a version fails."""

from __future__ import annotations

import errno
import os
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hophinge.control import lastgood
from hophinge.state.files import Disk
from tests.installation import GOOD, follower, installation, write
from tests.stand_in import run, until


def test_a_killed_service_comes_back_and_heads_serve_on_meanwhile(tmp_path: Path) -> None:
    # Killed between the store and the push to heads, and mid-stream: the version is whole or not there.
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD)
            await here.runs(head, "1.1")
            assert here.service is not None
            here.service._aim = lambda: None  # type: ignore[method-assign]   # killed before heads hear
            await here.push(GOOD + "(limit (open 99 requests))")
            await here.service.stop()
            await until(lambda: not follower(head).connected)
            assert await write(here, head, 1) == 200
            await here.control()
            await here.runs(head, "1.2")
            assert head.streamed is not None and [limit.open for limit in head.streamed.router.table.limits] == [99]

    run(main())


def test_a_head_without_any_service_starts_from_its_last_good_version(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD + "(limit (open 7 requests))")
            await here.runs(head, "1.1")
            await until(lambda: follower(head).kept == (1, 1))
            await here.made.kill(head)
            assert here.service is not None
            await here.service.stop()
            here.service = None
            again = await here.head("n0")
            assert follower(again).running == "1.1" and follower(again).held
            assert follower(again).status(0)["kept"] == "1.1"
            file = next((tmp_path / "state").glob("last-good-n0.state"))
            file.write_bytes(file.read_bytes()[:-3])  # torn: not taken, and the head serves without
            torn = await here.head("n0")
            assert follower(torn).running == "none" and await write(here, torn, 1) == 200

    run(main())


def test_a_version_kept_long_ago_serves_and_is_marked_stale(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD)
            await until(lambda: follower(head).kept == (1, 1))
            await here.made.kill(head)
            path = tmp_path / "state" / "last-good-n0.state"
            kept = lastgood.load(path)
            assert kept is not None
            lastgood.save(path, msgspec.structs.replace(kept, kept_ms=kept.kept_ms - 3600 * 1000))
            again = await here.head("n0", endpoints=["127.0.0.1:9"])
            assert follower(again).running == "1.1" and follower(again).status(0)["stale"]
            assert again.streamed is not None and again.streamed.gauges()["config_stale"]
            assert await write(here, again, 1) == 200

    run(main())


def test_a_version_under_which_requests_fail_is_rolled_back_by_itself(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            heads = [await here.head(f"n{at}") for at in range(2)]
            rule = "(rollout (first n0) (waves 100 %) (hold 4 s) (failures 20 %) (on-trouble rollback))"
            await here.push(GOOD)
            for head in heads:
                await here.runs(head, "1.1")
            assert here.service is not None
            rollout = here.service.rollout
            await until(lambda: rollout.course.stage.value == "done")
            # A pool of bricks that nobody has: good by all checks, and every write is refused under it.
            await here.push("(hophinge 1) (pool gone (bricks s-99)) (route (pools gone))" + rule)
            await here.runs(heads[0], "1.2")
            # It may be judged while they come: a head tells its figures when it answers, and that is in between too.
            codes = [await write(here, heads[0], at) for at in range(1, 41) if follower(heads[0]).running == "1.2"]
            assert set(codes) == {503} and len(codes) >= 20
            await here.runs(heads[0], "1.3")
            await here.runs(heads[1], "1.3")
            assert await write(here, heads[0], 50) == 200
            assert any(re.search(r"rolled back: (\d+) of \1 requests failed", line) for line in here.log)
            assert follower(heads[1]).counts["taken_up"] == 2  # 1.1 and 1.3: the other never had 1.2

    run(main())


def test_a_full_store_refuses_pushes_whole_and_a_rollout_goes_on_once_there_is_room(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            heads = [await here.head(f"n{at}") for at in range(2)]
            await here.push(GOOD)
            for head in heads:
                await here.runs(head, "1.1")
            assert here.service is not None
            store, rollout = here.service.store, here.service.rollout
            await until(lambda: rollout.course.stage.value == "done")
            pages = store.db.execute("PRAGMA page_count").fetchone()[0]
            store.db.execute(f"PRAGMA max_page_count = {pages}")
            big = GOOD + "".join(f"(limit (tenant t{at}) (open 1 requests))" for at in range(2000))
            with pytest.raises(ConnectionError, match="nothing was stored: database or disk is full"):
                await here.push(big)
            assert [row["version"] for row in store.history(9)] == ["1.1"] and follower(heads[0]).running == "1.1"
            store.db.execute("PRAGMA max_page_count = 1000000")
            kept = store.set_course
            fails = 3

            def set_course(*args: Any) -> None:
                nonlocal fails
                fails -= 1
                if fails >= 0:
                    raise OSError("no room")
                kept(*args)

            store.set_course = set_course  # type: ignore[method-assign,assignment]
            await here.push(big + "(rollout (first n0) (waves 100 %))")
            await here.runs(heads[1], "1.2")
            assert fails < 0 and any("stands still: no room" in line for line in here.log)

    run(main())


class Full(Disk):
    """A disk that has no room left."""

    def write(self, path: Path, data: bytes) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def test_a_full_disk_does_not_keep_a_version_from_its_head_and_staff_are_told(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD)
            await until(lambda: follower(head).kept == (1, 1))
            assert head.streamed is not None
            head.streamed.client.disk = Full()
            await here.push(GOOD + "(limit (open 7 requests))")
            await here.runs(head, "1.2")
            await until(lambda: bool(follower(head).keep_error))
            status = follower(head).status(0)
            assert "No space left" in status["keep_error"] and status["kept"] == "1.1"
            kept = lastgood.load(tmp_path / "state" / "last-good-n0.state")
            assert kept is not None and kept.order == (1, 1)
            assert [row["runs"] for row in (await here.staff("Status"))["heads"]] == ["1.2"]

    run(main())
