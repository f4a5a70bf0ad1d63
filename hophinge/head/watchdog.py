"""Interrupts a scorer's call that does not return: a thread watches, a signal handler raises in the call.

It ends loops in Python, and what waits in the kernel (sleep, a lock, a socket) as well, which an exception set by
another thread does not. Nothing is done at a call itself. Nothing here ends C code that keeps the interpreter.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from types import FrameType

from hophinge.scoring.guard import Guard

CHECK_INTERVAL_S = 0.2  # between looks; each needs the interpreter, so a process that stands still has none
CHECKS_BEFORE_INTERRUPT = 5  # at the same call before it is broken: a second; from then on with each look
INTERRUPT_DELAY_S = 0.002  # the timer's: the thread must have given the interpreter back
CHECKS_BEFORE_REPORT = 50  # looks after which it is told that the scorer does not obey

ACTIVE_WATCHDOGS: set[Watchdog] = set()  # of this process, whose signal's handler is one for all


def interrupt(number: int, frame: FrameType | None) -> None:
    """Interrupt the hung call, if it still runs; the signal's handler."""
    for dog in tuple(ACTIVE_WATCHDOGS):
        dog.guard.interrupt(dog.hung_call)


class Watchdog:
    """Watches the calls of one guard, which must run on the main thread, where Python runs signal handlers."""

    def __init__(self, guard: Guard, log: Callable[[str], None]) -> None:
        self.guard = guard
        self.log = log
        self.hung_call: int | None = None  # the call that is to be broken, by when it began
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._watch, name="scorers", daemon=True)

    def start(self) -> None:
        """Start watching."""
        if threading.current_thread() is not threading.main_thread():
            return self.log("scorers run beside the main thread: one that hangs is not interrupted")
        signal.signal(signal.SIGALRM, interrupt)
        ACTIVE_WATCHDOGS.add(self)
        self.thread.start()

    def stop(self) -> None:
        """Stop watching."""
        ACTIVE_WATCHDOGS.discard(self)
        self.ended.set()

    def _watch(self) -> None:
        seen, looks = None, 0
        while not self.ended.wait(CHECK_INTERVAL_S):
            since = self.guard.running_since_ns
            looks = looks + 1 if since is not None and since == seen else 0
            seen = since
            if looks >= CHECKS_BEFORE_INTERRUPT:
                self.hung_call = since
                # Not sent from here: the call would take it wherever it waits for the interpreter, each time the same
                # place; where C code runs there that drops exceptions (as repr in int('x') does), it never ended.
                signal.setitimer(signal.ITIMER_REAL, INTERRUPT_DELAY_S)
            if looks == CHECKS_BEFORE_REPORT:
                self.log("a scorer does not return and cannot be interrupted; kill this process and take it out")
