"""Probing: one member a period in shuffled turn, helpers where it does not answer, and what that says of oneself.

SWIM with Lifeguard's local health: a process that misses answers which others get, or finds itself late, takes longer.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from hophinge.cluster.budget import NEWS, PROBES
from hophinge.cluster.core import Core
from hophinge.cluster.messages import ALIVE, Ack, Nack, Ping, PingRequest, Record

NACK_PART = 0.8  # of the time for a probe: a helper says by then that it has heard nothing
SEQ = 2**32
ATTEMPTS = 3  # within a period: the first directly, the others by helpers too


class Probe(Struct):
    """A probe under way."""

    name: str
    incarnation: int
    begun_us: int
    answered: bool = False
    helpers: int = 0
    nacks: int = 0


class Relay(Struct, frozen=True):
    """A probe for another member."""

    address: str
    seq: int
    name: str


class Prober:
    """Probes under way; `failed` is told of a member that does not answer."""

    def __init__(self, core: Core, failed: Callable[[str, int], None]) -> None:
        self.core, self.failed = core, failed
        self.order: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.urgent: list[str] = []  # to be probed before all others

    def begin(self) -> None:
        """Probe from now on."""
        self.core.later(self.core.rng.randrange(1, self.core.tuning.period_us), self.turn)

    def next(self) -> Record | None:
        """Tell whose turn it is."""
        live = self.core.roster.live
        while self.urgent:
            name = self.urgent.pop()
            if name in live:
                return self.core.roster.record(name)
        for _ in range(2):
            while self.order:
                name = self.order.pop()
                if name in live:
                    return self.core.roster.record(name)
            self.order = [name for name in live if name != self.core.roster.me]
            self.core.rng.shuffle(self.order)
        return None

    def turn(self) -> None:
        """Probe the next member, and come again when its time is over."""
        core = self.core
        period = core.scaled(core.tuning.period_us)
        core.later(period, self.turn)
        record = self.next()
        if record is None:
            return
        self.probe(record, period)
        if core.alone:
            waiting = [one for one in core.roster.others() if one.standing == ALIVE and one.name != record.name]
            for one in core.rng.sample(waiting, min(core.tuning.sweep - 1, len(waiting))):
                self.probe(one, period)

    def probe(self, record: Record, period: int) -> None:
        """Probe a member for a period."""
        core = self.core
        seq = core.rng.randrange(SEQ)
        probe = self.probes[seq] = Probe(record.name, record.incarnation, core.now_us)
        sent = self.ping(seq, record)
        for attempt in range(1, ATTEMPTS):
            core.later(core.scaled(core.tuning.timeout_us * attempt), lambda: self._ask(seq, probe))
        core.later(period - 1, lambda: self._end(seq, probe, sent))

    def ping(self, seq: int, record: Record, rank: int = PROBES) -> bool:
        """Send a ping; who is suspected is told so with it."""
        parts = [Ping(seq, record.name, self.core.roster.own)]
        return self.core.say(record.address, [*parts, record] if record.standing else parts, rank)

    def verify(self, name: str, done: Callable[[bool], None]) -> None:
        """Ask a member twice whether it lives, and tell whether it has answered."""
        core = self.core
        record = core.roster.held[name].record
        seq, time_us = core.rng.randrange(SEQ), core.scaled(core.tuning.timeout_us)
        probe = self.probes[seq] = Probe(name, record.incarnation, core.now_us)
        sent = self.ping(seq, record, NEWS)

        def again() -> None:
            if not probe.answered:
                self.ping(seq, record, NEWS)

        def end() -> None:
            self.probes.pop(seq, None)
            if self._stale(probe) and not probe.answered and name in core.roster.held:
                return self.verify(name, done)
            done(probe.answered)  # where no ping could go out, others' word is all there is

        if not sent:
            core.count("verifications_unsent")
        core.later(time_us // 2, again)
        core.later(time_us, end)

    def _ask(self, seq: int, probe: Probe) -> None:
        if probe.answered or self._stale(probe):
            return
        core = self.core
        record = core.roster.record(probe.name)
        if record is None or not record.counts:
            return
        others = [one for one in core.roster.others() if one.name != probe.name] if not core.alone else []
        for helper in core.rng.sample(others, min(core.tuning.helpers, len(others))):
            if core.say(helper.address, [PingRequest(seq, record.name, record.address)]):
                probe.helpers += 1
        self.ping(seq, record)

    def _end(self, seq: int, probe: Probe, sent: bool) -> None:
        self.probes.pop(seq, None)
        core = self.core
        if probe.answered:
            core.doubt(-1)
        elif not self._stale(probe):
            # Where helpers say that they are silent for others too, the fault is not one's own. Not one point for each
            # that is silent, as Lifeguard has it: where most are dead, nobody would ever find out.
            core.doubt(0 if probe.nacks else 1)
            if sent:
                core.count("probes_failed")
                self.failed(probe.name, probe.incarnation)

    def _stale(self, probe: Probe) -> bool:
        """Tell whether this process itself stood still meanwhile: then silence says nothing."""
        return self.core.woken_us >= probe.begun_us

    def pinged(self, source: str, ping: Ping) -> None:
        """Answer a ping that is for this process."""
        own = self.core.roster.own
        if ping.target in ("", own.name):
            self.core.say(source, [Ack(ping.seq, own.name, own.incarnation)])

    def asked(self, source: str, request: PingRequest) -> None:
        """Probe for another."""
        core = self.core
        seq = core.rng.randrange(SEQ)
        self.relays[seq] = Relay(source, request.seq, request.target)
        core.say(request.address, [Ping(seq, request.target, core.roster.own)])

        def silent() -> None:
            if self.relays.pop(seq, None) is not None:
                core.say(source, [Nack(request.seq)])

        core.later(int(core.tuning.timeout_us * NACK_PART), silent)

    def acked(self, sender: str, ack: Ack) -> None:
        """Take an answer: to a probe of one's own, directly or by a helper, or to one for another."""
        probe = self.probes.get(ack.seq)
        if probe is not None and probe.name == ack.name:
            probe.answered = True
            held = self.core.roster.held.get(ack.name)
            if held is not None and sender == ack.name:
                held.heard_us = self.core.now_us
        relay = self.relays.get(ack.seq)
        if relay is not None and relay.name == ack.name == sender:
            del self.relays[ack.seq]
            self.core.say(relay.address, [Ack(relay.seq, ack.name, ack.incarnation)])

    def nacked(self, nack: Nack) -> None:
        """Take a helper's word that it has heard nothing either."""
        probe = self.probes.get(nack.seq)
        if probe is not None:
            probe.nacks += 1
