"""Acknowledged drains in virtual time: an acknowledged drain holds, also when its member is partitioned afterwards."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from hophinge.fleet.registry.instance import DRAINING, READY
from tests.control_world import CONTACT_S, DRAIN_S, HEARTBEAT_S, ControlWorld
from tests.virtual_loop import play

HISTORIES = 16
FORMED_S = 6.0
ONE, TWO, THREE, FOUR, FIVE = (f"10.0.0.{number}:7660" for number in range(1, 6))


async def _formed_fleet(seed: int, voters: int = 3) -> ControlWorld:
    """Return a fleet that has run for some seconds and knows an instance."""
    world = ControlWorld(seed, voters, 5 - voters)
    await asyncio.sleep(FORMED_S)
    assert await world.send_heartbeat(ONE, "i", READY, 1)
    await asyncio.sleep(0.5)
    assert len(world.ready_at("i")) == len(world.heads)
    return world


async def _watch(world: ControlWorld, seconds: float) -> None:
    """Check the world's invariant repeatedly for some seconds."""
    deadline = world.loop.time() + seconds
    while world.loop.time() < deadline:
        await asyncio.sleep(0.1)
        world.check()


def test_without_faults_a_drain_is_acknowledged_at_once_and_reaches_all_heads() -> None:
    async def run() -> None:
        world = await _formed_fleet(1)
        sent_at = world.loop.time()
        assert await world.send_heartbeat(FIVE, "i", DRAINING, 2)
        assert world.loop.time() - sent_at < 0.1
        await asyncio.sleep(0.1)
        assert not world.ready_at("i")
        await world.send_heartbeat(ONE, "i", READY, 1)
        await asyncio.sleep(0.1)
        assert not world.ready_at("i"), "a late heartbeat does not undo a drain"

    play(run())


@pytest.mark.parametrize("cut_off", [{ONE}, {ONE, FOUR}, {FOUR, FIVE}, {ONE, FOUR, FIVE}])
def test_members_partitioned_from_the_majority_acknowledge_no_drain(cut_off: set[str]) -> None:
    async def run() -> None:
        world = await _formed_fleet(2)
        world.cut(cut_off, (set(world.members) | set(world.heads)) - cut_off)
        for moment in range(6):
            assert not await world.send_heartbeat(min(cut_off), "i", DRAINING, 2 + moment)
            await asyncio.sleep(HEARTBEAT_S)
        assert await world.send_heartbeat(TWO, "i", DRAINING, 9), "a member on the majority's side acknowledges"
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)
        world.heal()
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)
        assert await world.send_heartbeat(ONE, "i", DRAINING, 10)

    play(run())


@pytest.mark.parametrize("acknowledger", [ONE, FIVE])
def test_an_acknowledged_drain_survives_the_partition_and_loss_of_the_acknowledging_member(acknowledger: str) -> None:
    async def run() -> None:
        world = await _formed_fleet(3)
        assert await world.send_heartbeat(acknowledger, "i", DRAINING, 2)
        world.cut({acknowledger}, (set(world.members) | set(world.heads)) - {acknowledger})
        await _watch(world, 6.0)
        assert not world.ready_at("i")
        world.kill(acknowledger)
        world.heal()
        world.start(acknowledger)
        await _watch(world, 6.0)
        assert not world.ready_at("i")

    play(run())


def test_two_of_five_voters_that_are_cut_off_together_acknowledge_nothing() -> None:
    async def run() -> None:
        world = await _formed_fleet(6, voters=5)
        minority = {ONE, TWO}
        world.cut(minority, (set(world.members) | set(world.heads)) - minority)
        await asyncio.sleep(1.2)
        for moment in range(4):
            assert not await world.send_heartbeat(min(minority), "i", DRAINING, 2 + moment)
        assert await world.send_heartbeat(THREE, "i", DRAINING, 9)
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)

    play(run())


def test_a_drain_reaches_members_that_the_acknowledging_member_cannot_reach() -> None:
    async def run() -> None:
        world = await _formed_fleet(7)
        world.cut({ONE}, {THREE})  # both still reach the third voter
        await asyncio.sleep(1.2)
        assert await world.send_heartbeat(ONE, "i", DRAINING, 2)
        await asyncio.sleep(0.05)
        assert not world.ready_at("i")

    play(run())


def test_a_member_that_reaches_a_majority_acknowledges_while_another_is_partitioned() -> None:
    async def run() -> None:
        world = await _formed_fleet(4)
        world.cut({THREE}, {ONE, TWO})  # only between voters: heads and other members reach both sides
        await asyncio.sleep(1.2)
        assert await world.send_heartbeat(TWO, "i", DRAINING, 2)
        assert not await world.send_heartbeat(THREE, "i", DRAINING, 3)
        await _watch(world, 6.0)
        assert not world.ready_at("i")

    play(run())


def test_an_outdated_heartbeat_acknowledges_no_drain() -> None:
    async def run() -> None:
        world = await _formed_fleet(5)
        await world.send_heartbeat(TWO, "i", READY, 9)
        await asyncio.sleep(1.0)
        assert not await world.send_heartbeat(ONE, "i", DRAINING, 5), "a later heartbeat said that it is ready"

    play(run())


async def _inject_fault(world: ControlWorld, random: Random) -> None:
    """Kill or partition one or two members, for some seconds."""
    inside = set(random.sample(sorted(world.members), random.choice([1, 1, 2])))
    everybody = set(world.members) | set(world.heads)
    kind = random.choice(["all", "core", "one_way", "kill"])
    if kind == "kill":
        victim = min(inside)
        world.kill(victim)
        await asyncio.sleep(random.uniform(0.1, 3.0))
        world.start(victim)
        return
    voters = {address for address, member in world.members.items() if member.settings.can_vote}
    world.cut(inside, (everybody if kind == "all" else voters) - inside, kind == "one_way")
    await asyncio.sleep(random.choice([0.1, 0.4, 2.0, 6.0, 20.0]))
    world.heal()


async def _run_instance(world: ControlWorld, random: Random, name: str, drain_sequence: int) -> None:
    """Send heartbeats of an instance to any member that answers: ready at first, draining from `drain_sequence` on."""
    sequence = 0
    while sequence < 200:
        sequence += 1
        state = READY if sequence < drain_sequence else DRAINING
        members = random.sample(sorted(world.members), len(world.members))
        for address in members[:3]:
            if await world.send_heartbeat(address, name, state, sequence):
                break
            sequence += 1
        await asyncio.sleep(HEARTBEAT_S / 2)


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_random_faults_lose_no_acknowledged_drain(seed: int) -> None:
    async def run() -> None:
        random, voters = Random(seed), 3 + seed % 3
        world = ControlWorld(seed, voters, 6 - voters)
        await asyncio.sleep(FORMED_S)
        instances = [
            asyncio.create_task(_run_instance(world, random, f"i-{number}", 4 + 9 * number)) for number in range(6)
        ]
        for _ in range(5):
            fault = asyncio.create_task(_inject_fault(world, random))
            while not fault.done():
                await _watch(world, 0.3)
            await _watch(world, random.choice([0.5, 4.0, 7.0]))
        await _watch(world, CONTACT_S + DRAIN_S + 2.0)
        for task in instances:
            task.cancel()
        assert len(world.acknowledged) >= 3

    play(run())
