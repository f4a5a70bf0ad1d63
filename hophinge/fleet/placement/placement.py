"""Which instances take a request: one to read the prompt and one to make the tokens, or one for both.

The ordinary path: the prompt's last shared part is the key; it is hashed to a group of prefill instances and to one of
decode instances, and in each group the one whose book frees earliest takes the request. Books are charged by size, in
tokens to read that are not believed to be kept there.

Reading at the decode instance itself costs no move and is weighed against it: it takes the time that decode instances
were learned to take for a token read.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hophinge.fleet.placement.hints import Done, Dropped, FinishedRead, Hint, Hints, Reports, Suspects
from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.node import MICROSECONDS, Cache, Node
from hophinge.fleet.placement.plan import Forecast, Hopeless, Plan, Wish
from hophinge.fleet.placement.policy import Policy
from hophinge.fleet.placement.pool import Offer, Placed, Pool, answered, ended
from hophinge.fleet.placement.timing import DECODE, PLAIN, PREFILL
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.weighing import Choice, Weighing
from hophinge.fleet.registry.instance import Instance

MILLISECONDS = 1_000
COME_BACK_S = 0.25  # when a client that was refused is told to come back, at least
SPREAD_S = 1.0  # over which such clients are spread, at most
RELAYED_S = 0.03  # that a word takes from one head to another on average
JOB_BITS = 40  # of a job's number: two alike in one queue are next to impossible
MIN_TOKENS = 64  # charged for a request with nothing to read
SILENT_S = 0.6  # without an answer, before a failed attempt speaks against an instance that answered


class Placement:
    """The books of one data plane."""

    def __init__(
        self,
        zone: str,
        changed: Callable[[str], None],
        random: Random,
        pending: Callable[[], None] = lambda: None,
        policy: Policy = Policy(),  # noqa: B008 - frozen
    ) -> None:
        self.policy = policy
        self.zone, self.changed, self.random, self.pending = zone, changed, random, pending
        self.pools: dict[tuple[str, str], Pool] = {}
        self.nodes: dict[str, Node] = {}
        self.memory: dict[str, int] = {}  # tokens that an instance of a service keeps
        self.pending_hints: list[Hint] = []
        self.pending_reads: list[FinishedRead] = []
        self.pending_drops: list[Dropped] = []
        self.suspects: set[str] = set()

    # --- instances -----------------------------------------------------------------------------------------------

    def instance(self, identity: str, instance: Instance | None) -> None:
        """Take what is known of an instance; None where it has ended."""
        node = self.nodes.get(identity)
        if node is not None and (instance is None or instance.stage != node.instance.stage):
            self.pool(node.instance.service, node.instance.stage).nodes.pop(identity, None)
        if instance is None:
            if self.nodes.pop(identity, None) is not None:
                self.changed(identity)
            return
        if node is None:
            node = self.nodes[identity] = Node(instance)
            node.cache = Cache(self.memory.get(instance.service, 0))
        node.instance = instance
        self.pool(instance.service, instance.stage).nodes[identity] = node

    def configured(self, memory: dict[str, int]) -> None:
        """Take the tokens that instances of each service hold, of which some are for running requests."""
        self.memory = {service: int(tokens * self.policy.kept_part) for service, tokens in memory.items()}
        for node in self.nodes.values():
            node.cache.tokens = self.memory.get(node.instance.service, 0)

    def pool(self, service: str, stage: str) -> Pool:
        """Tell the instances of a stage."""
        key = service, stage
        found = self.pools.get(key)
        if found is None:
            found = self.pools[key] = Pool(stage, self.policy)
        return found

    # --- hints ---------------------------------------------------------------------------------------------------

    def outgoing_hints(self, now: float) -> Hints | None:
        """Tell what was placed here, and what came to its end, since the last call."""
        done = tuple(Done(one.instance, one.job, int((now - one.ended) * MILLISECONDS)) for one in self.pending_reads)
        hints = Hints(tuple(self.pending_hints), done, tuple(self.pending_drops))
        self.pending_hints, self.pending_reads, self.pending_drops = [], [], []
        return None if hints.empty else hints

    def receive_hints(self, now: float, hints: Hints) -> None:
        """Take what other heads placed."""
        for hint in hints.hints:
            node = self.nodes.get(hint.instance)
            if node is not None:
                pool = self.pool(node.instance.service, node.instance.stage)
                pool.others_sent(now, node, hint)
                self._expect(node, hint.parts, hint.units, hint.job)
                node.sent_since += hint.memory
        for done in hints.done:
            node = self.nodes.get(done.instance)
            job = node.queue.find(done.job) if node is not None else None
            if node is not None and job is not None:
                pool = self.pool(node.instance.service, node.instance.stage)
                pool.finished(now, node, job, now - RELAYED_S - done.age_ms / MILLISECONDS)
                node.cache.confirm(done.job)
        for dropped in hints.dropped:
            node = self.nodes.get(dropped.instance)
            if node is not None:
                node.drop(dropped.job)

    def _expect(self, node: Node, parts: tuple[tuple[str, int], ...], units: int, job: int) -> None:
        """Parts are at an instance soon: at once where next to nothing is read, as they are moved there."""
        if units > MIN_TOKENS and self.policy.drops_told:
            node.cache.expect(parts, job)
        else:
            node.cache.remember(parts)

    def answered(self, now: float, placed: Placed, streaming: bool) -> None:
        """An attempt's units are done; where a prompt was read, the other heads are told."""
        if placed.name not in placed.node.book.slots:
            return
        answered(now, placed, streaming)
        if placed.pool.timing.reads_in_turn and placed.units > MIN_TOKENS:
            placed.pool.finished(now, placed.node, placed.job, now)
            placed.node.cache.confirm(placed.job.number)
            self.pending_reads.append(FinishedRead(placed.node.instance.identity, placed.job.number, now))
            self.pending()

    def ended(self, now: float, placed: Placed) -> None:
        """Nothing of an attempt is out any more; where its prompt was not read, the other heads are told."""
        unread = placed.name in placed.node.book.slots
        ended(now, placed)
        if unread and placed.units > MIN_TOKENS and self.policy.drops_told:
            placed.node.drop(placed.job.number)
            self.pending_drops.append(Dropped(placed.node.instance.identity, placed.job.number))
            self.pending()

    def failed(self, node: Node, now: float) -> None:
        """An attempt failed at an instance; where nothing was heard of it for a while, the other heads are told."""
        if now - node.answered_at > SILENT_S:
            node.failed(now)
            self.suspects.add(node.instance.identity)
            self.pending()

    def outgoing_suspects(self) -> Suspects | None:
        """Tell the instances that failed here since the last call."""
        suspects, self.suspects = tuple(self.suspects), set()
        return Suspects(suspects) if suspects else None

    def receive_suspects(self, now: float, suspects: Suspects) -> None:
        """Take what failed at others."""
        for identity in suspects.instances:
            node = self.nodes.get(identity)
            if node is not None:
                node.suspected(now)

    def receive_reports(self, now: float, reports: Reports) -> None:
        """Take what engines told of themselves."""
        for report in reports.reports:
            node = self.nodes.get(report.instance)
            if node is not None:
                pool = self.pool(node.instance.service, node.instance.stage)
                node.reported(now * MICROSECONDS, report, pool.mean_us(node))

    def kept(self) -> Hints:
        """Tell all prompt parts believed to be kept, for a head that has just started."""
        return Hints(
            tuple(
                Hint(identity, 0, tuple(node.cache.parts.items()), 0, 0, 0)
                for identity, node in self.nodes.items()
                if node.cache.parts
            )
        )

    # --- choice --------------------------------------------------------------------------------------------------

    def plain(self, wish: Wish, stage: str) -> Plan | None:
        """Place a request without a prompt: each counts one unit."""
        pool = self.pool(wish.service, stage)
        units = 1.0 if stage == PLAIN else float(MIN_TOKENS)

        def choose(late: bool) -> Choice | None:
            offers = self._offers(pool, wish, wish.name[0], lambda node: units, late)
            best = min(offers, key=lambda offer: offer.done_us, default=None)
            return Choice(pool, best, False, best.done_us) if best is not None else None

        return self._placed(wish, choose, None)

    def generation(self, wish: Wish, prompt: Prompt) -> Plan | Hopeless | None:
        """Place a request whose prompt is still to be read: at a prefill instance, or where its tokens are made."""
        prefill, decode = self.pool(wish.service, PREFILL), self.pool(wish.service, DECODE)
        weighing = Weighing(prompt, self.zone, prefill, decode, self.policy)

        def units(node: Node) -> float:
            return float(max(MIN_TOKENS, prompt.tokens_in - node.cache.cached(prompt)))

        def choose(late: bool) -> Choice | None:
            reading = self._offers(prefill, wish, prompt.key, units, late)
            return weighing.choose(reading, self._offers(decode, wish, prompt.key, units, late))

        choice = self._timely(wish, choose)
        if choice is None:
            return None
        wait_us = choice.offer.wait_us
        patience_s = (wish.gone_at - wish.now) * self.policy.patience_part
        hopeless = wait_us > 0 and choice.done_us > (wish.now + patience_s) * MICROSECONDS
        if hopeless and self.policy.refuse_hopeless:
            return Hopeless(COME_BACK_S + self.random.random() * min(SPREAD_S, wait_us / MICROSECONDS))
        return self._reserve(choice, wish, prompt)

    def decode(self, wish: Wish, prompt: Prompt, reader: str) -> Plan | None:
        """Place a request whose prompt was read at an instance: it is charged for what moving it takes."""
        decode = self.pool(wish.service, DECODE)
        weighing = Weighing(prompt, self.zone, self.pool(wish.service, PREFILL), decode, self.policy)

        def choose(late: bool) -> Choice | None:
            offers = self._offers(decode, wish, prompt.key, lambda node: float(MIN_TOKENS), late)
            return weighing.choose_maker(self.nodes.get(reader), offers)

        return self._placed(wish, choose, prompt)

    def _placed(self, wish: Wish, choose: Callable[[bool], Choice | None], prompt: Prompt | None) -> Plan | None:
        choice = self._timely(wish, choose)
        return self._reserve(choice, wish, prompt) if choice is not None else None

    def _timely(self, wish: Wish, choose: Callable[[bool], Choice | None]) -> Choice | None:
        """Choose as if the request could be in time; where it can't, choose anew behind all that is late as well."""
        choice = choose(False)
        late = choice is not None and choice.done_us > wish.aim_at * MICROSECONDS
        return choose(True) if late else choice

    def _offers(self, pool: Pool, wish: Wish, key: str, units: Callable[[Node], float], late: bool) -> list[Offer]:
        """Ask the members of a key's group that have room; where no instance has, any that is not full."""
        nodes = pool.group(wish.now, key, wish.avoid, lambda node: pool.room(node, units(node), wish.aim_s))
        if not nodes:
            nodes = pool.group(wish.now, key, wish.avoid, lambda node: node.out < CEILING)
        return pool.offers(wish.now, nodes, units, late)

    def _reserve(self, choice: Choice, wish: Wish, prompt: Prompt | None) -> Plan:
        """Book an offer, and have the other heads told of it."""
        offer = choice.offer
        parts = prompt.parts if prompt is not None else ()
        memory = prompt.tokens_in + prompt.tokens_out if prompt is not None and not choice.reads else 0
        offer.node.sent_since += memory
        number = self.random.getrandbits(JOB_BITS)
        self._expect(offer.node, parts, int(offer.units), number)
        identity = offer.node.instance.identity
        self.pending_hints.append(Hint(identity, int(offer.units), parts, offer.priority, memory, number))
        self.pending()
        forecast = Forecast(offer.wait_us, offer.spent_us, choice.done_us - wish.now * MICROSECONDS, offer.late)
        return Plan(choice.pool.reserve(wish.now, offer, wish.name, number), choice.reads, offer.priority, forecast)
