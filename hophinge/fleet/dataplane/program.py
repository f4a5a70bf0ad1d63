"""Composition root of the data plane."""

from __future__ import annotations

import asyncio
from random import Random

from hophinge.fleet.transport import unused_imports  # isort: skip  # noqa: F401 - before the HTTP libraries

from loguru import logger

from hophinge.coordination.dissemination import GossipRecord
from hophinge.fleet.configuration.evacuations import EVACUATION_PREFIX, is_evacuated
from hophinge.fleet.configuration.routes import RouteTable
from hophinge.fleet.dataplane.http_frontend import HttpFrontend
from hophinge.fleet.dataplane.cluster_state import CLUSTER_STATE_TICK_S, ClusterState
from hophinge.fleet.dataplane.response_buffers import ResponseBuffers
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances, HintsRequest
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.event_loop import log_stall
from hophinge.fleet.program import SETTINGS_REREAD_INTERVAL_S, Signals, Tasks, call_periodically, reread_settings
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.registry.warmup import WARMUP_PREFIX, warmup_of
from hophinge.fleet.settings import Settings, SettingsError
from hophinge.fleet.transport.connection_context import ConnectionContext
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.frames import Hello
from hophinge.fleet.transport.links import Links
from hophinge.fleet.transport.server import HttpServer, bind_listener

DATA = "data"
MAX_READY_CONNECTIONS = 64  # to the address that the platform and operators ask
MEMORY_BYTES_PER_SEGMENT = 1_500  # of the machine; a cached segment takes about a quarter of that
UNREADY_S = 2.6  # of reporting not ready: the platform sends no new connections after two failed checks, 1 s apart
HINT_DELAY_S = 0.01  # for which placements are collected before they are published
CLIENT_SLACK_S = 1.0  # added to the configured timeouts: what a client sent in time may be in flight
MAX_SHUTDOWN_RESERVE_S = 0.5  # of the grace period, that is left unused
# Of the grace period, that is left unused at most: half of the part in which requests in flight may be aborted.
SHUTDOWN_RESERVE_FRACTION = 1 / 12


class DataPlane:
    """One head of the fleet."""

    def __init__(self, settings: Settings, policy: PlacementPolicy) -> None:
        assert settings.front_address is not None
        assert settings.ready_address is not None
        self.settings = settings
        self.addresses = settings.front_address, settings.ready_address
        self.signals = Signals()
        self.tasks = Tasks(self.signals.shutdown_requested)
        self.placement = Placement(
            settings.zone, self._retire_instance, Random(), self._schedule_hints, policy, settings.name
        )
        self.placement.instances.segment_budget.max_segments = settings.memory_bytes // MEMORY_BYTES_PER_SEGMENT
        self.are_hints_scheduled = False
        self.upstream = Upstream(ResponseBuffers.of_machine(settings.memory_bytes), self._record_response_limit)
        self.cluster_state = ClusterState(
            settings, self._send, self._update_instance, self._apply_configuration, self._request_hints
        )
        self.cluster_state.listen(EVACUATION_PREFIX, self._apply_evacuation)
        warmup = self.placement.admission.warmup
        warmup.heartbeat_s = settings.heartbeat_s
        warmup.overshoot = settings.bounds.cold_overshoot
        warmup.slack = settings.bounds.cold_slack
        self.cluster_state.listen(WARMUP_PREFIX, self._update_warmup)
        self.links = Links(self.cluster_state.me, DATA, self._receive)
        self.frontend = HttpFrontend(settings, self.cluster_state, self.placement, self.upstream)
        self.server = HttpServer(self.frontend, self._create_connection_context())
        self.frontend.connection_outcomes = self.server.context.close_reasons

    def _create_connection_context(self) -> ConnectionContext:
        """Return the limits on clients; the platform and operators have connections of their own."""
        context = ConnectionContext.of_machine(self.settings.memory_bytes, self.settings.max_descriptors)
        context.reserved_connections[self.frontend.ready_port] = MAX_READY_CONNECTIONS
        return context

    def _record_response_limit(self, identity: str) -> None:
        self.placement.record_response_limit(asyncio.get_running_loop().time(), identity)

    def _send(self, address: str, message: object) -> None:
        self.links.send(address, message)

    def _receive(self, hello: Hello, message: object) -> None:
        if isinstance(message, PlacementHints):
            self.placement.exchange.receive_hints(asyncio.get_running_loop().time(), message)
        elif isinstance(message, HintsRequest):
            self._send(hello.sender.address, self.placement.exchange.cache_snapshot())
        elif isinstance(message, SuspectedInstances):
            self.placement.exchange.receive_suspects(asyncio.get_running_loop().time(), message)
        elif isinstance(message, EngineReports):
            self.placement.exchange.receive_reports(asyncio.get_running_loop().time(), message)
        else:
            self.cluster_state.receive(hello.sender.address, message)

    def _update_instance(self, identity: str, instance: Instance | None) -> None:
        if instance is not None:
            self.upstream.reinstate(identity)
        self.placement.instances.update_instance(identity, instance, asyncio.get_running_loop().time())

    def _apply_evacuation(self, zone: str, record: GossipRecord) -> None:
        is_zone_evacuated = is_evacuated(record.value)
        self.placement.instances.update_evacuation(zone, is_zone_evacuated, asyncio.get_running_loop().time())
        logger.info("evacuation applied zone={} evacuated={}", zone, is_zone_evacuated)

    def _update_warmup(self, identity: str, record: GossipRecord) -> None:
        now = asyncio.get_running_loop().time()
        self.placement.admission.apply_warmup(now, identity, warmup_of(record))

    def _tick(self) -> None:
        """Renew the lease, and apply the number of heads known now, which share the rate limits of cold instances."""
        self.cluster_state.tick()
        warmup = self.placement.admission.warmup
        warmup.head_count = self.cluster_state.connected_head_count(asyncio.get_running_loop().time())
        warmup.is_serving = warmup.is_serving or self.cluster_state.is_ready

    def _retire_instance(self, identity: str) -> None:
        self.tasks.start_background(self.upstream.retire(identity))

    def _apply_configuration(self, table: RouteTable) -> None:
        limits = table.limits
        self.server.update_bounds(
            ConnectionBounds(limits.idle_s + CLIENT_SLACK_S, limits.header_s + CLIENT_SLACK_S, limits.header_bytes)
        )
        self.frontend.traffic_split.retain_routes({route.name for route in table.routes})
        warmup = self.placement.admission.warmup
        warmup.cold_per_s = {name: service.cold_per_s for name, service in table.services.items()}
        warmup.cold_start_s = {name: service.cold_start_s for name, service in table.services.items()}
        engines = {name: service.engine for name, service in table.services.items()}
        self.placement.instances.configure({name: engine.memory_tokens for name, engine in engines.items() if engine})
        self.placement.instances.configured_services = frozenset(table.services)
        self.placement.instances.stage_switch_s = {
            name: engine.stage_switch_s for name, engine in engines.items() if engine
        }

    def _request_hints(self) -> None:
        """Request the hints of another head, when the first lease is granted."""
        neighbours = self.cluster_state.dissemination.neighbours
        if neighbours:
            self._send(neighbours[0], HintsRequest())

    def _schedule_hints(self) -> None:
        """Schedule the publication of hints unless it is scheduled; no timer runs while nothing is placed."""
        if not self.are_hints_scheduled:
            self.are_hints_scheduled = True
            asyncio.get_running_loop().call_later(HINT_DELAY_S, self._send_hints)

    def _send_hints(self) -> None:
        """Send recent placements and suspected instances, in small batches, to the granter of the lease."""
        self.are_hints_scheduled = False
        relay = self.cluster_state.renewal.relay
        now = asyncio.get_running_loop().time()
        for message in (self.placement.exchange.outgoing_hints(now), self.placement.exchange.outgoing_suspects()):
            if message is not None and relay is not None:
                self.links.send(relay, message)

    async def run(self) -> None:
        """Serve until the process is asked to terminate."""
        self.signals.on_hangup = self._reread
        await self.links.listen()
        self.tasks.start(call_periodically(CLUSTER_STATE_TICK_S, self._tick, on_late=log_stall))
        self.tasks.start(self.server.serve([bind_listener(address) for address in self.addresses]))
        self.tasks.start(call_periodically(SETTINGS_REREAD_INTERVAL_S, self._maintain))
        logger.info("head started identity={} address={}", self.cluster_state.me.identity, self.settings.front_address)
        await self.signals.shutdown_requested.wait()
        await self._shut_down()

    def _maintain(self) -> None:
        self._reread()
        self.links.close_idle()
        self.tasks.start_background(self.upstream.abort_overdue())

    def _reread(self) -> None:
        settings = reread_settings()
        if settings is not None:
            self.cluster_state.renewal.seeds = settings.seed_members()

    async def _shut_down(self) -> None:
        """Shut down: report not ready first, then close idle connections, then wait for requests in flight."""
        logger.info("draining")
        loop = asyncio.get_running_loop()
        grace_s = self.settings.bounds.grace_s
        deadline = loop.time() + grace_s - min(MAX_SHUTDOWN_RESERVE_S, SHUTDOWN_RESERVE_FRACTION * grace_s)
        self.frontend.is_shutting_down = True
        await asyncio.sleep(min(UNREADY_S, grace_s / 3))
        await self.server.drain(deadline)
        self.tasks.cancel()
        await self.links.close()
        self.signals.close()


async def serve(settings: Settings, policy: PlacementPolicy) -> None:
    """Run a head.

    Raises:
        SettingsError: The settings name no front or ready address.

    """
    addresses = {"front": settings.front_address, "ready": settings.ready_address}
    missing = [name for name, address in addresses.items() if address is None]
    if missing:
        raise SettingsError([f"listen-addresses.{name}: is missing" for name in missing])
    await DataPlane(settings, policy).run()
