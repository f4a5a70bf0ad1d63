"""Startup and shutdown of the data plane and the control plane: settings, signals and long-running tasks."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from hophinge.fleet.log import configure_log
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.settings import Settings, SettingsError, read_settings
from hophinge.fleet.trial import TrialError, requested_policy

Program = Callable[[Settings, PlacementPolicy], Awaitable[None]]

EXIT_INVALID_SETTINGS = 1  # exit status for invalid settings or an invalid command line
MAX_FAILURES = 20  # consecutive failures of a periodic step after which the process ends, to be restarted
SETTINGS_REREAD_INTERVAL_S = 3.0  # the settings file may change without a signal


class Signals:
    """Handles SIGTERM and SIGINT as requests to shut down, and SIGHUP as a request to reread the settings."""

    def __init__(self) -> None:
        self.shutdown_requested = asyncio.Event()
        self.on_hangup: Callable[[], None] = lambda: None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._hangup)

    def _hangup(self) -> None:
        self.on_hangup()

    def close(self) -> None:
        """Ignore these signals from now on: a late signal must not change the exit status."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class Tasks:
    """The running tasks of the program. A failed task is logged; unless it is a background task, the program ends."""

    def __init__(self, shutdown_requested: asyncio.Event) -> None:
        self.shutdown_requested = shutdown_requested
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a task whose failure is logged and ends the program."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)

    def start_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a background task whose failure is only logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_background_done)

    def _on_background_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background work failed")

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("task failed")
            self.shutdown_requested.set()

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.running):
            task.cancel()


async def run_periodically(
    period_s: float,
    work: Callable[[], Awaitable[None]],
    max_failures: int = MAX_FAILURES,
    on_late: Callable[[float], None] = lambda late_s: None,
) -> None:
    """Run a step repeatedly, forever, with a pause after each run.

    A failed step is logged and run again after the pause, because the process has responses in flight that do not
    depend on the step.

    Args:
        period_s: The length of the pause, in seconds.
        work: The step.
        max_failures: The number of consecutive failures after which no further step is run. Use 1 where a step that
            fails half way leaves inconsistent state, for example state in memory that is missing on the disk.
        on_late: Called before each step except the first, with the step's delay in seconds.

    Raises:
        Exception: The exception of the last step, after `max_failures` consecutive failures.

    """
    failures = 0
    loop = asyncio.get_running_loop()
    while True:
        try:
            await work()
            failures = 0
        except Exception:  # broad: a single failure of any kind must not end the process
            failures += 1
            logger.exception("periodic step failed consecutive_failures={}", failures)
            if failures >= max_failures:
                raise
        due = loop.time() + period_s
        await asyncio.sleep(period_s)
        on_late(loop.time() - due)


async def call_periodically(
    period_s: float,
    action: Callable[[], None],
    max_failures: int = MAX_FAILURES,
    on_late: Callable[[float], None] = lambda late_s: None,
) -> None:
    """Call a function repeatedly, forever; see `run_periodically` for the arguments."""

    async def call() -> None:
        action()

    await run_periodically(period_s, call, max_failures, on_late)


def reread_settings() -> Settings | None:
    """Read the settings again; if they are invalid, log the reason and return None."""
    try:
        return read_settings()
    except SettingsError as error:
        logger.info("settings file rejected error={}", error)
        return None


def run(program: Program) -> None:
    """Read the command line and the settings, then run a program; exit with `EXIT_INVALID_SETTINGS` if invalid."""
    configure_log()
    try:
        policy = requested_policy(sys.argv[1:])
        settings = read_settings()
    except TrialError as error:
        logger.error("trial policy invalid: {}", error)
        sys.exit(EXIT_INVALID_SETTINGS)
    except SettingsError as error:
        for finding in error.findings:
            logger.error("settings invalid: {}", finding)
        sys.exit(EXIT_INVALID_SETTINGS)
    gc.freeze()
    asyncio.run(_main(program, settings, policy))


async def _main(program: Program, settings: Settings, policy: PlacementPolicy) -> None:
    await program(settings, policy)
