"""One head: its composition, start, readiness and shutdown."""

from __future__ import annotations

import asyncio
import os
import re
from pathlib import Path

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.core.errors import one_line
from hophinge.core.exchange import Exchange
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.backend_client import BackendClient
from hophinge.net.clock import LoopClock
from hophinge.net.operations_server import OperationsServer
from hophinge.head import components, limits, shutdown
from hophinge.head.process_handoff import REFRESH_INTERVAL_S, ProcessHandoff
from hophinge.net.discovery import EndpointDirectory, DiscoveryWatch
from hophinge.net.acceptor import Acceptor
from hophinge.net.listener import Listener
from hophinge.net.frontend import Frontend
from hophinge.head.config import Config, ConfigError, ReloadError, address, read_config
from hophinge.head.log import log_task_failure, write_line
from hophinge.head.operator_config import OperatorConfig
from hophinge.core.manual_ejections import ManualEjections

FIRST_LIST_S = 0.4  # discovery usually answers at once; without an answer by then the saved list is used
SHUTDOWN_S = 2.0  # per listener, for responses that are still being written


class Service:
    """One head: its exchange, its listeners and its background tasks."""

    def __init__(self, config: Config, settings: api.Settings, operator: OperatorConfig, path: str = "") -> None:
        self.config = config
        self.settings = settings
        self.operator = operator
        self.path = path
        self.counters = Counters()
        clock = LoopClock(asyncio.get_running_loop())
        self.exchange = Exchange(settings, int(config.seed, 16), clock, self.counters, write_line)
        optional = components.OptionalComponents(config, operator, self.exchange, self.counters, write_line)
        self.objects = optional.objects
        self.admin = optional.admin
        self.accounts = optional.accounts
        self.streamed = optional.streamed
        self.cluster_services = optional.cluster_services
        # The configuration cannot be rejected after this line; client sessions are created only from here on.
        self.directory = EndpointDirectory(settings)
        self.budget = ByteBudget(0)
        self.backends = BackendClient(settings, self.directory.endpoint, self.counters, write_line, self.budget)
        self.exchange.start = self.backends.start
        self.exchange.probe = self.backends.probe
        self.front = Frontend(self.exchange, self.counters, self.budget)
        self.handoff: ProcessHandoff | None = None
        self.divide_limits(0)
        self.ejections = ManualEjections(self.apply_node_list, clock.now_us, settings.rules.slow_start_us)
        self.discovery = self._discovery_watch()
        self.metrics = self.exchange.metrics
        self.metrics.current_values = self.backend_counts
        self.control = (
            OperationsServer(self.counters, self.metrics, self.ejections, self.is_ready) if config.control else None
        )
        optional.connect(self.front, self.control)
        self.remote_write = components.remote_write(
            config, operator, self.exchange, self.counters, self.gauges, self.accounts
        )
        self.listeners: list[Acceptor] = []  # for clients' connections
        self.control_listener: Acceptor | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = asyncio.Event()
        self.signalled_us = 0  # when the shutdown began, on the exchange's clock
        self.maintenance = components.maintenance(self, write_line)

    def _discovery_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(
            self.config.discovery,
            self.directory,
            self.ejections.apply_list,
            self.counters,
            self.settings.gateways,
            int(self.config.seed, 16),
            write_line,
            self.settings.discovery is api.Discovery.PUSHED,
        )

    async def start(self) -> None:
        """Listen, and become ready with discovery's list of backends, or with the saved one if discovery is silent."""
        if self.control is not None:
            self.control_listener = self._acceptor(self.control, self.config.control)
        if self.maintenance is not None:
            self.maintenance.begin()
            self.tasks.append(asyncio.create_task(self.maintenance.run()))
        self.ejections.apply_list(self.directory.apply(self.config.known, api.ListKind.SAVED))
        if self.streamed is not None:
            self.streamed.client.restore()
            self.tasks.append(asyncio.create_task(self.streamed.client.run()))
        if self.config.accept_fd is not None:
            self._share_with_other_process()
        known = self.config.known
        self.discovery.follow(self.config.discovery, known.rev if known.targets and known.all else None)
        if self.config.accept_fd is None:
            self._listen(self.front, self.config.listen)
        if self.objects is not None:
            self._listen(self.objects, self.objects.config.listen)
        if self.admin is not None and self.operator.admin is not None:
            self._listen(self.admin, self.operator.admin.listen)
        if self.remote_write is not None:
            self.tasks.append(asyncio.create_task(self.remote_write.run()))
        if self.cluster_services is not None:
            self.tasks += self.cluster_services.start()
        self._observe_tenants()
        for task in self.tasks:
            task.add_done_callback(log_task_failure)
        if not await shutdown.wait_for_any(FIRST_LIST_S, self.discovery.first_answer, self.stopping):
            write_line("no answer from discovery yet; starting with the saved list of backends")
        if self.config.accept_fd is not None:
            # Not earlier: until this process is ready, another one may accept the connections in this socket's queue.
            self._listen(self.front, self.config.listen, self.config.accept_fd)
        self.front.ready = True
        limits = self.config.limits
        write_line(
            f"{self.config.name or 'a head'} serves on {self.config.listen}: {limits.cores} cores, "
            f"{limits.memory_mb} MB, {limits.sockets} sockets, {self.front.max_connections} for clients"
        )

    def _observe_tenants(self) -> None:
        """Let the accounts, or the tenants of the service document, admit connections and count requests."""
        if self.accounts is not None:
            self.front.tenant_observer = self.accounts
            self.front.on_connection_closed = self.accounts.dropped
            self.tasks += self.accounts.tasks()
        elif self.streamed is not None:
            self.front.tenant_observer = self.streamed.document_tenants
            self.front.on_connection_closed = self.streamed.document_tenants.dropped

    def apply_node_list(self, event: api.NodeList) -> None:
        """Apply a list of backends, or changes to one."""
        self.exchange.nodes(event)
        # Connections to manually ejected backends are not kept, as these are about to be restarted.
        self.backends.retain(
            endpoint for node, endpoint in self.directory.endpoints.items() if not self.ejections.is_ejected(node)
        )

    def is_ready(self) -> bool:
        """Return whether this process is ready and not shutting down."""
        return self.front.ready and not self.stopping.is_set()

    def backend_counts(self) -> dict[str, int]:
        """Return how many backends are listed, and how many of them get no requests now for any reason."""
        listed = self.ejections.listed
        avoided = {node for node in listed if self.exchange.phases.get(node) is not api.Phase.ON}
        avoided.update(node for node in self.exchange.scheduler.avoided(self.exchange.now_us()) if node in listed)
        return {"registry_entries": len(listed), "out_of_rotation": len(avoided)}

    def _share_with_other_process(self) -> None:
        """Share limits and manual ejections with the process that this one replaces, or that replaces this one."""
        folder = os.environ.get("TMPDIR")
        if not folder:
            return write_line("TMPDIR is not set: manual ejections are lost when an upgrade replaces this process")
        name = re.sub(r"[^0-9A-Za-z-]", "_", self.config.name or self.config.listen)
        self.handoff = ProcessHandoff(
            Path(folder) / f"hophinge-{name}",
            self.ejections,
            self.exchange.now_us,
            self.settings.rules.overload_window_us,
            write_line,
        )
        self.ejections.on_ejection = self.handoff.write
        self._refresh_handoff()
        self.tasks.append(asyncio.create_task(self._refresh_handoff_periodically()))

    def _refresh_handoff(self) -> None:
        assert self.handoff is not None
        self.handoff.refresh()
        self.exchange.scheduler.processes = self.handoff.processes
        self.divide_limits(self.handoff.descriptors())

    async def _refresh_handoff_periodically(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            try:
                self._refresh_handoff()
            except OSError as error:
                write_line(f"cannot refresh the state shared with other processes: {one_line(error)}")

    def divide_limits(self, used_elsewhere: int) -> None:
        """Set the limits of this process, given how many file descriptors other processes of this head use."""
        processes = self.handoff.processes if self.handoff is not None else 1
        shares = limits.divide_limits(
            self.config.limits, processes, used_elsewhere, self.settings.gateways, bool(self.config.control)
        )
        self.budget.limit = shares.body_bytes
        self.backends.max_attempts = self.backends.registry.limit = shares.backend_connections
        self.backends.registry.limit_per_endpoint = shares.idle_per_backend
        self.front.max_busy = self.front.max_connections = shares.client_connections
        self.front.max_idle = shares.idle_clients

    def _listen(self, listener: Listener, listen_address: str, fd: int | None = None) -> None:
        self.listeners.append(self._acceptor(listener, listen_address, fd))

    def _acceptor(self, listener: Listener, listen_address: str, fd: int | None = None) -> Acceptor:
        host, port = address(listen_address)
        # An inherited descriptor means upgrades, in which two processes listen on the other addresses for a while.
        shared = self.config.accept_fd is not None and fd is None and listener is not self.control
        try:
            return Acceptor(host, port, listener, shared, fd)
        except OSError as error:
            raise ConfigError(f"cannot listen on {listen_address}: {error}") from error

    def stop(self) -> None:
        """Begin the shutdown; its deadlines count from the first call, later ones have no effect."""
        if not self.stopping.is_set():
            self.signalled_us = self.exchange.now_us()
            self.stopping.set()

    def log_counters(self) -> None:
        """Log the counters."""
        write_line(self.counters.text() + "end of counters")

    def reload(self) -> None:
        """Reload the configuration file; open requests, reservations and connections stay.

        Only discovery's address and the cluster's keys take effect; other settings stay as at the start. The file's
        address takes precedence over the environment's: the file has been replaced since, the variable was set once.
        """
        try:
            new = read_config(self.path)
        except ConfigError as error:
            # An operator's error, or a file read while it was being written.
            self.counters.add("reloads_failed")
            write_line(f"the configuration is kept as it was: {one_line(ReloadError(str(error)))}")
            return
        self.counters.add("reloads")
        if new.discovery != self.discovery.address:
            write_line(f"discovery's address changed from {self.discovery.address} to {new.discovery}")
            self.discovery.follow(new.discovery)
        if self.cluster_services is not None:
            self.cluster_services.reload()

    async def shut_down(self) -> None:
        """Answer the accepted requests, then close everything."""
        self.stop()
        open_connections = len(self.front.server.connections)
        write_line(f"shutting down with {self.exchange.unanswered} requests open on {open_connections} connections")
        await shutdown.Shutdown(
            self.exchange,
            self.front,
            self.objects,
            self.admin,
            self.listeners,
            self.config.accept_fd is not None,
            self.signalled_us,
        ).run()
        if self.control_listener is not None:
            self.control_listener.close()
        for listener in (*self.fronts, self.control):
            if listener is not None:
                listener.server.pre_shutdown()  # ends the handlers of idle connections; `shutdown` would wait for them
                await listener.server.shutdown(SHUTDOWN_S)
        await self.close()

    @property
    def fronts(self) -> list[Listener]:
        """The listeners for clients that are enabled."""
        return [front for front in (self.front, self.objects, self.admin) if front is not None]

    async def close(self) -> None:
        """Cancel the background tasks and close connections, files and the cluster's socket."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.control_listener is not None:
            self.control_listener.close()
        if self.handoff is not None:
            self.handoff.close()
        stream_client = self.streamed.client if self.streamed is not None else None
        for client in (self.discovery, self.backends, self.remote_write, stream_client):
            if client is not None:
                await client.close()
        for component in (self.cluster_services, self.accounts):
            if component is not None:
                component.close()

    def gauges(self) -> dict[str, float]:
        """Return the current values, for remote write."""
        ready = sum(phase is api.Phase.ON for phase in self.exchange.phases.values())
        return {
            **self.metrics.gauges(),
            "requests_open": self.exchange.unanswered,
            "attempts_out": len(self.backends.tasks),
            "bricks_ready": ready,
            "object_requests_open": self.objects.active_requests if self.objects else 0,
            **(self.streamed.gauges() if self.streamed is not None else {}),
            **(self.cluster_services.gauges() if self.cluster_services is not None else {}),
        }
