"""The exchange: the one place where the client side and the server side meet.

It owns the open requests and their attempts, drives the Scheduler with what happened in one turn of the loop as
one batch, carries out its actions through callbacks, and gives each request one final answer. It knows no wire:
what a front passes on with a request (its payload) goes to the back as it came.
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
    """The open requests of one head, and what its fronts, its back and its list of nodes tell of."""

    def arrive(
        self, arrival: api.Arrival, payload: Any, answer: Callable[[Answer], None], complete: bool = True
    ) -> None:
        """Take a request; ``answer`` is called once, never within this call, unless its client departs.

        Where it is not `whole`, its body is still on its way: its one attempt may take that on, and its client's time
        runs from the body's last byte, less what the body waited before that attempt.
        """
        if arrival.request in self.open:
            raise ValueError(f"request {arrival.request} is open already")
        request = self.open[arrival.request] = OpenRequest(arrival, payload, answer, self.now_us(), complete)
        if complete:
            self._limit(request)
        self.unanswered += 1
        self.counters.add("requests_taken")
        if self.gate is not None:
            bounds = self.gate.admit(self.now_us(), arrival)
            if isinstance(bounds, int):
                advice = bounds
                self.loop.call_soon(lambda: self._reject(request, advice))
                return
            if isinstance(bounds, api.WaitAtGate):
                self.counters.add("requests_waited")
                request.arrival = structs.replace(arrival, bounds=bounds.bounds)
                return self._gate_timer()
            arrival = request.arrival = structs.replace(arrival, bounds=bounds)
        self._event(arrival)

    def body_complete(self, name: str) -> None:
        """Take the last byte of a request's body."""
        request = self.open.get(name)
        if request is None or request.is_complete or request.answer is None:
            return
        request.is_complete = True
        request.deadline = self.now_us() + max(0, request.arrival.time_left_us - request.waited_us)
        self._limit(request)
        for attempt in request.attempts.values():
            attempt.give_up_at = request.deadline
            self._time(attempt)

    def depart(self, name: str) -> None:
        """A request's client has gone: no answer is owed, what is out still ends."""
        request = self.open.get(name)
        if request is not None and request.answer is not None:
            self.counters.add("requests_departed")
            self._close(request)
            self._forget(request)  # one of which nothing is out would else stay for ever
            self._event(api.Departure(name))

    def answer_all_now(self) -> None:
        """Give each request that still waits its final answer: who answers will be there no longer."""
        for request in [one for one in self.open.values() if one.answer is not None]:
            self.counters.add("requests_cut_off")
            harmless = (
                not request.attempts_sent or self.settings.classes[request.arrival.klass].effect is api.Effect.SAFE
            )
            self._answer(request, Answer(Verdict.REFUSED if harmless else Verdict.FAILED))
            self._event(api.Departure(request.arrival.request))

    def nodes(self, event: api.NodeList) -> None:
        """Take a node list, or what changed in it."""
        if event.kind is api.ListKind.FULL:
            named = {entry.node for entry in event.entries}
            for node in self.phases.keys() - named:
                del self.phases[node], self.shards[node]
        for entry in event.entries:
            if entry.phase is api.Phase.GONE:
                # Nodes are replaced by new ones under new names all the time; one that is gone is not kept.
                self.phases.pop(entry.node, None)
                self.shards.pop(entry.node, None)
            else:
                self.phases[entry.node] = entry.phase
                self.shards[entry.node] = entry.shard
        if self.gate is not None:
            self.gate.nodes(self.now_us(), event)
        self._event(event)
