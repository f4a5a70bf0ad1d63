from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.cluster_member import KEY, Started, until

Start = Callable[..., Started]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    started: list[Started] = []

    def one(name: str, seeds: list[str], **more: Any) -> Started:
        # Half of the usual time to refute, for the tests' own.
        started.append(Started(tmp_path, name, seeds, tuning={"suspicion_multiplier": 2.0}, **more))
        return started[-1]

    yield one
    for member in started:
        member.end()


def together(*members: Started) -> bool:
    names = {one.name: "alive" for one in members}
    return all(one.standings() == names for one in members)


def fleet(start: Start, count: int) -> list[Started]:
    first = start("m0", [])
    members = [first, *(start(f"m{number}", [first.address]) for number in range(1, count))]
    assert until(lambda: together(*members))
    return members


def test_members_see_each_other_entries_arrive_and_a_leave_is_told(start: Start) -> None:
    members = fleet(start, 3)
    for one in members:
        one.ask(f"put drains brick-{one.name} out")
    wanted = [[one.name, f"brick-{one.name}", "out"] for one in members]
    assert until(lambda: all(one.ask()["entries"] == wanted for one in members))
    members[2].ask("leave")
    assert until(lambda: all(one.standings()["m2"] == "left" for one in members[:2]))
    assert until(lambda: all(one.ask()["entries"] == wanted[:2] for one in members[:2]))


def test_a_killed_member_is_found_dead_and_its_return_is_taken(start: Start) -> None:
    members = fleet(start, 5)
    members[4].signal(signal.SIGKILL)
    assert until(lambda: all(one.standings()["m4"] == "dead" for one in members[:4]))
    again = start("m4", [members[1].address], listen=members[4].address)
    assert until(lambda: together(*members[:4], again))


def test_a_stopped_member_wakes_accuses_nobody_and_is_taken_back(start: Start) -> None:
    members = fleet(start, 5)
    members[3].signal(signal.SIGSTOP)
    awake = [one for one in members if one is not members[3]]
    assert until(lambda: all(one.standings()["m3"] == "dead" for one in awake))
    members[3].signal(signal.SIGCONT)
    assert until(lambda: together(*members))
    counters = members[3].ask()["counters"]
    assert counters["late"] >= 1 and "deaths" not in counters
    assert all(one.ask()["counters"].get("deaths", 0) <= 1 for one in awake), "somebody else was held dead"


def test_two_processes_under_one_name_the_younger_steps_back_and_says_so(start: Start) -> None:
    members = fleet(start, 3)
    twin = start("m2", [members[0].address])
    assert until(lambda: "[member-name-taken]" in twin.ask()["stepped_back"])
    assert until(lambda: together(*members)) and not members[2].ask()["stepped_back"]


def test_keys_are_changed_without_a_gap(start: Start) -> None:
    members = fleet(start, 3)
    new = "another key, from now on"

    def rekey(*keys: str) -> None:
        for one in members:
            one.key_file.write_text("\n".join(keys) + "\n")
            one.signal(signal.SIGHUP)

    rekey(KEY, new)
    rekey(new, KEY)
    rekey(new)
    # News under the last key reaches all.
    assert until(
        lambda: (
            bool(members[1].ask("put weights w 1"))
            and all(one.ask()["entries"] == [["m1", "w", "1"]] for one in members)
        )
    )
    members[0].key_file.write_text("short\n")
    members[0].signal(signal.SIGHUP)
    members[2].ask("put weights x 2")
    assert until(lambda: len(members[0].ask()["entries"]) == 2)  # the keys are as they were


def test_without_its_seeds_a_member_goes_on_alone_and_meets_them_when_they_come(start: Start) -> None:
    seed = start("seed", [])
    where = seed.address
    seed.end()
    alone = start("alone", [where])
    assert alone.standings() == {"alone": "alive"}
    late = start("late", [], listen=where)
    assert until(lambda: together(alone, late))
