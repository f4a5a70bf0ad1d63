"""Operators' evacuations from the API to the heads, in virtual time: resent, cut off, lost, and in drawn histories."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Any

import pytest

from hophinge.coordination.events import ClientResponse
from hophinge.coordination.registers import Change, Outcome
from hophinge.fleet.configuration.evacuations import EVACUATED, IN_SERVICE, evacuation_key, is_evacuated
from hophinge.fleet.controlplane.evacuation_api import ORDER_TIMEOUT_S, EvacuationApi
from hophinge.fleet.dataplane.cluster_state import STABILIZATION_S
from tests import linearizability
from tests.evacuation_world import EVACUATION_S, PAUSE_S, SILENCE_S, ZONES, Call, EvacuationWorld
from tests.virtual_loop import play

HISTORIES = 12
RACES = 6
MIN_CALLS = 20  # of the register, that each race completes
FORMED_S = 6.0
ONE, TWO, THREE, FOUR, FIVE = (f"10.0.0.{number}:7660" for number in range(1, 6))
VOTERS = (ONE, TWO, THREE)
Z0, Z1, Z2 = ZONES


async def _formed(seed: int) -> EvacuationWorld:
    world = EvacuationWorld(seed)
    await asyncio.sleep(FORMED_S)
    return world


def _at(address: str) -> Any:
    return lambda: (address, 0.0, False)


async def _all_know(world: EvacuationWorld, *zones: str, after_s: float = EVACUATION_S) -> None:
    await asyncio.sleep(after_s)
    for address, evacuated in world.evacuated().items():
        assert evacuated == set(zones), address


def _chain_head(world: EvacuationWorld) -> str:
    for address, member in world.members.items():
        if member.machine is not None and member.machine.chain.is_head:
            return address
    raise AssertionError("no member heads the chain")


@pytest.mark.parametrize("member", [ONE, TWO, THREE, FOUR, FIVE])
def test_without_faults_any_member_acknowledges_at_once_and_all_heads_apply_the_order(member: str) -> None:
    async def run() -> None:
        world = await _formed(1)
        for _ in range(2):  # the second evacuation of a zone is another change than the first
            for repeat in range(2):
                assert await world.order(Z0, True, _at(member)) < 0.2, repeat
            await _all_know(world, Z0, after_s=0.5)
            for repeat in range(2):
                assert await world.order(Z0, False, _at(member)) < 0.2, repeat
            await _all_know(world, after_s=0.5)

    play(run())


def test_two_zones_are_evacuated_independently() -> None:
    async def run() -> None:
        world = await _formed(2)
        await asyncio.gather(*(world.order(zone, True, _at(member)) for zone, member in ((Z0, ONE), (Z1, FIVE))))
        await _all_know(world, Z0, Z1, after_s=0.5)
        await world.order(Z0, False, _at(TWO))
        await _all_know(world, Z1, after_s=0.5)

    play(run())


def test_all_zones_can_be_evacuated_and_returned_to_service() -> None:
    async def run() -> None:
        world = await _formed(3)
        for zone in ZONES:
            await world.order(zone, True, _at(ONE))
        await _all_know(world, *ZONES, after_s=0.5)
        for zone in ZONES:
            await world.order(zone, False, _at(TWO))
        await _all_know(world, after_s=0.5)

    play(run())


@pytest.mark.parametrize("side", [{ONE}, {ONE, FOUR}])
def test_a_partition_without_a_majority_answers_503_at_once_and_the_other_serves_orders(side: set[str]) -> None:
    async def run() -> None:
        world = await _formed(4)
        world.cut(side, (set(world.members) | set(world.heads)) - side)
        await asyncio.sleep(2.0)
        for member in side:
            began = world.loop.time()
            for method in ("POST", "DELETE"):
                assert await world.call(member, method, Z0) == 503
            assert world.loop.time() - began < 0.1
        assert await world.order(Z0, True, _at(TWO)) < 1.0
        await _all_know(world, Z0)
        world.heal()
        await asyncio.sleep(2.0)
        assert await world.call(ONE, "POST", Z0) == 200
        await _all_know(world, Z0, after_s=0.0)

    play(run())


@pytest.mark.parametrize("older", [{ONE}, {ONE, TWO, THREE, FOUR}])
def test_members_of_an_older_release_do_not_keep_orders_from_the_heads(older: set[str]) -> None:
    async def run() -> None:
        world = await _formed(11)
        head = min(world.heads)
        world.older = older | {head}
        await world.order(Z0, True, _at(FIVE))
        await asyncio.sleep(EVACUATION_S)
        assert world.evacuated().pop(head) == set(), "it passes over the record"
        for address in set(world.heads) - {head}:
            assert world.evacuated()[address] == {Z0}, address

    play(run())


def test_a_starting_head_knows_the_evacuated_zones_before_it_becomes_ready() -> None:
    async def run() -> None:
        world = await _formed(12)
        await world.order(Z0, True, _at(ONE))
        await asyncio.sleep(0.5)
        address = min(world.heads)
        world._add_head(world.heads[address].settings)
        head = world.heads[address]
        while head.first_granted_at is None or world.loop.time() - head.first_granted_at < STABILIZATION_S:
            await asyncio.sleep(0.01)
        assert world.evacuated()[address] == {Z0}

    play(run())


def test_a_partitioned_head_keeps_its_state_and_catches_up_afterwards() -> None:
    async def run() -> None:
        world = await _formed(5)
        await world.order(Z0, True, _at(ONE))
        await asyncio.sleep(0.5)
        head = min(world.heads)
        world.cut({head}, (set(world.members) | set(world.heads)) - {head})
        await world.order(Z0, False, _at(ONE))
        await world.order(Z1, True, _at(ONE))
        await asyncio.sleep(EVACUATION_S)
        assert world.evacuated()[head] == {Z0}
        world.heal()
        await _all_know(world, Z1)

    play(run())


def test_an_order_survives_the_loss_of_the_chains_head_right_after_its_acknowledgement() -> None:
    async def run() -> None:
        world = await _formed(6)
        first = _chain_head(world)
        await world.order(Z0, True, _at(first))
        world.wipe(first)  # with its zone: that is the one which was evacuated
        others = [voter for voter in VOTERS if voter != first]
        await _all_know(world, Z0)
        assert await world.order(Z1, True, _at(others[0])) < 5.0
        world.start(first)
        await _all_know(world, Z0, Z1)

    play(run())


def test_an_acknowledged_order_survives_a_power_loss_and_reaches_restarted_heads() -> None:
    async def run() -> None:
        world = await _formed(7)
        await world.order(Z0, True, _at(ONE))
        for member in world.members:
            world.kill(member)
        for member in world.members:
            world.start(member)
        for head in world.heads.values():
            world._add_head(head.settings)
        assert world.evacuated()[min(world.heads)] == set()
        await _all_know(world, Z0)

    play(run())


def test_an_order_executed_late_by_a_paused_member_does_not_undo_a_newer_one() -> None:
    async def run() -> None:
        world = await _formed(8)
        assert await world.call(ONE, "POST", Z0, frozen_s=4.0) is None
        await world.order(Z0, True, _at(TWO))
        await world.order(Z0, False, _at(TWO))
        await asyncio.sleep(4.0)
        await _all_know(world)

    play(run())


@pytest.mark.parametrize(("outcome", "status"), [(Outcome.APPLIED, 200), (Outcome.OUTDATED, 503), (None, 503)])
def test_an_order_is_acknowledged_only_if_its_change_is_known_to_be_applied(
    outcome: Outcome | None, status: int
) -> None:
    async def run() -> None:
        async def request(key: str, change: Change | None, timeout_s: float) -> ClientResponse:
            return ClientResponse(1, Outcome.VALUE if change is None else outcome, 4, IN_SERVICE)

        call = Call()
        api = EvacuationApi(ZONES, request, lambda record: None, asyncio.get_running_loop().time)
        await api.serve_zone("POST", Z0, call.receive, call.send)
        assert call.status == status

    play(run())


def test_an_order_that_conflicts_with_newer_orders_is_not_retried() -> None:
    """The register changes between the read of an abandoned attempt and its change, by what the operator sent since."""

    async def run() -> None:
        changes: list[Change] = []
        reads = [ClientResponse(1, Outcome.VALUE, 4, IN_SERVICE), ClientResponse(3, Outcome.VALUE, 6, IN_SERVICE)]

        async def request(key: str, change: Change | None, timeout_s: float) -> ClientResponse:
            if change is None:
                return reads.pop(0)
            changes.append(change)
            return ClientResponse(2, Outcome.CONFLICT if change.base == 4 else Outcome.APPLIED, 6)

        call = Call()
        api = EvacuationApi(ZONES, request, lambda record: None, asyncio.get_running_loop().time)
        await api.serve_zone("POST", Z0, call.receive, call.send)
        assert call.status == 503
        assert [change.base for change in changes] == [4]

    play(run())


def test_a_conflict_with_a_change_to_the_same_value_is_acknowledged() -> None:
    async def run() -> None:
        answers = [
            ClientResponse(1, Outcome.VALUE, 4, b""),
            ClientResponse(2, Outcome.CONFLICT, 5),
            ClientResponse(3, Outcome.VALUE, 5, EVACUATED),
        ]

        async def request(key: str, change: Change | None, timeout_s: float) -> ClientResponse:
            return answers.pop(0)

        call = Call()
        api = EvacuationApi(ZONES, request, lambda record: None, asyncio.get_running_loop().time)
        await api.serve_zone("POST", Z0, call.receive, call.send)
        assert call.status == 200
        assert not answers

    play(run())


def test_orders_for_unknown_zones_and_other_methods_are_rejected_and_change_nothing() -> None:
    async def run() -> None:
        world = await _formed(9)
        for method in ("POST", "DELETE", "GET"):
            assert await world.call(ONE, method, "elsewhere") == 404
        assert await world.call(ONE, "PUT", Z0) == 405
        assert not world.members[ONE].soft_state.dissemination.store.records  # type: ignore[union-attr]

    play(run())


def test_an_order_is_answered_before_its_caller_retries_at_another_member() -> None:
    assert ORDER_TIMEOUT_S + 2 * 0.05 < SILENCE_S


def test_operators_read_the_state_of_a_zone_and_of_all() -> None:
    async def run() -> None:
        world = await _formed(10)
        await world.order(Z1, True, _at(ONE))
        bodies: list[bytes] = []

        async def send(message: dict[str, Any]) -> None:
            bodies.append(message.get("body", b""))

        api = world.api(FOUR)
        await api.serve_all("GET", "", Call().receive, send)
        await api.serve_zone("GET", Z1, Call().receive, send)
        assert json.loads(bodies[1]) == {"evacuated": {Z0: False, Z1: True, Z2: False}}
        assert json.loads(bodies[3]) == {"zone": Z1, "evacuated": True, "version": 1}

    play(run())


# --- drawn histories --------------------------------------------------------------------------------------------------


async def _disturb(world: EvacuationWorld, random: Random) -> None:
    """Disturb one member of the core, and one of the others, for some seconds."""
    victim = random.choice(VOTERS)
    inside = {victim, random.choice([FOUR, FIVE])}
    everybody = set(world.members) | set(world.heads)
    kind = random.choice(["cut", "one_way", "kill", "wipe"])
    if kind in ("cut", "one_way"):
        world.cut(inside, everybody - inside, kind == "one_way")
    elif kind == "kill":
        world.kill(victim)
    else:
        world.wipe(victim)
    await asyncio.sleep(random.uniform(0.3, 4.0))
    world.heal()
    if world.members[victim].machine is None:
        world.start(victim)
    await asyncio.sleep(random.uniform(3.0, 5.0))  # until it has caught up: one loss at a time is borne


async def _operate(world: EvacuationWorld, random: Random, zone: str, until: float) -> bool:
    """Send orders for one zone until a time; return the value of the last one, which was acknowledged."""

    def choose() -> tuple[str, float, bool]:
        frozen_s = random.choice([0.0, 0.0, 0.0, random.uniform(0.0, 3.0)])
        return random.choice(sorted(world.members)), frozen_s, random.random() < 0.3

    value = False
    while world.loop.time() < until:
        value = random.random() < 0.6
        await world.order(zone, value, choose)
        await asyncio.sleep(random.uniform(0.0, 1.5))
        read = await world.request(TWO, evacuation_key(zone), None, 2.0)
        assert read.outcome is not Outcome.VALUE or is_evacuated(read.payload) == value, "a read is older than an order"
    return value


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_random_histories_with_faults_keep_every_acknowledged_order(seed: int) -> None:
    async def run() -> None:
        world, random = await _formed(seed), Random(seed)
        until = world.loop.time() + 30.0
        operators = [asyncio.create_task(_operate(world, Random(f"{seed}-{zone}"), zone, until)) for zone in ZONES]
        while world.loop.time() < until:
            await _disturb(world, random)
        values = await asyncio.gather(*operators)
        await world.settle()
        lost = random.choice(VOTERS)
        for member in world.members:
            if member == lost:
                world.wipe(member)
            else:
                world.kill(member)
        await asyncio.sleep(PAUSE_S)
        for member in world.members:
            world.start(member)
        await asyncio.sleep(3.0)
        expected = {zone for zone, value in zip(ZONES, values, strict=True) if value}
        await _all_know(world, *expected)

    play(run())


@pytest.mark.parametrize("seed", range(RACES))
def test_orders_of_two_operators_with_retries_and_lost_responses_are_linearizable(seed: int) -> None:
    async def run() -> None:
        world, random = await _formed(seed), Random(seed)
        until = world.loop.time() + 15.0

        async def operate(name: str) -> None:
            own = Random(f"{seed}-{name}")

            def choose() -> tuple[str, float, bool]:
                return (
                    own.choice(sorted(world.members)),
                    own.choice([0.0, 0.0, own.uniform(0.0, 2.0)]),
                    own.random() < 0.3,
                )

            while world.loop.time() < until:
                value = own.random() < 0.5
                await world.order(Z0, value, choose)
                await asyncio.sleep(own.uniform(0.0, 0.3))

        operators = [asyncio.create_task(operate(name)) for name in "ab"]
        while world.loop.time() < until:
            await _disturb(world, random)
        await asyncio.gather(*operators)
        await world.settle()
        assert linearizability.check(world.calls, world.sent) > MIN_CALLS

    play(run())
