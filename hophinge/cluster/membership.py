"""Which records of members are accepted: suspicion and refutation as in SWIM, verified deaths, identity conflicts."""

from __future__ import annotations

from hophinge.cluster.core import Core
from hophinge.cluster.member_table import TrackedMember
from hophinge.cluster.messages import ALIVE, DEAD, REFUTATION_BITS, SUSPECT, IdentityConflict, MemberRecord
from hophinge.cluster.prober import Prober
from hophinge.cluster.send_budget import MEMBER_RANK

GENERATIONS_PER_YEAR = 366 * 24 * 3600 * 10_000  # generations are tenths of milliseconds
# Generations come from wall clocks of other machines: one that is further ahead is an error or a lie, and would leave
# its owner no room to supersede it. A member's own record may be further ahead, so that it always can.
MAX_GOSSIP_AHEAD = GENERATIONS_PER_YEAR
MAX_DIRECT_AHEAD = 2 * GENERATIONS_PER_YEAR
CONFLICT_INTERVAL_US = 500_000  # between two messages to a process with the same name
MAX_ACCUSERS = 8  # remembered: more do not shorten a suspicion


class Membership:
    """Applies records of members that were received, and the verdicts of this member's own failure detector."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.prober = Prober(core, self.probe_failed)
        self.last_conflict_us = -CONFLICT_INTERVAL_US
        self.is_leaving = False

    def apply_record(self, record: MemberRecord, sender: str, source: str) -> None:
        """Apply a record that was received.

        Args:
            record: The record.
            sender: The name of the member that sent it.
            source: That member's address.

        """
        core = self.core
        if record.name == core.members.own_name:
            return self.refute(record)
        is_direct = sender == record.name
        if is_direct and len(core.members.live) == 1:
            # The first member to be met: this process's own clock may never have been set.
            core.reference_generation = max(core.reference_generation, record.generation)
        if record.generation > core.reference_generation + (MAX_DIRECT_AHEAD if is_direct else MAX_GOSSIP_AHEAD):
            return core.count("starts_too_far_ahead")
        known = core.members.record(record.name)
        if known is None:
            return self._apply_unknown(record, source)
        if record.incarnation > known.incarnation:
            self._apply_newer(record, known, source, is_direct)
        elif record.incarnation == known.incarnation:
            self._apply_same(record, known, source)
        elif is_direct or not known.is_live:
            # The sender has missed something: the newer record lets it refute, or learn.
            core.send(source, [known], MEMBER_RANK, piggyback=False)
        return None

    def _apply_newer(self, record: MemberRecord, known: MemberRecord, source: str, is_direct: bool) -> None:
        """Apply a record of a higher incarnation."""
        if record.address != known.address and known.is_live:
            self._track_rival(record, source if is_direct else "")
        elif record.state == SUSPECT:
            self._suspect(record, record.accuser)
        elif record.is_live:
            self._accept(record)
        else:
            self._verify(record, source)

    def _apply_same(self, record: MemberRecord, known: MemberRecord, source: str) -> None:
        """Apply a record of the same incarnation: the worse state wins."""
        if record.state > known.state:
            if record.state == SUSPECT:
                self._suspect(record, record.accuser)
            elif known.is_live:
                self._verify(record, source)
        elif record.state == known.state == SUSPECT:
            self._confirm_suspicion(record)
        elif not known.is_live and record.is_live:
            self.core.send(source, [known], MEMBER_RANK, piggyback=False)

    def refute(self, record: MemberRecord) -> None:
        """Refute a record of this member that is wrong, and contact a process that uses the same name."""
        core = self.core
        own = core.members.own_record
        is_conflict = record.address != own.address and record.generation not in core.own_generations and record.is_live
        if is_conflict and core.now_us - self.last_conflict_us >= CONFLICT_INTERVAL_US:
            self.last_conflict_us = core.now_us
            core.count("namesakes_met")
            conflict = IdentityConflict(own, core.now_us - core.started_us, record.generation)
            core.send(record.address, [conflict], piggyback=False)
        if self.is_leaving or record.generation >= core.reference_generation + MAX_DIRECT_AHEAD:
            return
        if record.incarnation > own.incarnation or (record.incarnation == own.incarnation and record.state):
            if record.state:
                core.count("refuted")
                core.adjust_health(1)
            if record.generation == core.generation:
                self.raise_incarnation(record.incarnation + 1)
            else:
                # Another generation is, or was, another process's: the next one is the first that is this process's.
                self.raise_incarnation(record.generation + 1 << REFUTATION_BITS)

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise this member's incarnation; in a new generation its entries are published anew."""
        core = self.core
        core.update_member(core.members.own_record.with_incarnation(incarnation))
        generation = incarnation >> REFUTATION_BITS
        if generation != core.generation:
            core.generation = generation
            core.own_generations.add(generation)
            core.store.republish(generation)

    def probe_failed(self, name: str, incarnation: int) -> None:
        """Suspect a member that has not acknowledged a probe; one with a rival is replaced by it."""
        core = self.core
        tracked = core.members.tracked.get(name)
        if tracked is None or tracked.record.incarnation != incarnation or not tracked.record.is_live:
            return
        if tracked.rival is not None:
            return self._accept(tracked.rival)
        if tracked.record.state == SUSPECT:
            return self._confirm_suspicion(tracked.record.with_state(SUSPECT, core.members.own_name))
        self._suspect(tracked.record, core.members.own_name)

    def end_isolation(self) -> None:
        """Withdraw suspicions that rest on the silence while this member was isolated, as it receives again."""
        core = self.core
        for name, tracked in list(core.members.tracked.items()):
            if (
                tracked.record.state == SUSPECT
                and tracked.state_changed_us > core.last_received_us
                and tracked.accusers <= {core.members.own_name}
            ):
                core.set_state(name, ALIVE, "")

    def resolve_conflict(self, conflict: IdentityConflict) -> str:
        """Respond to a process with the same name; returns why this one must step down if it is the younger."""
        core = self.core
        own = core.members.own_record
        other = conflict.record
        is_for_me = conflict.target_generation in core.own_generations and other.name == own.name
        if not is_for_me or other.address == own.address:
            return ""
        uptime_us = core.now_us - core.started_us
        if (uptime_us, own.address) < (conflict.uptime_us, other.address):
            return (
                f"{own.name} at {own.address} runs for {uptime_us // 1_000_000} s, another of that name at "
                f"{other.address} for {conflict.uptime_us // 1_000_000} s; the younger steps back"
            )
        core.send(other.address, [IdentityConflict(own, uptime_us, other.generation)], piggyback=False)
        return ""

    def _apply_unknown(self, record: MemberRecord, source: str) -> None:
        """Apply a record of a member that is not tracked."""
        core = self.core
        forgotten_incarnation = core.members.forgotten_incarnation(record.name)
        if record.incarnation <= forgotten_incarnation:
            if record.is_live:
                # A stale record of a forgotten member: it has to raise its incarnation to rejoin.
                dead = MemberRecord(record.name, record.address, forgotten_incarnation, DEAD)
                core.send(source, [dead], MEMBER_RANK, piggyback=False)
        elif record.state == SUSPECT:
            if core.update_member(record.with_state(ALIVE)):
                self._suspect(record, record.accuser)
        elif record.is_live:
            core.update_member(record)

    def _accept(self, record: MemberRecord) -> None:
        if self.core.update_member(record) and not record.is_live:
            self.core.call_later(self.core.tuning.dead_retention_us, lambda: self._forget(record))

    def _forget(self, record: MemberRecord) -> None:
        if self.core.members.record(record.name) == record:
            self.core.members.forget(record.name, self.core.now_us)
            self.core.store.forget(record.name)
            self.core.gossip.forget(record.name)

    def _suspect(self, record: MemberRecord, accuser: str) -> None:
        core = self.core
        core.update_member(record.with_state(SUSPECT, accuser))
        core.count("suspicions" if accuser == core.members.own_name else "suspicions_heard")
        tracked = core.members.tracked[record.name]
        tracked.accusers = frozenset({accuser})
        tracked.stalled_us = core.stalled_us
        self._schedule_verdict(record.name, record.incarnation, tracked.state_changed_us)

    def _confirm_suspicion(self, record: MemberRecord) -> None:
        """Add an independent accuser, which shortens the suspicion."""
        tracked = self.core.members.tracked[record.name]
        if record.accuser not in tracked.accusers and len(tracked.accusers) < MAX_ACCUSERS:
            tracked.accusers |= {record.accuser}
            self.core.gossip.add_member(record)
            self._schedule_verdict(record.name, record.incarnation, tracked.state_changed_us)

    def _schedule_verdict(self, name: str, incarnation: int, suspected_us: int) -> None:
        """Decide on a suspicion when its timeout expires, which depends on the confirmations so far."""
        core = self.core

        def decide() -> None:
            tracked = core.members.tracked.get(name)
            if (
                tracked is None
                or tracked.record.incarnation != incarnation
                or tracked.state_changed_us != suspected_us
                or tracked.record.state != SUSPECT
            ):
                return
            remaining_us = self._deadline_us(tracked) - core.now_us
            if remaining_us > 0:
                return core.call_later(remaining_us, decide)
            if tracked.last_ack_us > suspected_us:
                # An acknowledgement received here outweighs gossip; pings tell the suspect, which refutes.
                core.count("suspicions_outweighed")
                return core.set_state(name, ALIVE, "")
            self._declare_dead(name)

        core.call_later(max(0, self._deadline_us(core.members.tracked[name]) - core.now_us), decide)

    def _deadline_us(self, tracked: TrackedMember) -> int:
        """Return when a suspicion expires; while this process stalled, no refutation could be received."""
        stalled_us = self.core.stalled_us - tracked.stalled_us
        return tracked.state_changed_us + stalled_us + self.core.suspicion_us(len(tracked.accusers) - 1)

    def _declare_dead(self, name: str) -> None:
        record = self.core.members.tracked[name].record
        self.core.count("deaths")
        self._accept(record.with_state(DEAD, self.core.members.own_name))

    def _verify(self, record: MemberRecord, source: str) -> None:
        """Probe a member before accepting a record that it is dead or has left."""
        core = self.core
        tracked = core.members.tracked[record.name]
        if not tracked.record.is_live:
            return self._accept(record)
        if tracked.is_verifying:
            return None
        tracked.is_verifying = True

        def on_result(is_acknowledged: bool) -> None:
            current = core.members.tracked.get(record.name)
            if current is None or not current.is_verifying:
                return
            current.is_verifying = False
            if current.record.incarnation > record.incarnation or not current.record.is_live:
                return
            if not is_acknowledged:
                return self._accept(record)
            core.count("deaths_doubted")
            core.send(current.record.address, [record], MEMBER_RANK, piggyback=False)

        self.prober.verify(record.name, on_result)
        return None

    def _track_rival(self, record: MemberRecord, source: str) -> None:
        """Remember another process with a live member's name, and refer it to that one: they resolve the conflict."""
        core = self.core
        tracked = core.members.tracked[record.name]
        if record.is_live:
            if tracked.rival is None or tracked.rival.incarnation < record.incarnation:
                tracked.rival = record
            if record.name not in self.prober.urgent:
                self.prober.urgent.append(record.name)
            if source:
                core.send(source, [tracked.record], MEMBER_RANK, piggyback=False)
