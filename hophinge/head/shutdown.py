"""What happens from the signal that ends a head until its last answer is out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from hophinge.core.exchange import Exchange
from hophinge.head.last import ANSWER_US, Last
from hophinge.net.acceptor import Acceptor
from hophinge.net.listener import Listener
from hophinge.net.frontend import Frontend

if TYPE_CHECKING:
    from hophinge.objects.front import ObjectFront

STILL_ARRIVING_S = 0.6  # new connections keep coming after SIGTERM
QUEUE_S = 1.0  # for who waits in the listening socket's queue to be taken, where there is no room for all
RESTED_S = 0.7  # a connection that has rested for so long is hardly the next to be used
LAST_BESIDE_S = 0.5  # before SIGKILL all end where another process serves: a request here is its connection's last
AFTER_S = 0.1  # past the last answer, for those that part and for what is written
UNREAD_S = 10.0  # past the last answer's time, for those that their clients do not read
DRAIN_LOOK_S = 0.02  # between looks at what is still unanswered at the end


async def first_of(most_s: float, *events: asyncio.Event) -> bool:
    """Wait until one of these is set, so many seconds at most; False where none is."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    try:
        done, _ = await asyncio.wait(waits, timeout=most_s, return_when=asyncio.FIRST_COMPLETED)
        return bool(done)
    finally:
        for wait in waits:
            wait.cancel()


async def answer_all(
    exchange: Exchange,
    front: Frontend,
    objects: ObjectFront | None,
    admin: Listener | None,
    acceptors: list[Acceptor],
    beside: bool,
    told_us: int,
    log: Callable[[str], None],
) -> None:
    """Answer what has been taken, and take nothing new in the end.

    `beside`: another process takes over; `told_us`: when the signal came, on the exchange's clock. The loop may have
    come to it late, and the platform counts from there.
    """
    log(f"ending with {exchange.unanswered} requests open on {len(front.server.connections)} connections")
    for other in (objects, admin):
        if other is not None:
            other.is_draining = True  # their clients have other heads to go to
    # What is taken from now on is answered before the platform would kill this process.
    last = front.final_drain = Last(exchange.settings.classes, told_us)
    closes_us = last.until_us + ANSWER_US - int(LAST_BESIDE_S * 1e6) if beside else last.closes_us
    if not beside:
        # New connections keep arriving for a while: whoever closes the listener now resets them unanswered.
        for acceptor in acceptors:
            acceptor.stop_deferring()
        await asyncio.sleep(STILL_ARRIVING_S)
        queue_s = max(0.0, min(QUEUE_S, (closes_us - exchange.now_us()) / 1e6))
        await asyncio.gather(*(acceptor.finish(queue_s) for acceptor in acceptors))
    else:
        # Another process takes new connections from now on; the clients of this one are sent there with their
        # next answer. Idle connections stay: a close could cross a request on its way.
        front.is_draining = True
        for acceptor in acceptors:
            if acceptor.owner is front:
                acceptor.close()
            else:
                acceptor.drain()
    # The platform's clients have no other head for their volumes: they are served on the connections that they
    # hold while there is a class that can be answered in time.
    while exchange.now_us() < closes_us and (front.server.connections or coming(acceptors)):
        await asyncio.sleep(DRAIN_LOOK_S)
        if front.is_draining:
            # Closed all at once at the end, they would cross all that a client which was busy for a
            # moment sends; one by one, the least used first, hardly any.
            front.close_longest_idle(RESTED_S)
    front.is_draining = True
    # From here on nothing new is taken: a request on a kept connection could outlast what is left to this process.
    # Idle connections end now, busy ones with their answer, and one with half a head once that is whole.
    for one in (front, objects, admin):
        if one is not None:
            one.close_idle()

    # Each request has its deadline, and each wait of the object front its own limit; who is accepted in the last
    # moment is nobody's connection yet. A client that doesn't read holds its connection busy for ever.
    def owed() -> bool:
        left_us = last.until_us - exchange.now_us()
        return (
            exchange.unanswered > 0
            or coming(acceptors)
            or (objects is not None and objects.active_requests > 0)
            or (bool(front.busy) and left_us > -UNREAD_S * 1e6)
            or (bool(front.server.connections) and left_us > -AFTER_S * 1e6)
        )

    while owed():
        await asyncio.sleep(DRAIN_LOOK_S)
        if exchange.now_us() >= last.until_us:
            exchange.answer_all_now()  # what was taken before the signal may have longer than this process
        front.close_idle()


def coming(acceptors: list[Acceptor]) -> bool:
    """Tell whether a connection is being taken that is not among its front's yet."""
    return any(one.tasks for one in acceptors)
