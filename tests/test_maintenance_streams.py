"""Permits, drains and releases over real streams, with a control service process that is killed and restarted."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.maintenance_fleet import fleet
from tests.stand_in import run
from tests.test_service import ROOT

BOUNDS = "(maintenance (heads (most 1)) (bricks (most 1)) (served 4 heads)) "
RELEASE = "(release r (build 2) (settle 3 s) (refused 5%) {})"


def stage(status: dict[str, Any]) -> str:
    return str(status["releases"][0]["stage"]) if status["releases"] else ""


def test_a_release_continues_exactly_through_kills_of_the_service(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as installation:
            for at in range(4):
                installation.head(f"n{at}")
            await installation.until(lambda status: status["heads_up"] == 4)
            await installation.push(BOUNDS + RELEASE.format(""))
            await installation.until(lambda status: any(row["touched"] == 4 for row in status["releases"]))
            await installation.kill()
            await installation.control()
            await installation.until(lambda status: stage(status) == "done")
            assert {head.build for head in installation.heads.values()} == {"2"} and installation.most_out == 1
            audit = [
                row["detail"]
                for row in (await installation.staff("History", most=500))["audit"]
                if row["what"] == "permit"
            ]
            begun = sorted(line.split()[3] for line in audit if line.endswith(": begun"))
            assert begun == ["n0:", "n1:", "n2:", "n3:"], audit  # each begun once, despite the kills

    run(main())


def test_a_bad_build_halts_and_is_rolled_back_over_streams(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as installation:
            installation.bad = {"n0": 0.5, "n2": 0.5}  # n2 is the first head in the rollout order
            for at in range(4):
                installation.head(f"n{at}")
            await installation.until(lambda status: status["heads_up"] == 4)
            await installation.push(BOUNDS + RELEASE.format(""))
            status = await installation.until(lambda status: stage(status) == "halted")
            assert "requests were refused or failed" in status["releases"][0]["reason"]
            await installation.push(BOUNDS + RELEASE.format("(word back)"))
            await installation.until(lambda status: stage(status) == "taken back")
            assert {head.build for head in installation.heads.values()} == {"1"} and installation.most_out == 1

    run(main())


def test_a_partition_during_a_drain_names_missing_heads_and_its_healing_completes_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as installation:
            relay = installation.relay
            await relay.open(installation.port)
            for at in range(3):
                installation.head(f"n{at}", port=relay.port)
            installation.head("n3")
            await installation.until(lambda status: status["heads_up"] == 4)
            relay.set_cut(True)  # the service is in the minority partition
            await installation.until(lambda status: status["heads_up"] == 1)
            await installation.push(BOUNDS + "(outage o (bricks s-1)) " + RELEASE.format(""))
            status = await installation.until(
                lambda status: bool(status["permits"]) and "n3" not in status["permits"][0]["missing"]
            )
            assert status["permits"][0]["missing"] == ["n0", "n1", "n2"] and status["permits"][0]["state"] == "draining"
            status = await installation.until(
                lambda status: any("waits for n2" in row["reason"] for row in status["releases"])
            )
            assert [row["name"] for row in status["permits"]] == ["s-1"]
            await installation.push(BOUNDS + "(outage o (bricks s-1)) " + RELEASE.format("(word halt)"))
            await installation.until(lambda status: stage(status) == "halted")
            relay.set_cut(False)
            status = await installation.until(lambda status: status["permits"][0]["state"] == "drained")
            assert stage(status) == "halted" and {head.build for head in installation.heads.values()} == {"1"}
            assert all(head.rotation.is_ejected("s-1") for head in installation.heads.values())
            await installation.kill()  # ejected backends stay ejected while there is no service
            await installation.heads["n2"].end()
            again = installation.head("n2", port=relay.port)
            assert again.rotation.is_ejected("s-1")
            await installation.control()
            relay.to = installation.port
            await installation.push(BOUNDS)
            # Freed once all four heads have had answers from the warm backend.
            await installation.until(lambda status: not status["permits"])
            assert not any(head.rotation.is_ejected("s-1") for head in installation.heads.values())

    run(main())


def test_a_head_stopped_with_a_begun_permit_keeps_it_and_continues(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as installation:

            def start(build: str) -> subprocess.Popen[bytes]:
                return subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "tests.maintenance_process",
                        "n0",
                        str(installation.port),
                        build,
                        str(tmp_path / "n0"),
                    ],
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                )

            process = start("1")
            assert process.stdout is not None
            try:
                for at in range(1, 4):
                    installation.head(f"n{at}")
                await installation.until(lambda status: status["heads_up"] == 4)
                await installation.push(BOUNDS + "(release r (heads n0) (build 2) (settle 3 s)) ")
                assert await asyncio.to_thread(process.stdout.readline) == b"started\n"
                assert await asyncio.to_thread(process.stdout.readline) == b"goes 2\n"
                process.send_signal(signal.SIGSTOP)
                await installation.kill()
                await installation.control()
                await installation.push(BOUNDS + "(release r (heads n0) (build 2) (settle 3 s)) (outage o (heads n1)) ")
                status = await installation.until(lambda status: status["heads_up"] == 3 and bool(status["waiting"]))
                # `begun` until the restarted service accepts a missing stream as evidence of absence.
                assert [(row["name"], row["state"] in ("begun", "out")) for row in status["permits"]] == [("n0", True)]
                assert status["waiting"][0]["name"] == "n1" and "n0" in status["waiting"][0]["why"]
                process.send_signal(signal.SIGCONT)
                assert await asyncio.to_thread(process.wait) == 0
                process.stdout.close()
                process = start("2")
                await installation.until(lambda status: stage(status) == "done")
            finally:
                process.kill()
                process.wait()
                if process.stdout is not None:
                    process.stdout.close()

    run(main())


def test_a_head_without_support_for_permits_is_served_and_not_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as installation:
            old = installation.head("n0", supports_permits=False, heads=1)
            await installation.push(BOUNDS + RELEASE.format(""))
            status = await installation.until(lambda status: bool(status["waiting"]))
            assert "build does not support permits" in status["waiting"][0]["why"] and status["heads_up"] == 1
            while old.streamed.follower.active_name != "1.1":
                await asyncio.sleep(0.01)
            assert old.streamed.follower.counters["connects"] == 1
            await installation.push(BOUNDS + "(outage o (heads n0)) ")
            await installation.until(
                lambda status: bool(status["permits"]) and status["permits"][0]["state"] == "begun"
            )
            await old.end()
            await installation.until(lambda status: status["permits"][0]["state"] == "out")
            new = installation.head("n0", "2", heads=1)
            await installation.until(lambda status: status["permits"][0]["state"] == "back")
            await installation.push(BOUNDS)
            await installation.until(lambda status: not status["permits"])
            assert new.streamed.follower.counters["connects"] == 1

    run(main())
