"""Control service and heads over sockets when a service or a disk fails, or a version makes requests fail."""

from __future__ import annotations

import asyncio
import errno
import os
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hophinge.control import last_known_good
from hophinge.state.files import Disk
from tests.installation import GOOD, follower, installation, write
from tests.stand_in import run, until

POLL_INTERVAL_S = 0.002


def test_heads_serve_while_a_killed_service_restarts(tmp_path: Path) -> None:
    # Killed after a version was stored and before it was sent on open streams: the restarted service sends it whole.
    async def main() -> None:
        async with installation(tmp_path) as system:
            head = await system.head("n0")
            await system.push(GOOD)
            await system.runs(head, "1.1")
            assert system.service is not None
            system.service.runner.send_targets = lambda: None  # type: ignore[method-assign]  # killed before heads get it
            await system.push(GOOD + "(limit (open 99 requests))")
            await system.service.stop()
            await until(lambda: not follower(head).is_connected)
            assert await write(system, head, 1) == 200
            await system.control()
            await system.runs(head, "1.2")
            assert head.streamed is not None and [limit.max_open for limit in head.streamed.router.table.limits] == [99]

    run(main())


def test_head_without_a_service_starts_from_its_last_known_good_version(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            head = await system.head("n0")
            await system.push(GOOD + "(limit (open 7 requests))")
            await system.runs(head, "1.1")
            await until(lambda: follower(head).persisted_id == (1, 1))
            await system.made.kill(head)
            assert system.service is not None
            await system.service.stop()
            system.service = None
            restarted_head = await system.head("n0")
            assert follower(restarted_head).active_name == "1.1" and follower(restarted_head).stored_records
            assert follower(restarted_head).status(0)["kept"] == "1.1"
            file = next((tmp_path / "state").glob("last-good-n0.state"))
            file.write_bytes(file.read_bytes()[:-3])  # corrupt: not loaded, and the head serves without it
            head_without_version = await system.head("n0")
            assert (
                follower(head_without_version).active_name == "none"
                and await write(system, head_without_version, 1) == 200
            )

    run(main())


def test_old_last_known_good_version_is_reported_stale(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            head = await system.head("n0")
            await system.push(GOOD)
            await until(lambda: follower(head).persisted_id == (1, 1))
            await system.made.kill(head)
            path = tmp_path / "state" / "last-good-n0.state"
            stored = last_known_good.load(path)
            assert stored is not None
            last_known_good.save(path, msgspec.structs.replace(stored, saved_ms=stored.saved_ms - 3600 * 1000))
            restarted_head = await system.head("n0", endpoints=["127.0.0.1:9"])
            assert follower(restarted_head).active_name == "1.1" and follower(restarted_head).status(0)["stale"]
            assert restarted_head.streamed is not None and restarted_head.streamed.gauges()["config_stale"]
            assert await write(system, restarted_head, 1) == 200

    run(main())


def test_version_that_fails_requests_is_rolled_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            heads = [await system.head(f"n{at}") for at in range(2)]
            rule = "(rollout (first n0) (waves 100 %) (hold 4 s) (failures 20 %) (on-trouble rollback))"
            await system.push(GOOD)
            for head in heads:
                await system.runs(head, "1.1")
            assert system.service is not None
            rollout = system.service.rollout
            await until(lambda: rollout.plan.stage.value == "done")
            # A pool of backends that do not exist passes validation, and every write is rejected under it.
            await system.push("(hophinge 1) (pool gone (bricks s-99)) (route (pools gone))" + rule)
            await system.runs(heads[0], "1.2")
            # The version may be judged before all writes are sent, as a head reports its counts with each response.
            codes = [
                await write(system, heads[0], at) for at in range(1, 41) if follower(heads[0]).active_name == "1.2"
            ]
            assert set(codes) == {503} and len(codes) >= 20
            await system.runs(heads[0], "1.3")
            await system.runs(heads[1], "1.3")
            assert await write(system, heads[0], 50) == 200
            assert any(re.search(r"rolled back: (\d+) of \1 requests failed", line) for line in system.log)
            assert follower(heads[1]).counters["taken_up"] == 2  # 1.1 and 1.3: this head never ran 1.2

    run(main())


def test_full_store_rejects_pushes_and_the_rollout_continues_once_there_is_space(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            heads = [await system.head(f"n{at}") for at in range(2)]
            await system.push(GOOD)
            for head in heads:
                await system.runs(head, "1.1")
            assert system.service is not None
            store, rollout = system.service.store, system.service.rollout
            await until(lambda: rollout.plan.stage.value == "done")
            pages = store.db.execute("PRAGMA page_count").fetchone()[0]
            store.db.execute(f"PRAGMA max_page_count = {pages}")
            large_document = GOOD + "".join(f"(limit (tenant t{at}) (open 1 requests))" for at in range(2000))
            with pytest.raises(ConnectionError, match="nothing was stored: database or disk is full"):
                await system.push(large_document)
            assert [row["version"] for row in store.history(9)] == ["1.1"] and follower(heads[0]).active_name == "1.1"
            store.db.execute("PRAGMA max_page_count = 1000000")
            set_rollout_plan = store.set_rollout_plan
            failures_left = 3

            def fail_first(*args: Any) -> None:
                nonlocal failures_left
                failures_left -= 1
                if failures_left >= 0:
                    raise OSError("no room")
                set_rollout_plan(*args)

            store.set_rollout_plan = fail_first  # type: ignore[method-assign,assignment]
            await system.push(large_document + "(rollout (first n0) (waves 100 %))")
            await system.runs(heads[1], "1.2")
            assert failures_left < 0 and any("the rollout is stalled: no room" in line for line in system.log)

    run(main())


class FullDisk(Disk):
    """A disk without free space."""

    def write(self, path: Path, data: bytes) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def test_head_with_a_full_disk_still_activates_versions_and_reports_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            head = await system.head("n0")
            await system.push(GOOD)
            await until(lambda: follower(head).persisted_id == (1, 1))
            assert head.streamed is not None
            head.streamed.client.disk = FullDisk()
            await system.push(GOOD + "(limit (open 7 requests))")
            await system.runs(head, "1.2")
            await until(lambda: bool(follower(head).persist_error))
            status = follower(head).status(0)
            assert "No space left" in str(status["keep_error"]) and status["kept"] == "1.1"
            stored = last_known_good.load(tmp_path / "state" / "last-good-n0.state")
            assert stored is not None and stored.version_id == (1, 1)
            while [row["runs"] for row in (await system.call_operator_api("Status"))["heads"]] != ["1.2"]:
                await asyncio.sleep(
                    POLL_INTERVAL_S
                )  # the head's statement may be on its way; the test's limit ends this

    run(main())
