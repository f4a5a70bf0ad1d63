"""Interrupts a scorer's call that does not return: a thread watches, and a signal handler raises in the call.

This ends loops in Python and waits in the kernel (sleep, a lock, a socket); an exception set by another thread would
not end the latter. It adds no cost to a call. C code that does not release the interpreter lock is not interrupted.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from types import FrameType

from hophinge.scoring.guard import Guard

CHECK_INTERVAL_S = 0.2  # a check needs the interpreter lock, so that none happens while the process is stopped
CHECKS_BEFORE_INTERRUPT = 5  # of the same call, 1 s; repeated at each later check
INTERRUPT_DELAY_S = 0.002  # of the timer, in which this thread releases the interpreter lock
CHECKS_BEFORE_REPORT = 50  # of the same call, 10 s; then it is logged that the call cannot be interrupted

ACTIVE_WATCHDOGS: set[Watchdog] = set()  # of this process; they share the signal's handler


def interrupt(number: int, frame: FrameType | None) -> None:
    """Interrupt the hung call if it is still running; the handler of SIGALRM."""
    for watchdog in tuple(ACTIVE_WATCHDOGS):
        watchdog.guard.interrupt(watchdog.hung_call)


class Watchdog:
    """Watches the calls of one guard, which must run on the main thread, where Python runs signal handlers."""

    def __init__(self, guard: Guard, log: Callable[[str], None]) -> None:
        self.guard = guard
        self.log = log
        self.hung_call: int | None = None  # start time of the call to interrupt, which identifies it
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._watch, name="scorers", daemon=True)

    def start(self) -> None:
        """Start the watching thread; outside the main thread, log that hung scorers are not interrupted."""
        if threading.current_thread() is not threading.main_thread():
            return self.log("scorers do not run on the main thread: a scorer that hangs cannot be interrupted")
        signal.signal(signal.SIGALRM, interrupt)
        ACTIVE_WATCHDOGS.add(self)
        self.thread.start()

    def stop(self) -> None:
        """Stop the watching thread."""
        ACTIVE_WATCHDOGS.discard(self)
        self.ended.set()

    def _watch(self) -> None:
        last_since, checks = None, 0
        while not self.ended.wait(CHECK_INTERVAL_S):
            since = self.guard.running_since_ns
            checks = checks + 1 if since is not None and since == last_since else 0
            last_since = since
            if checks >= CHECKS_BEFORE_INTERRUPT:
                self.hung_call = since
                # The signal is not sent from this thread: the call would handle it wherever it waits for the
                # interpreter lock, each time at the same point. If C code there drops exceptions, as repr in int('x')
                # does, the call would never end.
                signal.setitimer(signal.ITIMER_REAL, INTERRUPT_DELAY_S)
            if checks == CHECKS_BEFORE_REPORT:
                self.log("a scorer does not return and cannot be interrupted; kill this process and disable the scorer")
