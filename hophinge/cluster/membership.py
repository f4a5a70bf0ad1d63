"""Which word about a member is believed: suspicion, refutation, death after one's own look, and rivals for a name."""

from __future__ import annotations

from hophinge.cluster.budget import NEWS
from hophinge.cluster.core import Core
from hophinge.cluster.messages import ALIVE, DEAD, START_BITS, SUSPECT, Clash, Record
from hophinge.cluster.prober import Prober
from hophinge.cluster.roster import Held

YEAR = 366 * 24 * 3600 * 10_000  # in the unit of starts
# Starts come from somebody's wall clock: one that is further ahead is a slip or a lie, and would leave its owner no
# room to overrule it. Its own word may go further, so that it always can.
HEARSAY_AHEAD, OWN_AHEAD = YEAR, 2 * YEAR
CLASH_US = 500_000  # between two words to a namesake
MAX_ACCUSERS = 8  # remembered: more shorten no suspicion


class Membership:
    """Takes words about members, and gives verdicts of its own."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.prober = Prober(core, self.failed)
        self.clashed_us = -CLASH_US
        self.leaving = False

    def word(self, record: Record, sender: str, source: str) -> None:
        """Take a word about a member."""
        core = self.core
        if record.name == core.roster.me:
            return self.about_me(record)
        direct = sender == record.name
        if direct and len(core.roster.live) == 1:
            # The first that is met: this process's own clock may never have been set.
            core.reference = max(core.reference, record.start)
        if record.start > core.reference + (OWN_AHEAD if direct else HEARSAY_AHEAD):
            return core.count("starts_too_far_ahead")
        held = core.roster.held.get(record.name)
        if held is None:
            return self._unknown(record, source)
        known = held.record
        if record.incarnation > known.incarnation:
            if record.address != known.address and known.counts:
                self._rival(record, source if direct else "")
            elif record.standing == SUSPECT:
                self._suspect(record, record.by)
            elif record.counts:
                self._take(record)
            else:
                self._verify(record, source)
        elif record.incarnation == known.incarnation:
            if record.standing > known.standing:
                if record.standing == SUSPECT:
                    self._suspect(record, record.by)
                elif known.counts:
                    self._verify(record, source)
            elif record.standing == known.standing == SUSPECT:
                self._confirmed(record)
            elif not known.counts and record.counts:
                core.say(source, [known], NEWS, fill=False)
        elif direct or not known.counts:
            core.say(source, [known], NEWS, fill=False)  # it has missed something: let it count above, or learn

    def about_me(self, record: Record) -> None:
        """Refute what others hold of this process, and speak to a namesake."""
        core = self.core
        own = core.roster.own
        namesake = record.address != own.address and record.start not in core.starts and record.counts
        if namesake and core.now_us - self.clashed_us >= CLASH_US:
            self.clashed_us = core.now_us
            core.count("namesakes_met")
            core.say(record.address, [Clash(own, core.now_us - core.begun_us, record.start)], fill=False)
        if self.leaving or record.start >= core.reference + OWN_AHEAD:
            return
        if record.incarnation > own.incarnation or (record.incarnation == own.incarnation and record.standing):
            if record.standing:
                core.count("refuted")
                core.doubt(1)
            # Another start is another process's, or was: above it lies the first that is this one's alone.
            self.raise_to(record.incarnation + 1 if record.start == core.start else record.start + 1 << START_BITS)

    def raise_to(self, incarnation: int) -> None:
        """Count above what others hold of this process; a new start takes its entries along."""
        core = self.core
        own = core.roster.own
        core.put(Record(own.name, own.address, incarnation, ALIVE, own.zone, own.role, own.build))
        if incarnation >> START_BITS != core.start:
            core.start = incarnation >> START_BITS
            core.starts.add(core.start)
            core.shelf.restart(core.start)

    def failed(self, name: str, incarnation: int) -> None:
        """Suspect a member that has not answered; one with a rival gives way to it."""
        core = self.core
        held = core.roster.held.get(name)
        if held is None or held.record.incarnation != incarnation or not held.record.counts:
            return
        if held.rival is not None:
            return self._take(held.rival)
        if held.record.standing == SUSPECT:
            return self._confirmed(self._accusation(held.record, core.roster.me))
        self._suspect(held.record, core.roster.me)

    def company(self) -> None:
        """Somebody is heard again after nobody was: suspicions that rest on that silence alone are void."""
        core = self.core
        for name, held in list(core.roster.held.items()):
            if held.record.standing == SUSPECT and held.since_us > core.heard_us and held.accusers <= {core.roster.me}:
                core.standing(name, ALIVE, "")

    def clash(self, clash: Clash) -> str:
        """Answer a namesake; tells why this process has to step back where it is the younger."""
        core = self.core
        own = core.roster.own
        if clash.to not in core.starts or clash.record.name != own.name or clash.record.address == own.address:
            return ""
        age_us = core.now_us - core.begun_us
        if (age_us, own.address) < (clash.age_us, clash.record.address):
            return (
                f"{own.name} at {own.address} runs for {age_us // 1_000_000} s, another of that name at "
                f"{clash.record.address} for {clash.age_us // 1_000_000} s; the younger steps back"
            )
        core.say(clash.record.address, [Clash(own, age_us, clash.record.start)], fill=False)
        return ""

    def _unknown(self, record: Record, source: str) -> None:
        core = self.core
        grave = core.roster.grave(record.name)
        if record.incarnation <= grave:
            if record.counts:
                # A stale word about somebody forgotten: whoever it is has to count above it to come back.
                core.say(source, [Record(record.name, record.address, grave, DEAD)], NEWS, fill=False)
        elif record.standing == SUSPECT:
            if core.put(
                Record(record.name, record.address, record.incarnation, ALIVE, record.zone, record.role, record.build)
            ):
                self._suspect(record, record.by)
        elif record.counts:
            core.put(record)

    def _take(self, record: Record) -> None:
        if self.core.put(record) and not record.counts:
            self.core.later(self.core.tuning.dead_us, lambda: self._forget(record))

    def _forget(self, record: Record) -> None:
        if self.core.roster.record(record.name) == record:
            self.core.roster.forget(record.name, self.core.now_us)
            self.core.shelf.forget(record.name)
            self.core.rumours.forget(record.name)

    def _suspect(self, record: Record, by: str) -> None:
        core = self.core
        core.put(self._accusation(record, by))
        core.count("suspicions" if by == core.roster.me else "suspicions_heard")
        held = core.roster.held[record.name]
        held.accusers, held.slept_us = frozenset({by}), core.slept_us
        self._watch(record.name, record.incarnation, held.since_us)

    @staticmethod
    def _accusation(record: Record, by: str) -> Record:
        return Record(
            record.name, record.address, record.incarnation, SUSPECT, record.zone, record.role, record.build, by
        )

    def _confirmed(self, record: Record) -> None:
        held = self.core.roster.held[record.name]
        if record.by not in held.accusers and len(held.accusers) < MAX_ACCUSERS:
            held.accusers |= {record.by}
            self.core.rumours.member(record)
            self._watch(record.name, record.incarnation, held.since_us)

    def _watch(self, name: str, incarnation: int, since_us: int) -> None:
        """Look again when the suspicion's time is over, as it stands with the confirmations so far."""
        core = self.core

        def due() -> None:
            held = core.roster.held.get(name)
            if (
                held is None
                or held.record.incarnation != incarnation
                or held.since_us != since_us
                or held.record.standing != SUSPECT
            ):
                return
            left = self._deadline_us(held) - core.now_us
            if left > 0:
                return core.later(left, due)
            if held.heard_us > since_us:
                # One's own look outweighs hearsay; the accused learns of it with each ping and refutes.
                core.count("suspicions_outweighed")
                return core.standing(name, ALIVE, "")
            self._dead(name)

        core.later(max(0, self._deadline_us(core.roster.held[name]) - core.now_us), due)

    def _deadline_us(self, held: Held) -> int:
        """Tell when a suspicion is over; time for which this process stood still gave nobody a chance to refute."""
        slept_us = self.core.slept_us - held.slept_us
        return held.since_us + slept_us + self.core.suspicion_us(len(held.accusers) - 1)

    def _dead(self, name: str) -> None:
        record = self.core.roster.held[name].record
        self.core.count("deaths")
        self._take(
            Record(
                name,
                record.address,
                record.incarnation,
                DEAD,
                record.zone,
                record.role,
                record.build,
                self.core.roster.me,
            )
        )

    def _verify(self, record: Record, source: str) -> None:
        """Look for oneself before a word that a member is dead or has left is believed."""
        core = self.core
        held = core.roster.held[record.name]
        if held.verifying or not held.record.counts:
            if not held.record.counts:
                self._take(record)
            return
        held.verifying = True

        def done(answered: bool) -> None:
            now = core.roster.held.get(record.name)
            if now is None or not now.verifying:
                return
            now.verifying = False
            if now.record.incarnation > record.incarnation or not now.record.counts:
                return
            if not answered:
                return self._take(record)
            core.count("deaths_doubted")
            core.say(now.record.address, [record], NEWS, fill=False)

        self.prober.verify(record.name, done)

    def _rival(self, record: Record, source: str) -> None:
        """Keep another process under a living one's name waiting, and tell it of that one: they settle it."""
        core = self.core
        held = core.roster.held[record.name]
        if record.counts:
            if held.rival is None or held.rival.incarnation < record.incarnation:
                held.rival = record
            if record.name not in self.prober.urgent:
                self.prober.urgent.append(record.name)
            if source:
                core.say(source, [held.record], NEWS, fill=False)
