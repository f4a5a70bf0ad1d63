"""Tests of rig runs: heads and a control service behind the relay, and no process left when a test fails."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from hophinge.core.errors import one_line
from hophinge.control.operator_client import call_operator_api
from hophinge.load.rig.run import PORTS, LeftoverError, NoFreePortError, RigRun
from hophinge.load.rig.conditions import Condition, ConditionError, has_logged, wait_until
from tests.stand_in import run

BOUND_S = 40.0
DOCUMENT = "(hophinge 1)(pool all (zones hall-a))(route (pools all) (else any))"


async def push(rig: RigRun, control: str, text: str = DOCUMENT) -> str:
    """Push a document to a control service; returns its version."""
    response = await call_operator_api(
        rig.endpoints[control].listen, rig.tokens["staff"], "Push", json.dumps({"text": text}).encode()
    )
    return str(json.loads(response)["version"])


def has_configuration(rig: RigRun, name: str, **expected: object) -> Condition:
    """Return the condition that /ops/config of a head has these fields."""
    return rig.answers(name, "/ops/config", f"{expected}", lambda text: json.loads(text).items() >= expected.items())


def test_a_head_recovers_from_a_partition_from_its_control_service_and_backends(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path) as rig:
            rig.add_control_service("c")
            await rig.add_head("n0", stream="c", is_relayed=True)
            await rig.add_head("n1", stream="c", clock_off_s=3600)
            await rig.processes.start("c", "n0", "n1")
            await wait_until([has_logged(rig["c"], "listens on"), *map(rig.is_ready, ("n0", "n1"))], BOUND_S)
            await wait_until([has_configuration(rig, name, connected=True) for name in ("n0", "n1")], BOUND_S)
            first = await push(rig, "c")
            await wait_until([has_configuration(rig, name, running=first) for name in ("n0", "n1")], BOUND_S)
            await wait_until([rig.is_serving("n0"), rig.is_serving("n1")], BOUND_S)
            # A partitioned head misses a version that the other gets; restarted, it runs the version that it stored.
            rig.network.block({"n0"}, {"c"})
            second = await push(rig, "c")
            await wait_until([has_configuration(rig, "n1", running=second)], BOUND_S)
            await rig["n0"].kill()
            await rig["n0"].start()
            await wait_until(
                [rig.is_ready("n0"), has_configuration(rig, "n0", running=first), rig.is_serving("n0")], BOUND_S
            )
            rig.network.heal()
            await wait_until([has_configuration(rig, "n0", running=second)], BOUND_S)
            # Without its backends it serves no request; it does again after the partition heals.
            backends = {str(backend.target()["uid"]) for backend in rig.platform.backends}
            rig.network.block({"n0"}, backends)
            assert await rig.request("n0", 77) != 200 and await rig.request("n1", 77) == 200
            rig.network.heal()
            await wait_until([rig.is_serving("n0")], BOUND_S)

    run(main())


def test_a_control_service_rejects_a_version_while_its_disk_is_full(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path) as rig:
            rig.add_control_service("c")
            await rig.add_head("n0", stream="c")
            await rig.processes.start("c", "n0")
            await wait_until([has_logged(rig["c"], "listens on"), rig.is_ready("n0")], BOUND_S)
            await wait_until([has_configuration(rig, "n0", connected=True)], BOUND_S)
            rig["c"].set_disk_fault("full")
            with pytest.raises(ConnectionError, match="nothing was stored: disk I/O error"):
                await push(rig, "c")
            assert rig["c"].is_running
            rig["c"].set_disk_fault("")
            version = await push(rig, "c")
            await wait_until([has_configuration(rig, "n0", running=version)], BOUND_S)

    run(main())


def test_a_failed_run_leaves_no_process_not_even_a_suspended_one(tmp_path: Path) -> None:
    pids: list[int] = []

    async def main() -> None:
        with pytest.raises(ConditionError, match=r"n0 \(suspended\): /ops/readiness: ready"):
            async with RigRun(tmp_path) as rig:
                await rig.add_head("n0")
                await rig.processes.start("n0")
                await wait_until([rig.is_ready("n0")], BOUND_S)
                pids.append(rig["n0"].pid)
                await rig["n0"].suspend()
                await wait_until([rig.is_ready("n0")], 0.1)
        assert pids and not Path(f"/proc/{pids[0]}").exists()

    run(main())


def test_a_run_reports_processes_that_still_exist_after_it(tmp_path: Path) -> None:
    async def main() -> None:
        with pytest.raises(LeftoverError, match="123") as caught:
            async with RigRun(tmp_path) as rig:

                async def close() -> list[int]:
                    return [123]

                rig.processes.close = close  # type: ignore[method-assign]  # simulates a process that cannot be killed
        assert LeftoverError.remedy in one_line(caught.value)

    run(main())


def test_two_runs_have_different_hosts_and_a_run_different_ports(tmp_path: Path) -> None:
    one, other = RigRun(tmp_path / "one"), RigRun(tmp_path / "other")
    assert one.host != other.host and len({one.port() for _ in range(50)}) == 50


def test_ports_are_not_ephemeral_and_running_out_of_them_is_an_error(tmp_path: Path) -> None:
    """An outgoing connection once took the port of a head between its choice and the start of the head."""
    first_ephemeral = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    rig = RigRun(tmp_path)
    ports = [rig.port() for _ in range(50)]
    assert len(set(ports)) == 50 and max(ports) < first_ephemeral
    rig.ports = iter(range(PORTS.stop - 1, PORTS.stop))
    rig.port()
    with pytest.raises(NoFreePortError) as error:
        rig.port()
    assert "[rig-no-port]" in one_line(error.value)
