"""Requests from arrival to answer: their queues, the results of their attempts, and their answers."""

from __future__ import annotations

import heapq

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.send_rules import SendRules
from hophinge.core.choice.volume_state import VolumeState

FIRST_BACKOFF = 0.2  # tightest target latencies without requests for a node that failed or rejected an attempt
MAX_BACKOFF_DOUBLINGS = 5  # of that backoff while attempts keep failing: up to some seconds, as node lists lag
RETRY_AFTER = 2.0  # tightest target latencies that a refused client is told to wait
VOLUME_IDLE_US = 60_000_000  # without requests, after which a volume is removed; no request lives that long
NEVER_RAN = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT, api.Result.MISPLACED})
FAILED = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.ERROR, api.Result.RESET})
MAY_RUN_ON = frozenset({api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED})


class RequestLifecycle(SendRules):
    """Handles the events of requests and attempts."""

    def _node_list(self, event: api.NodeList) -> None:
        if event.kind is api.ListKind.ERROR:
            self.next_watch_at = self.now + self.target_us
            return
        if event.kind is not api.ListKind.SAVED:
            self.next_watch_at = -1
        listed = {entry.node for entry in event.entries}
        if event.kind is api.ListKind.FULL:
            for node_name, node in self.nodes.items():
                if node_name not in listed:
                    node.entry = api.NodeEntry(node_name, node.entry.zone, node.entry.shard, api.Phase.GONE, 0.0, 0)
        for entry in event.entries:
            node = self.nodes.setdefault(entry.node, NodeState(entry))
            if entry.started_us > node.entry.started_us:
                node.service_time = node.served_units = node.recent_latency = 0.0
                node.failures = 0
                node.backoff_until = 0
                node.is_unresponsive = False
                node.queue_delay_at = 0
            node.entry = entry
        to_enqueue = [queued for node in self.nodes.values() for queued in node.queued.values()] + list(
            self.unplaced_reads.values()
        )
        self.shards = {}
        self.node_list_version += 1
        for _, node in sorted(self.nodes.items()):
            node.queued = {}
            if node.entry.phase is api.Phase.ON:
                self.shards.setdefault(node.entry.shard, []).append(node)
        for node_name in [
            name for name, known in self.nodes.items() if known.entry.phase is api.Phase.GONE and not known.reservations
        ]:
            del self.nodes[node_name]
            self.fair_use.pop(node_name, None)
            for volume in self.volumes.values():
                volume.excess_use.pop(node_name, None)
        self.unplaced_reads.clear()
        self._queue_changed("")
        for request in to_enqueue:
            self._enqueue(request)

    def _arrival(self, arrival: api.Arrival) -> None:
        self.arrival_times.append(self.now)
        while self.arrival_times and self.arrival_times[0] <= self.now - self.rules.budget_us:
            self.arrival_times.popleft()
        if (volume := self.volumes.get(arrival.volume)) is None or volume.plan_number != arrival.plan:
            for name in [name for name, old in self.volumes.items() if self.now - old.last_observed > VOLUME_IDLE_US]:
                del self.volumes[name]
            volume = self.volumes[arrival.volume] = VolumeState(self.settings, arrival.plan, self.now)
        volume.share_limit(
            arrival.gateways if arrival.gateways > 0 else self.settings.gateways, self.now, self.processes
        )
        klass = self.settings.classes[arrival.klass]
        # Bounded, so that the deadline of one client does not make requests of others count as late.
        time_left_us = min(arrival.time_left_us, klass.deadline_us)
        longest_us = self.longest_deadlines[arrival.klass] = max(
            self.longest_deadlines.get(arrival.klass, 0), time_left_us
        )
        # A retry has less time left than others. With less than the target latency, it is just an impatient client.
        waited_us = longest_us - time_left_us if time_left_us > klass.target_latency_us else 0
        request = RequestState(arrival, klass, volume, self.now, waited_us, self.random.random())
        self.requests[arrival.request] = request
        heapq.heappush(self.deadlines, (request.queue_until + self.answer_lead_us, arrival.request))
        if klass.in_order and arrival.key:
            self.key_order.setdefault((arrival.volume, arrival.key), []).append(request)
        self._enqueue(request)

    def _enqueue(self, request: RequestState) -> None:
        arrival, ran_on = request.arrival, request.may_have_run_on
        request.queue.pop(arrival.request, None)
        if arrival.shard < 0 and ran_on is None:
            request.queue = self.queued_new_objects
        else:
            in_shard = self.shards.get(ran_on.entry.shard if arrival.shard < 0 and ran_on else arrival.shard, [])
            nodes = (
                in_shard
                if arrival.bounds is None
                else [node for node in in_shard if self._is_within_bounds(request, node)]
            )
            request.queue = nodes[-1].queued if nodes else self.unplaced_reads
            request.queue_key = nodes[-1].entry.node if nodes else "?"
        request.queue[arrival.request] = request
        self.changed_queues[request.queue_key] = None

    def _enqueue_hedges(self) -> None:
        """Queue requests for a hedged second attempt, once the delay that their bounds state has passed."""
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
            has_other_node = any(
                self._may_send_to(request, node) for shard_nodes in self.shards.values() for node in shard_nodes
            )
            if has_other_node and self._may_retry(request) and self._takes_retry_budget(request):
                request.is_hedged = True
                self._enqueue(request)

    def _stream_started(self, event: api.StreamStarted) -> None:
        """Release the reservation of a streaming attempt: its duration depends on the client and not on the node."""
        request = self.requests.get(event.request)
        if request is None or (node := request.in_flight.get(event.attempt)) is None:
            return
        request.is_streaming = True
        if (attempt := (event.request, event.attempt)) in node.reservations:
            reservation = self._release(node, attempt)
            if not event.upward:
                done = min(self.now, reservation.sent_at + event.elapsed_us) if event.elapsed_us else self.now
                self._record_service(node, reservation, done - reservation.sent_at, done)
                node.last_answer_at = self.now

    def _outcome(self, event: api.Outcome) -> None:
        """Record the end of an attempt and decide what becomes of its request."""
        request, node = self.requests.get(event.request), self.nodes.get(event.node)
        if request is not None and request.is_streaming:
            # Its reservation was released when the stream started. An upload that broke off still needs an answer.
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
            # A node that fails quickly looks idle, and the list reports its end seconds late (incident ia4d3c1): the
            # backoff doubles each time, with one attempt in between. A flaky node loses some throughput.
            doublings = min(node.failures, MAX_BACKOFF_DOUBLINGS)
            node.backoff_until = now + int(FIRST_BACKOFF * self.target_us * 2**doublings)
            node.failures += 1
        if event.result not in (api.Result.TIMEOUT, api.Result.CANCELLED):
            node.last_answer_at = now

    def _record_request_outcome(self, request: RequestState, node: NodeState, event: api.Outcome) -> None:
        """Record the end of an attempt in its request, and whether the request may have been executed."""
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
        """Queue a request for another attempt, or answer it if one could not end in time or is not allowed."""
        if request.has_written:
            retry_before = request.deadline - self.wake_interval_us
        else:
            # Another connection attempt that takes as long would leave its client unanswered past half its time.
            retry_before = request.queue_until - event.elapsed_us
        request.arrival = event.moved or request.arrival
        # If the location of its data is unknown, its client is to retry elsewhere as soon as possible.
        is_misplaced = event.result is api.Result.MISPLACED and event.moved is None
        in_time = self.now < retry_before
        if not is_misplaced and self._may_retry(request) and in_time and self._takes_retry_budget(request):
            self._enqueue(request)
        else:
            self._answer(request, 0.0 if is_misplaced else RETRY_AFTER)

    def _answer(self, request: RequestState, retry_after: float = RETRY_AFTER) -> None:
        """Refuse a request if a repeat is harmless, else fail it; `retry_after` is in tightest target latencies."""
        name, until = request.arrival.request, self._retry_deadline(request)
        retry_after_us = min(int(retry_after * self.target_us), self.settings.allowed.retry_after_us)
        is_harmless = not until or (request.klass.scope is api.DedupScope.ALL and self.now + retry_after_us < until)
        self.actions.append(api.Refuse(name, retry_after_us) if is_harmless else api.Fail(name))
        self._finish(name)

    def _finish(self, name: str) -> None:
        """Mark a request as answered, so that nothing more is sent; remove it once no attempt is in flight."""
        if (request := self.requests.get(name)) is None:
            return
        request.is_answered = True
        request.queue.pop(name, None)
        if request.in_flight:
            return
        del self.requests[name]
        same_key = self.key_order.get((request.arrival.volume, request.arrival.key))
        if same_key and request in same_key:
            same_key.remove(request)
            if same_key:
                self.changed_queues[same_key[0].queue_key] = None
            else:
                del self.key_order[request.arrival.volume, request.arrival.key]

    def _expire(self) -> None:
        """Answer requests that can no longer be served, before their clients' deadlines."""
        answer_until = self.now + self.answer_lead_us
        while self.deadlines and self.deadlines[0][0] <= answer_until:
            _, name = heapq.heappop(self.deadlines)
            if (request := self.requests.get(name)) is None or request.is_answered or request.is_streaming:
                continue
            is_unsent = not request.has_written and not request.in_flight and request.queue_until <= self.now
            if is_unsent or request.deadline <= (self.now if request.in_flight else answer_until):
                self._answer(request)
            else:
                check_at = (
                    request.deadline
                    if request.has_written or request.in_flight
                    else request.queue_until + self.answer_lead_us
                )
                heapq.heappush(self.deadlines, (max(check_at, answer_until + 1), name))
