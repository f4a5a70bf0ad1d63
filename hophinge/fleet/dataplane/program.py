"""Composition root of the data plane."""

from __future__ import annotations

import asyncio
from random import Random

from hophinge.fleet.transport import lean  # isort: skip  # noqa: F401 - before the HTTP libraries

from loguru import logger

from hophinge.fleet.configuration.routes import RouteTable
from hophinge.fleet.dataplane.front import Front
from hophinge.fleet.dataplane.knowledge import KNOWLEDGE_TICK_S, Knowledge
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances, HintsRequest
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.program import REREAD_S, Signals, Tasks, every, reread_settings
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.settings import Settings, SettingsError
from hophinge.fleet.trial import trial_policy
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.frames import Hello
from hophinge.fleet.transport.links import Links
from hophinge.fleet.transport.server import HttpServer, listening

DATA = "data"
LEAVE_S = 2.6  # the platform needs two misses, a second apart, to send no new connections
HINT_S = 0.01  # that what was placed here is gathered before others are told
SLACK_S = 1.0  # beyond the configuration's times: what a client sent in time may be on its way
RESERVE_S = 0.5  # of the time to end that is left unused, at most
RESERVE_PART = 1 / 12  # of that time, at most: half of the part in which what is still under way may be cut


class DataPlane:
    """One head of the fleet."""

    def __init__(self, settings: Settings) -> None:
        assert settings.front is not None
        assert settings.ready is not None
        self.settings = settings
        self.addresses = settings.front, settings.ready
        self.signals = Signals()
        self.tasks = Tasks(self.signals.ending)
        self.placement = Placement(settings.zone, self._ended, Random(), self._schedule_hints, trial_policy())
        self.hints_due = False
        self.upstream = Upstream()
        self.knowledge = Knowledge(settings, self._send, self._instance, self._configured, self._granted)
        self.links = Links(self.knowledge.me, DATA, self._received)
        self.front = Front(settings, self.knowledge, self.placement, self.upstream)
        self.server = HttpServer(self.front)
        self.front.connection_ends = self.server.context.ends

    def _send(self, address: str, message: object) -> None:
        self.links.send(address, message)

    def _received(self, hello: Hello, message: object) -> None:
        if isinstance(message, PlacementHints):
            self.placement.receive_hints(asyncio.get_running_loop().time(), message)
        elif isinstance(message, HintsRequest):
            self._send(hello.sender.address, self.placement.cache_snapshot())
        elif isinstance(message, SuspectedInstances):
            self.placement.receive_suspects(asyncio.get_running_loop().time(), message)
        elif isinstance(message, EngineReports):
            self.placement.receive_reports(asyncio.get_running_loop().time(), message)
        else:
            self.knowledge.received(hello.sender.address, message)

    def _instance(self, identity: str, instance: Instance | None) -> None:
        if instance is not None:
            self.upstream.returned(identity)
        self.placement.update_instance(identity, instance)

    def _ended(self, identity: str) -> None:
        self.tasks.start_aside(self.upstream.forget(identity))

    def _configured(self, table: RouteTable) -> None:
        limits = table.limits
        self.server.bound(ConnectionBounds(limits.idle_s + SLACK_S, limits.header_s + SLACK_S, limits.header_bytes))
        self.front.split.keep({route.name for route in table.routes})
        engines = {name: service.engine for name, service in table.services.items()}
        self.placement.configure({name: engine.memory_tokens for name, engine in engines.items() if engine})

    def _granted(self) -> None:
        """With the first lease, ask another head what is kept where."""
        neighbours = self.knowledge.dissemination.neighbours
        if neighbours:
            self._send(neighbours[0], HintsRequest())

    def _schedule_hints(self) -> None:
        """Have the others told soon: nothing wakes this process while nothing is placed."""
        if not self.hints_due:
            self.hints_due = True
            asyncio.get_running_loop().call_later(HINT_S, self._send_hints)

    def _send_hints(self) -> None:
        """Tell what was placed here, in small batches, to the control member at which the lease is held."""
        self.hints_due = False
        granter = self.knowledge.renewal.granter
        now = asyncio.get_running_loop().time()
        for message in (self.placement.outgoing_hints(now), self.placement.outgoing_suspects()):
            if message is not None and granter is not None:
                self.links.send(granter, message)

    async def run(self) -> None:
        """Serve until told to end."""
        self.signals.changed = self._reread
        await self.links.listen()
        self.tasks.start(every(KNOWLEDGE_TICK_S, self.knowledge.tick))
        self.tasks.start(self.server.serve([listening(address) for address in self.addresses]))
        self.tasks.start(every(REREAD_S, self._tend))
        logger.info("head started identity={} address={}", self.knowledge.me.identity, self.settings.front)
        await self.signals.ending.wait()
        await self._end()

    def _tend(self) -> None:
        self._reread()
        self.links.tidy()
        self.tasks.start_aside(self.upstream.tend())

    def _reread(self) -> None:
        settings = reread_settings()
        if settings is not None:
            self.knowledge.renewal.seeds = settings.seed_members()

    async def _end(self) -> None:
        """Leave: not ready at first, then no resting connections, then no work."""
        logger.info("draining")
        loop = asyncio.get_running_loop()
        grace_s = self.settings.bounds.grace_s
        until = loop.time() + grace_s - min(RESERVE_S, RESERVE_PART * grace_s)
        self.front.ending = True
        await asyncio.sleep(min(LEAVE_S, grace_s / 3))
        await self.server.finish(until)
        self.tasks.cancel()
        self.links.close()
        self.signals.close()


async def serve(settings: Settings) -> None:
    """Run a head."""
    missing = [name for name in ("front", "ready") if getattr(settings, name) is None]
    if missing:
        raise SettingsError([f"listen-addresses.{name}: is missing" for name in missing])
    await DataPlane(settings).run()
