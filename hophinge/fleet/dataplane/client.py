"""Runs the work on a request until its client disconnects."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from hophinge.fleet.transport.asgi import Receive


async def run_until_disconnect(work: asyncio.Task[None], receive: Receive, is_answered: Callable[[], bool]) -> bool:
    """Wait for the work on a request, and cancel it if its client disconnects.

    The server reports a complete response in the same way as a disconnect. After a complete response the work still has
    some cleanup to do, which is not cancelled.

    Args:
        work: The work on the request.
        receive: The ASGI channel that reports the disconnect.
        is_answered: Returns whether the response is complete.

    Returns:
        Whether the work was completed; False if it was cancelled.

    Raises:
        Exception: Any exception of the work.

    """
    watching = asyncio.get_running_loop().create_task(receive())
    try:
        await asyncio.wait({work, watching}, return_when=asyncio.FIRST_COMPLETED)
        if work.done() or is_answered():
            await work
            return True
        work.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work
        return False
    finally:
        watching.cancel()
        work.cancel()
