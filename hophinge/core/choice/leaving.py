"""What leaves: held requests by worth, a new object to the book of its group that frees first; one place sends."""

from __future__ import annotations

import heapq
from hashlib import blake2b

from hophinge.core import interface as api
from hophinge.core.choice.books import Book, Request
from hophinge.core.choice.nodes import FINE, PATIENCE
from hophinge.core.choice.requests import Requests
from hophinge.core.choice.volumes import Gauge

GROUP = 9  # members of a key's group: the paper's negotiating group, three times three replicas
UNHEARD = 8.0  # tightest aims, for each gateway, after which what was learned of an idle node refuses no more
STEP = 0.7  # power of the part of its full worth that a request earns, by which its patience falls
Ready = tuple[float, int, str, Request, Book | None]


class Leaving(Requests):
    """What goes when, and where to."""

    def _part(self, request: Request, place: str, wait: float) -> float:
        """Part of its full worth that a unit of the request earns now."""
        volume, part = request.volume, 1.0
        if request.ask.spare or volume.reserve_left(self.now) < request.ask.units:
            own = volume.beyond.get(place)
            within = own is None or own.rate(self.now) <= self._fair(place) * volume.plan.weight
            part = self.settings.share_worth if within and not request.ask.spare else self.settings.spare_worth
        return part if self.now + wait <= request.aim_at else part * request.klass.late_worth

    def _fair(self, place: str) -> float:
        """Mean use beyond the reserves at a node for each weight of the volumes that use it so."""
        at, level = self.fair.get(place, (-self.aim, 0.0))
        if self.now - at >= self.aim / FINE * 3:
            volumes = [volume for volume in self.volumes.values() if place in volume.beyond]
            uses = [(volume.beyond[place].rate(self.now), volume.plan.weight) for volume in volumes]
            weight = sum(weight for use, weight in uses if use > 0.1)
            level = sum(use for use, _ in uses if use > 0.1) / weight if weight > 0 else 0.0
            self.fair[place] = self.now, level
        return level

    def _group(self, request: Request) -> list[Book]:
        """The group of a key: the nodes of least rendezvous hash with it, which also settles ties."""
        key, free = request.ask.key or request.ask.request, request.ask.bounds is None
        books = [book for line in self.shards.values() for book in line if free or self._within(request, book)]
        books.sort(key=lambda book: blake2b(f"{key}\0{book.entry.node}".encode(), digest_size=8).digest())
        return books[:GROUP]

    def _dispatch(self, places: list[str]) -> None:
        """Let what is held at some places go, that of most worth first."""
        ready: list[Ready] = []
        queues = [
            (place, book := self.books.get(place), book.held if book else {} if place else self.fresh)
            for place in places
        ]
        for place, book, held in queues:
            if self.again.get(place, self.now) <= self.now:
                self.again.pop(place, None)
                (book or self).full = False
            if self.full if book is None else book.full or not self._open(book):
                continue
            wait = max(book.free - self.now, self._wait(book)) if book is not None else 0.0
            unit_us = self._nominal(book) if book is not None else 0.0
            for name, request in held.items():
                if self._may_go(request):
                    # Worth of serving a unit now: class, price, what is still due, whether in time.
                    part = self._part(request, place, wait + request.ask.units * unit_us)
                    worth = request.klass.worth * request.volume.plan.price * part
                    ready.append((-worth, request.aim_at, name, request, book))
        for _, _, _, request, chosen in self._shed(sorted(ready, key=lambda row: row[:3])):
            # What is next in turn and does not fit is waited for: smaller work would slip past it for ever,
            # and looking at the queue again for each arrival is what a flood made dear (incident i75347d).
            if chosen is None:
                if not self.full and not self._place(request):
                    self.full = True
            elif not chosen.full and not self._send(request, chosen):
                chosen.full = not self._room(chosen, request.ask.units)
        for place, _, held in queues:
            if held and place not in self.again:
                rests = [rest for rest in self.key_rest.values() if rest > self.now]
                self.again[place] = min([self.now + self.wake_us, *rests])

    def _shed(self, ready: list[Ready]) -> list[Ready]:
        """Answer now what the work ahead keeps from its deadline; a flood isn't held (incident i75347d)."""
        ahead, kept = dict[str, float](), list[Ready]()
        for row in ready:
            request, book = row[3], row[4]
            place = book.entry.node if book is not None else ""
            unit_us = self._unit_us(book) if book is not None else self._mean_us / max(1, len(self.shards))
            wait = ahead[place] = ahead.get(place, 0.0) + request.ask.units * unit_us
            if self.now + wait > request.deadline and not request.attempts:
                self._answer(request)
                then = self.now - UNHEARD * self.aim * self.settings.gateways
                idle = [one for one in self.books.values() if not one.slots and one.heard < then]
                if book is not None and book in idle:  # what a stall taught would refuse for ever: none unlearns it
                    book.spent = book.served = 0.0
                if len(idle) == len(self.books):
                    self.all_spent = self.all_served = 0.0
            else:
                kept.append(row)
        return kept

    def _place(self, request: Request) -> bool:
        """A new object goes to the member of its key's group whose book, with it, frees earliest."""
        units, now = request.ask.units, self.now
        version = self.version, request.ask.bounds.version if request.ask.bounds is not None else 0
        if request.version != version or request.copied:
            request.version, request.group = version, self._group(request)
        members = [book for book in request.group if not book.full and not book.silent and self._open(book)]
        added = self.scorers.added_us(now, request.ask, members) if self.scorers is not None else None
        members.sort(
            key=lambda book: (
                book.failures > 0,
                max(book.free, now + self._wait(book))
                + units * self._unit_us(book)
                + (added.get(book.entry.node, 0.0) if added else 0.0),
            )
        )
        return any(self._send(request, book) for book in members)

    def _send(self, request: Request, book: Book) -> bool:
        """The one place that sends: every rule is a guard here."""
        ask, now = request.ask, self.now
        if not self._room(book, ask.units) or not self._may_go(request) or not self._may_take(request, book):
            return False
        # Others' work: what earns less leaves only for a shorter wait at the node. All gateways see that
        # wait, so reserve goes before share before spare without a word between them.
        wait = self._wait(book)
        part = self._part(request, book.entry.node, wait + ask.units * self._nominal(book))
        if wait > PATIENCE * self.aim * part**STEP:
            return False
        if not request.charged:
            request.charged = True
            request.volume.limit.level -= ask.units
        volume = request.volume
        if volume.reserve_left(now) >= ask.units:
            volume.reserve.level -= ask.units
        elif not ask.spare:
            for place in (book.entry.node, ""):
                volume.beyond.setdefault(place, Gauge()).add(now, ask.units)
        volume.own.add(now, ask.units)
        if request.attempts:
            self.extra.append(now)
        request.queue.pop(ask.request, None)
        until = self._repeat_until(request)
        request.ran_at = now if request.ran_on is None else request.ran_at
        book.reserve((ask.request, request.attempts), ask.units, self._unit_us(book), now)
        book.sent = book.sent_since(now - self.rules.fall_us) + ask.units
        book.recent.append((now, ask.units))
        self.busy[book.entry.node] = book
        request.out[request.attempts] = book
        request.attempts += 1
        copies = self.settings.allowed.second_copies and request.klass.effect is api.Effect.SAFE
        if copies and ask.bounds is not None and ask.bounds.second_copy_us and not request.klass.in_order:
            heapq.heappush(self.copies, (now + ask.bounds.second_copy_us, ask.request))
        self.actions.append(api.Send(ask.request, book.entry.node, 0, until))
        return True
