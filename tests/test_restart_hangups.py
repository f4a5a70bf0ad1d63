"""Configurations that follow each other faster than discovery answers: only the last one's list is taken."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from aiohttp import web

from tests.restarting import NUMBERS
from tests.stand_in import Backend, DiscoveryAgent, headers, run, until, world
from tests.test_net import READ
from tests.test_service import config


class Held(DiscoveryAgent):
    """An agent that answers nothing before its gate opens, and then all calls that it got."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = asyncio.Event()
        self.answered = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.asked.append(request.raw_path)
        await self.gate.wait()
        self.answered += 1
        return self._list(True, list(self.targets.values()))


@asynccontextmanager
async def agents(*backends: Backend) -> AsyncIterator[list[Held]]:
    """One agent for each of these bricks, which it alone lists."""
    made = [Held() for _ in backends]
    for agent, backend in zip(made, backends, strict=True):
        agent.targets = {backend.name: backend.target()}
        await agent.open()
    try:
        yield made
    finally:
        for agent in made:
            await agent.close()


def test_two_hangups_while_nothing_is_answered_leave_the_last_address_alone(tmp_path: Path) -> None:
    async def main() -> None:
        # The first brick holds the first agent's shard, and so on: what is served tells whose list is in force.
        backends = [Backend(shard) for shard in range(3)]
        async with world(*backends) as made, agents(*backends) as (first, second, third):
            made.agent.silent = True
            service = await made.head(saved=[backends[0].target()])
            service.path = str(tmp_path / "config.json")
            for agent in (first, second, third):
                config(tmp_path, discovery=agent.endpoint)
                service.reload()
                await until(lambda: len(agent.asked) > 0)  # noqa: B023
            service.reload()  # the same address again
            for agent in (first, second):  # who was left, and answers now
                agent.gate.set()
            await until(lambda: first.connections == second.connections == 0)  # its calls are over
            assert set(service.directory.endpoints) == {backends[0].name}  # the saved list is in force
            third.gate.set()
            await until(lambda: set(service.directory.endpoints) == {backends[2].name})
            one = await made.wire(service)
            one.send(READ, headers(next(NUMBERS), X_Placement="units=2,shard=2,hosts=1"))
            assert (await one.receive())[0] == 404
            assert service.counters.counts["reloads"] == 4 and not backends[0].seen and not backends[1].seen

    run(main())


def test_a_new_configuration_changes_nothing_but_the_address_of_discovery(tmp_path: Path) -> None:
    async def main() -> None:
        backends = [Backend(0), Backend(1)]
        async with world(*backends) as made, agents(backends[1]) as (other,):
            service = await made.head()
            service.path = str(tmp_path / "config.json")
            before = (
                service.settings,
                service.config.listen,
                service.front.max_connections,
                service.backends.max_attempts,
                service.exchange.settings,
                service.discovery.pacer.pushed,
            )
            config(
                tmp_path,
                discovery=other.endpoint,
                seed="1",
                name="another",
                control="127.0.0.1:9",
                limits={"cores": 9.0, "memory_mb": 999, "sockets": 99},
                settings={"Discovery": "asked"},
                known={
                    "rev": 9,
                    "all": True,
                    "targets": [{"uid": "s-9", "endpoint": "127.0.0.1:9", "state": "Ready", "pod_group": 2}],
                },
            )
            service.reload()
            await until(lambda: len(other.asked) > 0)
            assert set(service.directory.endpoints) == {backend.name for backend in backends}
            other.gate.set()
            await until(lambda: set(service.directory.endpoints) == {backends[1].name})
            service.divide_limits(0)
            assert before == (
                service.settings,
                service.config.listen,
                service.front.max_connections,
                service.backends.max_attempts,
                service.exchange.settings,
                service.discovery.pacer.pushed,
            )

    run(main())
