"""Waits for states of processes, with one bound; a failure names each process and state that was not reached."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

import aiohttp
from msgspec import Struct

from hophinge.core.errors import HophingeError
from hophinge.load.rig.processes import Process

POLL_INTERVAL_S, POLL_INTERVAL_PER_PROCESS_S = (
    0.03,
    0.01,
)  # between looks, and for each process looked at: looks keep nobody busy
ANSWER_TIMEOUT_S = 2.0  # for one answer of a process, which may be suspended
LOG_TAIL_LINES = 12  # that a failure shows
SLOW = f"no answer within {ANSWER_TIMEOUT_S:g} s"
MAX_TEXT = 600  # characters of the last observation

# Checks once; returns whether the state is reached, and what was observed.
Check = Callable[[], Awaitable[tuple[bool, str]]]


class ConditionError(HophingeError):
    """A state that was not reached within its bound."""

    code = "rig-condition-unmet"
    remedy = "Look at the log's last lines of the process that is named."


class NeverStartedError(HophingeError):
    """A process that ended before its program began."""

    code = "rig-never-began"
    remedy = "Look at its status and at the machine's memory: its program had no part in it; then begin the run again."


class Condition(Struct, frozen=True):
    """A state of a process."""

    process: Process
    description: str
    check: Check


async def check_once(condition: Condition) -> tuple[bool, str]:
    """Check a condition once; a process that does not answer has not reached it."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await condition.check()
    except TimeoutError:
        return False, SLOW
    except (OSError, aiohttp.ClientError, ValueError, LookupError) as error:
        return False, f"{type(error).__name__}: {error}"


def describe_failure(open_: Mapping[Condition, str], bound_s: float) -> str:
    """Return a description of conditions that are not true, with the last lines of the processes' logs."""
    parts = [f"{len(open_)} not true within {bound_s:g} s"]
    for condition, seen in open_.items():
        one = condition.process
        state = "stopped" if one.is_suspended else "running" if one.is_running else "ended"
        if one.child is not None and one.child.returncode is not None:
            state += f" with {one.child.returncode}"
        parts.append(f"\n{one.name} ({state}): {condition.description}; last seen: {seen[:MAX_TEXT] or 'nothing'}")
        parts += [f"\n    {line}" for line in list(one.lines)[-LOG_TAIL_LINES:]]
    return "".join(parts)


async def wait_until(conditions: Iterable[Condition], bound_s: float) -> float:
    """Wait until all conditions are true in one check of all; returns the seconds that it took.

    Raises ConditionError at the bound, and NeverBeganError for a process that ended before its program began.
    """
    started_s = time.monotonic()
    rows = list(conditions)
    if not rows:
        raise ValueError("nothing is waited for")
    open_ = rows
    while True:
        found = await asyncio.gather(*(check_once(one) for one in open_))
        false = {one: seen for one, (true, seen) in zip(open_, found, strict=True) if not true}
        if not false and len(open_) == len(rows):
            return time.monotonic() - started_s
        if stillborn := {one: seen for one, seen in false.items() if one.process.never_started}:
            raise NeverStartedError(describe_failure(stillborn, time.monotonic() - started_s))
        if false and time.monotonic() - started_s > bound_s:
            raise ConditionError(describe_failure(false, bound_s))
        open_ = list(false) or rows  # what was true before may have changed
        if false:
            await asyncio.sleep(POLL_INTERVAL_S + POLL_INTERVAL_PER_PROCESS_S * len(open_))


async def holds_while(conditions: Iterable[Condition], while_: Awaitable[object]) -> int:
    """Check conditions while something runs; returns how many checks there were, at least one.

    Raises ConditionError at the first that is not true. A process that gives no answer in time is slow, which is
    neither true nor false; at the end each has to have been seen true.
    """
    rows = list(conditions)
    task = asyncio.ensure_future(while_)
    looks, seen = 0, set[Condition]()
    try:
        while not task.done() or not looks:
            found = list(zip(rows, await asyncio.gather(*(check_once(one) for one in rows)), strict=True))
            if bad := {one: text for one, (true, text) in found if not true and text != SLOW}:
                raise ConditionError(describe_failure(bad, 0.0))
            seen |= {one for one, (true, _) in found if true}
            looks += 1
            await asyncio.wait([task], timeout=POLL_INTERVAL_S + POLL_INTERVAL_PER_PROCESS_S * len(rows))
        await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    if never := dict.fromkeys((one for one in rows if one not in seen), SLOW):
        raise ConditionError(describe_failure(never, 0.0))
    return looks


def has_logged(process: Process, text: str) -> Condition:
    """Return the condition that a process has logged a text since its start."""

    async def look() -> tuple[bool, str]:
        return process.has_logged(text), f"{len(process.lines)} lines"

    return Condition(process, f"says {text!r}", look)


def has_exited(process: Process, status: int | None = None) -> Condition:
    """Return the condition that a process has exited, with a status where one is given."""

    async def look() -> tuple[bool, str]:
        found = process.child.returncode if process.child is not None else None
        return found is not None and status in (None, found), f"status {found}"

    return Condition(process, "has ended" if status is None else f"has ended with {status}", look)
