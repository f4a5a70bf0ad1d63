"""The rules: what a request may do at all, and what it may do at a node; no worth enters here."""

from __future__ import annotations

from hophinge.core import interface as api
from hophinge.core.choice.books import Book, Request
from hophinge.core.choice.nodes import PATIENCE, Nodes

COLD_PART = 0.5  # part of a cold node's reckoned allowance used: units only stand for work


class Guards(Nodes):
    """Every rule, asked before each send."""

    def _may_go(self, request: Request) -> bool:
        """The rules that look at the request alone; none looks at what a send would be worth."""
        ask, klass, rules, now = request.ask, request.klass, self.rules, self.now
        # Answered once: nothing is sent for a request that has its answer, or whose client gives up.
        # One attempt at a time but for a second copy, which also keeps within what forbids those.
        if request.done or request.started or now >= request.deadline or len(request.out) > request.copied:
            return False
        if request.attempts:
            if not self._may_repeat(request):
                return False
            # Budget of further attempts in a sliding window; it ends open, so that no edge is counted short.
            if rules.budget_us:
                while self.extra and self.extra[0] < now - rules.budget_us:
                    self.extra.popleft()
                taken = sum(at > now - rules.budget_us for at in self.taken)
                if len(self.extra) + 1 > rules.budget_free + rules.budget_share * taken:
                    return False
        # Order: a key's requests one at a time, and a rest after an attempt that may still run.
        elif (
            klass.in_order
            and ask.key
            and (self.turns[ask.volume, ask.key][0] is not request or self.key_rest.get((ask.volume, ask.key), 0) > now)
        ):
            return False
        # The plan's limit.
        return request.charged or request.volume.within_limit(ask.units, now)

    def _may_repeat(self, request: Request) -> bool:
        """Whether any further attempt could ever pass the gate."""
        until = self._repeat_until(request)
        return not 0 < self.settings.allowed.attempts <= request.attempts and (not until or self.now < until)

    def _budget(self, request: Request) -> bool:
        return request.ask.bounds is None or request.ask.bounds.repeat(self.now, request.attempts)

    def _repeat_until(self, request: Request) -> int:
        """Until when a request may run again, by its class's effect and since when it may have run; 0: no end."""
        if request.klass.effect is api.Effect.SAFE or (request.ran_on is None and not request.out):
            return 0
        keyed = request.klass.effect is api.Effect.KEYED and not request.ask.keyless
        return max(1, request.ran_at + request.klass.dedup_window_us - self.settings.tick_us) if keyed else 1

    def _within(self, request: Request, book: Book) -> bool:
        """Whether a request's bounds, and its copy that is out, leave it a node."""
        ask, ran_on = request.ask, request.ran_on
        if book in request.out.values():
            return False
        shard = ask.shard if ask.shard >= 0 or ran_on is None else ran_on.entry.shard
        return ask.bounds is None or ask.bounds.takes(book.entry.node, shard)

    def _may_take(self, request: Request, book: Book) -> bool:
        """The rules that look at the node."""
        rules, now = self.rules, self.now
        if request.ask.bounds is not None and not self._within(request, book):
            return False
        # No double effect: a keyed request that may have run stays with the nodes that drop its repeat.
        if request.ran_on is not None and request.klass.effect is not api.Effect.SAFE:
            there, here, scope = request.ran_on.entry, book.entry, request.klass.scope
            if (scope is api.DedupScope.ZONE and there.zone != here.zone) or (
                scope is api.DedupScope.CELL and there.shard != here.shard
            ):
                return False
        # Drains, and the shard that holds the data.
        if book.entry.phase is not api.Phase.ON or 0 <= request.ask.shard != book.entry.shard:
            return False
        # Cold nodes: this gateway's even part of what a starting node bears within the rule's time.
        warm = book.warmth(now, rules.cold_us)
        return warm >= 1.0 or self._bears(request, book, rules.cold_share + (1 - rules.cold_share) * warm)

    def _bears(self, request: Request, book: Book, warm: float) -> bool:
        """Whether a starting node bears a request, of all that may come to it from other gateways."""
        rules, now, units, heads = self.rules, self.now, request.ask.units, self.settings.gateways
        sent = book.sent_since(now - rules.fall_us)
        usual = rules.fall_us / unit_us if (unit_us := self._unit_us(book)) > 0 else 0.0
        bears = rules.fall_multiple * warm
        most = max(rules.cold_units, COLD_PART * bears * usual) / self.processes
        if sent + units <= most / heads:
            return True
        # The even part of many gateways is under one request. So each lets through its seeded chance of its reads,
        # which sums up however many ask and however unevenly: one in the rule's time, a lesser chance where one each is
        # more than the node bears, and more once it has answered soon, as a volume's surge comes through few gateways.
        soon = book.served > 0 and book.wait <= PATIENCE * self.aim
        few = sent + units <= most / max(1, request.ask.gateways) if soon else not sent
        chance = (1.0 if soon else COLD_PART * (1.0 if heads <= most else 0.8)) * bears / self.processes
        return few and request.lot < chance and (request.ask.shard >= 0 or soon) and now < request.aim_at
