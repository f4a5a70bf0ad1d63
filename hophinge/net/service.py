"""Start, readiness and end of a head."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Mapping

import msgspec

from hophinge import interface as api
from hophinge.counters import Counters
from hophinge.exchange import Exchange
from hophinge.net.client import Bricks
from hophinge.net.clock import LoopClock
from hophinge.net.discovery import Directory, Discovery, Listing
from hophinge.net.server import Front
from hophinge.settings import SettingsError, read_settings

BACKLOG = 512
FIRST_LIST_S = 1.0      # ready with the saved list alone if discovery is silent for so long
STILL_ARRIVING_S = 0.6  # new connections keep coming after SIGTERM
SPARE_SOCKETS = 64      # of the limit, for files, discovery and accepts


class ConfigError(Exception):
    """A configuration that a head cannot start from."""


class Limits(msgspec.Struct):
    """What the machine allows."""

    sockets: int = 1024


class Config(msgspec.Struct):
    """The head's configuration file."""

    listen: str
    discovery: str
    seed: str
    settings: msgspec.Raw
    known: Listing
    limits: Limits = msgspec.field(default_factory=Limits)
    name: str = ""


def address(text: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{text!r} is no host:port")
    return host, int(port)


def load(environ: Mapping[str, str]) -> tuple[Config, api.Settings]:
    """Read the configuration that the environment names."""
    path = environ.get("EDGE_CONFIG", "")
    try:
        with open(path, "rb") as file:
            config = msgspec.json.decode(file.read(), type=Config)
        config.listen = environ.get("EDGE_LISTEN") or config.listen
        config.discovery = environ.get("EDGE_DISCOVERY") or config.discovery
        address(config.listen), address(config.discovery)
        int(config.seed, 16)
        return config, read_settings(bytes(config.settings))
    except (OSError, ValueError, SettingsError, ConfigError) as error:
        raise ConfigError(f"EDGE_CONFIG {path!r}: {error}") from error


def say(text: str) -> None:
    """Write to the log."""
    print(text.rstrip("\n"), flush=True)


class Service:
    """One head."""

    def __init__(self, config: Config, settings: api.Settings) -> None:
        self.config, self.settings = config, settings
        self.counters = Counters()
        clock = LoopClock(asyncio.get_running_loop())
        self.exchange = Exchange(settings, int(config.seed, 16), clock, self.counters, say)
        self.directory = Directory(settings)
        most = max(16, (config.limits.sockets - SPARE_SOCKETS) // 2)
        self.bricks = Bricks(settings, self.directory.endpoint, self.counters, say, most)
        self.exchange.start = self.bricks.start
        self.front = Front(self.exchange, self.counters)
        self.discovery = Discovery(config.discovery, self.directory, self.exchange.nodes, self.counters)
        self.stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal ends it."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        self.exchange.nodes(self.directory.take(self.config.known, api.ListKind.SAVED))
        watch = loop.create_task(self.discovery.run())
        host, port = address(self.config.listen)
        listener = await loop.create_server(self.front.server, host, port, backlog=BACKLOG)
        try:
            async with asyncio.timeout(FIRST_LIST_S):
                await self.discovery.heard.wait()
        except TimeoutError:
            say("discovery is silent; starting from the saved list")
        gc.collect()
        gc.freeze()     # what start-up made is never garbage; collections stay short
        self.front.ready = True
        await self.stopping.wait()
        await self._drain(listener)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        await self.discovery.close()
        await self.bricks.close()
        self.report()

    def stop(self) -> None:
        """Begin the end."""
        self.front.closing = True
        self.stopping.set()

    def report(self) -> None:
        """Print the counters."""
        say(self.counters.text() + "end of counters")

    async def _drain(self, listener: asyncio.Server) -> None:
        # New connections keep arriving for a while: whoever closes the listener now resets them unanswered.
        await asyncio.sleep(STILL_ARRIVING_S)
        listener.close()
        if self.exchange.unanswered:
            idle = asyncio.Event()
            self.exchange.idle = idle.set
            await idle.wait()
        await self.front.server.shutdown(2.0)


def main() -> int:
    """Run a head; a configuration that it cannot start from ends it with 2."""
    try:
        config, settings = load(os.environ)
        asyncio.run(serve(config, settings))
    except (ConfigError, ValueError) as error:
        print(f"hophinge: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


async def serve(config: Config, settings: api.Settings) -> None:
    """Make a head in the running loop and run it."""
    await Service(config, settings).run()
