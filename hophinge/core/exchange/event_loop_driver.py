"""Turns of the loop: events to the module as one batch, its actions carried out, one answer for each request."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.choice import Scheduler
from hophinge.core.counters import Counters
from hophinge.core.exchange.attempts import Attempt, OpenRequest, Probe, Start
from hophinge.core.exchange.types import Answer, AttemptResult, Gate, Loop, AnswerStream, Verdict
from hophinge.core.request_metrics import RequestMetrics
from hophinge.core.write_locations import WriteLocations

BACKSTOP = 0.5  # part of the answer's grace after which a request that the module forgot is failed


class EventLoopDriver:
    """What is open, what the next turn takes to the module, and what comes of it."""

    def __init__(
        self, settings: api.Settings, seed: int, loop: Loop, counters: Counters, log: Callable[[str], None]
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.counters = counters
        self.log = log
        self.now_us = loop.now_us
        self.metrics = RequestMetrics(klass.name for klass in settings.classes)
        self.scheduler = Scheduler(settings, seed)
        self.start: Start | None = None  # the back; set once it is there
        self.probe: Probe | None = None
        self.gate: Gate | None = None
        self.on_attempt_ended: Callable[[str, api.Result, int], None] | None = (
            None  # told how each attempt at a node ended
        )
        self.gate_scheduled = False  # its turn comes in the loop's next one
        self.gate_timer_at = 0  # when a timer calls it
        self.open: dict[str, OpenRequest] = {}
        self.phases: dict[str, api.Phase] = {}
        self.shards: dict[str, int] = {}
        self.write_locations = WriteLocations()
        self.events: list[api.Event] = []
        self.unanswered = 0

    def _reject(self, request: OpenRequest, advice_us: int) -> None:
        if request.answer is not None:
            self.counters.add("requests_turned_away")
            advice = min(advice_us, self.settings.allowed.retry_after_us)
            self._answer(request, Answer(Verdict.REFUSED, retry_after_us=advice))

    def _gate_timer(self) -> None:
        """Have the gate's turn come when it is due."""
        due = self.gate.next_release_us if self.gate is not None else 0
        if due and not (self.now_us() < self.gate_timer_at <= due):
            self.gate_timer_at = due
            self.loop.call_at(due, self._release_at_gate)

    def gate_changed(self) -> None:
        """Have the gate's turn come in the loop's next one: what it decides has changed."""
        if not self.gate_scheduled:
            self.gate_scheduled = True
            self.loop.call_soon(self._release_at_gate)

    def _release_at_gate(self) -> None:
        """Let in or turn away what waits at the gate."""
        self.gate_scheduled = False
        if self.gate is None:
            return
        now = self.now_us()
        for name, advice in self.gate.release(now):
            request = self.open.get(name)
            if request is None or request.answer is None:
                continue
            if advice:
                self._reject(request, advice)
                continue
            if request.is_complete:
                # What it waited is gone from its client's time; a body on its way has all of that before it.
                request.arrival = structs.replace(request.arrival, time_left_us=max(0, request.deadline - now))
            self._event(request.arrival)
        self._gate_timer()

    def _limit(self, request: OpenRequest) -> None:
        # One answer in time, whatever the module does: it is failed when nothing else has answered by then.
        grace = int(self.settings.rules.answer_grace_us * BACKSTOP)
        request.backstop = self.loop.call_at(request.deadline + grace, lambda: self._overdue(request))

    def _time(self, attempt: Attempt) -> None:
        attempt.timer = self.loop.call_at(attempt.give_up_at, lambda: self._stop(attempt, api.Result.TIMEOUT))

    def probed(self, event: api.ProbeResult) -> None:
        """Take the end of a probe."""
        self._event(event)

    def attempt_streams(self, attempt: Attempt, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Take the first part of an answer that is too long to be held: it is the answer, and no timer cuts it."""
        request = attempt.request
        if request.attempts.get(attempt.number) is not attempt or request.answer is None:
            return False
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counters.add("answers_streamed")
        self._event(api.StreamStarted(request.arrival.request, attempt.number, heard_us - attempt.sent_at))
        self._answer(request, Answer(Verdict.SERVED, body, shard=attempt.shard, stream=rest))
        return True

    def attempt_ended(self, attempt: Attempt, end: AttemptResult) -> None:
        """Take the end of an attempt: the first one counts, and the first served answers the request."""
        request = attempt.request
        if request.attempts.get(attempt.number) is not attempt:
            return
        del request.attempts[attempt.number]
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counters.add(f"attempts_{end.result.value}")
        if self.gate is not None:
            self.gate.ended(self.now_us(), attempt.node, end.result)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(attempt.node, end.result, self.now_us() - attempt.sent_at)
        finished = request.answer is None
        if end.result is api.Result.OK and not finished:
            finished = True
            verdict = Verdict.ABSENT if end.absent else Verdict.SERVED
            self._answer(request, Answer(verdict, end.body, shard=attempt.shard))
        moved = attempt.redirected(self.write_locations, end.result)
        if moved is not None and not finished:
            self.counters.add("reads_moved")
            request.arrival = moved
        self._event(
            api.Outcome(
                request.arrival.request,
                attempt.number,
                attempt.node,
                end.result,
                self.now_us() - attempt.sent_at,
                finished,
                end.used,
                end.elsewhere,
                end.report,
                moved,
            )
        )
        self._forget(request)

    def _event(self, event: api.Event) -> None:
        if not self.events:
            self.loop.call_soon(self._turn)
        self.events.append(event)

    def _turn(self) -> None:
        events, self.events = self.events, []
        now = self.now_us()
        try:
            actions = self.scheduler.handle(now, events)
        except Exception:
            # A fault of the module must not leave a client without its answer: what arrived now is failed here,
            # what arrived before by its backstop at the latest.
            self.counters.add("module_faults")
            self.log(traceback.format_exc())
            for event in events:
                if isinstance(event, api.Arrival) and (request := self.open.get(event.request)):
                    self._answer(request, Answer(Verdict.FAILED))
                    self._event(api.Departure(event.request))
            return
        for action in actions:
            try:
                self._act(action, now)
            except Exception:
                # The module holds all of its actions for done: one that fails must not take the rest with it.
                self.counters.add("module_faults")
                self.log(traceback.format_exc())

    def _act(self, action: api.Action, now: int) -> None:
        match action:
            case api.Send():
                self._send(action, now)
            case api.Cancel():
                request = self.open.get(action.request)
                if request and (attempt := request.attempts.get(action.attempt)):
                    self._stop(attempt, api.Result.CANCELLED)
            case api.Refuse():
                if request := self.open.get(action.request):
                    self._answer(request, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us))
            case api.Fail():
                if request := self.open.get(action.request):
                    self._answer(request, Answer(Verdict.FAILED))
            case api.SetTimer():
                token = action.token
                self.loop.call_at(now + action.delay_us, lambda: self._event(api.TimerExpired(token)))
            case api.Probe():
                if self.probe is not None:
                    self.counters.add("probes_sent")
                    self.probe(action.node, self.probed)
            case api.Log():
                self.log(action.text)
            case api.Watch():
                pass  # discovery watches all the time

    def _send(self, action: api.Send, now: int) -> None:
        request = self.open.get(action.request)
        if request is None:
            return  # answered and forgotten: the module has been told, or is about to be
        give_up = min(action.give_up_us or request.deadline, request.deadline)
        attempt = Attempt(self, request, request.attempts_sent, action.node, now, give_up, action.until_us)
        request.attempts_sent += 1
        request.attempts[attempt.number] = attempt
        shard, most = request.arrival.shard, self.settings.allowed.attempts
        if (bounds := request.arrival.bounds) is not None and 0 < bounds.attempts < (most or request.attempts_sent):
            most = bounds.attempts
        if (
            not attempt.may_send()
            or 0 < most < request.attempts_sent
            or 0 <= shard != self.shards.get(action.node)
            or self.start is None
        ):
            attempt.end(AttemptResult(api.Result.MOOT))
            return
        self.counters.add("attempts_sent")
        if request.is_complete:
            self._time(attempt)
        if request.single_attempt:
            self._event(api.StreamStarted(action.request, attempt.number, 0, upward=True))
        try:
            attempt.stop = self.start(attempt)
        except Exception:
            self.log(traceback.format_exc())
            attempt.end(AttemptResult(api.Result.CONNECT_FAILED))

    def _stop(self, attempt: Attempt, result: api.Result) -> None:
        """Give an attempt up: its end is reported first, so that nothing the back still says counts."""
        attempt.end(AttemptResult(result))
        if attempt.stop is not None:
            attempt.stop()

    def _overdue(self, request: OpenRequest) -> None:
        if request.answer is not None:
            self.counters.add("requests_overdue")
            self._answer(request, Answer(Verdict.FAILED))
            self._event(api.Departure(request.arrival.request))

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        if request.answer is None:
            return
        give = request.answer
        self.counters.add(f"requests_{answer.verdict.value}")
        self._close(request)
        self._forget(request)
        give(answer)

    def _close(self, request: OpenRequest) -> None:
        request.answer = None
        if self.gate is not None and request.arrival.bounds is not None:
            self.gate.answered(self.now_us(), request.arrival.bounds)
            if self.gate.next_release_us:
                self.gate_changed()
        if request.backstop is not None:
            request.backstop.cancel()
        self.unanswered -= 1

    def _forget(self, request: OpenRequest) -> None:
        if request.answer is None and not request.attempts:
            self.open.pop(request.arrival.request, None)
