"""What happens from the signal that ends a head until its last answer is out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hophinge.core.exchange import Exchange
from hophinge.head.drain_schedule import ANSWER_MARGIN_US, DrainSchedule
from hophinge.net.acceptor import Acceptor
from hophinge.net.listener import Listener
from hophinge.net.frontend import Frontend

if TYPE_CHECKING:
    from hophinge.objects.front import ObjectFront

LATE_ARRIVALS_S = 0.6  # new connections keep coming after SIGTERM
BACKLOG_TIMEOUT_S = 1.0  # for who waits in the listening socket's queue to be taken, where there is no room for all
MIN_IDLE_S = 0.7  # a connection that has rested for so long is hardly the next to be used
HANDOFF_MARGIN_S = 0.5  # before SIGKILL all end where another process serves: a request here is its connection's last
FLUSH_TIMEOUT_S = 0.1  # past the last answer, for those that part and for what is written
UNREAD_TIMEOUT_S = 10.0  # past the last answer's time, for those that their clients do not read
POLL_INTERVAL_S = 0.02  # between looks at what is still unanswered at the end


async def wait_for_any(timeout_s: float, *events: asyncio.Event) -> bool:
    """Wait until one of the events is set, for at most `timeout_s` seconds; returns whether one is."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    try:
        done, _ = await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return bool(done)
    finally:
        for wait in waits:
            wait.cancel()


class Shutdown:
    """Answers what has been accepted, and accepts nothing new in the end.

    Args:
        exchange: owns the open requests.
        front: the platform's frontend.
        objects: the object front, where there is one.
        admin: the administration's listener, where there is one.
        acceptors: of all listeners that clients use.
        hands_over: whether another process takes over the listening socket.
        signalled_us: when the signal came, on the exchange's clock. The event loop may have come to it late, and the
            platform counts from there.

    """

    def __init__(
        self,
        exchange: Exchange,
        front: Frontend,
        objects: ObjectFront | None,
        admin: Listener | None,
        acceptors: list[Acceptor],
        hands_over: bool,
        signalled_us: int,
    ) -> None:
        self.exchange = exchange
        self.front = front
        self.objects = objects
        self.admin = admin
        self.acceptors = acceptors
        self.hands_over = hands_over
        # What is accepted from now on is answered before the platform would kill this process.
        self.schedule = DrainSchedule(exchange.settings.classes, signalled_us)

    async def run(self) -> None:
        """Drain, then wait until all that was accepted is answered."""
        for other in (self.objects, self.admin):
            if other is not None:
                other.is_draining = True  # their clients have other heads to go to
        self.front.final_drain = self.schedule
        close_at_us = self.schedule.close_at_us
        if self.hands_over:
            close_at_us = self.schedule.answer_by_us + ANSWER_MARGIN_US - int(HANDOFF_MARGIN_S * 1e6)
            self._hand_over()
        else:
            await self._stop_listening(close_at_us)
        await self._serve_until(close_at_us)
        self.front.is_draining = True
        # From here on nothing new is accepted: a request on a kept connection could outlast what is left to this
        # process. Idle connections end now, busy ones with their answer, and one with half a head once that is whole.
        for listener in (self.front, self.objects, self.admin):
            if listener is not None:
                listener.close_idle()
        await self._answer_outstanding()

    async def _stop_listening(self, close_at_us: int) -> None:
        # New connections keep arriving for a while: closing the listener now would reset them unanswered.
        for acceptor in self.acceptors:
            acceptor.stop_deferring()
        await asyncio.sleep(LATE_ARRIVALS_S)
        backlog_s = max(0.0, min(BACKLOG_TIMEOUT_S, (close_at_us - self.exchange.now_us()) / 1e6))
        await asyncio.gather(*(acceptor.finish(backlog_s) for acceptor in self.acceptors))

    def _hand_over(self) -> None:
        # Another process accepts new connections from now on; the clients of this one are sent there with their
        # next answer. Idle connections stay: a close could cross a request on its way.
        self.front.is_draining = True
        for acceptor in self.acceptors:
            if acceptor.owner is self.front:
                acceptor.close()
            else:
                acceptor.drain()

    async def _serve_until(self, close_at_us: int) -> None:
        # The platform's clients have no other head for their volumes: they are served on the connections that they
        # hold while there is a class that can be answered in time.
        while self.exchange.now_us() < close_at_us and (self.front.server.connections or is_accepting(self.acceptors)):
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.front.is_draining:
                # Closed all at once at the end, they would cross all that a client which was busy for a
                # moment sends; one by one, the least used first, hardly any.
                self.front.close_longest_idle(MIN_IDLE_S)

    async def _answer_outstanding(self) -> None:
        while self._has_outstanding():
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.exchange.now_us() >= self.schedule.answer_by_us:
                self.exchange.answer_all_now()  # what was accepted before the signal may have longer than this process
            self.front.close_idle()

    def _has_outstanding(self) -> bool:
        """Return whether an answer is outstanding.

        Each request has its deadline, and each wait of the object front its own limit; a connection accepted in the
        last moment is nobody's yet. A client that doesn't read holds its connection busy for ever.
        """
        left_us = self.schedule.answer_by_us - self.exchange.now_us()
        return (
            self.exchange.unanswered > 0
            or is_accepting(self.acceptors)
            or (self.objects is not None and self.objects.active_requests > 0)
            or (bool(self.front.busy) and left_us > -UNREAD_TIMEOUT_S * 1e6)
            or (bool(self.front.server.connections) and left_us > -FLUSH_TIMEOUT_S * 1e6)
        )


def is_accepting(acceptors: list[Acceptor]) -> bool:
    """Return whether a connection is being accepted that its listener does not count yet."""
    return any(one.tasks for one in acceptors)
