"""Reloads that follow each other faster than discovery answers: only the list of the last address is applied."""

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


class GatedAgent(DiscoveryAgent):
    """An agent that answers no request before its gate opens, and then all of them."""

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
async def agents(*backends: Backend) -> AsyncIterator[list[GatedAgent]]:
    """Start an agent for each of the backends; its list has this backend only."""
    started = [GatedAgent() for _ in backends]
    for agent, backend in zip(started, backends, strict=True):
        agent.targets = {backend.name: backend.target()}
        await agent.open()
    try:
        yield started
    finally:
        for agent in started:
            await agent.close()


def test_reloads_while_discovery_does_not_answer_leave_only_the_last_address_in_use(tmp_path: Path) -> None:
    async def main() -> None:
        # Each agent lists a backend with a shard of its own, so a served request shows whose list is in use.
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
            for agent in (first, second):  # the former addresses, which answer only now
                agent.gate.set()
            await until(lambda: first.connections == second.connections == 0)  # all calls to them have ended
            assert set(service.directory.endpoints) == {backends[0].name}  # the saved list is still in use
            third.gate.set()
            await until(lambda: set(service.directory.endpoints) == {backends[2].name})
            wire = await made.wire(service)
            wire.send(READ, headers(next(NUMBERS), X_Placement="units=2,shard=2,hosts=1"))
            assert (await wire.receive())[0] == 404
            assert service.counters.counts["reloads"] == 4 and not backends[0].seen and not backends[1].seen

    run(main())


def test_a_reload_changes_only_the_address_of_discovery(tmp_path: Path) -> None:
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
