"""What leaves: held requests by worth, a new object to the book of its group that frees first; one place sends."""

from __future__ import annotations

import heapq
from hashlib import blake2b

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.gateway_state import WAKEUPS_PER_TARGET, MAX_QUEUE_DELAY
from hophinge.core.choice.request_lifecycle import RequestLifecycle
from hophinge.core.choice.volume_state import DecayingRate

GROUP_SIZE = 9  # members of a key's group: the paper's negotiating group, three times three replicas
UNLEARN_AFTER = 8.0  # tightest aims, for each gateway, after which what was learned of an idle node refuses no more
DELAY_EXPONENT = 0.7  # power of the part of its full worth that a request earns, by which its patience falls
Ready = tuple[float, int, str, RequestState, NodeState | None]


class Dispatcher(RequestLifecycle):
    """What goes when, and where to."""

    def _value_factor(self, request: RequestState, queue_key: str, wait: float) -> float:
        """Part of its full worth that a unit of the request earns now."""
        volume, factor = request.volume, 1.0
        if request.arrival.is_background or volume.reserve_left(self.now) < request.arrival.units:
            own = volume.excess_use.get(queue_key)
            within = own is None or own.rate(self.now) <= self._fair_use_per_weight(queue_key) * volume.plan.weight
            factor = (
                self.settings.share_value if within and not request.arrival.is_background else self.settings.spare_value
            )
        return factor if self.now + wait <= request.target_at else factor * request.klass.late_value

    def _fair_use_per_weight(self, queue_key: str) -> float:
        """Mean use beyond the reserves at a node for each weight of the volumes that use it so."""
        at, level = self.fair_use.get(queue_key, (-self.target_us, 0.0))
        if self.now - at >= self.target_us / WAKEUPS_PER_TARGET * 3:
            volumes = [volume for volume in self.volumes.values() if queue_key in volume.excess_use]
            uses = [(volume.excess_use[queue_key].rate(self.now), volume.plan.weight) for volume in volumes]
            weight = sum(weight for use, weight in uses if use > 0.1)
            level = sum(use for use, _ in uses if use > 0.1) / weight if weight > 0 else 0.0
            self.fair_use[queue_key] = self.now, level
        return level

    def _candidates(self, request: RequestState) -> list[NodeState]:
        """The group of a key: the nodes of least rendezvous hash with it, which also settles ties."""
        key, free = request.arrival.key or request.arrival.request, request.arrival.bounds is None
        books = [
            book for line in self.shards.values() for book in line if free or self._is_within_bounds(request, book)
        ]
        books.sort(key=lambda book: blake2b(f"{key}\0{book.entry.node}".encode(), digest_size=8).digest())
        return books[:GROUP_SIZE]

    def _dispatch(self, queue_keys: list[str]) -> None:
        """Let what is held at some places go, that of most worth first."""
        ready: list[Ready] = []
        queues = [
            (place, book := self.nodes.get(place), book.queued if book else {} if place else self.queued_new_objects)
            for place in queue_keys
        ]
        for place, book, held in queues:
            if self.recheck_at.get(place, self.now) <= self.now:
                self.recheck_at.pop(place, None)
                if book is not None:
                    book.is_blocked = False
                else:
                    self.new_objects_blocked = False
            if self.new_objects_blocked if book is None else book.is_blocked or not self._accepts_work(book):
                continue
            wait = max(book.free_at - self.now, self._queue_delay(book)) if book is not None else 0.0
            unit_us = self._nominal_us(book) if book is not None else 0.0
            for name, request in held.items():
                if self._may_send(request):
                    # Worth of serving a unit now: class, price, what is still due, whether in time.
                    factor = self._value_factor(request, place, wait + request.arrival.units * unit_us)
                    value = request.klass.value * request.volume.plan.price * factor
                    ready.append((-value, request.target_at, name, request, book))
        for _, _, _, request, chosen in self._shed(sorted(ready, key=lambda row: row[:3])):
            # What is next in turn and does not fit is waited for: smaller work would slip past it for ever,
            # and looking at the queue again for each arrival is what a flood made dear (incident i75347d).
            if chosen is None:
                if not self.new_objects_blocked and not self._place_new_object(request):
                    self.new_objects_blocked = True
            elif not chosen.is_blocked and not self._send(request, chosen):
                chosen.is_blocked = not self._has_capacity(chosen, request.arrival.units)
        for place, _, held in queues:
            if held and place not in self.recheck_at:
                rests = [rest for rest in self.key_blocked_until.values() if rest > self.now]
                self.recheck_at[place] = min([self.now + self.wake_interval_us, *rests])

    def _shed(self, ready: list[Ready]) -> list[Ready]:
        """Answer now what the work ahead keeps from its deadline; a flood isn't held (incident i75347d)."""
        ahead, kept = dict[str, float](), list[Ready]()
        for row in ready:
            request, book = row[3], row[4]
            place = book.entry.node if book is not None else ""
            unit_us = self._unit_us(book) if book is not None else self._mean_unit_us / max(1, len(self.shards))
            wait = ahead[place] = ahead.get(place, 0.0) + request.arrival.units * unit_us
            if self.now + wait > request.deadline and not request.attempts:
                self._answer(request)
                then = self.now - UNLEARN_AFTER * self.target_us * self.settings.gateways
                idle = [one for one in self.nodes.values() if not one.reservations and one.last_answer_at < then]
                if book is not None and book in idle:  # what a stall taught would refuse for ever: none unlearns it
                    book.service_time = book.served_units = 0.0
                if len(idle) == len(self.nodes):
                    self.total_service_time = self.total_served_units = 0.0
            else:
                kept.append(row)
        return kept

    def _place_new_object(self, request: RequestState) -> bool:
        """A new object goes to the member of its key's group whose book, with it, frees earliest."""
        units, now = request.arrival.units, self.now
        version = self.node_list_version, request.arrival.bounds.version if request.arrival.bounds is not None else 0
        if request.candidates_version != version or request.is_hedged:
            request.candidates_version, request.candidates = version, self._candidates(request)
        members = [
            book
            for book in request.candidates
            if not book.is_blocked and not book.is_unresponsive and self._accepts_work(book)
        ]
        added = self.scorers.added_us(now, request.arrival, members) if self.scorers is not None else None
        members.sort(
            key=lambda book: (
                book.failures > 0,
                max(book.free_at, now + self._queue_delay(book))
                + units * self._unit_us(book)
                + (added.get(book.entry.node, 0.0) if added else 0.0),
            )
        )
        return any(self._send(request, book) for book in members)

    def _send(self, request: RequestState, node: NodeState) -> bool:
        """The one place that sends: every rule is a guard here."""
        arrival, now = request.arrival, self.now
        if (
            not self._has_capacity(node, arrival.units)
            or not self._may_send(request)
            or not self._may_send_to(request, node)
        ):
            return False
        # Others' work: what earns less leaves only for a shorter wait at the node. All gateways see that
        # wait, so reserve goes before share before spare without a word between them.
        wait = self._queue_delay(node)
        factor = self._value_factor(request, node.entry.node, wait + arrival.units * self._nominal_us(node))
        if wait > MAX_QUEUE_DELAY * self.target_us * factor**DELAY_EXPONENT:
            return False
        if not request.is_charged:
            request.is_charged = True
            request.volume.limit.level -= arrival.units
        volume = request.volume
        if volume.reserve_left(now) >= arrival.units:
            volume.reserve.level -= arrival.units
        elif not arrival.is_background:
            for place in (node.entry.node, ""):
                volume.excess_use.setdefault(place, DecayingRate()).add(now, arrival.units)
        volume.local_use.add(now, arrival.units)
        if request.attempts:
            self.retry_times.append(now)
        request.queue.pop(arrival.request, None)
        until = self._retry_deadline(request)
        request.may_have_run_since = now if request.may_have_run_on is None else request.may_have_run_since
        node.reserve((arrival.request, request.attempts), arrival.units, self._unit_us(node), now)
        node.recent_units = node.units_since(now - self.rules.overload_window_us) + arrival.units
        node.recent_sends.append((now, arrival.units))
        self.active_nodes[node.entry.node] = node
        request.in_flight[request.attempts] = node
        request.attempts += 1
        copies = self.settings.allowed.hedging and request.klass.effect is api.Effect.SAFE
        if copies and arrival.bounds is not None and arrival.bounds.hedge_delay_us and not request.klass.in_order:
            heapq.heappush(self.hedge_times, (now + arrival.bounds.hedge_delay_us, arrival.request))
        self.actions.append(api.Send(arrival.request, node.entry.node, 0, until))
        return True
