"""A slow answer that was learned as a brick's usual time refuses requests for a while, not for ever."""

from __future__ import annotations

import asyncio

import pytest

from tests.servers import Backend, held_by
from tests.stand_in import OBJECT, VOLUME, Wire, headers, run, until, world
from tests.test_crossing import classes

SCAN, READ = (f"/{name}/{VOLUME}/{OBJECT}" for name in ("scan", "record-read"))
HEARD_S = 20.0  # over a hundred times what a head holds a learned time for here


async def served_again(wire: Wire, left_ms: int) -> bool:
    """Read until a read is not refused."""
    number = 100
    async with asyncio.timeout(HEARD_S):
        while True:
            number += 1
            wire.send(READ, headers(number, X_Remaining_Ms=str(left_ms)))
            if (await wire.receive())[0] != 503:
                return True
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("shard", [0, -1])
def test_one_slow_answer_of_a_patient_class_refuses_an_impatient_one_for_a_while_only(shard: int) -> None:
    """Its time for a unit was over all that the other class has, so nothing went, and nothing else was learned."""

    async def main() -> None:
        gate = asyncio.Event()
        settings = classes(
            {"Name": "scan", "GoalTimeUs": 3_000_000, "DeadlineUs": 5_000_000},
            {"Name": "record-read", "GoalTimeUs": 20_000, "DeadlineUs": 300_000},
        )
        async with world(Backend(0)) as made:
            made.backends[0].behave = held_by(gate)
            service = await made.head(settings=settings)
            wire = await made.wire(service)
            wire.send(SCAN, headers(1, X_Remaining_Ms="5000"))
            await until(lambda: len(made.backends[0].seen) == 1)
            asyncio.get_running_loop().call_later(1.2, gate.set)
            assert (await wire.receive())[0] == 404
            wire.send(READ, headers(2, X_Remaining_Ms="300", X_Placement=f"units=2,shard={shard},hosts=1"))
            assert (await wire.receive())[0] == 503 and len(made.backends[0].seen) == 1  # learned, and held to
            assert await served_again(wire, 300) and len(made.backends[0].seen) > 1

    run(main())
