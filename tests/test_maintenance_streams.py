"""Permits, drains and releases over real streams; the control service is a process that is killed and restarted."""

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


def stage(told: dict[str, Any]) -> str:
    return str(told["releases"][0]["stage"]) if told["releases"] else ""


def test_a_release_continues_exactly_through_kills_of_the_service(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as here:
            for at in range(4):
                here.head(f"n{at}")
            await here.until(lambda told: told["heads_up"] == 4)
            await here.push(BOUNDS + RELEASE.format(""))
            await here.until(lambda told: any(row["touched"] == 4 for row in told["releases"]))
            await here.kill()
            await here.control()
            await here.until(lambda told: stage(told) == "done")
            assert {head.build for head in here.heads.values()} == {"2"} and here.most_out == 1
            audit = [
                row["detail"] for row in (await here.staff("History", most=500))["audit"] if row["what"] == "permit"
            ]
            begun = sorted(line.split()[3] for line in audit if line.endswith(": begun"))
            assert begun == ["n0:", "n1:", "n2:", "n3:"], audit  # each once, despite the kills

    run(main())


def test_a_bad_build_halts_and_is_rolled_back_over_streams(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as here:
            here.bad = {"n0": 0.5, "n2": 0.5}  # n2 is the first head that a release reaches
            for at in range(4):
                here.head(f"n{at}")
            await here.until(lambda told: told["heads_up"] == 4)
            await here.push(BOUNDS + RELEASE.format(""))
            told = await here.until(lambda told: stage(told) == "halted")
            assert "requests were refused or failed" in told["releases"][0]["reason"]
            await here.push(BOUNDS + RELEASE.format("(word back)"))
            await here.until(lambda told: stage(told) == "taken back")
            assert {head.build for head in here.heads.values()} == {"1"} and here.most_out == 1

    run(main())


def test_a_partition_during_a_drain_names_missing_heads_and_its_healing_completes_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as here:
            relay = here.relay
            await relay.open(here.port)
            for at in range(3):
                here.head(f"n{at}", port=relay.port)
            here.head("n3")
            await here.until(lambda told: told["heads_up"] == 4)
            relay.set_cut(True)  # the service is in the minority
            await here.until(lambda told: told["heads_up"] == 1)
            await here.push(BOUNDS + "(outage o (bricks s-1)) " + RELEASE.format(""))
            told = await here.until(lambda told: bool(told["permits"]) and "n3" not in told["permits"][0]["missing"])
            assert told["permits"][0]["missing"] == ["n0", "n1", "n2"] and told["permits"][0]["state"] == "draining"
            told = await here.until(lambda told: any("waits for n2" in row["reason"] for row in told["releases"]))
            assert [row["name"] for row in told["permits"]] == ["s-1"]
            await here.push(BOUNDS + "(outage o (bricks s-1)) " + RELEASE.format("(word halt)"))
            await here.until(lambda told: stage(told) == "halted")
            relay.set_cut(False)
            told = await here.until(lambda told: told["permits"][0]["state"] == "drained")
            assert stage(told) == "halted" and {head.build for head in here.heads.values()} == {"1"}
            assert all(head.rotation.is_ejected("s-1") for head in here.heads.values())
            await here.kill()  # ejected backends stay ejected without a service
            await here.heads["n2"].end()
            again = here.head("n2", port=relay.port)
            assert again.rotation.is_ejected("s-1")
            await here.control()
            relay.to = here.port
            await here.push(BOUNDS)
            await here.until(lambda told: not told["permits"])  # all four have had warm answers
            assert not any(head.rotation.is_ejected("s-1") for head in here.heads.values())

    run(main())


def test_a_head_stopped_with_a_begun_permit_keeps_it_and_continues(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as here:

            def start(build: str) -> subprocess.Popen[bytes]:
                return subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "tests.maintenance_process",
                        "n0",
                        str(here.port),
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
                    here.head(f"n{at}")
                await here.until(lambda told: told["heads_up"] == 4)
                await here.push(BOUNDS + "(release r (heads n0) (build 2) (settle 3 s)) ")
                assert await asyncio.to_thread(process.stdout.readline) == b"started\n"
                assert await asyncio.to_thread(process.stdout.readline) == b"goes 2\n"
                process.send_signal(signal.SIGSTOP)
                await here.kill()
                await here.control()
                await here.push(BOUNDS + "(release r (heads n0) (build 2) (settle 3 s)) (outage o (heads n1)) ")
                told = await here.until(lambda told: told["heads_up"] == 3 and bool(told["waiting"]))
                # `begun` until a service that has just started may conclude that a head without a stream is absent.
                assert [(row["name"], row["state"] in ("begun", "out")) for row in told["permits"]] == [("n0", True)]
                assert told["waiting"][0]["name"] == "n1" and "n0" in told["waiting"][0]["why"]
                process.send_signal(signal.SIGCONT)
                assert await asyncio.to_thread(process.wait) == 0
                process.stdout.close()
                process = start("2")
                await here.until(lambda told: stage(told) == "done")
            finally:
                process.kill()
                process.wait()
                if process.stdout is not None:
                    process.stdout.close()

    run(main())


def test_a_head_without_support_for_permits_is_served_and_not_restarted(tmp_path: Path) -> None:
    async def main() -> None:
        async with fleet(tmp_path) as here:
            old = here.head("n0", speaks=False, heads=1)
            await here.push(BOUNDS + RELEASE.format(""))
            told = await here.until(lambda told: bool(told["waiting"]))
            assert "build does not support permits" in told["waiting"][0]["why"] and told["heads_up"] == 1
            while old.streamed.follower.active_name != "1.1":
                await asyncio.sleep(0.01)
            assert old.streamed.follower.counters["connects"] == 1
            await here.push(BOUNDS + "(outage o (heads n0)) ")
            await here.until(lambda told: bool(told["permits"]) and told["permits"][0]["state"] == "begun")
            await old.end()
            await here.until(lambda told: told["permits"][0]["state"] == "out")
            new = here.head("n0", "2", heads=1)
            await here.until(lambda told: told["permits"][0]["state"] == "back")
            await here.push(BOUNDS)
            await here.until(lambda told: not told["permits"])
            assert new.streamed.follower.counters["connects"] == 1

    run(main())
