from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.cluster_member import KEY, MemberProcess, wait_for

Start = Callable[..., MemberProcess]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    started: list[MemberProcess] = []

    def start_member(name: str, seeds: list[str], **more: Any) -> MemberProcess:
        # Half of the default suspicion timeout, to shorten the tests.
        started.append(MemberProcess(tmp_path, name, seeds, tuning={"suspicion_multiplier": 2.0}, **more))
        return started[-1]

    yield start_member
    for member in started:
        member.kill()


def all_alive(*members: MemberProcess) -> bool:
    names = {member.name: "alive" for member in members}
    return all(member.member_states() == names for member in members)


def fleet(start: Start, count: int) -> list[MemberProcess]:
    first = start("m0", [])
    members = [first, *(start(f"m{number}", [first.address]) for number in range(1, count))]
    assert wait_for(lambda: all_alive(*members))
    return members


def test_members_see_each_other_replicate_entries_and_announce_a_leave(start: Start) -> None:
    members = fleet(start, 3)
    for member in members:
        member.request(f"put drains brick-{member.name} out")
    expected = [[member.name, f"brick-{member.name}", "out"] for member in members]
    assert wait_for(lambda: all(member.request()["entries"] == expected for member in members))
    members[2].request("leave")
    assert wait_for(lambda: all(member.member_states()["m2"] == "left" for member in members[:2]))
    assert wait_for(lambda: all(member.request()["entries"] == expected[:2] for member in members[:2]))


def test_a_killed_member_is_declared_dead_and_may_rejoin(start: Start) -> None:
    members = fleet(start, 5)
    members[4].signal(signal.SIGKILL)
    assert wait_for(lambda: all(member.member_states()["m4"] == "dead" for member in members[:4]))
    again = start("m4", [members[1].address], listen=members[4].address)
    assert wait_for(lambda: all_alive(*members[:4], again))


def test_a_stopped_member_suspects_nobody_when_it_resumes_and_rejoins(start: Start) -> None:
    members = fleet(start, 5)
    members[3].signal(signal.SIGSTOP)
    awake = [member for member in members if member is not members[3]]
    assert wait_for(lambda: all(member.member_states()["m3"] == "dead" for member in awake))
    members[3].signal(signal.SIGCONT)
    assert wait_for(lambda: all_alive(*members))
    counters = members[3].request()["counters"]
    assert counters["late"] >= 1 and "deaths" not in counters
    assert all(member.request()["counters"].get("deaths", 0) <= 1 for member in awake), (
        "another member was declared dead"
    )


def test_of_two_processes_with_one_name_the_younger_steps_down(start: Start) -> None:
    members = fleet(start, 3)
    twin = start("m2", [members[0].address])
    assert wait_for(lambda: "[member-name-taken]" in twin.request()["stepped_back"])
    assert wait_for(lambda: all_alive(*members)) and not members[2].request()["stepped_back"]


def test_keys_are_rotated_without_interruption(start: Start) -> None:
    members = fleet(start, 3)
    new = "another key, from now on"

    def rekey(*keys: str) -> None:
        for member in members:
            member.key_file.write_text("\n".join(keys) + "\n")
            member.signal(signal.SIGHUP)

    rekey(KEY, new)
    rekey(new, KEY)
    rekey(new)
    # Updates under the new key reach all members.
    assert wait_for(
        lambda: (
            bool(members[1].request("put weights w 1"))
            and all(member.request()["entries"] == [["m1", "w", "1"]] for member in members)
        )
    )
    members[0].key_file.write_text("short\n")
    members[0].signal(signal.SIGHUP)
    members[2].request("put weights x 2")
    assert wait_for(lambda: len(members[0].request()["entries"]) == 2)  # the keys are unchanged


def test_without_seeds_a_member_runs_alone_and_joins_them_later(start: Start) -> None:
    seed = start("seed", [])
    address = seed.address
    seed.kill()
    alone = start("alone", [address])
    assert alone.member_states() == {"alone": "alive"}
    late = start("late", [], listen=address)
    assert wait_for(lambda: all_alive(alone, late))
