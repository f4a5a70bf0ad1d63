"""Drives the scheduler: passes it the events of each loop iteration as one batch and performs its actions."""

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

BACKSTOP = 0.5  # fraction of the grace period after its deadline, when an unanswered request is failed


class EventLoopDriver:
    """The open requests, the events of the next batch, and the actions of the scheduler."""

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
        self.start: Start | None = None  # starts attempts; set by the backend client
        self.probe: Probe | None = None
        self.gate: Gate | None = None
        # Called with node, result and microseconds of each attempt.
        self.on_attempt_ended: Callable[[str, api.Result, int], None] | None = None
        self.gate_scheduled = False  # a release is scheduled for the next loop iteration
        self.gate_timer_at = 0  # when the last timer for a release expires, in microseconds
        self.open: dict[str, OpenRequest] = {}
        self.phases: dict[str, api.Phase] = {}
        self.shards: dict[str, int] = {}
        self.write_locations = WriteLocations()
        self.events: list[api.Event] = []
        self.unanswered = 0

    def _reject(self, request: OpenRequest, retry_after_us: int) -> None:
        if request.answer is not None:
            self.counters.add("requests_turned_away")
            allowed_us = min(retry_after_us, self.settings.allowed.retry_after_us)
            self._answer(request, Answer(Verdict.REFUSED, retry_after_us=allowed_us))

    def _schedule_release(self) -> None:
        """Set a timer for the gate's next release."""
        due = self.gate.next_release_us if self.gate is not None else 0
        if due and not (self.now_us() < self.gate_timer_at <= due):
            self.gate_timer_at = due
            self.loop.call_at(due, self._release_at_gate)

    def gate_changed(self) -> None:
        """Release requests from the gate in the next loop iteration, as its state has changed."""
        if not self.gate_scheduled:
            self.gate_scheduled = True
            self.loop.call_soon(self._release_at_gate)

    def _release_at_gate(self) -> None:
        """Pass on or reject the requests that the gate releases."""
        self.gate_scheduled = False
        if self.gate is None:
            return
        now = self.now_us()
        for name, retry_after_us in self.gate.release(now):
            request = self.open.get(name)
            if request is None or request.answer is None:
                continue
            if retry_after_us:
                self._reject(request, retry_after_us)
                continue
            if request.is_complete:
                # The wait counts against the client's time, which has not begun for a body that is still arriving.
                request.arrival = structs.replace(request.arrival, time_left_us=max(0, request.deadline - now))
            self._queue_event(request.arrival)
        self._schedule_release()

    def _start_backstop(self, request: OpenRequest) -> None:
        # Ensures an answer in time even if the scheduler gives none.
        grace = int(self.settings.rules.answer_grace_us * BACKSTOP)
        request.backstop = self.loop.call_at(request.deadline + grace, lambda: self._fail_overdue(request))

    def _start_timeout(self, attempt: Attempt) -> None:
        attempt.timer = self.loop.call_at(attempt.give_up_at, lambda: self._stop(attempt, api.Result.TIMEOUT))

    def probed(self, event: api.ProbeResult) -> None:
        """Pass the result of a probe to the scheduler."""
        self._queue_event(event)

    def attempt_streams(self, attempt: Attempt, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Answer the request with a stream; its attempt no longer times out. Returns False if nobody waits for it."""
        request = attempt.request
        if request.attempts.get(attempt.number) is not attempt or request.answer is None:
            return False
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.counters.add("answers_streamed")
        self._queue_event(api.StreamStarted(request.arrival.request, attempt.number, heard_us - attempt.sent_at))
        self._answer(request, Answer(Verdict.SERVED, body, shard=attempt.shard, stream=rest))
        return True

    def attempt_ended(self, attempt: Attempt, end: AttemptResult) -> None:
        """Handle the end of an attempt, which counts once; the first successful attempt answers its request."""
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
        self._queue_event(
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

    def _queue_event(self, event: api.Event) -> None:
        if not self.events:
            self.loop.call_soon(self._handle_events)
        self.events.append(event)

    def _handle_events(self) -> None:
        events, self.events = self.events, []
        now = self.now_us()
        try:
            actions = self.scheduler.handle(now, events)
        except Exception:
            # An error in the scheduler must not leave a client without an answer: the arrivals of this batch are failed
            # here, earlier requests by their backstop timer at the latest.
            self.counters.add("module_faults")
            self.log(traceback.format_exc())
            for event in events:
                if isinstance(event, api.Arrival) and (request := self.open.get(event.request)):
                    self._answer(request, Answer(Verdict.FAILED))
                    self._queue_event(api.Departure(event.request))
            return
        for action in actions:
            try:
                self._perform(action, now)
            except Exception:
                # The scheduler assumes that all actions are performed: one that raises must not prevent the others.
                self.counters.add("module_faults")
                self.log(traceback.format_exc())

    def _perform(self, action: api.Action, now: int) -> None:
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
                self.loop.call_at(now + action.delay_us, lambda: self._queue_event(api.TimerExpired(token)))
            case api.Probe():
                if self.probe is not None:
                    self.counters.add("probes_sent")
                    self.probe(action.node, self.probed)
            case api.Log():
                self.log(action.text)
            case api.Watch():
                pass  # discovery always watches

    def _send(self, action: api.Send, now: int) -> None:
        request = self.open.get(action.request)
        if request is None:
            return  # answered and removed; the scheduler has the event, or gets it with the next batch
        give_up_at = min(action.give_up_us or request.deadline, request.deadline)
        attempt = Attempt(self, request, request.attempts_sent, action.node, now, give_up_at, action.until_us)
        request.attempts_sent += 1
        request.attempts[attempt.number] = attempt
        shard, max_attempts = request.arrival.shard, self.settings.allowed.attempts
        if (bounds := request.arrival.bounds) is not None and 0 < bounds.attempts < (
            max_attempts or request.attempts_sent
        ):
            max_attempts = bounds.attempts
        if (
            not attempt.may_send()
            or 0 < max_attempts < request.attempts_sent
            or 0 <= shard != self.shards.get(action.node)
            or self.start is None
        ):
            attempt.end(AttemptResult(api.Result.MOOT))
            return
        self.counters.add("attempts_sent")
        if request.is_complete:
            self._start_timeout(attempt)
        if request.single_attempt:
            self._queue_event(api.StreamStarted(action.request, attempt.number, 0, upward=True))
        try:
            attempt.stop = self.start(attempt)
        except Exception:
            self.log(traceback.format_exc())
            attempt.end(AttemptResult(api.Result.CONNECT_FAILED))

    def _stop(self, attempt: Attempt, result: api.Result) -> None:
        """Abort an attempt; its end is reported first, so that a later result of the backend client is ignored."""
        attempt.end(AttemptResult(result))
        if attempt.stop is not None:
            attempt.stop()

    def _fail_overdue(self, request: OpenRequest) -> None:
        """Fail a request that is unanswered at its backstop, after the scheduler has had the events of this iteration.

        After a stall the timers of its attempts expire in the same iteration, and the scheduler answers by these.
        """
        if self.events:
            self.loop.call_soon(lambda: self._fail_unanswered(request))
        else:
            self._fail_unanswered(request)

    def _fail_unanswered(self, request: OpenRequest) -> None:
        if request.answer is not None:
            self.counters.add("requests_overdue")
            self._answer(request, Answer(Verdict.FAILED))
            self._queue_event(api.Departure(request.arrival.request))

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        if request.answer is None:
            return
        send_answer = request.answer
        self.counters.add(f"requests_{answer.verdict.value}")
        self._close(request)
        self._forget(request)
        send_answer(answer)

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
