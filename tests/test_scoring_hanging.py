"""Scorers that do not return, in the process of a head: it is blocked once, for a documented time, and continues."""

from __future__ import annotations

import asyncio
import json
import textwrap
from pathlib import Path

from hophinge.load.plan import LoadPlan
from hophinge.load.rig.run import RigRun
from hophinge.load.rig.conditions import wait_until

from tests.scoring_fixtures import install
from tests.together import BOUND_S, run

HANGS = {
    "loops": "while True: pass",
    "loops-on": "while True:\n    try: int('x')\n    except Exception: pass",
    "sleeps": "import time; time.sleep(3600)",
    "waits": "import threading; lock = threading.Lock(); lock.acquire(); lock.acquire()",
}
PACKAGE = """
    from msgspec import Struct
    from hophinge.scoring.interface import Kind, Scorer, scorer_impl

    class Parameters(Struct):
        pass

    class Hanging(Scorer):
        def added_us(self, view):
    {body}

    @scorer_impl
    def hophinge_scorer():
        return Kind({name!r}, 1, Parameters, lambda parameters, setting: Hanging())
    """


def test_a_head_interrupts_each_hanging_scorer_once_and_serves_without_it(tmp_path: Path) -> None:
    async def main() -> None:
        for name, body in HANGS.items():
            module = f"hanging_{name.replace('-', '_')}"
            install(
                tmp_path / "site",
                module,
                {name: module},
                textwrap.dedent(PACKAGE).format(name=name, body=textwrap.indent(body, " " * 8)),
            )
        async with RigRun(tmp_path, 31, LoadPlan(work_us=2_000, slots=8)) as made:
            head = await made.add_head("n0", sections={"scoring": {"scorers": [*HANGS, "latency"]}})
            await head.start(PYTHONPATH=str(tmp_path / "site"))
            await wait_until([made.is_ready("n0")], BOUND_S)

            async def place(number: int) -> int:
                return await made.request("n0", number, -1, 1)

            first = [asyncio.create_task(place(number)) for number in range(1, 4)]
            await wait_until(
                [
                    made.answers(
                        "n0",
                        "/ops/scorers",
                        "all are broken",
                        lambda text: all(json.loads(text)["scorers"][name]["hung"] == 1 for name in HANGS),
                    )
                ],
                BOUND_S,
            )
            await asyncio.gather(*first)
            for name in HANGS:
                assert head.has_logged(f"scorer {name} did not return") and head.has_logged(
                    "[scorer-hung] Take the scorer out"
                )
            shown = json.loads((await made.get("n0", "/ops/scorers"))[1])["scorers"]
            assert all(shown[name]["off_until_told"] and shown[name]["asked"] == 1 for name in HANGS)
            assert shown["latency"]["at_work"]
            assert [await place(number) for number in range(10, 20)] == [200] * 10

    run(main())
