"""Waits for conditions of processes, with one time limit; a failure names each condition that was not met."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

import aiohttp
from msgspec import Struct

from hophinge.core.errors import HophingeError
from hophinge.load.rig.processes import Process

# The interval between checks grows with the number of processes, so that polling does not keep them busy.
POLL_INTERVAL_S, POLL_INTERVAL_PER_PROCESS_S = 0.03, 0.01
ANSWER_TIMEOUT_S = 2.0  # of one check; the process may be suspended
LOG_TAIL_LINES = 12  # lines of a process's log in a failure message
TIMED_OUT = f"no answer within {ANSWER_TIMEOUT_S:g} s"
MAX_TEXT_CHARS = 600  # of the last observation, in a failure message

# Checks a condition once; returns whether it is true, and a text of what was observed.
Check = Callable[[], Awaitable[tuple[bool, str]]]


class ConditionError(HophingeError):
    """A condition was not true within the time limit, or became false while it had to hold."""

    code = "rig-condition-unmet"
    remedy = "Look at the last log lines of the process that is named."


class NeverStartedError(HophingeError):
    """A process exited before its program started."""

    code = "rig-never-began"
    remedy = (
        "Check its exit status and the machine's free memory (its program is not the cause), then start the run again."
    )


class Condition(Struct, frozen=True):
    """A condition of a process, its description for messages, and how to check it."""

    process: Process
    description: str
    check: Check


async def check_once(condition: Condition) -> tuple[bool, str]:
    """Check a condition once; it is not met if the process does not answer."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await condition.check()
    except TimeoutError:
        return False, TIMED_OUT
    except (OSError, aiohttp.ClientError, ValueError, LookupError) as error:
        return False, f"{type(error).__name__}: {error}"


def describe_failure(unmet: Mapping[Condition, str], bound_s: float) -> str:
    """Return a description of unmet conditions and their last observations, with the ends of the processes' logs."""
    parts = [f"{len(unmet)} conditions not met within {bound_s:g} s"]
    for condition, observed in unmet.items():
        process = condition.process
        state = "suspended" if process.is_suspended else "running" if process.is_running else "exited"
        if process.child is not None and process.child.returncode is not None:
            state += f" with status {process.child.returncode}"
        parts.append(
            f"\n{process.name} ({state}): {condition.description}; observed: {observed[:MAX_TEXT_CHARS] or 'nothing'}"
        )
        parts += [f"\n    {line}" for line in list(process.lines)[-LOG_TAIL_LINES:]]
    return "".join(parts)


async def wait_until(conditions: Iterable[Condition], bound_s: float) -> float:
    """Wait until all conditions are true in the same round of checks; returns the seconds that it took.

    Raises ConditionError after `bound_s`, and NeverStartedError for a process that exited before its program started.
    """
    started_s = time.monotonic()
    all_conditions = list(conditions)
    if not all_conditions:
        raise ValueError("there is no condition to wait for")
    pending = all_conditions
    while True:
        observations = await asyncio.gather(*(check_once(condition) for condition in pending))
        unmet = {
            condition: observation
            for condition, (is_met, observation) in zip(pending, observations, strict=True)
            if not is_met
        }
        if not unmet and len(pending) == len(all_conditions):
            return time.monotonic() - started_s
        if never_started := {
            condition: observation for condition, observation in unmet.items() if condition.process.never_started
        }:
            raise NeverStartedError(describe_failure(never_started, time.monotonic() - started_s))
        if unmet and time.monotonic() - started_s > bound_s:
            raise ConditionError(describe_failure(unmet, bound_s))
        pending = list(unmet) or all_conditions  # conditions that were true before may have changed
        if unmet:
            await asyncio.sleep(POLL_INTERVAL_S + POLL_INTERVAL_PER_PROCESS_S * len(pending))


async def holds_while(conditions: Iterable[Condition], operation: Awaitable[object]) -> int:
    """Check conditions while an operation runs; returns the number of rounds of checks, at least one.

    Raises ConditionError at the first condition that is false. A check that times out counts neither as true nor as
    false, but each condition has to be true in at least one check.
    """
    all_conditions = list(conditions)
    task = asyncio.ensure_future(operation)
    rounds, seen_true = 0, set[Condition]()
    try:
        while not task.done() or not rounds:
            observations = list(
                zip(
                    all_conditions,
                    await asyncio.gather(*(check_once(condition) for condition in all_conditions)),
                    strict=True,
                )
            )
            if violated := {
                condition: observation
                for condition, (is_met, observation) in observations
                if not is_met and observation != TIMED_OUT
            }:
                raise ConditionError(describe_failure(violated, 0.0))
            seen_true |= {condition for condition, (is_met, _) in observations if is_met}
            rounds += 1
            await asyncio.wait([task], timeout=POLL_INTERVAL_S + POLL_INTERVAL_PER_PROCESS_S * len(all_conditions))
        await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    if never_met := dict.fromkeys((condition for condition in all_conditions if condition not in seen_true), TIMED_OUT):
        raise ConditionError(describe_failure(never_met, 0.0))
    return rounds


def has_logged(process: Process, text: str) -> Condition:
    """Return the condition that a process has logged a text since it was last started."""

    async def check() -> tuple[bool, str]:
        return process.has_logged(text), f"{len(process.lines)} lines"

    return Condition(process, f"has logged {text!r}", check)


def has_exited(process: Process, status: int | None = None) -> Condition:
    """Return the condition that a process has exited, with any status if `status` is None."""

    async def check() -> tuple[bool, str]:
        returncode = process.child.returncode if process.child is not None else None
        return returncode is not None and status in (None, returncode), f"status {returncode}"

    return Condition(process, "has exited" if status is None else f"has exited with status {status}", check)
