"""A head that is gone holds up a drain until it is named; named by mistake, it is counted again once it is back."""

from __future__ import annotations

from pathlib import Path

from hophinge.load.rig.conditions import Condition, wait_until
from tests.maintenance_rig import POOL, Installation, running_installation
from tests.together import BOUND_S, holds, run

BOUNDS = "(maintenance (heads (most 1)) (bricks (most 1)) (served 1 heads){}) "
OUTAGE = "(outage disks (bricks load-0)) "


def backend(here: Installation, state: str, *missing: str) -> Condition:
    return here.tells(
        f"{state}, missing {missing}",
        lambda told: [(row["state"], tuple(row["missing"])) for row in told["permits"]] == [(state, missing)],
    )


def test_a_retired_head_does_not_block_a_drain_and_counts_again_when_it_returns(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_installation(tmp_path, 3, 61) as here:
            made = here.made
            await wait_until([made.is_serving(name) for name in here.names], BOUND_S)
            await here.lose("n2")
            await here.push(BOUNDS.format("") + OUTAGE)
            await wait_until(
                [backend(here, "draining", "n2"), *(holds(made, name, ["n2"], "dead") for name in ("n0", "n1"))],
                BOUND_S,
            )
            told = (await here.staff("Status"))["maintenance"]
            assert [(row["name"], "(retired n2)" in row["word"]) for row in told["absent"]] == [("n2", True)]
            assert 0 < told["absent"][0]["since_ms"] <= told["now_ms"]
            # One that is there is not gone: the word is refused at its place, and nothing of the push is in force.
            refused = await here.staff("Push", text=POOL + BOUNDS.format(" (retired n1)"))
            column = (POOL + BOUNDS.format(" (retired n1)")).index("n1)") + 1
            assert [line.startswith(f"the document:1:{column}: n1 ") for line in refused["mistakes"]] == [True], refused
            await wait_until([backend(here, "draining", "n2")], BOUND_S)
            await here.push(BOUNDS.format(" (retired n2)") + OUTAGE)
            drained = backend(here, "drained")
            await wait_until([drained], BOUND_S)
            # The word is in the store: a service that was killed goes by it as well.
            await made["c"].kill()
            await made["c"].start()
            await wait_until([drained, here.tells("two up", lambda told: told["heads_up"] == 2)], BOUND_S)
            # It was not gone: it counts again, hears of the drain with its stream, and only its word ends that anew.
            await here.find("n2")
            await wait_until([drained, here.up(3)], BOUND_S)
            done = made.platform.backends[0].served
            assert [await made.request(name, 7_000, 0) for name in here.names].count(200) == 0
            assert made.platform.backends[0].served == done
            rows = (await here.staff("History", most=50))["audit"]
            assert any("n2 is back" in row["detail"] for row in rows)
            # Gone once more, the same words still in the document: it is missed, and has to be named anew.
            await here.lose("n2")
            missed = here.tells("n2 is missed", lambda told: [row["name"] for row in told["absent"]] == ["n2"])
            await wait_until([missed, drained], BOUND_S)
            await made["c"].kill()
            await made["c"].start()
            await wait_until([missed, drained, here.tells("two up", lambda told: told["heads_up"] == 2)], BOUND_S)
            await here.push(BOUNDS.format(" (retired n2)") + OUTAGE)
            await wait_until([drained, here.tells("nobody is missed", lambda told: not told["absent"])], BOUND_S)
            await here.check(1)

    run(main())
