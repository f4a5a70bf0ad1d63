"""The shutdown of a head, from the signal until the last response is sent."""

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

LATE_ARRIVALS_S = 0.6  # for which new connections keep arriving after SIGTERM
BACKLOG_TIMEOUT_S = 1.0  # to accept the connections in the listening socket's queue while capacity is short
MIN_IDLE_S = 0.7  # a connection that has been idle for this long is unlikely to be used next
# In a handoff, all connections are closed this long before SIGKILL; until then each response closes its connection.
HANDOFF_MARGIN_S = 0.5
FLUSH_TIMEOUT_S = 0.1  # after the time of the last response, for connections that close and data being written
UNREAD_TIMEOUT_S = 10.0  # after the time of the last response, for clients that do not read theirs
POLL_INTERVAL_S = 0.02  # between checks for unanswered requests


async def wait_for_any(timeout_s: float, *events: asyncio.Event) -> bool:
    """Wait until one of the events is set, for at most `timeout_s` seconds; returns whether one is."""
    waiters = [asyncio.create_task(event.wait()) for event in events]
    try:
        done, _ = await asyncio.wait(waiters, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        return bool(done)
    finally:
        for waiter in waiters:
            waiter.cancel()


class Shutdown:
    """Answers the accepted requests; from a certain time on, no new ones are accepted.

    Args:
        exchange: Owns the open requests.
        front: The platform's frontend.
        objects: The object front, if it is enabled.
        admin: The administration API's listener, if it is enabled.
        acceptors: The acceptors of all listeners for clients.
        hands_over: Whether another process takes over the listening socket.
        signalled_us: When the signal came, on the exchange's clock: the platform counts from then, while the event
            loop may begin the shutdown later.

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
        # Requests accepted from now on are answered before the platform kills this process.
        self.schedule = DrainSchedule(exchange.settings.classes, signalled_us)

    async def run(self) -> None:
        """Drain, then wait until all accepted requests are answered."""
        for optional_listener in (self.objects, self.admin):
            if optional_listener is not None:
                optional_listener.is_draining = True  # their clients can use other heads
        self.front.final_drain = self.schedule
        close_at_us = self.schedule.close_at_us
        if self.hands_over:
            close_at_us = self.schedule.answer_by_us + ANSWER_MARGIN_US - int(HANDOFF_MARGIN_S * 1e6)
            self._hand_over()
        else:
            await self._stop_listening(close_at_us)
        await self._serve_until(close_at_us)
        self.front.is_draining = True
        # From here on no new requests are accepted: one on a kept connection could outlast this process. Idle
        # connections are closed now, busy ones after their response, and those that have received part of a request's
        # header once it is complete.
        for listener in (self.front, self.objects, self.admin):
            if listener is not None:
                listener.close_idle()
        await self._answer_outstanding()

    async def _stop_listening(self, close_at_us: int) -> None:
        # New connections keep arriving for a while; closing the listener now would reset them.
        for acceptor in self.acceptors:
            acceptor.stop_deferring()
        await asyncio.sleep(LATE_ARRIVALS_S)
        backlog_s = max(0.0, min(BACKLOG_TIMEOUT_S, (close_at_us - self.exchange.now_us()) / 1e6))
        await asyncio.gather(*(acceptor.finish(backlog_s) for acceptor in self.acceptors))

    def _hand_over(self) -> None:
        # Another process accepts new connections from now on. The next response on each connection closes it, so that
        # its client reconnects there. Idle connections stay open: closing one could cross a request in flight.
        self.front.is_draining = True
        for acceptor in self.acceptors:
            if acceptor.owner is self.front:
                acceptor.close()
            else:
                acceptor.drain()

    async def _serve_until(self, close_at_us: int) -> None:
        # The platform's clients have no other head for their volumes: they are served on their open connections as
        # long as requests of some class can be answered in time.
        while self.exchange.now_us() < close_at_us and (self.front.server.connections or is_accepting(self.acceptors)):
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.front.is_draining:
                # Closing all connections at once at the end would cross the requests of clients that resume then.
                # Closing them one by one, the longest idle first, crosses hardly any.
                self.front.close_longest_idle(MIN_IDLE_S)

    async def _answer_outstanding(self) -> None:
        while self._has_outstanding():
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.exchange.now_us() >= self.schedule.answer_by_us:
                # Requests accepted before the signal may have deadlines after the end of this process.
                self.exchange.answer_all_now()
            self.front.close_idle()

    def _has_outstanding(self) -> bool:
        """Return whether a response is outstanding.

        Each request has its deadline, and each wait of the object front its own limit. A connection that is just being
        accepted is not counted by its listener yet. A client that does not read would keep its connection busy forever.
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
    return any(acceptor.tasks for acceptor in acceptors)
