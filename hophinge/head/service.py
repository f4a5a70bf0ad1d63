"""Start, readiness and end of a head."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import gc
import os
import re
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import uvloop

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.core.errors import told
from hophinge.core.exchange import Exchange
from hophinge.net.budget import Budget
from hophinge.net.client import Bricks
from hophinge.net.clock import LoopClock
from hophinge.net.control import CALLERS, Control
from hophinge.head.handover import LOOK_S, Handover
from hophinge.net.discovery import Directory, Discovery
from hophinge.net.listener import Acceptor, Listener
from hophinge.net.server import Front
from hophinge.head.config import Config, ConfigError, address, load, read_config
from hophinge.head.operator import OperatorConfig
from hophinge.core.rotation import Rotation

if TYPE_CHECKING:
    from hophinge.admin.front import AdminFront
    from hophinge.head.accounts import HeadAccounts
    from hophinge.head.streamed import Streamed
    from hophinge.objects.front import ObjectFront
    from hophinge.telemetry.remote_write import RemoteWrite

FIRST_LIST_S = 0.4      # ready with the saved list alone if discovery, which answers at once, is silent for so long
STILL_ARRIVING_S = 0.6  # new connections keep coming after SIGTERM
LONGEST_S, KILL_S = 3.0, 0.7    # SIGKILL follows after the longest deadline, this one at most, and a little more
LAST_S = 1.3            # before SIGKILL nothing new is taken for so long
RESTED_S = 0.7          # a connection that has rested for so long is hardly the next to be used
LAST_BESIDE_S = 0.5     # the same where another process serves: each request that comes here is its connection's last
ANSWER_S = 0.25         # before SIGKILL the last answer is out
LEAST_SOCKETS = 16      # for bricks and for clients each, however many another process holds
SPARE_SOCKETS = 40      # of the limit, for files, discovery and what is just being closed
BRICKS_PART = 0.4       # of the rest, for connections to bricks
CLIENTS_PART = 3        # of the limit, what clients hold for requests
RESTING_PART = 5        # of the limit may rest: clients may hold a third of it for requests
DRAIN_LOOK_S = 0.02     # between looks at what is still unanswered at the end
SHUTDOWN_S = 2.0        # for answers on their way out
AT_BRICK = 24           # connections to one brick, of all heads together, beyond which none are kept idle
FEW_HEADS = 8           # whose requests never filled a brick's table: opening anew costs more than what stays idle
BASE_MB = 36            # of memory, whatever is on its way
BODIES_PART = 0.4       # of the rest, for bodies on their way; as much again is copies, and what the allocator keeps
LEAST_BODIES_MB = 2.0
M_MMAP_THRESHOLD, BUFFER_BYTES = -3, 96 * 1024


def say(text: str) -> None:
    """Write to the log."""
    print(text.rstrip("\n"), flush=True)


class Service:
    """One head."""

    def __init__(self, config: Config, settings: api.Settings, operator: OperatorConfig, path: str = "") -> None:
        self.config, self.settings, self.operator, self.path = config, settings, operator, path
        self.counters = Counters()
        clock = LoopClock(asyncio.get_running_loop())
        self.exchange = Exchange(settings, int(config.seed, 16), clock, self.counters, say)
        self.objects: ObjectFront | None = None
        self.admin: AdminFront | None = None
        self.accounts: HeadAccounts | None = None
        copied = operator.stream is not None and operator.stream.accounts
        if operator.objects is not None or copied:
            from hophinge.head.accounts import HeadAccounts     # SQLite, and what the platform's head has no use for

            folder = operator.stream.folder if operator.stream is not None else Path()
            ledger = operator.objects.tenants.with_suffix(".db") if operator.objects else folder / "accounts.db"
            self.accounts = HeadAccounts(ledger, operator.objects.tenants if operator.objects else None, copied,
                                         self.counters, say)
        if operator.objects is not None and self.accounts is not None:
            from hophinge.objects.front import ObjectFront
            from hophinge.objects.pieces import Core
            from hophinge.objects.store import Store

            store = Store(Core(self.exchange, operator.objects))
            store.core.used = self.accounts.units
            self.objects = ObjectFront(store, self.accounts, operator.objects, self.counters, say)
            self.accounts.front, self.accounts.store = self.objects, store
            if operator.admin is not None:
                from hophinge.head.administration import administration

                self.admin = administration(self.accounts, operator.admin, settings, self.counters, say)
        self.streamed: Streamed | None = None
        if operator.stream is not None:
            from hophinge.head.streamed import Streamed     # its libraries cost memory

            self.streamed = Streamed(operator.stream, config.name or config.listen, self.exchange,
                                     int(config.seed, 16), say, self.accounts)
        # What the configuration can still be refused for lies above; sessions are opened from here on.
        self.directory = Directory(settings)
        self.budget = Budget(0)
        self.bricks = Bricks(settings, self.directory.endpoint, self.counters, say, self.budget)
        self.exchange.start, self.exchange.probe = self.bricks.start, self.bricks.probe
        self.front = Front(self.exchange, self.counters, self.budget)
        self.handover: Handover | None = None
        self.share(0)
        self.rotation = Rotation(self.nodes, clock.now_us, settings.rules.cold_us)
        self.discovery = Discovery(config.discovery, self.directory, self.rotation.take, self.counters,
                                   settings.gateways, int(config.seed, 16), say)
        self.figures = self.exchange.figures
        self.figures.now = self.bricks_now
        self.control = Control(self.counters, self.figures, self.rotation, self.ready) if config.control else None
        if self.streamed is not None:
            self.front.pace = self.streamed.pace
            if self.objects is not None:
                self.objects.pace = self.streamed.pace
        if self.control is not None and self.streamed is not None:
            self.control.tells |= {"/ops/config": self.streamed.status, "/ops/tenants": self.streamed.tenants}
        self.remote_write: RemoteWrite | None = None
        if operator.remote_write is not None:
            from hophinge.telemetry.remote_write import RemoteWrite   # its libraries cost memory

            self.remote_write = RemoteWrite(operator.remote_write, config.name or config.listen, self.counters,
                                            self.gauges, clock.now_us, self.figures,
                                            self.accounts.series if self.accounts is not None else dict)
        self.listeners: list[Acceptor] = []         # of clients
        self.control_listener: Acceptor | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal ends it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        gc.collect()
        gc.enable()
        gc.freeze()     # what start-up made is never garbage; collections stay short
        await self.stopping.wait()
        await self.finish()
        self.report()

    async def start(self) -> None:
        """Listen, and be ready once there is a list."""
        if self.control is not None:
            self.control_listener = self._acceptor(self.control, self.config.control)
        self.rotation.take(self.directory.take(self.config.known, api.ListKind.SAVED))
        if self.streamed is not None:
            self.streamed.client.restore()
            self.tasks.append(asyncio.create_task(self.streamed.client.run()))
        if self.config.accept_fd is not None:
            self._beside_another()
        known = self.config.known
        self.discovery.follow(self.config.discovery, known.rev if known.targets else None)
        if self.config.accept_fd is None:
            self._listen(self.front, self.config.listen)
        if self.objects is not None:
            self._listen(self.objects, self.objects.config.listen)
        if self.admin is not None and self.operator.admin is not None:
            self._listen(self.admin, self.operator.admin.listen)
        if self.remote_write is not None:
            self.tasks.append(asyncio.create_task(self.remote_write.run()))
        if self.accounts is not None:
            self.front.watch, self.front.gone = self.accounts, self.accounts.dropped
            self.tasks += self.accounts.tasks()
        elif self.streamed is not None:
            self.front.watch, self.front.gone = self.streamed.forms, self.streamed.forms.dropped
        try:
            async with asyncio.timeout(FIRST_LIST_S):
                await self.discovery.heard.wait()
        except TimeoutError:
            say("discovery is silent; starting from the saved list")
        if self.config.accept_fd is not None:
            # Not before: until then another process may serve what waits there.
            self._listen(self.front, self.config.listen, self.config.accept_fd)
        self.front.ready = True
        limits = self.config.limits
        say(f"{self.config.name or 'a head'} serves on {self.config.listen}: {limits.cores} cores, "
            f"{limits.memory_mb} MB, {limits.sockets} sockets, {self.front.most_connections} for clients")

    def nodes(self, event: api.NodeList) -> None:
        """Take a list of bricks, or what changed in it."""
        self.exchange.nodes(event)
        # Connections to a brick that is out by hand go: it is about to be restarted.
        self.bricks.keep(where for node, where in self.directory.endpoints.items() if not self.rotation.out(node))

    def ready(self) -> bool:
        """Tell whether this process serves."""
        return self.front.ready and not self.stopping.is_set()

    def bricks_now(self) -> dict[str, int]:
        """Tell how many bricks are listed, and how many of them get nothing now, by hand, list or choice."""
        listed = self.rotation.listed
        avoided = {node for node in listed if self.exchange.phases.get(node) is not api.Phase.ON}
        avoided.update(node for node in self.exchange.scheduler.avoided(self.exchange.now_us()) if node in listed)
        return {"registry_entries": len(listed), "out_of_rotation": len(avoided)}

    def _beside_another(self) -> None:
        """Share the head's parts and what was set by hand with the process that is replaced, or that replaces this."""
        folder = os.environ.get("TMPDIR")
        if not folder:
            return say("no TMPDIR: bricks out by hand do not outlive an upgrade")
        name = re.sub(r"[^0-9A-Za-z-]", "_", self.config.name or self.config.listen)
        self.handover = Handover(Path(folder) / f"hophinge-{name}", self.rotation, self.exchange.now_us,
                                 self.settings.rules.fall_us, say)
        self.rotation.marked = self.handover.write
        self._look()
        self.tasks.append(asyncio.create_task(self._look_on()))

    def _look(self) -> None:
        assert self.handover is not None
        self.handover.look()
        self.exchange.scheduler.processes = self.handover.processes
        self.share(self.handover.descriptors())

    async def _look_on(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                self._look()
            except OSError as error:
                say(f"cannot look for another process: {error}")

    def share(self, elsewhere: int) -> None:
        """Divide memory for bodies, and what is left of the descriptors when so many are another process's.

        A connection carries one request, so these bound busy ones; idle ones are among them. Clients that say nothing
        need room besides those that ask, bricks do not.
        """
        processes = self.handover.processes if self.handover is not None else 1
        room = (self.config.limits.memory_mb - processes * BASE_MB) * BODIES_PART / processes
        self.budget.most = int(max(LEAST_BODIES_MB, room) * 1024 * 1024)
        left = self.config.limits.sockets - elsewhere
        sockets = left - SPARE_SOCKETS - (CALLERS if self.config.control else 0)
        to_bricks = max(LEAST_SOCKETS, int(sockets * BRICKS_PART))
        self.bricks.most = self.bricks.roll.most = to_bricks
        heads = self.settings.gateways * processes
        self.bricks.roll.each = max(1, AT_BRICK // heads) if heads > FEW_HEADS else to_bricks
        # Clients' connections move from one process to the other: those that the other still counts are on their way,
        # and a bound below what clients hold would close them and let new ones wait just then.
        moving = min(left - SPARE_SOCKETS, self.config.limits.sockets // CLIENTS_PART + LEAST_SOCKETS)
        self.front.most = self.front.most_connections = max(
            LEAST_SOCKETS, sockets - to_bricks, moving if elsewhere else 0)
        self.front.most_resting = max(8, self.config.limits.sockets // RESTING_PART)

    def _listen(self, front: Listener, where: str, fd: int | None = None) -> None:
        self.listeners.append(self._acceptor(front, where, fd))

    def _acceptor(self, front: Listener, where: str, fd: int | None = None) -> Acceptor:
        host, port = address(where)
        # Where upgrades are, the other fronts' addresses are used by two processes for a while.
        shared = self.config.accept_fd is not None and fd is None and front is not self.control
        try:
            return Acceptor(host, port, front, shared, fd)
        except OSError as error:
            raise ConfigError(f"cannot listen on {where}: {error}") from error

    def stop(self) -> None:
        """Begin the end."""
        self.stopping.set()

    def report(self) -> None:
        """Print the counters."""
        say(self.counters.text() + "end of counters")

    def reload(self) -> None:
        """Read the configuration file again; open requests, books and connections live on.

        The address of discovery takes effect; all else is what this process was started with. The file rules, as
        it is what was replaced: a variable that overrides it was set once, at the start.
        """
        try:
            new = read_config(self.path)
        except ConfigError as error:
            # Somebody's slip, or a file caught half written: the head goes on with what it has.
            self.counters.add("reloads_failed")
            say(f"the configuration is kept as it was: {' '.join(str(error).split())}")
            return
        self.counters.add("reloads")
        if new.discovery != self.discovery.address:
            say(f"discovery moves from {self.discovery.address} to {new.discovery}")
            self.discovery.follow(new.discovery)

    async def finish(self) -> None:
        """Answer what has been taken, then close everything."""
        self.stop()
        say(f"ending with {self.exchange.unanswered} requests open on {len(self.front.server.connections)} connections")
        for other in (self.objects, self.admin):
            if other is not None:
                other.closing = True        # their clients have other heads to go to
        # What is taken from now on is answered before the platform would kill this process.
        longest_us = max(klass.deadline_us for klass in self.settings.classes)
        kill_s = min(LONGEST_S, longest_us / 1e6) + KILL_S
        self.front.until_us = self.exchange.now_us() + int((kill_s - ANSWER_S) * 1e6)
        arriving_s, last_s = 0.0, LAST_S
        if self.config.accept_fd is None:
            # New connections keep arriving for a while: whoever closes the listener now resets them unanswered.
            arriving_s = STILL_ARRIVING_S
            await asyncio.sleep(arriving_s)
            for listener in self.listeners:
                listener.close()
        else:
            # Another process takes new connections from now on; the clients of this one are sent there with their
            # next answer. Idle connections stay: a close could cross a request on its way.
            self.front.closing, last_s = True, LAST_BESIDE_S
            for listener in self.listeners:
                if listener.front is self.front:
                    listener.close()
                else:
                    listener.drain()
        # The platform's clients have no other head for their volumes: they are served on the connections that they
        # hold until too little time is left.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, kill_s - last_s - arriving_s)):
                while self.front.server._connections or any(listener.tasks for listener in self.listeners):
                    await asyncio.sleep(DRAIN_LOOK_S)
                    if self.front.closing:
                        # Closed all at once at the end, they would cross all that a client which was busy for a
                        # moment sends; one by one, the least used first, hardly any.
                        self.front.thin(RESTED_S)
        self.front.closing = True
        # From here on nothing new is taken: a request on a kept connection could outlast what is left to this process.
        # Idle connections close now, busy ones with their answer.
        for front in self.fronts:
            front.close_idle()
        # Each request has its deadline, and each wait of the object front its own limit.
        while self.exchange.unanswered or self.front.busy or (self.objects is not None and self.objects.active):
            await asyncio.sleep(DRAIN_LOOK_S)
            self.front.close_idle()
        if self.control_listener is not None:
            self.control_listener.close()
        for served in (*self.fronts, self.control):
            if served is not None:
                await served.server.shutdown(SHUTDOWN_S)
        await self.close()

    @property
    def fronts(self) -> list[Listener]:
        """The listeners that clients use."""
        return [front for front in (self.front, self.objects, self.admin) if front is not None]

    async def close(self) -> None:
        """End what runs beside the serving, and the connections of the server side."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.control_listener is not None:
            self.control_listener.close()
        if self.handover is not None:
            self.handover.close()
        follower = self.streamed.client if self.streamed is not None else None
        for part in (self.discovery, self.bricks, self.remote_write, follower):
            if part is not None:
                await part.close()
        if self.accounts is not None:
            self.accounts.close()

    def gauges(self) -> dict[str, float]:
        """Tell what is now, for remote write."""
        ready = sum(phase is api.Phase.ON for phase in self.exchange.phases.values())
        return {**self.figures.gauges(), "requests_open": self.exchange.unanswered,
                "attempts_out": len(self.bricks.tasks), "bricks_ready": ready,
                "object_requests_open": self.objects.active if self.objects else 0,
                **(self.streamed.gauges() if self.streamed is not None else {})}


def main() -> int:
    """Run a head; a configuration that it cannot start from ends it with 2."""
    with contextlib.suppress(AttributeError, OSError):
        # Buffers of long bodies go back to the system when they are freed; glibc would keep ever more of them.
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, BUFFER_BYTES)
    try:
        config, settings, operator = load(os.environ)
        # uvloop: a head has part of a core, and a third of it went to the loop itself.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, settings, operator))
    except (ConfigError, ValueError, OSError, msgspec.MsgspecError) as error:
        print(f"hophinge: {told(error)}", file=sys.stderr)
        return 2
    return 0


async def serve(config: Config, settings: api.Settings, operator: OperatorConfig) -> None:
    """Make a head in the running loop and run it."""
    await Service(config, settings, operator, os.environ.get("EDGE_CONFIG", "")).run()
