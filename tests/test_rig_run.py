"""The rig's runs: real heads and a control service behind the relay, and none of them left when a test fails."""

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


async def push(made: RigRun, control: str, text: str = DOCUMENT) -> str:
    done = await call_operator_api(
        made.endpoints[control].listen, made.tokens["staff"], "Push", json.dumps({"text": text}).encode()
    )
    return str(json.loads(done)["version"])


def configuration(made: RigRun, name: str, **wanted: object) -> Condition:
    """A head's /ops/config has these fields."""
    return made.answers(name, "/ops/config", f"{wanted}", lambda text: json.loads(text).items() >= wanted.items())


def test_a_head_behind_the_relay_is_cut_from_its_control_service_and_backends_and_comes_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path) as made:
            made.add_control_service("c")
            await made.add_head("n0", stream="c", is_relayed=True)
            await made.add_head("n1", stream="c", clock_off_s=3600)
            await made.processes.start("c", "n0", "n1")
            await wait_until([has_logged(made["c"], "listens on"), *map(made.is_ready, ("n0", "n1"))], BOUND_S)
            await wait_until([configuration(made, name, connected=True) for name in ("n0", "n1")], BOUND_S)
            first = await push(made, "c")
            await wait_until([configuration(made, name, running=first) for name in ("n0", "n1")], BOUND_S)
            await wait_until([made.is_serving("n0"), made.is_serving("n1")], BOUND_S)
            # Cut off, one head misses what the other hears of; killed and started again, it has what it kept.
            made.network.block({"n0"}, {"c"})
            second = await push(made, "c")
            await wait_until([configuration(made, "n1", running=second)], BOUND_S)
            await made["n0"].kill()
            await made["n0"].start()
            await wait_until(
                [made.is_ready("n0"), configuration(made, "n0", running=first), made.is_serving("n0")], BOUND_S
            )
            made.network.heal()
            await wait_until([configuration(made, "n0", running=second)], BOUND_S)
            # Its bricks are cut off as well: nothing is served there, and all is once they are back.
            backends = {str(backend.target()["uid"]) for backend in made.platform.backends}
            made.network.block({"n0"}, backends)
            assert await made.request("n0", 77) != 200 and await made.request("n1", 77) == 200
            made.network.heal()
            await wait_until([made.is_serving("n0")], BOUND_S)

    run(main())


def test_a_control_service_whose_disk_is_full_takes_no_version_and_takes_the_next(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path) as made:
            made.add_control_service("c")
            await made.add_head("n0", stream="c")
            await made.processes.start("c", "n0")
            await wait_until([has_logged(made["c"], "listens on"), made.is_ready("n0")], BOUND_S)
            await wait_until([configuration(made, "n0", connected=True)], BOUND_S)
            made["c"].set_disk_fault("full")
            with pytest.raises(ConnectionError, match="nothing was stored: disk I/O error"):
                await push(made, "c")
            assert made["c"].is_running
            made["c"].set_disk_fault("")
            version = await push(made, "c")
            await wait_until([configuration(made, "n0", running=version)], BOUND_S)

    run(main())


def test_a_run_that_fails_leaves_no_process_even_a_stopped_one(tmp_path: Path) -> None:
    pids: list[int] = []

    async def main() -> None:
        with pytest.raises(ConditionError, match=r"n0 \(suspended\): /ops/readiness: ready"):
            async with RigRun(tmp_path) as made:
                await made.add_head("n0")
                await made.processes.start("n0")
                await wait_until([made.is_ready("n0")], BOUND_S)
                pids.append(made["n0"].pid)
                await made["n0"].suspend()
                await wait_until([made.is_ready("n0")], 0.1)
        assert pids and not Path(f"/proc/{pids[0]}").exists()

    run(main())


def test_a_run_tells_what_is_left_after_it(tmp_path: Path) -> None:
    async def main() -> None:
        with pytest.raises(LeftoverError, match="123") as caught:
            async with RigRun(tmp_path) as made:

                async def close() -> list[int]:
                    return [123]

                made.processes.close = close  # type: ignore[method-assign]  # the end that goes wrong
        assert LeftoverError.remedy in one_line(caught.value)

    run(main())


def test_ports_and_addresses_of_two_runs_are_apart(tmp_path: Path) -> None:
    one, other = RigRun(tmp_path / "one"), RigRun(tmp_path / "other")
    assert one.host != other.host and len({one.port() for _ in range(50)}) == 50


def test_ports_are_none_that_connections_on_their_way_out_are_given_and_end_with_a_remedy(tmp_path: Path) -> None:
    """A head's port was taken by an outgoing connection between its choice and the head's start."""
    first_out = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    made = RigRun(tmp_path)
    found = [made.port() for _ in range(50)]
    assert len(set(found)) == 50 and max(found) < first_out
    made.ports = iter(range(PORTS.stop - 1, PORTS.stop))
    made.port()
    with pytest.raises(NoFreePortError) as error:
        made.port()
    assert "[rig-no-port]" in one_line(error.value)
