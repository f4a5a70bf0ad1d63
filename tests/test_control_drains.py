"""Acknowledged leavings in virtual time: they bind wherever their giver stands, also on the wrong side of a cut."""

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


async def _formed(seed: int, voters: int = 3) -> ControlWorld:
    """A fleet that has stood for some seconds and knows an instance."""
    world = ControlWorld(seed, voters, 5 - voters)
    await asyncio.sleep(FORMED_S)
    assert await world.send_heartbeat(ONE, "i", READY, 1)
    await asyncio.sleep(0.5)
    assert len(world.ready_at("i")) == len(world.heads)
    return world


async def _watch(world: ControlWorld, seconds: float) -> None:
    """Let time pass while the instance says that it leaves, and check."""
    until = world.loop.time() + seconds
    while world.loop.time() < until:
        await asyncio.sleep(0.1)
        world.check()


def test_in_a_calm_fleet_a_leaving_is_acknowledged_at_once_and_everybody_knows() -> None:
    async def run() -> None:
        world = await _formed(1)
        asked = world.loop.time()
        assert await world.send_heartbeat(FIVE, "i", DRAINING, 2)
        assert world.loop.time() - asked < 0.1
        await asyncio.sleep(0.1)
        assert not world.ready_at("i")
        await world.send_heartbeat(ONE, "i", READY, 1)
        await asyncio.sleep(0.1)
        assert not world.ready_at("i"), "a late heartbeat brings nothing back"

    play(run())


@pytest.mark.parametrize("cut_off", [{ONE}, {ONE, FOUR}, {FOUR, FIVE}, {ONE, FOUR, FIVE}])
def test_members_cut_off_from_the_core_acknowledge_no_leaving_even_together(cut_off: set[str]) -> None:
    async def run() -> None:
        world = await _formed(2)
        world.cut(cut_off, (set(world.members) | set(world.heads)) - cut_off)
        for moment in range(6):
            assert not await world.send_heartbeat(min(cut_off), "i", DRAINING, 2 + moment)
            await asyncio.sleep(HEARTBEAT_S)
        assert await world.send_heartbeat(TWO, "i", DRAINING, 9), "the majority's side acknowledges"
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)
        world.heal()
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)
        assert await world.send_heartbeat(ONE, "i", DRAINING, 10)

    play(run())


@pytest.mark.parametrize("giver", [ONE, FIVE])
def test_a_leaving_is_known_though_its_giver_is_lost_or_cut_off_right_after_it_acknowledged(giver: str) -> None:
    async def run() -> None:
        world = await _formed(3)
        assert await world.send_heartbeat(giver, "i", DRAINING, 2)
        world.cut({giver}, (set(world.members) | set(world.heads)) - {giver})
        await _watch(world, 6.0)
        assert not world.ready_at("i")
        world.kill(giver)
        world.heal()
        world.start(giver)
        await _watch(world, 6.0)
        assert not world.ready_at("i")

    play(run())


def test_two_of_five_voters_that_are_cut_off_together_acknowledge_nothing() -> None:
    async def run() -> None:
        world = await _formed(6, voters=5)
        pair = {ONE, TWO}
        world.cut(pair, (set(world.members) | set(world.heads)) - pair)
        await asyncio.sleep(1.2)
        for moment in range(4):
            assert not await world.send_heartbeat(min(pair), "i", DRAINING, 2 + moment)
        assert await world.send_heartbeat(THREE, "i", DRAINING, 9)
        await _watch(world, CONTACT_S + DRAIN_S + 1.0)

    play(run())


def test_a_leaving_reaches_those_whom_its_giver_cannot_reach() -> None:
    async def run() -> None:
        world = await _formed(7)
        world.cut({ONE}, {THREE})  # each of them reaches the third voter
        await asyncio.sleep(1.2)
        assert await world.send_heartbeat(ONE, "i", DRAINING, 2)
        await asyncio.sleep(0.05)
        assert not world.ready_at("i")

    play(run())


def test_a_member_that_reaches_the_core_acknowledges_while_another_is_cut_off() -> None:
    async def run() -> None:
        world = await _formed(4)
        world.cut({THREE}, {ONE, TWO})  # as the core is cut: heads and other members reach both sides
        await asyncio.sleep(1.2)
        assert await world.send_heartbeat(TWO, "i", DRAINING, 2)
        assert not await world.send_heartbeat(THREE, "i", DRAINING, 3)
        await _watch(world, 6.0)
        assert not world.ready_at("i")

    play(run())


def test_an_older_word_than_what_is_known_acknowledges_nothing() -> None:
    async def run() -> None:
        world = await _formed(5)
        await world.send_heartbeat(TWO, "i", READY, 9)
        await asyncio.sleep(1.0)
        assert not await world.send_heartbeat(ONE, "i", DRAINING, 5), "it said since that it is ready"

    play(run())


async def _disturb(world: ControlWorld, random: Random) -> None:
    """One disturbance of the core, for some seconds."""
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


async def _leave(world: ControlWorld, random: Random, name: str, asked: int) -> None:
    """One instance: ready for a while, then leaving, at whichever member answers."""
    sequence = 0
    while sequence < 200:
        sequence += 1
        state = READY if sequence < asked else DRAINING
        members = random.sample(sorted(world.members), len(world.members))
        for address in members[:3]:
            if await world.send_heartbeat(address, name, state, sequence):
                break
            sequence += 1
        await asyncio.sleep(HEARTBEAT_S / 2)


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_drawn_histories_hide_no_acknowledged_leaving(seed: int) -> None:
    async def run() -> None:
        random, voters = Random(seed), 3 + seed % 3
        world = ControlWorld(seed, voters, 6 - voters)
        await asyncio.sleep(FORMED_S)
        leaving = [asyncio.create_task(_leave(world, random, f"i-{number}", 4 + 9 * number)) for number in range(6)]
        for _ in range(5):
            disturbing = asyncio.create_task(_disturb(world, random))
            while not disturbing.done():
                await _watch(world, 0.3)
            await _watch(world, random.choice([0.5, 4.0, 7.0]))
        await _watch(world, CONTACT_S + DRAIN_S + 2.0)
        for task in leaving:
            task.cancel()
        assert len(world.acknowledged) >= 3

    play(run())
