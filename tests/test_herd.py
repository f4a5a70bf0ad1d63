"""Many heads: what each may take of what all share."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from hophinge.core.choice import MAX_IN_FLIGHT_OF_ALL
from hophinge.core.interface import Send
from tests.stand_in import Backend, headers, held_by, run, setup, until, world
from tests.test_choice import SETTINGS, Gateway, ask, node
from tests.test_net import READ


@pytest.mark.parametrize(("heads", "kept"), [(2, 3), (9, 2), (48, 1)])
def test_idle_connections_to_a_backend_are_a_head_s_part(heads: int, kept: int) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend, gate = await made.head(settings=setup(Balancers=heads)), made.backends[0], asyncio.Event()

            backend.behave = held_by(gate)
            wires = [await made.wire(service) for _ in range(3)]
            for number, wire in enumerate(wires):
                wire.send(READ, headers(number, X_Placement="units=0.1,shard=0,hosts=1"))
            await until(lambda: len(backend.seen) == 3)
            gate.set()
            for wire in wires:
                assert (await wire.receive())[0] == 404
            await until(lambda: backend.connections == kept)
            wires[0].send(READ, headers(9))
            assert (await wires[0].receive())[0] == 404 and backend.connections == kept

    run(main())


@pytest.mark.parametrize("heads", [1, 14, 48, 1000])
def test_requests_out_at_a_backend_are_a_head_s_part(heads: int) -> None:
    gate = Gateway(dataclasses.replace(SETTINGS, gateways=heads), [node(0)])
    sent = [one for one in gate.at(0, *(ask(f"{at:016x}", units=0.01) for at in range(100))) if isinstance(one, Send)]
    assert len(sent) == max(1, min(32, MAX_IN_FLIGHT_OF_ALL // heads))


def test_a_head_that_discovery_turns_away_serves_from_its_saved_list_and_keeps_away_as_told() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            made.agent.away = "0.4"
            begun = asyncio.get_running_loop().time()
            service = await made.head(saved=[made.backends[0].target()])
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[0] == 404
            made.agent.away = ""
            await until(lambda: len(made.agent.asked) >= 2)
            assert asyncio.get_running_loop().time() - begun >= 0.39  # timers count whole milliseconds
            await until(lambda: made.agent.watching == 1)  # and then all is as usual

    run(main())
