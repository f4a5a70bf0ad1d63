"""Lists by one clock: a watch that falls silent is asked again well before what it missed counts as told."""

from __future__ import annotations

import asyncio
import random

import pytest
from aiohttp import web

from hophinge.core.interface import Result
from hophinge.net.discovery_pacer import DiscoveryPacer
from tests.servers import DiscoveryAgent
from tests.stand_in import Backend, Wire, headers, run, setup, until, world
from tests.test_choice import MS, Gateway, ask, end, finals
from tests.test_net import READ, WRITE

TOLD_S = 6.0  # after which what a silent watch missed counts as told


class Deaf(DiscoveryAgent):
    """An agent whose open calls fall silent when told so; what comes later is answered."""

    def __init__(self) -> None:
        super().__init__()
        self.round = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        begun = self.round
        answer = await super().handle(request)
        if begun != self.round:
            await asyncio.Event().wait()
        return answer


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_watch_that_falls_silent_is_asked_again_before_what_it_missed_counts_as_told(mode: str) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            await made.agent.close()
            made.agent = agent = Deaf()
            await agent.open()
            agent.targets = {backend.name: backend.target() for backend in made.backends}
            service = await made.head(settings=setup(Discovery=mode))
            await until(lambda: agent.watching == 1 and not agent.asked[-1].endswith("timeout_ms=100"))
            agent.round += 1
            since = asyncio.get_running_loop().time()
            await agent.tell(made.backends[0].target("Terminating"))
            await until(lambda: service.exchange.phases["s-0"].value == "draining")
            assert asyncio.get_running_loop().time() - since < TOLD_S

    run(main())


def test_an_agent_silent_from_the_start_is_heard_as_soon_as_it_is_back_with_half_of_its_list_changed() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1), Backend(0, "s-new")) as made:
            made.agent.silent = True
            service = await made.head(saved=[backend.target() for backend in made.backends[:2]])
            await until(lambda: len(made.agent.asked) > 2)  # calls go out beside the one that says nothing
            made.agent.silent, since = False, asyncio.get_running_loop().time()
            await made.agent.tell(
                made.backends[0].target("Gone"), made.backends[2].target(), made.backends[1].target("Terminating")
            )
            await until(
                lambda: (
                    service.exchange.phases.get("s-1") is not None
                    and service.exchange.phases["s-1"].value == "draining"
                )
            )
            assert "s-0" not in service.exchange.phases and "s-new" in service.exchange.phases
            assert asyncio.get_running_loop().time() - since < TOLD_S / 2

    run(main())


def test_waits_find_silence_in_time_and_a_fleet_s_calls_are_few_where_they_cost_discovery() -> None:
    agent, few, fleet = (
        DiscoveryPacer(heads, random.Random(1), pushed) for heads, pushed in ((200, True), (5, False), (200, False))
    )
    for pace, most_s in ((agent, 1.5), (few, 4.0), (fleet, 22.0)):
        pace.record_answer()
        wait, limit = pace.next_timeouts(True, True)
        assert wait < limit < wait + 2.0 and limit <= most_s
    assert 200 / fleet.next_timeouts(True, True)[0] <= 10.0  # calls a second of all heads
    assert agent.record_failure() <= 0.15 and few.record_failure() <= 1.5
    assert agent.hedges and not few.hedges
    assert all(agent.record_failure() <= 0.15 for _ in range(20))  # well under the least grace of drains
    agent.record_answer()
    assert not agent.hedges


# --- turned away because a request is over, or its data lies elsewhere


def away(status: int) -> web.Response:
    return web.Response(status=status, headers={"X-Turned-Away": "1"})


def test_a_read_whose_data_lies_elsewhere_is_refused_at_once_and_its_backend_goes_on() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire: Wire = await made.wire(service)

            async def elsewhere(_: web.BaseRequest, __: bytes) -> web.Response:
                return away(504)

            made.backends[0].behave = elsewhere
            for number in range(1, 6):
                wire.send(READ, headers(number))
                status, fields, _ = await wire.receive()
                assert status == 503 and "retry-after" not in fields
            assert len(made.backends[0].seen) == 5  # one attempt each
            assert service.exchange.scheduler.nodes["s-0"].failures == 0
            made.backends[0].behave = None
            wire.send(WRITE, headers(9, X_Placement="units=2,shard=-1,hosts=1", X_Remaining_Ms="1200"), "PUT", b"x")
            assert (await wire.receive())[0] == 200

    run(main())


def test_a_backend_without_room_rests_and_a_new_object_tries_again() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(service := await made.head())
            answers = [away(504), away(503)]

            async def full(_: web.BaseRequest, __: bytes) -> web.Response | None:
                return answers.pop(0) if answers else None

            made.backends[0].behave = full
            wire.send(WRITE, headers(1, X_Placement="units=2,shard=-1,hosts=1", X_Remaining_Ms="1200"), "PUT", b"x")
            assert (await wire.receive())[0] == 200
            assert len(made.backends[0].seen) == 3
            assert service.counters.counts["attempts_full"] == 2

    run(main())


def test_the_module_holds_nothing_against_a_node_that_has_not_got_the_data() -> None:
    gate = Gateway()
    assert gate.sends(0, ask("a"))
    refused = finals(gate.at(MS, end("a", Result.MISPLACED, took=MS)))
    assert len(refused) == 1 and getattr(refused[0], "retry_after_us", 1) == 0
    assert gate.sends(0, ask("b")) == [("b", "n0")]
