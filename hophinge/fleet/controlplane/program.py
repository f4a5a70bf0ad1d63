"""Composition root of the control plane."""

from __future__ import annotations

import asyncio

from hophinge.fleet.transport import lean  # isort: skip  # noqa: F401 - before the HTTP libraries

from hophinge.coordination.events import CommittedValue
from hophinge.fleet import log
from hophinge.fleet.configuration.routes import RECORD_KEY, configuration_record
from hophinge.fleet.controlplane.api import ControlApi
from hophinge.fleet.controlplane.directory import DIRECTORY_TICK_S, Directory
from hophinge.fleet.controlplane.host import REPLICA_TICK_S, Effects, ReplicaHost
from hophinge.fleet.controlplane.keeper import StageKeeper
from hophinge.fleet.controlplane.relay import Relay
from hophinge.fleet.controlplane.reports import Reporter
from hophinge.fleet.program import REREAD_S, Signals, Tasks, every, reread_settings
from hophinge.fleet.settings import Settings, SettingsError
from hophinge.fleet.trial import trial_policy
from hophinge.fleet.transport.frames import Hello
from hophinge.fleet.transport.links import Links
from hophinge.fleet.transport.server import HttpServer, listening

CONTROL = "control"
LEAVE_S = 0.3  # for requests under way to come to their end
RESERVE_S = 1.5  # of the time to end that is left unused


class ControlPlane:
    """One control member."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.signals = Signals()
        self.tasks = Tasks(self.signals.ending)
        self.host = ReplicaHost(settings, Effects(self._send, self._publish, log.note))
        self.links = Links(self.host.me, CONTROL, self._received, log.note)
        self.directory = Directory(settings, self.host.machine, self._send, Relay(self.links.send_frame))
        self.keeper = StageKeeper(
            self.host.machine, self.directory, self.host.request, settings.bounds.lease_s, trial_policy()
        )
        self.reporter = Reporter(self.directory, self.keeper.alive, self.host.me.identity)
        api = ControlApi(self.host, self.directory)
        self.server = HttpServer(api)
        api.connection_ends = self.server.context.ends

    def _send(self, address: str, message: object) -> None:
        self.links.send(address, message)

    def _publish(self, published: list[CommittedValue]) -> None:
        for one in published:
            if one.key == self.keeper.role.key:
                self.keeper.published(one.register)
            if one.key == RECORD_KEY:
                log.note(f"configuration {one.register.version} is in force")
                self.directory.publish_configuration(configuration_record(one.sequence, one.register.payload))

    def _received(self, hello: Hello, message: object) -> None:
        if self.host.machine.router.has_handler(message):
            self._replica_received(hello, message)
        else:
            self.directory.received(hello.sender, message)

    def _replica_received(self, hello: Hello, message: object) -> None:
        """Take a replica's message; one that fails half way ends this process, which starts again from its disk."""
        try:
            self.host.received(hello.sender, message)
        except Exception:
            self.signals.ending.set()
            raise

    async def run(self) -> None:
        """Serve until told to end."""
        assert self.settings.control is not None
        self.signals.changed = self._reread
        await self.links.listen()
        self.tasks.start(every(REPLICA_TICK_S, self.host.tick, most_failures=1))
        self.tasks.start(every(DIRECTORY_TICK_S, self.directory.tick))
        self.tasks.start(self.keeper.run())
        self.tasks.start(self.reporter.run())
        self.tasks.start(self.server.serve([listening(self.settings.control)]))
        self.tasks.start(every(REREAD_S, self._tend))
        log.note(f"control member {self.host.me.identity} at {self.settings.control}")
        await self.signals.ending.wait()
        await self._end()

    def _tend(self) -> None:
        self._reread()
        self.links.tidy()

    def _reread(self) -> None:
        settings = reread_settings()
        if settings is None:
            return
        seeds = settings.seed_members()
        if seeds != self.host.machine.seeds:
            log.note(f"seeds are {', '.join(seeds)}")
            self.host.machine.seeds = seeds

    async def _end(self) -> None:
        log.note("ending")
        await self._hand_over()
        await self.server.finish(asyncio.get_running_loop().time() + LEAVE_S, self._give_up)
        self.tasks.cancel()
        self.links.close()
        self.signals.close()

    def _give_up(self) -> None:
        """Have callers that wait for others told that nobody knows yet: they ask another member."""
        self.host.give_up()
        self.directory.give_up()

    async def _hand_over(self) -> None:
        """Serve on until the others have a view without this member: it may hold what nobody else holds."""
        machine, loop = self.host.machine, asyncio.get_running_loop()
        until = loop.time() + self.settings.bounds.grace_s - RESERVE_S
        machine.begin_drain()
        while machine.is_required() and loop.time() < until:
            await asyncio.sleep(REPLICA_TICK_S)


async def serve(settings: Settings) -> None:
    """Run a control member."""
    if settings.control is None:
        raise SettingsError(["listen-addresses.control: is missing"])
    await ControlPlane(settings).run()
