"""The exchange connects the frontends with the backend client.

It owns the open requests and their attempts, passes the events of each loop iteration to the Scheduler as one batch,
performs its actions through callbacks, and gives each request exactly one final answer. It is independent of protocols:
the payload that a frontend attaches to a request is passed to the backend client unchanged.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.exchange.attempts import Attempt, OpenRequest, Probe, Start
from hophinge.core.exchange.event_loop_driver import BACKSTOP, EventLoopDriver
from hophinge.core.exchange.types import (
    Answer,
    AttemptResult,
    Gate,
    Loop,
    AnswerStream,
    Timer,
    Verdict,
    answer_callback,
)

__all__ = [
    "Answer",
    "Attempt",
    "BACKSTOP",
    "AttemptResult",
    "Exchange",
    "Gate",
    "Loop",
    "OpenRequest",
    "Probe",
    "AnswerStream",
    "Start",
    "Timer",
    "Verdict",
    "answer_callback",
]


class Exchange(EventLoopDriver):
    """The open requests of one head; its frontends, its backend client and discovery report their events here."""

    def arrive(
        self, arrival: api.Arrival, payload: Any, answer: Callable[[Answer], None], complete: bool = True
    ) -> None:
        """Accept a request; ``answer`` is called once, never within this call, unless its client disconnects before.

        If it is not `complete`, its body is still arriving: the body is streamed to its only attempt, and the client's
        time counts from the last byte of the body, less the time that the body waited for the attempt.
        """
        if arrival.request in self.open:
            raise ValueError(f"request {arrival.request} is already open")
        request = self.open[arrival.request] = OpenRequest(arrival, payload, answer, self.now_us(), complete)
        if complete:
            self._start_backstop(request)
        self.unanswered += 1
        self.counters.add("requests_taken")
        if self.gate is not None:
            bounds = self.gate.admit(self.now_us(), arrival)
            if isinstance(bounds, int):
                retry_after_us = bounds
                self.loop.call_soon(lambda: self._reject(request, retry_after_us))
                return
            if isinstance(bounds, api.WaitAtGate):
                self.counters.add("requests_waited")
                request.arrival = structs.replace(arrival, bounds=bounds.bounds)
                return self._schedule_release()
            arrival = request.arrival = structs.replace(arrival, bounds=bounds)
        self._queue_event(arrival)

    def body_complete(self, name: str) -> None:
        """Record that a request's body has arrived completely; from now on its deadline counts."""
        request = self.open.get(name)
        if request is None or request.is_complete or request.answer is None:
            return
        request.is_complete = True
        request.deadline = self.now_us() + max(0, request.arrival.time_left_us - request.waited_us)
        self._start_backstop(request)
        for attempt in request.attempts.values():
            attempt.give_up_at = request.deadline
            self._start_timeout(attempt)

    def depart(self, name: str) -> None:
        """Record that a request's client has disconnected: it gets no answer, its attempts in flight continue."""
        request = self.open.get(name)
        if request is not None and request.answer is not None:
            self.counters.add("requests_departed")
            self._close(request)
            self._forget(request)  # without an attempt in flight, nothing else removes it
            self._queue_event(api.Departure(name))

    def answer_all_now(self) -> None:
        """Answer all open requests because the process ends: refused if a retry is harmless, else failed."""
        for request in [waiting for waiting in self.open.values() if waiting.answer is not None]:
            self.counters.add("requests_cut_off")
            is_harmless = (
                not request.attempts_sent or self.settings.classes[request.arrival.klass].effect is api.Effect.SAFE
            )
            self._answer(request, Answer(Verdict.REFUSED if is_harmless else Verdict.FAILED))
            self._queue_event(api.Departure(request.arrival.request))

    def nodes(self, event: api.NodeList) -> None:
        """Apply a node list, or changes to it."""
        if event.kind is api.ListKind.FULL:
            listed = {entry.node for entry in event.entries}
            for node in self.phases.keys() - listed:
                del self.phases[node], self.shards[node]
        for entry in event.entries:
            if entry.phase is api.Phase.GONE:
                # Nodes are replaced under new names all the time, so entries of removed ones must not accumulate.
                self.phases.pop(entry.node, None)
                self.shards.pop(entry.node, None)
            else:
                self.phases[entry.node] = entry.phase
                self.shards[entry.node] = entry.shard
        if self.gate is not None:
            self.gate.nodes(self.now_us(), event)
        self._queue_event(event)
