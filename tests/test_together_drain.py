"""An agreed drain over real heads and a control service: one stands still, the service is killed, then cut off."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hophinge.control.operator_client import call_operator_api
from hophinge.load.plan import LoadPlan
from hophinge.load.rig.processes import ROOT
from hophinge.load.rig.run import RigRun
from hophinge.load.rig.conditions import Condition, holds_while, wait_until
from tests.together import BOUND_S, all_see, holds, run

PLAN = LoadPlan(work_us=2_000, slots=8)
POOL = "(hophinge 1) (pool all (zones hall-a)) (route (pools all) (else any)) "
BOUNDS = "(maintenance (heads (most 1)) (bricks (most 1)) (served 4 heads)) "
OUTAGE = "(outage disks (bricks load-0)) "


async def staff(made: RigRun, method: str, **body: Any) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(
        await call_operator_api(
            made.endpoints["c"].listen, made.tokens["staff"], method, json.dumps(body).encode(), 2.0
        )
    )
    return found


def upkeep(made: RigRun, what: str, good: Callable[[dict[str, Any]], bool]) -> Condition:
    """The control service's status of maintenance is good."""

    async def look() -> tuple[bool, str]:
        told = (await staff(made, "Status"))["maintenance"]
        return good(told), json.dumps(told)

    return Condition(made["c"], what, look)


def state(told: dict[str, Any]) -> str:
    return str(told["permits"][0]["state"]) if told["permits"] else "free"


async def push(made: RigRun, words: str) -> None:
    assert "mistakes" not in await staff(made, "Push", text=POOL + words)


def serves_beside(made: RigRun, name: str) -> Condition:
    """A head serves what lies on the bricks that stay."""

    async def look() -> tuple[bool, str]:
        found = [await made.request(name, 7_000 + shard, shard, 6) for shard in (1, 2)]
        return found == [200, 200], f"{found}"

    return Condition(made[name], "serves from the bricks that stay", look)


async def ask_on(made: RigRun, names: list[str]) -> None:
    """Ask all heads for what lies on the brick that is back, until cancelled."""
    while True:
        await asyncio.gather(*(made.request(name, 9_000, 0) for name in names))


def test_a_drain_waits_for_a_stopped_head_and_survives_its_issuer_and_a_partition(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path, 31, PLAN) as made:
            rules = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]["Rules"]
            made.add_control_service("c")
            names = ["n0", "n1", "n2", "n3"]
            for name in names:
                await made.add_head(
                    name,
                    ["n0"],
                    stream="c",
                    sections={"maintenance": {"build": "b1"}},
                    settings={"Balancers": 4, "Rules": {**rules, "ColdUs": 100_000}},
                )
            await made.processes.start("c", *names)
            await wait_until([made.is_ready(name) for name in names], BOUND_S)
            await wait_until(all_see(made, names), BOUND_S)
            await wait_until([upkeep(made, "four up", lambda told: told["heads_up"] == 4)], BOUND_S)
            await push(made, BOUNDS)
            await wait_until([made.is_serving(name) for name in names], BOUND_S)
            await made["n3"].suspend()
            awake = names[:3]
            await push(made, BOUNDS + OUTAGE)
            waits = upkeep(
                made,
                "waits for n3 alone",
                lambda told: (
                    bool(told["permits"]) and state(told) == "draining" and told["permits"][0]["missing"] == ["n3"]
                ),
            )
            await wait_until([waits], BOUND_S)
            # Silence is no yes, however long, also for a coordinator that was killed and started again.
            await made["c"].kill()
            await made["c"].start()
            await wait_until([waits], BOUND_S)
            still = [
                upkeep(made, "is not drained", lambda told: state(told) == "draining"),
                *(serves_beside(made, name) for name in awake),
            ]
            # Not even once all others hold it for dead: it was stopped, and wakes with what it had out there.
            dead = wait_until([holds(made, name, ["n3"], "dead") for name in awake], BOUND_S)
            assert await holds_while(still, dead) > 0
            made["n3"].resume()
            await wait_until([upkeep(made, "drained", lambda told: state(told) == "drained")], BOUND_S)
            # Cut off from the service, and started again, all keep it out.
            made.network.partition(set(names), {"c"})
            await made["n2"].kill()
            await made["n2"].start()
            await wait_until([made.is_ready("n2")], BOUND_S)
            done = made.platform.backends[0].served
            assert [await made.request(name, 8_000, 0) for name in names].count(200) == 0
            await wait_until([serves_beside(made, name) for name in names], BOUND_S)
            assert made.platform.backends[0].served == done
            made.network.heal()
            await wait_until(
                [upkeep(made, "drained, all up", lambda told: state(told) == "drained" and told["heads_up"] == 4)],
                BOUND_S,
            )
            # Back by word, its place is free once all four have had answers of it.
            await push(made, BOUNDS)
            await wait_until([upkeep(made, "cold", lambda told: state(told) in ("back, cold", "free"))], BOUND_S)
            asking = asyncio.create_task(ask_on(made, names))
            try:
                await wait_until([upkeep(made, "free", lambda told: state(told) == "free")], BOUND_S)
            finally:
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
            assert made.platform.backends[0].served > done

    run(main())
