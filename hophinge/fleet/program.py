"""Start and shutdown of both programs: settings, signals, and tasks whose failure ends the process."""

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

EXIT_INVALID_SETTINGS = 1  # exit status where the settings are invalid
MAX_FAILURES = 20  # consecutive, of a periodic step, before the process ends to be restarted
SETTINGS_REREAD_INTERVAL_S = 3.0  # between reads of the settings file: it may change without a signal


class Signals:
    """The signals that the platform sends: SIGTERM and SIGINT to shut down, SIGHUP to reread the settings."""

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
        """Ignore signals from now on: one that comes late must not change the exit status."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class Tasks:
    """Tasks that run as long as the program; the failure of one is logged and ends the program."""

    def __init__(self, shutdown_requested: asyncio.Event) -> None:
        self.shutdown_requested = shutdown_requested
        self.running: set[asyncio.Task[Any]] = set()

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a task."""
        task = asyncio.get_running_loop().create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)

    def start_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a background task whose failure is logged and ends nothing else."""
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
    """Run a step forever, sleeping after each.

    The failure of a step is logged and the next one is run all the same: the process has responses in flight that do
    not depend on it.

    Args:
        period_s: How long to sleep after each step.
        work: The step.
        max_failures: How many consecutive failures end the repetition. 1 is for a state that must not go on from
            half a step, as what is on disk may lack what is in memory.
        on_late: Is told before each further step by how many seconds it is late.

    Raises:
        Exception: What the last step raised, after so many consecutive failures.

    """
    failures = 0
    loop = asyncio.get_running_loop()
    while True:
        try:
            await work()
            failures = 0
        except Exception:  # broad: a step may fail for any reason and must not end the process
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
    """Call a function forever, as `run_periodically` does."""

    async def call() -> None:
        action()

    await run_periodically(period_s, call, max_failures, on_late)


def reread_settings() -> Settings | None:
    """Read the settings again; return None, and log why, where they are invalid."""
    try:
        return read_settings()
    except SettingsError as error:
        logger.info("settings file rejected error={}", error)
        return None


def run(program: Program) -> None:
    """Read the settings and run a program to its end; exit with EXIT_INVALID_SETTINGS where they are invalid."""
    configure_log()
    try:
        policy = requested_policy(sys.argv[1:])
        settings = read_settings()
    except TrialError as error:
        logger.error("trial invalid: {}", error)
        sys.exit(EXIT_INVALID_SETTINGS)
    except SettingsError as error:
        for finding in error.findings:
            logger.error("settings invalid: {}", finding)
        sys.exit(EXIT_INVALID_SETTINGS)
    gc.freeze()
    asyncio.run(_main(program, settings, policy))


async def _main(program: Program, settings: Settings, policy: PlacementPolicy) -> None:
    await program(settings, policy)
