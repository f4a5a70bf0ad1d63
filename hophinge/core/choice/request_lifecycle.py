"""Requests from arrival to answer: where each is held, what its attempts' ends mean, and its one answer."""

from __future__ import annotations

import heapq

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.send_rules import SendRules
from hophinge.core.choice.volume_state import VolumeState

FIRST_BACKOFF = 0.2  # tightest aims that a node rests after it failed or turned away an attempt
MAX_BACKOFF_DOUBLINGS = 5  # doublings of that rest while trials go on failing: some seconds, as lists are late
RETRY_AFTER = 2.0  # tightest aims after which a refused client is told to come back
VOLUME_IDLE_US = 60_000_000  # a volume unheard of for a minute is forgotten; no request lives that long
NEVER_RAN = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT, api.Result.MISPLACED})
FAILED = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.ERROR, api.Result.RESET})
MAY_RUN_ON = frozenset({api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED})


class RequestLifecycle(SendRules):
    """What came in, taken into the books."""

    def _node_list(self, event: api.NodeList) -> None:
        if event.kind is api.ListKind.ERROR:
            self.next_watch_at = self.now + self.target_us
            return
        if event.kind is not api.ListKind.SAVED:
            self.next_watch_at = -1
        named = {entry.node for entry in event.entries}
        if event.kind is api.ListKind.FULL:
            for node, book in self.nodes.items():
                if node not in named:
                    book.entry = api.NodeEntry(node, book.entry.zone, book.entry.shard, api.Phase.GONE, 0.0, 0)
        for entry in event.entries:
            book = self.nodes.setdefault(entry.node, NodeState(entry))
            if entry.started_us > book.entry.started_us:
                book.service_time = book.served_units = book.recent_latency = 0.0
                book.failures = 0
                book.backoff_until = 0
                book.is_unresponsive = False
                book.queue_delay_at = 0
            book.entry = entry
        waiting = [one for book in self.nodes.values() for one in book.queued.values()] + list(
            self.unplaced_reads.values()
        )
        self.shards = {}
        self.node_list_version += 1
        for _, book in sorted(self.nodes.items()):
            book.queued = {}
            if book.entry.phase is api.Phase.ON:
                self.shards.setdefault(book.entry.shard, []).append(book)
        for node in [
            name for name, one in self.nodes.items() if one.entry.phase is api.Phase.GONE and not one.reservations
        ]:
            del self.nodes[node]
            self.fair_use.pop(node, None)
            for volume in self.volumes.values():
                volume.excess_use.pop(node, None)
        self.unplaced_reads.clear()
        self._queue_changed("")
        for request in waiting:
            self._enqueue(request)

    def _arrival(self, arrival: api.Arrival) -> None:
        self.arrival_times.append(self.now)
        while self.arrival_times and self.arrival_times[0] <= self.now - self.rules.budget_us:
            self.arrival_times.popleft()
        if (volume := self.volumes.get(arrival.volume)) is None or volume.plan_number != arrival.plan:
            for name in [name for name, one in self.volumes.items() if self.now - one.last_observed > VOLUME_IDLE_US]:
                del self.volumes[name]
            volume = self.volumes[arrival.volume] = VolumeState(self.settings, arrival.plan, self.now)
        volume.share_limit(
            arrival.gateways if arrival.gateways > 0 else self.settings.gateways, self.now, self.processes
        )
        klass = self.settings.classes[arrival.klass]
        left = min(arrival.time_left_us, klass.deadline_us)  # what one client says makes no other one late
        longest = self.longest_deadlines[arrival.klass] = max(self.longest_deadlines.get(arrival.klass, 0), left)
        waited = (
            longest - left if left > klass.target_latency_us else 0
        )  # else an impatient client: nothing was late already
        request = RequestState(arrival, klass, volume, self.now, waited, self.random.random())
        self.requests[arrival.request] = request
        heapq.heappush(self.deadlines, (request.queue_until + self.answer_lead_us, arrival.request))
        if klass.in_order and arrival.key:
            self.key_order.setdefault((arrival.volume, arrival.key), []).append(request)
        self._enqueue(request)

    def _enqueue(self, request: RequestState) -> None:
        arrival, bound = request.arrival, request.may_have_run_on
        request.queue.pop(arrival.request, None)
        if arrival.shard < 0 and bound is None:
            request.queue = self.queued_new_objects
        else:
            there = self.shards.get(bound.entry.shard if arrival.shard < 0 and bound else arrival.shard, [])
            books = (
                there if arrival.bounds is None else [book for book in there if self._is_within_bounds(request, book)]
            )
            request.queue = books[-1].queued if books else self.unplaced_reads
            request.queue_key = books[-1].entry.node if books else "?"
        request.queue[arrival.request] = request
        self.changed_queues[request.queue_key] = None

    def _enqueue_hedges(self) -> None:
        """Hold again, for a second copy, what has been out for as long as its bounds state."""
        while self.hedge_times and self.hedge_times[0][0] <= self.now:
            request = self.requests.get(heapq.heappop(self.hedge_times)[1])
            if (
                request is None
                or request.is_answered
                or request.is_streaming
                or len(request.in_flight) != 1
                or request.attempts != 1
            ):
                continue
            others = any(self._may_send_to(request, book) for line in self.shards.values() for book in line)
            if others and self._may_retry(request) and self._takes_retry_budget(request):
                request.is_hedged = True
                self._enqueue(request)

    def _stream_started(self, event: api.StreamStarted) -> None:
        """From here the client sets the pace: the node's book must not take it for the node's."""
        request = self.requests.get(event.request)
        if request is None or (book := request.in_flight.get(event.attempt)) is None:
            return
        request.is_streaming = True
        if (attempt := (event.request, event.attempt)) in book.reservations:
            slot = self._release(book, attempt)
            if not event.upward:
                done = min(self.now, slot.sent_at + event.elapsed_us) if event.elapsed_us else self.now
                self._record_service(book, slot, done - slot.sent_at, done)
                book.last_answer_at = self.now

    def _outcome(self, event: api.Outcome) -> None:
        """Record the end of an attempt and decide what becomes of its request."""
        request, node = self.requests.get(event.request), self.nodes.get(event.node)
        if request is not None and request.is_streaming:
            # Its slot went when the stream started. One that broke off on its way up still lacks its answer.
            request.in_flight.pop(event.attempt, None)
            if event.result not in NEVER_RAN and request.may_have_run_on is None:
                request.may_have_run_on = node
            return self._finish(event.request) if event.finished else self._answer(request)
        if node is None or (event.request, event.attempt) not in node.reservations:
            return None
        self._record_node_outcome(node, event)
        if request is None:
            return None
        self._record_request_outcome(request, node, event)
        if event.finished or request.is_answered:
            if self.settings.allowed.cancel:
                self.actions += [api.Cancel(event.request, attempt) for attempt in request.in_flight]
            self._finish(event.request)
        elif not request.in_flight:
            self._retry_or_answer(request, event)
        return None

    def _record_node_outcome(self, node: NodeState, event: api.Outcome) -> None:
        """Learn from the end of an attempt about its node."""
        now = self.now
        reservation = self._release(node, (event.request, event.attempt))
        if event.result is api.Result.OK:
            self._record_service(node, reservation, min(event.elapsed_us or now, now - reservation.sent_at), now)
        elif event.result in FAILED and reservation.sent_at >= node.backoff_until:
            # A node that fails quickly looks free, and the list tells of its end seconds late (incident
            # ia4d3c1): it rests longer each time and gets one trial. A flaky node loses some rate.
            doublings = min(node.failures, MAX_BACKOFF_DOUBLINGS)
            node.backoff_until = now + int(FIRST_BACKOFF * self.target_us * 2**doublings)
            node.failures += 1
        if event.result not in (api.Result.TIMEOUT, api.Result.CANCELLED):
            node.last_answer_at = now

    def _record_request_outcome(self, request: RequestState, node: NodeState, event: api.Outcome) -> None:
        """Record the end of an attempt with its request, whose effect it may have had."""
        now = self.now
        if event.used > 0:
            request.volume.reported_use = (event.used - 1) / 100 * request.volume.plan.rate
        request.in_flight.pop(event.attempt, None)
        request.has_written = request.has_written or event.result not in (api.Result.CONNECT_FAILED, api.Result.MOOT)
        if event.result is api.Result.MOOT and self.retry_times and request.attempts > 1:
            self.retry_times.pop()
        if event.result not in NEVER_RAN and request.may_have_run_on is None:
            request.may_have_run_on = node
        if event.result in MAY_RUN_ON and request.klass.in_order and self.rules.key_block_us:
            self.key_blocked_until = {key: until for key, until in self.key_blocked_until.items() if until > now}
            self.key_blocked_until[request.arrival.volume, request.arrival.key] = now + self.rules.key_block_us

    def _retry_or_answer(self, request: RequestState, event: api.Outcome) -> None:
        """Queue a request for another attempt, or answer it where that could not end in time or is not allowed."""
        if request.has_written:
            retry_before = request.deadline - self.wake_interval_us
        else:
            # Another connection that takes as long to fail would leave its client unanswered past half of its time.
            retry_before = request.queue_until - event.elapsed_us
        request.arrival = event.moved or request.arrival
        # Where nobody knows where it lies, its client asks again elsewhere, the sooner the better.
        away = event.result is api.Result.MISPLACED and event.moved is None
        in_time = self.now < retry_before
        if not away and self._may_retry(request) and in_time and self._takes_retry_budget(request):
            self._enqueue(request)
        else:
            self._answer(request, 0.0 if away else RETRY_AFTER)

    def _answer(self, request: RequestState, retry_after: float = RETRY_AFTER) -> None:
        """Refuse where a repeat is harmless, else fail; `rest`: aims after which a refused client may come back."""
        name, until = request.arrival.request, self._retry_deadline(request)
        advice = min(int(retry_after * self.target_us), self.settings.allowed.retry_after_us)
        harmless = not until or (request.klass.scope is api.DedupScope.ALL and self.now + advice < until)
        self.actions.append(api.Refuse(name, advice) if harmless else api.Fail(name))
        self._finish(name)

    def _finish(self, name: str) -> None:
        """No more is sent for a request that has its answer; it is forgotten once nothing of it is out."""
        if (request := self.requests.get(name)) is None:
            return
        request.is_answered = True
        request.queue.pop(name, None)
        if request.in_flight:
            return
        del self.requests[name]
        line = self.key_order.get((request.arrival.volume, request.arrival.key))
        if line and request in line:
            line.remove(request)
            if line:
                self.changed_queues[line[0].queue_key] = None
            else:
                del self.key_order[request.arrival.volume, request.arrival.key]

    def _expire(self) -> None:
        """Answer what can no longer be served, before its client gives up."""
        soon = self.now + self.answer_lead_us
        while self.deadlines and self.deadlines[0][0] <= soon:
            _, name = heapq.heappop(self.deadlines)
            if (request := self.requests.get(name)) is None or request.is_answered or request.is_streaming:
                continue
            unsent = not request.has_written and not request.in_flight and request.queue_until <= self.now
            if unsent or request.deadline <= (self.now if request.in_flight else soon):
                self._answer(request)
            else:
                last = (
                    request.deadline
                    if request.has_written or request.in_flight
                    else request.queue_until + self.answer_lead_us
                )
                heapq.heappush(self.deadlines, (max(last, soon + 1), name))
