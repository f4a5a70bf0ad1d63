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
from hophinge.core.exchange.attempts import Attempt, Open, Probe, Start
from hophinge.core.exchange.turns import BACKSTOP, Turns
from hophinge.core.exchange.types import Answer, End, Gate, Loop, Rest, Timer, Verdict, giver

__all__ = [
    "Answer",
    "Attempt",
    "BACKSTOP",
    "End",
    "Exchange",
    "Gate",
    "Loop",
    "Open",
    "Probe",
    "Rest",
    "Start",
    "Timer",
    "Verdict",
    "giver",
]


class Exchange(Turns):
    """The open requests of one head, and what its fronts, its back and its list of nodes tell of."""

    def arrive(self, ask: api.Arrival, payload: Any, answer: Callable[[Answer], None], whole: bool = True) -> None:
        """Take a request; ``answer`` is called once, never within this call, unless its client departs.

        Where it is not `whole`, its body is still on its way: its one attempt may take that on, and its client's time
        runs from the body's last byte, less what the body waited before that attempt.
        """
        if ask.request in self.open:
            raise ValueError(f"request {ask.request} is open already")
        request = self.open[ask.request] = Open(ask, payload, answer, self.now_us(), whole)
        if whole:
            self._limit(request)
        self.unanswered += 1
        self.counters.add("requests_taken")
        if self.gate is not None:
            bounds = self.gate.admit(self.now_us(), ask)
            if isinstance(bounds, int):
                advice = bounds
                self.loop.call_soon(lambda: self._turn_away(request, advice))
                return
            if isinstance(bounds, api.Waits):
                self.counters.add("requests_waited")
                request.ask = structs.replace(ask, bounds=bounds.bounds)
                return self._gate_timer()
            ask = request.ask = structs.replace(ask, bounds=bounds)
        self._event(ask)

    def whole(self, name: str) -> None:
        """Take the last byte of a request's body."""
        request = self.open.get(name)
        if request is None or request.whole or request.answer is None:
            return
        request.whole = True
        request.deadline = self.now_us() + max(0, request.ask.time_left_us - request.waited)
        self._limit(request)
        for attempt in request.attempts.values():
            attempt.give_up = request.deadline
            self._time(attempt)

    def depart(self, name: str) -> None:
        """A request's client has gone: no answer is owed, what is out still ends."""
        request = self.open.get(name)
        if request is not None and request.answer is not None:
            self.counters.add("requests_departed")
            self._close(request)
            self._forget(request)  # one of which nothing is out would else stay for ever
            self._event(api.Departure(name))

    def cut_off(self) -> None:
        """Give each request that still waits its final answer: who answers will be there no longer."""
        for request in [one for one in self.open.values() if one.answer is not None]:
            self.counters.add("requests_cut_off")
            harmless = not request.sent or self.settings.classes[request.ask.klass].effect is api.Effect.SAFE
            self._answer(request, Answer(Verdict.REFUSED if harmless else Verdict.FAILED))
            self._event(api.Departure(request.ask.request))

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
