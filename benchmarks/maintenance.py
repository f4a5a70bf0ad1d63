"""Measures agreed maintenance in virtual time; `python benchmarks/maintenance.py` writes `maintenance.md` beside it.

A thousand histories of faults, a release over forty heads with and without agreement, and who should grant.
"""

from __future__ import annotations

import multiprocessing
import random
import sys
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import maintenance_issuers as issuers  # noqa: E402
from maintenance_log import Members  # noqa: E402

from hophinge.maintenance.permits import PermitKind, PermitState  # noqa: E402
from hophinge.maintenance.releases import ReleaseStage  # noqa: E402
from hophinge.routing.maintenance_records import MaintenanceRule, DisruptionBudget, Release  # noqa: E402
from tests.maintenance_faults import history  # noqa: E402
from tests.maintenance_world import S, World  # noqa: E402

HISTORIES = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
LOGS = min(20, HISTORIES - 1)  # histories that pysyncobj plays: some seconds each
HEADS, SPARE = 40, 1.1  # what all heads together carry, in parts of the load
RULE = MaintenanceRule(DisruptionBudget(3, 0.1), DisruptionBudget(2, -1.0, 1))


def one(seed: int) -> tuple[int, Counter[str], Counter[str]]:
    """Play a history of faults; tell breaches, what struck and what was done."""
    world = World(seed, 8, 4, MaintenanceRule(DisruptionBudget(3, 0.4, 2), DisruptionBudget(2, -1.0, 1)))
    world.restart_us = 5 * S
    for _ in range(4):
        world.advance()
    history(world, 25)
    rows = world.store.permits.values()
    done = Counter({f"permits for {kind.value}s": sum(row.kind is kind for row in rows) for kind in PermitKind})
    done["begun"] = sum(
        row.state is not PermitState.GRANTED and bool(row.process or row.kind is PermitKind.BACKEND) for row in rows
    )
    done["drained by all heads' word"] = world.verdicts
    return len(world.violations), world.struck, done


def served(heads_up: int, bad: int) -> float:
    """Tell the part of the load that is served, where `bad` heads fail 30 % of what they get."""
    carried = min(1.0, heads_up * SPARE / HEADS)
    return carried * (1.0 - 0.3 * bad / max(1, heads_up))


class Tally:
    """What one release did."""

    def __init__(self) -> None:
        self.most_out, self.least, self.sum, self.turns, self.met = 0, 1.0, 0.0, 0, set[str]()
        self.purpose = 0

    def see(self, up: int, bad: int, purpose: int) -> None:
        """Take a second; `purpose`: how many are out because somebody wanted it."""
        self.purpose = max(self.purpose, purpose)
        self.most_out = max(self.most_out, HEADS - up)
        part = served(up, bad)
        self.least, self.sum, self.turns = min(self.least, part), self.sum + part, self.turns + 1

    def row(self, name: str, end: str) -> str:
        """Tell it as a row."""
        return (
            f"| {name} | {self.most_out} | {self.purpose} | {100 * self.sum / self.turns:.1f} % | "
            f"{100 * self.least:.1f} % | {self.turns} s | {len(self.met)} | {end} |"
        )


def agreed(bad_build: bool, losses: bool) -> str:
    """Roll build 2 out over forty heads by permits; a bad one is taken back once it has halted."""
    world = World(7, HEADS, 6, RULE)
    for _ in range(5):
        world.advance()
    if bad_build:
        world.failing["2"] = 0.3
    form = Release("r", "2", (), (0.1, 0.5, 1.0), 10 * S, 120 * S, 0.02)
    world.releases["r"] = form
    world.apply_configuration()
    tally, lost = Tally(), False
    lots = random.Random(3)
    while tally.turns < 5000:
        world.advance()
        course = world.store.courses["r"]
        up = sum(head.ready for head in world.heads.values())
        bad = [head for head in world.heads.values() if head.build == "2" and bad_build and int(head.name[1:]) % 3 == 0]
        tally.met.update(head.name for head in world.heads.values() if head.build == "2")
        tally.see(
            up,
            sum(head.ready for head in bad),
            sum(one.state is not PermitState.GRANTED for one in world.store.active_permits(PermitKind.HEAD).values()),
        )
        if losses and not lost and sum(head.build == "2" for head in world.heads.values()) >= 10:
            lost = True
            for name in lots.sample([name for name, head in world.heads.items() if head.ready], 3):
                world.kill_head(name)
                world.heads[name].returns_at = world.now + 120 * S
        if course.stage is ReleaseStage.HALTED and all(head.alive for head in world.heads.values()):
            form = Release(
                "r", "2", (), (0.1, 0.5, 1.0), 10 * S, 120 * S, 0.02, "back" if bad_build else "go", course.attempt + 1
            )
            world.releases["r"] = form
            world.apply_configuration()
        if course.stage in (ReleaseStage.DONE, ReleaseStage.UNDONE):
            break
    assert world.violations == [], world.violations[:3]
    name = "agreed" + (", bad build" if bad_build else "") + (", three heads lost" if losses else "")
    return tally.row(name, world.store.courses["r"].stage.value)


def alone(bad_build: bool, losses: bool) -> str:
    """Roll it out by two scripts that each restart three heads at a time, and know of nothing else."""
    tally, lots, lost, gone = Tally(), random.Random(3), False, set[int]()
    build, back_at = dict.fromkeys(range(HEADS), 1), dict.fromkeys(range(HEADS), 0)
    queues = [list(range(0, HEADS, 2)), list(range(1, HEADS, 2))]
    now = 0
    while any(queues) or any(at > now for at in back_at.values()):
        now += 1
        for queue in queues:
            mine = [at for at in back_at if at % 2 == queues.index(queue) and back_at[at] > now and build[at] == 2]
            while queue and len(mine) < 3:
                at = queue.pop(0)
                build[at], back_at[at] = 2, max(back_at[at], now + 22)
                mine.append(at)
        if losses and not lost and sum(one == 2 for one in build.values()) >= 10:
            lost = True
            for at in lots.sample([at for at in build if back_at[at] <= now], 3):
                back_at[at] = now + 120
                gone.add(at)
        up = [at for at in build if back_at[at] <= now]
        tally.met.update(str(at) for at in build if build[at] == 2)
        tally.see(
            len(up),
            sum(bad_build and build[at] == 2 and at % 3 == 0 for at in up),
            sum(back_at[at] > now and at not in gone for at in build),
        )
    name = "two scripts" + (", bad build" if bad_build else "") + (", three heads lost" if losses else "")
    return tally.row(name, "all on the bad build" if bad_build else "done")


def main() -> None:
    """Measure and write."""
    begun = time.monotonic()
    struck, done, breaches = Counter[str](), Counter[str](), 0
    with multiprocessing.Pool(2) as pool:
        for wrong, one_struck, one_done in pool.imap_unordered(one, range(HISTORIES), chunksize=10):
            breaches += wrong
            struck.update(one_struck)
            done.update(one_done)
    lines = [
        "# Agreed maintenance, measured",
        "",
        "By `python benchmarks/maintenance.py`, all in virtual time: the deciders are the program's, heads, bricks, "
        "lines and the store are stand-ins (`tests/maintenance_world.py`).",
        "",
        f"## {HISTORIES} histories of faults",
        "",
        f"Eight heads and four bricks, heads `most 3`, 40 %, 2 in a zone; bricks `most 2`, 1 in a zone. **{breaches} "
        f"breaches**: of a bound, of a place granted twice, of a begun permit freed by nothing, of a drained verdict "
        "without each live head's word, of a head that goes without a permit.",
        "",
        "| what struck | times |",
        "| --- | --- |",
        *(f"| {name} | {count:,} |" for name, count in struck.most_common()),
        "",
        "| what was done | times |",
        "| --- | --- |",
        *(f"| {name} | {count:,} |" for name, count in done.items()),
        "",
        "## A release over forty heads",
        "",
        f"A restart takes 20 s and 2 s more until the head is ready; all heads together carry {SPARE} times the load; "
        "a bad build fails 30 % of the requests at every third head. Bounds: `most 3`, 10 %. Waves: one head, 10 %, "
        "50 %, all; 10 s to settle. Three heads fail by themselves for two minutes once ten have the build.",
        "",
        "| way | most out at once | on purpose | served, mean | served, least | time | heads with the build | end |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for bad_build, losses in ((False, False), (False, True), (True, False)):
        lines += [agreed(bad_build, losses), alone(bad_build, losses)]
    lines += [
        "",
        "## Who grants",
        "",
        f"Models on the same {HISTORIES} histories of {issuers.ROUNDS} rounds: five hosts that end, stop and are "
        f"split from each other, one answer in ten lost, `most {issuers.MOST}`. `over`: rounds at which more "
        "were out than allowed. `nobody there`: asks that found no issuer on their side. `held in vain`: rounds "
        "that a place stayed taken, over all places, as nobody could free it or an answer was lost. pysyncobj is "
        f"the library itself on the first {LOGS} of them, a round being a second of its clock.",
        "",
        "| issuer | over | granted | nobody there | held in vain |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, kind, count in [
        *((name, kind, HISTORIES) for name, kind in issuers.KINDS.items()),
        ("control service alone, grants stored, the first", issuers.Single, LOGS),
        ("pysyncobj, five members, the first", Members, LOGS),
    ]:
        sums = Counter[str]()
        with multiprocessing.Pool(2) as pool:
            for told in pool.starmap(issuers.play, [(kind, seed) for seed in range(count)], chunksize=1):
                sums.update(told)
        name += f" {count}" if count == LOGS else ""
        lines.append(
            f"| {name} | {sums['over']:,} | {sums['granted']:,} | "
            f"{100 * sums['nobody there'] / sums['asked']:.1f} % | {sums['held in vain']:,} |"
        )
    lines += ["", f"Took {time.monotonic() - begun:.0f} s on two cores.", ""]
    (ROOT / "benchmarks" / "maintenance.md").write_text("\n".join(lines))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
