"""The process of a head: its start, its signals, its exit status."""

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
    """Run a head; a configuration that it cannot start from ends it with 2."""
    with contextlib.suppress(AttributeError, OSError):
        # Buffers of long bodies go back to the system when they are freed; glibc would keep ever more of them.
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, BUFFER_BYTES)
    try:
        config, settings, operator = load(os.environ)
        # uvloop: a head has part of a core, and a third of it went to the loop itself.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, settings, operator))
    except (HophingeError, ValueError, OSError, msgspec.MsgspecError) as error:
        print(f"hophinge: {one_line(error)}", file=sys.stderr)
        return 2
    return 0


async def serve(config: Config, settings: api.Settings, operator: OperatorConfig) -> None:
    """Make a head in the running loop and run it."""
    await run(Service(config, settings, operator, os.environ.get(CONFIG_FILE, "")))


async def run(service: Service) -> None:
    """Serve until a signal ends it."""
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
    gc.freeze()  # what start-up made is never garbage; collections stay short
    await service.stopping.wait()
    try:
        await service.shut_down()
    except Exception as error:  # what does not close cleanly ends with the process
        write_line(f"the end was not clean: {one_line(error)}")
    service.log_counters()
