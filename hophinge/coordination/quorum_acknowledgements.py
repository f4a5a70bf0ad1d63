"""Soft records that a quorum of the core holds before they are acknowledged: no I/O, one machine a member.

An acknowledgement binds wherever its giver stands. So it is given only once a majority of the voters of the view in
force holds the record, each of them in that same view, and every other voter that was heard lately as well: two members
that are cut off together are no majority, and whoever grants leases to members that are in touch passes the record on.
What a majority holds outlives the losses that are to be borne, as there are at least `2 * losses + 1` voters.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import Record
from hophinge.coordination.view import Replica

HOLD_S = 0.6  # in seconds, for the others to hold a record; an instance waits a second for its answer
HOLD_RETRY_INTERVAL_S = 0.2  # in seconds, after which those that have not answered are told again


@wire(73)
@dataclass(frozen=True, slots=True)
class Hold:
    """A record that a member has to hold, and to pass on, before it is acknowledged."""

    token: int
    record: Record


@wire(74)
@dataclass(frozen=True, slots=True)
class Held:
    """The record of a token is held, by a member whose newest view has the number `view`."""

    token: int
    view: int


@dataclass(frozen=True, slots=True)
class Core:
    """The voters of the view in force, and whom of them this member heard lately, as it sees them at one moment."""

    view: int  # below 1 where no view is known
    voters: tuple[Replica, ...]
    majority: int
    heard: Set[str]  # identities, this member's among them where it votes

    def binds(self, holders: Set[str]) -> bool:
        """Tell whether what these members hold cannot be hidden from those that are in touch."""
        voters = {voter.identity for voter in self.voters}
        return self.view >= 1 and len(voters & holders) >= self.majority and voters & self.heard <= holders


@dataclass(slots=True)
class _Holding:
    record: Record
    until: float
    told: float
    holders: dict[str, int] = field(default_factory=dict)  # identity to the view it holds the record in


@dataclass(slots=True)
class HoldStep:
    """What one input brings about: messages by address, and tokens that are settled with what became of them."""

    messages: list[tuple[str, Hold]] = field(default_factory=list)
    settled: list[tuple[int, bool]] = field(default_factory=list)


class QuorumHolds:
    """The records of one member that are on their way to a quorum."""

    def __init__(self, me: Replica) -> None:
        self.me = me
        self.under_way: dict[int, _Holding] = {}

    def begin(self, now: float, core: Core, token: int, record: Record) -> HoldStep:
        """Have a record held under a token that is new here."""
        step = HoldStep()
        self.under_way[token] = _Holding(record, now + HOLD_S, now)
        self._tell(core, token, step)
        self._settle(now, core, token, step)
        return step

    def held(self, now: float, core: Core, source: str, held: Held) -> HoldStep:
        """Take a member's word that it holds a record."""
        step = HoldStep()
        holding = self.under_way.get(held.token)
        if holding is not None:
            holding.holders[source] = held.view
            self._settle(now, core, held.token, step)
        return step

    def tick(self, now: float, core: Core) -> HoldStep:
        """Tell again who has not answered, and give up what took too long."""
        step = HoldStep()
        for token, holding in list(self.under_way.items()):
            if now - holding.told >= HOLD_RETRY_INTERVAL_S:
                holding.told = now
                self._tell(core, token, step)
            self._settle(now, core, token, step)
        return step

    def _holders(self, core: Core, holding: _Holding) -> set[str]:
        """Tell who holds a record in the view in force; an answer out of another view is no vote in this one."""
        return {name for name, view in holding.holders.items() if view == core.view} | {self.me.identity}

    def _tell(self, core: Core, token: int, step: HoldStep) -> None:
        holding = self.under_way[token]
        holders = self._holders(core, holding)
        hold = Hold(token, holding.record)
        step.messages += [(voter.address, hold) for voter in core.voters if voter.identity not in holders]

    def _settle(self, now: float, core: Core, token: int, step: HoldStep) -> None:
        holding = self.under_way[token]
        bound = core.binds(self._holders(core, holding))
        if bound or now >= holding.until:
            del self.under_way[token]
            step.settled.append((token, bound))
