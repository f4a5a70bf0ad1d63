"""Requests from arrival to answer: where each is held, what its attempts' ends mean, and its one answer."""

from __future__ import annotations

import heapq

from hophinge.core import interface as api
from hophinge.core.choice.books import Book, Request
from hophinge.core.choice.guards import Guards
from hophinge.core.choice.volumes import Volume

RETRY_REST = 0.2  # tightest aims that a node rests after it failed or turned away an attempt
LONGEST_REST = 5  # doublings of that rest while trials go on failing: some seconds, as lists are late
COME_BACK = 2.0  # tightest aims after which a refused client is told to come back
FORGET_US = 60_000_000  # a volume unheard of for a minute is forgotten; no request lives that long
NEVER_RAN = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT, api.Result.MISPLACED})
FAILED = frozenset({api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.ERROR, api.Result.RESET})
MAY_RUN_ON = frozenset({api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED})


class Requests(Guards):
    """What came in, taken into the books."""

    def _node_list(self, event: api.NodeList) -> None:
        if event.kind is api.ListKind.ERROR:
            self.watch_due = self.now + self.aim
            return
        if event.kind is not api.ListKind.SAVED:
            self.watch_due = -1
        named = {entry.node for entry in event.entries}
        if event.kind is api.ListKind.FULL:
            for node, book in self.books.items():
                if node not in named:
                    book.entry = api.NodeEntry(node, book.entry.zone, book.entry.shard, api.Phase.GONE, 0.0, 0)
        for entry in event.entries:
            book = self.books.setdefault(entry.node, Book(entry))
            if entry.started_us > book.entry.started_us:
                book.spent = book.served = book.lag = 0.0
                book.failures = 0
                book.rest_until = 0
                book.silent = False
                book.wait_at = 0
            book.entry = entry
        waiting = [one for book in self.books.values() for one in book.held.values()] + list(self.lost.values())
        self.shards = {}
        self.version = self.version + 1
        for _, book in sorted(self.books.items()):
            book.held = {}
            if book.entry.phase is api.Phase.ON:
                self.shards.setdefault(book.entry.shard, []).append(book)
        for node in [name for name, one in self.books.items() if one.entry.phase is api.Phase.GONE and not one.slots]:
            del self.books[node]
            self.fair.pop(node, None)
            for volume in self.volumes.values():
                volume.beyond.pop(node, None)
        self.lost.clear()
        self._look("")
        for request in waiting:
            self._hold(request)

    def _arrival(self, ask: api.Arrival) -> None:
        self.taken.append(self.now)
        while self.taken and self.taken[0] <= self.now - self.rules.budget_us:
            self.taken.popleft()
        if (volume := self.volumes.get(ask.volume)) is None or volume.number != ask.plan:
            for name in [name for name, one in self.volumes.items() if self.now - one.seen > FORGET_US]:
                del self.volumes[name]
            volume = self.volumes[ask.volume] = Volume(self.settings, ask.plan, self.now)
        volume.spread(ask.gateways if ask.gateways > 0 else self.settings.gateways, self.now, self.processes)
        klass = self.settings.classes[ask.klass]
        left = min(ask.time_left_us, klass.deadline_us)  # what one client says makes no other one late
        longest = self.longest[ask.klass] = max(self.longest.get(ask.klass, 0), left)
        waited = longest - left if left > klass.aim_us else 0  # else an impatient client: nothing was late already
        request = Request(ask, klass, volume, self.now, waited, self.random.random())
        self.requests[ask.request] = request
        heapq.heappush(self.deadlines, (request.hold_until + self.lead_us, ask.request))
        if klass.in_order and ask.key:
            self.turns.setdefault((ask.volume, ask.key), []).append(request)
        self._hold(request)

    def _hold(self, request: Request) -> None:
        ask, bound = request.ask, request.ran_on
        request.queue.pop(ask.request, None)
        if ask.shard < 0 and bound is None:
            request.queue = self.fresh
        else:
            there = self.shards.get(bound.entry.shard if ask.shard < 0 and bound else ask.shard, [])
            books = there if ask.bounds is None else [book for book in there if self._within(request, book)]
            request.queue = books[-1].held if books else self.lost
            request.place = books[-1].entry.node if books else "?"
        request.queue[ask.request] = request
        self.look[request.place] = None

    def _copy(self) -> None:
        """Hold again, for a second copy, what has been out for as long as its bounds state."""
        while self.copies and self.copies[0][0] <= self.now:
            request = self.requests.get(heapq.heappop(self.copies)[1])
            if request is None or request.done or request.started or len(request.out) != 1 or request.attempts != 1:
                continue
            others = any(self._may_take(request, book) for line in self.shards.values() for book in line)
            if others and self._may_repeat(request) and self._budget(request):
                request.copied = True
                self._hold(request)

    def _stream_started(self, event: api.StreamStarted) -> None:
        """From here the client sets the pace: the node's book must not take it for the node's."""
        request = self.requests.get(event.request)
        if request is None or (book := request.out.get(event.attempt)) is None:
            return
        request.started = True
        if (attempt := (event.request, event.attempt)) in book.slots:
            slot = self._drop(book, attempt)
            if not event.upward:
                done = min(self.now, slot.sent + event.elapsed_us) if event.elapsed_us else self.now
                self._served(book, slot, done - slot.sent, done)
                book.heard = self.now

    def _outcome(self, event: api.Outcome) -> None:
        now, request, book = self.now, self.requests.get(event.request), self.books.get(event.node)
        attempt = (event.request, event.attempt)
        if request is not None and request.started:
            # Its slot went when the stream started. One that broke off on its way up still lacks its answer.
            request.out.pop(event.attempt, None)
            if event.result not in NEVER_RAN and request.ran_on is None:
                request.ran_on = book
            return self._finish(event.request) if event.finished else self._answer(request)
        if book is None or attempt not in book.slots:
            return None
        slot = self._drop(book, attempt)
        if event.result is api.Result.OK:
            self._served(book, slot, min(event.elapsed_us or now, now - slot.sent), now)
        elif event.result in FAILED and slot.sent >= book.rest_until:
            # A node that fails quickly looks free, and the list tells of its end seconds late (incident
            # ia4d3c1): it rests longer each time and gets one trial. A flaky node loses some rate.
            book.rest_until = now + int(RETRY_REST * self.aim * 2 ** min(book.failures, LONGEST_REST))
            book.failures += 1
        if event.result not in (api.Result.TIMEOUT, api.Result.CANCELLED):
            book.heard = now
        if request is None:
            return None
        if event.used > 0:
            request.volume.all_use = (event.used - 1) / 100 * request.volume.plan.rate
        request.out.pop(event.attempt, None)
        request.wrote = request.wrote or event.result not in (api.Result.CONNECT_FAILED, api.Result.MOOT)
        if event.result is api.Result.MOOT and self.extra and request.attempts > 1:
            self.extra.pop()
        if event.result not in NEVER_RAN and request.ran_on is None:
            request.ran_on = book
        if event.result in MAY_RUN_ON and request.klass.in_order and self.rules.settle_us:
            self.key_rest = {key: until for key, until in self.key_rest.items() if until > now}
            self.key_rest[request.ask.volume, request.ask.key] = now + self.rules.settle_us
        if event.finished or request.done:
            if self.settings.allowed.cancel:
                self.actions += [api.Cancel(event.request, copy) for copy in request.out]
            self._finish(event.request)
        elif not request.out:
            # Another connection that takes as long to fail would leave its client unanswered past half of its time.
            last = request.deadline - self.wake_us if request.wrote else request.hold_until - event.elapsed_us
            request.ask = event.moved or request.ask
            # Where nobody knows where it lies, its client asks again elsewhere, the sooner the better.
            away = event.result is api.Result.MISPLACED and event.moved is None
            if not away and self._may_repeat(request) and now < last and self._budget(request):
                self._hold(request)
            else:
                self._answer(request, 0.0 if away else COME_BACK)

    def _answer(self, request: Request, rest: float = COME_BACK) -> None:
        """Refuse where a repeat is harmless, else fail; `rest`: aims after which a refused client may come back."""
        name, until = request.ask.request, self._repeat_until(request)
        advice = min(int(rest * self.aim), self.settings.allowed.retry_after_us)
        harmless = not until or (request.klass.scope is api.DedupScope.ALL and self.now + advice < until)
        self.actions.append(api.Refuse(name, advice) if harmless else api.Fail(name))
        self._finish(name)

    def _finish(self, name: str) -> None:
        """No more is sent for a request that has its answer; it is forgotten once nothing of it is out."""
        if (request := self.requests.get(name)) is None:
            return
        request.done = True
        request.queue.pop(name, None)
        if request.out:
            return
        del self.requests[name]
        line = self.turns.get((request.ask.volume, request.ask.key))
        if line and request in line:
            line.remove(request)
            if line:
                self.look[line[0].place] = None
            else:
                del self.turns[request.ask.volume, request.ask.key]

    def _expire(self) -> None:
        """Answer what can no longer be served, before its client gives up."""
        soon = self.now + self.lead_us
        while self.deadlines and self.deadlines[0][0] <= soon:
            _, name = heapq.heappop(self.deadlines)
            if (request := self.requests.get(name)) is None or request.done or request.started:
                continue
            unsent = not request.wrote and not request.out and request.hold_until <= self.now
            if unsent or request.deadline <= (self.now if request.out else soon):
                self._answer(request)
            else:
                last = request.deadline if request.wrote or request.out else request.hold_until + self.lead_us
                heapq.heappush(self.deadlines, (max(last, soon + 1), name))
