"""Who grants: three kinds of issuer, as models, on the same seeded histories of ends, splits and lost answers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

NODES, MOST, ROUNDS, OUT_ROUNDS = 5, 3, 600, 20
TAKEOVER = 60  # rounds until an operator starts a service on the same store elsewhere
ELECTION = 4  # rounds without a leader before a log has another one


@dataclass
class History:
    """What befalls five hosts, drawn once for all issuers."""

    seed: int
    up: list[set[int]] = field(default_factory=list)  # by round
    side: list[dict[int, int]] = field(default_factory=list)
    asks: list[int] = field(default_factory=list)  # by round: the side that asks, -1: nobody
    lost: list[bool] = field(default_factory=list)  # the answer does not arrive
    ends: list[int] = field(default_factory=list)  # a host that ends and starts again, -1: none

    def __post_init__(self) -> None:
        """Draw it."""
        lots = random.Random(self.seed)
        down = [0] * NODES
        split_until, sides = 0, dict.fromkeys(range(NODES), 0)
        for now in range(ROUNDS):
            for node in range(NODES):
                if down[node] <= now and lots.random() < 0.004:
                    down[node] = now + lots.randint(5, 120)
            if now >= split_until:
                sides = dict.fromkeys(range(NODES), 0)
                if lots.random() < 0.01:
                    split_until = now + lots.randint(10, 100)
                    sides = {node: lots.randint(0, 1) for node in range(NODES)}
            self.up.append({node for node in range(NODES) if down[node] <= now})
            self.side.append(dict(sides))
            self.asks.append(lots.randint(0, 1) if lots.random() < 0.3 else -1)
            self.lost.append(lots.random() < 0.1)
            self.ends.append(lots.randrange(NODES) if lots.random() < 0.02 else -1)


class Issuer:
    """Grants places; a place is told begun by whoever got it and given back `OUT_ROUNDS` later, if that can be told."""

    durable = True

    def __init__(self, history: History) -> None:
        self.history, self.count = history, 0

    def turn(self, now: int) -> None:
        """Let a round pass."""

    def close(self) -> None:
        """End it."""

    def ended(self, node: int) -> None:
        """Note that a host's process ended: what is not on its disk is gone."""

    def grant(self, now: int, side: int) -> int:
        """Tell a new permit, or 0."""
        raise NotImplementedError

    def free(self, now: int, side: int, permit: int) -> bool:
        """Take a place back; False: nobody is there who could."""
        raise NotImplementedError

    def reach(self, now: int, side: int) -> set[int]:
        """Tell the hosts that one side can talk to."""
        sides = self.history.side[now]
        split = len(set(sides.values())) > 1
        return {node for node in self.history.up[now] if not split or sides[node] == side}


class Single(Issuer):
    """One service with a store; another host takes it over, by hand, with a higher fence."""

    def __init__(self, history: History) -> None:
        super().__init__(history)
        self.owner, self.away = 0, 0
        self.held: set[int] = set()

    def ended(self, node: int) -> None:
        """Forget what is not stored."""
        if node == self.owner and not self.durable:
            self.held.clear()

    def _there(self, now: int, side: int) -> bool:
        up = self.history.up[now]
        self.away = 0 if self.owner in up else self.away + 1
        if self.away > TAKEOVER and up:
            self.owner, self.away = min(up), 0
        return self.owner in self.reach(now, side)

    def grant(self, now: int, side: int) -> int:
        """Grant from the one table."""
        if not self._there(now, side) or len(self.held) >= MOST:
            return 0
        self.count += 1
        self.held.add(self.count)
        return self.count

    def free(self, now: int, side: int, permit: int) -> bool:
        """Strike it from the one table."""
        if not self._there(now, side):
            return False
        self.held.discard(permit)
        return True


class Forgetful(Single):
    """The same without a store."""

    durable = False


class Voters(Issuer):
    """Any host proposes; each of five voters keeps one promise for each of the places, more than half must agree."""

    def __init__(self, history: History) -> None:
        super().__init__(history)
        self.votes: list[dict[int, int]] = [{} for _ in range(NODES)]  # by voter: place to permit

    def ended(self, node: int) -> None:
        """Forget what is not stored."""
        if not self.durable:
            self.votes[node].clear()

    def grant(self, now: int, side: int) -> int:
        """Take a place that more than half of the voters have free; those that have promised it keep to that."""
        here = self.reach(now, side)
        for place in range(MOST):
            free = [node for node in here if place not in self.votes[node]]
            if len(free) > NODES // 2:
                self.count += 1
                for node in free:
                    self.votes[node][place] = self.count
                return self.count
        return 0

    def free(self, now: int, side: int, permit: int) -> bool:
        """Free what the reached voters hold; those that are away go on holding it until they hear of it."""
        here = self.reach(now, side)
        if len(here) <= NODES // 2:
            return False
        for node in range(NODES):  # who is away hears of it as it comes back: the kindest case for this way
            self.votes[node] = {place: one for place, one in self.votes[node].items() if one != permit}
        return True


class ForgetfulVoters(Voters):
    """The same with votes in memory."""

    durable = False


class Log(Issuer):
    """A replicated log: a leader with more than half of the hosts; without one, an election first."""

    def __init__(self, history: History) -> None:
        super().__init__(history)
        self.held: set[int] = set()
        self.leader, self.leaderless = 0, 0
        self.seen = -1

    def ended(self, node: int) -> None:
        """Have an election where it was the leader; the log is on the others' disks."""
        if node == self.leader:
            self.leader = -1

    def _led(self, now: int, side: int) -> bool:
        here = self.reach(now, side)
        if self.seen != now:
            self.seen = now
            most = max((self.reach(now, one) for one in (0, 1)), key=len)
            if self.leader in most and len(most) > NODES // 2:
                self.leaderless = 0
            else:
                self.leaderless += 1
                if self.leaderless >= ELECTION and len(most) > NODES // 2:
                    self.leader, self.leaderless = min(most), 0
        return self.leader in here and len(here) > NODES // 2

    def grant(self, now: int, side: int) -> int:
        """Append to the log."""
        if not self._led(now, side) or len(self.held) >= MOST:
            return 0
        self.count += 1
        self.held.add(self.count)
        return self.count

    def free(self, now: int, side: int, permit: int) -> bool:
        """Append to the log."""
        if not self._led(now, side):
            return False
        self.held.discard(permit)
        return True


KINDS: dict[str, type[Issuer]] = {
    "control service alone, grants stored": Single,
    "the same, grants in memory": Forgetful,
    "majority of five voters, votes stored": Voters,
    "the same, votes in memory": ForgetfulVoters,
    "replicated log, five members": Log,
}


def play(kind: type[Issuer], seed: int) -> dict[str, int]:
    """Play one history; tell the counts."""
    history = History(seed)
    issuer = kind(history)
    out: dict[int, tuple[int, int]] = {}  # permits that are begun: when they are over, and the side
    told = {"asked": 0, "granted": 0, "nobody there": 0, "over": 0, "held in vain": 0}
    ghosts: dict[int, int] = {}  # granted, and the answer was lost: until its lease is over
    for now in range(ROUNDS):
        issuer.turn(now)
        if history.ends[now] >= 0:
            issuer.ended(history.ends[now])
        for permit, (until, side) in list(out.items()):
            if now >= until and issuer.free(now, side, permit):
                del out[permit]
        for permit, until in list(ghosts.items()):
            if now >= until and any(issuer.free(now, side, permit) for side in (0, 1)):
                del ghosts[permit]
        told["held in vain"] += sum(now >= until for until, _ in out.values()) + len(ghosts)
        side = history.asks[now]
        if side < 0:
            continue
        told["asked"] += 1
        permit = issuer.grant(now, side)
        if not permit:
            told["nobody there"] += not issuer.free(now, side, -1)
        elif history.lost[now]:
            ghosts[permit] = now + 30
        else:
            told["granted"] += 1
            out[permit] = now + OUT_ROUNDS, side
        told["over"] += sum(now < until for until, _ in out.values()) > MOST
    issuer.close()
    return told
