"""The process of a head: start, signals and exit status."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import gc
import logging
import os
import signal
import sys

import msgspec
import uvloop

from hophinge.core import interface as api
from hophinge.core.errors import HophingeError, one_line
from hophinge.head.config import Config, load
from hophinge.head.environment import CONFIG_FILE
from hophinge.head.log import LibraryLogHandler, write_line
from hophinge.head.operator_config import OperatorConfig
from hophinge.head.service import Service

M_MMAP_THRESHOLD, BUFFER_BYTES = -3, 96 * 1024


def main() -> int:
    """Run a head; returns the exit status: 2 if it cannot start, for example with an invalid configuration."""
    with contextlib.suppress(AttributeError, OSError):
        # Buffers of long bodies are returned to the system when freed; glibc would keep more and more of them.
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, BUFFER_BYTES)
    try:
        config, settings, operator = load(os.environ)
        # uvloop: a head has only part of a core, and asyncio's own loop used a third of it.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, settings, operator))
    except (HophingeError, ValueError, OSError, msgspec.MsgspecError) as error:
        print(f"hophinge: {one_line(error)}", file=sys.stderr)
        return 2
    return 0


async def serve(config: Config, settings: api.Settings, operator: OperatorConfig) -> None:
    """Create a head in the running event loop and run it."""
    await run(Service(config, settings, operator, os.environ.get(CONFIG_FILE, "")))


async def run(service: Service) -> None:
    """Serve until a signal, then shut down."""
    loop = asyncio.get_running_loop()
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING, format="%(name)s: %(message)s")
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop)
    loop.add_signal_handler(signal.SIGUSR1, service.log_counters)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await service.start()
    except BaseException:
        await service.close()
        raise
    gc.collect()
    gc.enable()
    gc.freeze()  # objects of the start-up live on; excluding them keeps collections short
    await service.stopping.wait()
    try:
        await service.shut_down()
    except Exception as error:  # whatever was not closed ends with the process
        write_line(f"the shutdown failed: {one_line(error)}")
    service.log_counters()
