"""Composition root of the control plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import asdict
from random import Random
from typing import TypeVar

from hophinge.fleet.transport import unused_imports  # isort: skip  # noqa: F401 - before the HTTP libraries

from loguru import logger

from hophinge.coordination.counter_messages import CounterMessage
from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.events import CommittedValue
from hophinge.fleet.configuration.evacuations import EVACUATION_PREFIX, evacuation_record, is_evacuated
from hophinge.coordination.view import Replica
from hophinge.fleet.configuration.document_limits import DocumentLimits
from hophinge.fleet.configuration.record import RECORD_KEY, configuration_record
from hophinge.fleet.controlplane.api import ControlApi
from hophinge.fleet.controlplane.evacuation_api import EVACUATIONS_PATH, ZONE_PREFIX, EvacuationApi
from hophinge.fleet.controlplane.counter_api import COUNTERS_PATH, CounterApi
from hophinge.fleet.controlplane.counter_host import COUNTER_TICK_S, CounterDirectory, CounterEffects, CounterHost
from hophinge.fleet.controlplane.departure_host import DepartureHost
from hophinge.fleet.controlplane.hint_relay import HintRelay
from hophinge.fleet.controlplane.replica_host import REPLICA_TICK_S, ReplicaEffects, ReplicaHost
from hophinge.fleet.controlplane.report_collector import ReportCollector
from hophinge.fleet.controlplane.soft_state import SOFT_STATE_TICK_S, SoftState
from hophinge.fleet.controlplane.stage_controller import StageController
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.event_loop import log_stall
from hophinge.fleet.program import SETTINGS_REREAD_INTERVAL_S, Signals, Tasks, call_periodically, reread_settings
from hophinge.fleet.settings import Settings, SettingsError
from hophinge.fleet.transport.connection_context import ConnectionContext
from hophinge.fleet.transport.frames import Hello
from hophinge.fleet.transport.links import Links
from hophinge.fleet.transport.server import HttpServer, bind_listener

Message = TypeVar("Message")

CONTROL = "control"
REQUEST_DRAIN_S = 0.3  # for requests in flight to complete
SHUTDOWN_RESERVE_S = 1.5  # left of the grace period for completing requests and closing connections


class ControlPlane:
    """One control member."""

    def __init__(self, settings: Settings, policy: PlacementPolicy) -> None:
        self.settings = settings
        self.signals = Signals()
        self.tasks = Tasks(self.signals.shutdown_requested)
        self.host = ReplicaHost(settings, ReplicaEffects(self._send, self._publish))
        machine = self.host.machine
        self.links = Links(self.host.me, CONTROL, self._receive)
        self.soft_state = SoftState(settings, machine, self._send, HintRelay(self.links.send_frame))
        if settings.can_vote and settings.data_dir is not None:
            self.soft_state.keep_departures(DepartureHost(settings.data_dir, self.soft_state.confirm_stored))
        self.stage_controller = StageController(
            machine, self.soft_state, self.host.request, settings.bounds.lease_s, policy
        )
        live_replicas = self.stage_controller.live_replicas
        self.report_collector = ReportCollector(self.soft_state, live_replicas, self.host.me.identity)
        self.counters = self._create_counters()
        self.api = ControlApi(self.host, self.soft_state, DocumentLimits.of_machine(settings.memory_bytes))
        self._register_evacuations(self.api)
        self._register_counters(self.api)
        self.server = HttpServer(
            self.api, ConnectionContext.of_machine(settings.memory_bytes, settings.max_descriptors)
        )
        self.api.connection_outcomes = self.server.context.close_reasons

    def _register_evacuations(self, api: ControlApi) -> None:
        evacuations = EvacuationApi(
            self.settings.zones, self.host.request, self.soft_state.publish_register, self.host.loop.time
        )
        api.register_path(EVACUATIONS_PATH, evacuations.serve_all)
        api.register(ZONE_PREFIX, evacuations.serve_zone)

    def _create_counters(self) -> CounterHost | None:
        """Return the host of this member's counters; None if it has no disk or may not vote."""
        if not self.settings.can_vote or self.settings.data_dir is None:
            return None
        effects = CounterEffects(self._send, self._disseminate, self.soft_state.dissemination.store)
        return CounterHost(self.settings, self.host.machine, effects)

    def _register_counters(self, api: ControlApi) -> None:
        assert self.settings.control_address is not None
        directory = CounterDirectory(self.host.machine, self.soft_state.dissemination.store, Random())
        api.register(COUNTERS_PATH, CounterApi(self.counters, directory, self.settings.control_address).handle)
        if self.counters is not None:
            counters = self.counters
            api.status_sections["counters"] = lambda: asdict(counters.status())

    def _disseminate(self, records: list[GossipRecord]) -> None:
        """Publish records of this member to the other control members."""
        targets = self.soft_state.recipients.control_members()
        step = self.soft_state.dissemination.publish(self.host.loop.time(), records, targets)
        for address, message in step.messages:
            self._send(address, message)

    def _send(self, address: str, message: object) -> None:
        self.links.send(address, message)

    def _publish(self, published: list[CommittedValue]) -> None:
        # A head becomes ready as soon as it has the configuration, so evacuations are published before it.
        for update in sorted(published, key=lambda update: update.key == RECORD_KEY):
            if update.key == self.stage_controller.lease.key:
                self.stage_controller.apply_lease(update.register)
            if update.key == RECORD_KEY:
                logger.info("configuration applied version={}", update.register.version)
                self.api.validation_cache.add_committed(update.register.payload, update.register.version)
                record = configuration_record(update.sequence, update.register.payload)
                self.soft_state.publish_register(record)
            if update.key.startswith(EVACUATION_PREFIX):
                logger.info("evacuation applied key={} value={}", update.key, update.register.payload.decode())
                self.soft_state.publish_register(evacuation_record(update.key, update.register))
                if not is_evacuated(update.register.payload):
                    self.soft_state.suspect_zone(update.key.removeprefix(EVACUATION_PREFIX))

    def _receive(self, hello: Hello, message: object) -> None:
        if isinstance(message, CounterMessage):
            if self.counters is not None:
                self._receive_durably(self.counters.receive, hello, message)
        elif self.host.machine.router.has_handler(message):
            self._receive_durably(self.host.receive, hello, message)
        else:
            self.soft_state.receive(hello.sender, message)

    def _receive_durably(self, receive: Callable[[Replica, Message], None], hello: Hello, message: Message) -> None:
        """Pass a message to a state machine with durable state.

        If handling it fails half way, the process ends and is restarted from the state on its disk.
        """
        try:
            receive(hello.sender, message)
        except Exception:  # broad: after any failure, the machine's state may be inconsistent
            self.signals.shutdown_requested.set()
            raise

    async def run(self) -> None:
        """Serve until the process is asked to terminate."""
        assert self.settings.control_address is not None
        self.signals.on_hangup = self._reread
        await self.links.listen()
        self.tasks.start(call_periodically(REPLICA_TICK_S, self.host.tick, max_failures=1, on_late=log_stall))
        self.tasks.start(call_periodically(SOFT_STATE_TICK_S, self.soft_state.tick))
        if self.counters is not None:
            self.tasks.start(call_periodically(COUNTER_TICK_S, self.counters.tick, max_failures=1))
        self.tasks.start(self.stage_controller.run())
        self.tasks.start(self.report_collector.run())
        self.tasks.start(self.server.serve([bind_listener(self.settings.control_address)]))
        self.tasks.start(call_periodically(SETTINGS_REREAD_INTERVAL_S, self._maintain))
        logger.info(
            "control member started identity={} address={}", self.host.me.identity, self.settings.control_address
        )
        await self.signals.shutdown_requested.wait()
        await self._shut_down()

    def _maintain(self) -> None:
        self._reread()
        self.links.close_idle()

    def _reread(self) -> None:
        settings = reread_settings()
        if settings is None:
            return
        seeds = settings.seed_members()
        if seeds != self.host.machine.seeds:
            logger.info("seeds changed seeds={}", ",".join(seeds))
            self.host.machine.seeds = seeds

    async def _shut_down(self) -> None:
        logger.info("draining")
        await self._hand_over()
        await self.server.drain(asyncio.get_running_loop().time() + REQUEST_DRAIN_S, self._reject_pending)
        self.tasks.cancel()
        await self.links.close()
        self.signals.close()

    def _reject_pending(self) -> None:
        """Complete pending requests as unknown or not acknowledged, so that their callers retry at another member."""
        self.host.answer_pending_unknown()
        if self.counters is not None:
            self.counters.answer_pending_unknown()
        self.soft_state.reject_pending()

    async def _hand_over(self) -> None:
        """Keep serving until the others need this member no longer, at most until the end of the grace period.

        Until they have a view without this member, it may have data that no other member has.
        """
        machine = self.host.machine
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.bounds.grace_s - SHUTDOWN_RESERVE_S
        machine.begin_drain()
        if self.counters is not None:
            self.counters.begin_drain()
        while self._is_required() and loop.time() < deadline:
            await asyncio.sleep(REPLICA_TICK_S)

    def _is_required(self) -> bool:
        """Return whether the others still need this member, because it has data that they have not received yet."""
        return self.host.machine.is_required() or (self.counters is not None and self.counters.is_required())


async def serve(settings: Settings, policy: PlacementPolicy) -> None:
    """Run a control member.

    Raises:
        SettingsError: The settings name no address for the control API.

    """
    if settings.control_address is None:
        raise SettingsError(["listen-addresses.control: is missing"])
    await ControlPlane(settings, policy).run()
