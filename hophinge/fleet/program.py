"""What both programs do at their start and end: settings, signals, tasks whose failure ends the process."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from hophinge.fleet.log import configure_log
from hophinge.fleet.settings import Settings, SettingsError, read_settings

FAILED = 1  # exit status where settings cannot be used
MAX_FAILURES = 20  # in a row, of a periodic step, before the process ends to be started anew
REREAD_S = 3.0  # between looks at the settings file: it may change without a signal


class Signals:
    """The signals that the platform sends."""

    def __init__(self) -> None:
        self.ending = asyncio.Event()
        self.changed: Callable[[], None] = lambda: None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.ending.set)
        loop.add_signal_handler(signal.SIGINT, self.ending.set)
        loop.add_signal_handler(signal.SIGHUP, self._hangup)

    def _hangup(self) -> None:
        self.changed()

    def close(self) -> None:
        """Ignore signals from now on: one that comes in a process's last moments must not change how it ended."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class Tasks:
    """Tasks that run as long as the program; one that fails is told of and ends the program."""

    def __init__(self, ending: asyncio.Event) -> None:
        self.ending = ending
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._done)

    def start_aside(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a piece of work whose failure is told of and ends nothing else."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._done_aside)

    def _done_aside(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background work failed")

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("task failed")
            self.ending.set()

    def cancel(self) -> None:
        """End all tasks."""
        for task in list(self.running):
            task.cancel()


async def repeat(period_s: float, work: Callable[[], Awaitable[None]], most_failures: int = MAX_FAILURES) -> None:
    """Do a round of work for ever, with a pause after each.

    A round that fails is told of, and the next one comes all the same: the process has answers under way that have no
    part in it. Raises what the round raised once it has failed so many times with no success between; 1 is for a state
    that must not go on from half a step, as what is on disk may lack what is in memory.
    """
    failures = 0
    while True:
        try:
            await work()
            failures = 0
        except Exception:
            failures += 1
            logger.exception("periodic step failed consecutive_failures={}", failures)
            if failures >= most_failures:
                raise
        await asyncio.sleep(period_s)


async def every(period_s: float, action: Callable[[], None], most_failures: int = MAX_FAILURES) -> None:
    """Call something for ever, as `repeat` does."""

    async def call() -> None:
        action()

    await repeat(period_s, call, most_failures)


def reread_settings() -> Settings | None:
    """Read the settings anew; None, and a line in the log, where they cannot be used."""
    try:
        return read_settings()
    except SettingsError as error:
        logger.info("settings file rejected error={}", error)
        return None


def run(program: Callable[[Settings], Awaitable[None]]) -> None:
    """Read the settings and run a program to its end."""
    configure_log()
    try:
        settings = read_settings()
    except SettingsError as error:
        for finding in error.findings:
            logger.error("settings invalid: {}", finding)
        sys.exit(FAILED)
    gc.freeze()
    asyncio.run(_main(program, settings))


async def _main(program: Callable[[Settings], Awaitable[None]], settings: Settings) -> None:
    await program(settings)
