"""A head without listeners or backends, for tests of maintenance over streams: in the test's process or its own."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

from hophinge.core.counters import Counters
from hophinge.core.exchange import Exchange
from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase, Result
from hophinge.core.manual_ejections import ManualEjections
from hophinge.core.settings import read_settings
from hophinge.head.maintenance import HeadMaintenance
from hophinge.head.operator_config import StreamConfig
from hophinge.head.streamed_configuration import StreamedConfiguration
from hophinge.maintenance.permit_holder import GoOffline, PermitHolder
from hophinge.net.clock import LoopClock
from tests.stand_in import setup

TOKEN = "a-token-of-heads-1"
BACKENDS = ("s-0", "s-1", "s-2")


class Head:
    """One process of a head; `go` is called when it has to go offline."""

    def __init__(
        self,
        name: str,
        port: int,
        build: str,
        folder: Path,
        go: Callable[[Head, GoOffline], None],
        heads: int = 4,
        supports_permits: bool = True,
    ) -> None:
        self.name, self.port, self.build, self.folder, self.on_go_offline = name, port, build, folder, go
        self.log: list[str] = []
        settings = read_settings(json.dumps(setup(Balancers=heads)))
        self.exchange = Exchange(settings, 1, LoopClock(asyncio.get_running_loop()), Counters(), self.log.append)
        self.rotation = ManualEjections(self.exchange.nodes, self.exchange.now_us, 1000)
        folder.mkdir(exist_ok=True)
        (folder / "token").write_text(TOKEN)
        stream = StreamConfig([f"127.0.0.1:{port}"], folder / "token", folder / "state")
        self.streamed = StreamedConfiguration(stream, name, self.exchange, hash(name), self.log.append, None)
        self.failure_rate = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        self.maintenance: HeadMaintenance | None = None
        if supports_permits:
            self.maintenance = HeadMaintenance(
                self.streamed.client,
                self.rotation,
                self.exchange,
                PermitHolder(time.time_ns(), build),
                "hall-a",
                folder / f"drains-{name}.state",
                self.log.append,
                lambda: True,
                lambda action: self.on_go_offline(self, action),
            )

    def start(self) -> None:
        if self.maintenance is not None:
            self.maintenance.begin()
            self.tasks.append(asyncio.create_task(self.maintenance.run()))
        self.rotation.apply_list(
            NodeList(ListKind.FULL, tuple(NodeEntry(name, 0, at, Phase.ON, 1.0, 0) for at, name in enumerate(BACKENDS)))
        )
        self.streamed.client.restore()
        self.tasks += [asyncio.create_task(self.streamed.client.run()), asyncio.create_task(self._work())]

    async def _work(self) -> None:
        """Count requests and report answers of backends as if there were requests."""
        while True:
            await asyncio.sleep(0.05)
            counts = self.exchange.counters.counts
            counts["requests_taken"] += 100
            counts["requests_failed"] += int(100 * self.failure_rate)
            for backend in BACKENDS if self.maintenance is not None else ():
                if not self.rotation.is_ejected(backend):
                    self.maintenance.answer_times.ended(self.exchange.now_us(), backend, Result.OK)  # type: ignore[union-attr]

    async def end(self) -> None:
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.streamed.client.close()


async def main(name: str, port: str, build: str, folder: str) -> None:
    """Run a head until it has to go offline: print that, wait like an orderly shutdown, and end."""
    done = asyncio.Event()

    def go(head: Head, action: GoOffline) -> None:
        print(f"goes {action.build}", flush=True)
        asyncio.get_running_loop().call_later(0.5, done.set)

    head = Head(name, int(port), build, Path(folder), go)
    head.start()
    print("started", flush=True)
    await done.wait()
    await head.end()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
