"""A client while its request is carried: whether it is still there."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from hophinge.fleet.transport.asgi import Receive


async def carried(work: asyncio.Task[None], receive: Receive, answered: Callable[[], bool]) -> bool:
    """Wait for the work on a request; it is cancelled where its client leaves. Tells whether it came to its end.

    The server says of an answer that has gone out whole what it says of a client that has left: there is nothing more
    to come. The work has some tidying to do then, which is not cancelled. Raises what the work raises.
    """
    watching = asyncio.get_running_loop().create_task(receive())
    try:
        await asyncio.wait({work, watching}, return_when=asyncio.FIRST_COMPLETED)
        if work.done() or answered():
            await work
            return True
        work.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work
        return False
    finally:
        watching.cancel()
        work.cancel()
