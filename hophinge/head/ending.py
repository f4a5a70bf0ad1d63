"""What happens from the signal that ends a head until its last answer is out."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from hophinge.core.exchange import Exchange
from hophinge.net.acceptor import Acceptor
from hophinge.net.listener import Listener
from hophinge.net.server import Front

if TYPE_CHECKING:
    from hophinge.objects.front import ObjectFront

STILL_ARRIVING_S = 0.6  # new connections keep coming after SIGTERM
QUEUE_S = 1.0           # for who waits in the listening socket's queue to be taken, where there is no room for all
LONGEST_S, KILL_S = 3.0, 0.7    # SIGKILL follows after the longest deadline, this one at most, and a little more
LAST_S = 1.3            # before SIGKILL nothing new is taken for so long
RESTED_S = 0.7          # a connection that has rested for so long is hardly the next to be used
LAST_BESIDE_S = 0.5     # the same where another process serves: each request that comes here is its connection's last
ANSWER_S = 0.25         # before SIGKILL the last answer is out
DRAIN_LOOK_S = 0.02     # between looks at what is still unanswered at the end


async def answer_all(exchange: Exchange, front: Front, objects: ObjectFront | None, admin: Listener | None,
                     acceptors: list[Acceptor], beside: bool, log: Callable[[str], None]) -> None:
    """Answer what has been taken, and take nothing new in the end; `beside`: another process takes over."""
    log(f"ending with {exchange.unanswered} requests open on {len(front.server.connections)} connections")
    for other in (objects, admin):
        if other is not None:
            other.closing = True        # their clients have other heads to go to
    # What is taken from now on is answered before the platform would kill this process.
    longest_us = max(klass.deadline_us for klass in exchange.settings.classes)
    kill_s = min(LONGEST_S, longest_us / 1e6) + KILL_S
    front.until_us = exchange.now_us() + int((kill_s - ANSWER_S) * 1e6)
    arriving_s, last_s = 0.0, LAST_S
    if not beside:
        # New connections keep arriving for a while: whoever closes the listener now resets them unanswered.
        for acceptor in acceptors:
            acceptor.last()
        begun = exchange.now_us()
        await asyncio.sleep(STILL_ARRIVING_S)
        await asyncio.gather(*(acceptor.finish(QUEUE_S) for acceptor in acceptors))
        arriving_s = (exchange.now_us() - begun) / 1e6
    else:
        # Another process takes new connections from now on; the clients of this one are sent there with their
        # next answer. Idle connections stay: a close could cross a request on its way.
        front.closing, last_s = True, LAST_BESIDE_S
        for acceptor in acceptors:
            if acceptor.front is front:
                acceptor.close()
            else:
                acceptor.drain()
    # The platform's clients have no other head for their volumes: they are served on the connections that they
    # hold until too little time is left.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, kill_s - last_s - arriving_s)):
            while front.server._connections or any(acceptor.tasks for acceptor in acceptors):
                await asyncio.sleep(DRAIN_LOOK_S)
                if front.closing:
                    # Closed all at once at the end, they would cross all that a client which was busy for a
                    # moment sends; one by one, the least used first, hardly any.
                    front.thin(RESTED_S)
    front.closing = True
    # From here on nothing new is taken: a request on a kept connection could outlast what is left to this process.
    # Idle connections close now, busy ones with their answer.
    for one in (front, objects, admin):
        if one is not None:
            one.close_idle()
    # Each request has its deadline, and each wait of the object front its own limit.
    while exchange.unanswered or front.busy or (objects is not None and objects.active):
        await asyncio.sleep(DRAIN_LOOK_S)
        front.close_idle()
