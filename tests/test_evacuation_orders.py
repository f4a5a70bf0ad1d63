"""Orders of evacuations from the API to the heads, in virtual time: with retries, partitions, losses, and at random."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Any

import pytest

from hophinge.coordination.events import ClientResponse
from hophinge.coordination.registers import Change, HistoryEntry, Outcome, Registers
from hophinge.fleet.configuration.evacuations import EVACUATED, IN_SERVICE, evacuation_key, is_evacuated
from hophinge.fleet.controlplane.evacuation_api import ORDER_TIMEOUT_S, EvacuationApi
from hophinge.fleet.dataplane.cluster_state import STABILIZATION_S
from tests import linearizability
from tests.evacuation_world import EVACUATION_S, RETRY_DELAY_S, CALL_TIMEOUT_S, ZONES, Call, EvacuationWorld
from tests.virtual_loop import play

HISTORIES = 12
RACES = 6
MIN_CALLS = 20  # completed register requests in each race
FORMED_S = 6.0
ONE, TWO, THREE, FOUR, FIVE = (f"10.0.0.{number}:7660" for number in range(1, 6))
VOTERS = (ONE, TWO, THREE)
Z0, Z1, Z2 = ZONES


async def _start_world(seed: int) -> EvacuationWorld:
    world = EvacuationWorld(seed)
    await asyncio.sleep(FORMED_S)
    return world


def _always(address: str) -> Any:
    return lambda: (address, 0.0, False)


async def _check_all_heads(world: EvacuationWorld, *zones: str, after_s: float = EVACUATION_S) -> None:
    await asyncio.sleep(after_s)
    for address, evacuated in world.evacuated().items():
        assert evacuated == set(zones), address


def _chain_head(world: EvacuationWorld) -> str:
    for address, member in world.members.items():
        if member.machine is not None and member.machine.chain.is_head:
            return address
    raise AssertionError("no member is the head of the chain")


@pytest.mark.parametrize("member", [ONE, TWO, THREE, FOUR, FIVE])
def test_without_faults_any_member_acknowledges_at_once_and_all_heads_apply_the_order(member: str) -> None:
    async def run() -> None:
        world = await _start_world(1)
        for _ in range(2):  # a second evacuation of a zone is a new change
            for repeat in range(2):
                assert await world.order(Z0, True, _always(member)) < 0.2, repeat
            await _check_all_heads(world, Z0, after_s=0.5)
            for repeat in range(2):
                assert await world.order(Z0, False, _always(member)) < 0.2, repeat
            await _check_all_heads(world, after_s=0.5)

    play(run())


def test_two_zones_are_evacuated_independently() -> None:
    async def run() -> None:
        world = await _start_world(2)
        await asyncio.gather(*(world.order(zone, True, _always(member)) for zone, member in ((Z0, ONE), (Z1, FIVE))))
        await _check_all_heads(world, Z0, Z1, after_s=0.5)
        await world.order(Z0, False, _always(TWO))
        await _check_all_heads(world, Z1, after_s=0.5)

    play(run())


def test_all_zones_can_be_evacuated_and_returned_to_service() -> None:
    async def run() -> None:
        world = await _start_world(3)
        for zone in ZONES:
            await world.order(zone, True, _always(ONE))
        await _check_all_heads(world, *ZONES, after_s=0.5)
        for zone in ZONES:
            await world.order(zone, False, _always(TWO))
        await _check_all_heads(world, after_s=0.5)

    play(run())


@pytest.mark.parametrize("partition", [{ONE}, {ONE, FOUR}])
def test_a_partition_without_a_majority_answers_503_at_once_and_the_other_serves_orders(partition: set[str]) -> None:
    async def run() -> None:
        world = await _start_world(4)
        world.cut(partition, (set(world.members) | set(world.heads)) - partition)
        await asyncio.sleep(2.0)
        for member in partition:
            started_at = world.loop.time()
            for method in ("POST", "DELETE"):
                assert await world.call(member, method, Z0) == 503
            assert world.loop.time() - started_at < 0.1
        assert await world.order(Z0, True, _always(TWO)) < 1.0
        await _check_all_heads(world, Z0)
        world.heal()
        await asyncio.sleep(2.0)
        assert await world.call(ONE, "POST", Z0) == 200
        await _check_all_heads(world, Z0, after_s=0.0)

    play(run())


@pytest.mark.parametrize("older", [{ONE}, {ONE, TWO, THREE, FOUR}])
def test_members_of_an_older_release_do_not_keep_orders_from_the_heads(older: set[str]) -> None:
    async def run() -> None:
        world = await _start_world(11)
        head = min(world.heads)
        world.older = older | {head}
        await world.order(Z0, True, _always(FIVE))
        await asyncio.sleep(EVACUATION_S)
        assert world.evacuated().pop(head) == set(), "an older release ignores the record"
        for address in set(world.heads) - {head}:
            assert world.evacuated()[address] == {Z0}, address

    play(run())


def test_a_starting_head_knows_the_evacuated_zones_before_it_becomes_ready() -> None:
    async def run() -> None:
        world = await _start_world(12)
        await world.order(Z0, True, _always(ONE))
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
        world = await _start_world(5)
        await world.order(Z0, True, _always(ONE))
        await asyncio.sleep(0.5)
        head = min(world.heads)
        world.cut({head}, (set(world.members) | set(world.heads)) - {head})
        await world.order(Z0, False, _always(ONE))
        await world.order(Z1, True, _always(ONE))
        await asyncio.sleep(EVACUATION_S)
        assert world.evacuated()[head] == {Z0}
        world.heal()
        await _check_all_heads(world, Z1)

    play(run())


def test_an_order_survives_the_loss_of_the_chains_head_right_after_its_acknowledgement() -> None:
    async def run() -> None:
        world = await _start_world(6)
        first = _chain_head(world)
        await world.order(Z0, True, _always(first))
        world.wipe(first)  # the member in the evacuated zone
        others = [voter for voter in VOTERS if voter != first]
        await _check_all_heads(world, Z0)
        assert await world.order(Z1, True, _always(others[0])) < 5.0
        world.start(first)
        await _check_all_heads(world, Z0, Z1)

    play(run())


def test_an_acknowledged_order_survives_a_power_loss_and_reaches_restarted_heads() -> None:
    async def run() -> None:
        world = await _start_world(7)
        await world.order(Z0, True, _always(ONE))
        for member in world.members:
            world.kill(member)
        for member in world.members:
            world.start(member)
        for head in world.heads.values():
            world._add_head(head.settings)
        assert world.evacuated()[min(world.heads)] == set()
        await _check_all_heads(world, Z0)

    play(run())


def test_an_order_executed_late_by_a_paused_member_does_not_undo_a_newer_one() -> None:
    async def run() -> None:
        world = await _start_world(8)
        assert await world.call(ONE, "POST", Z0, pause_s=4.0) is None
        await world.order(Z0, True, _always(TWO))
        await world.order(Z0, False, _always(TWO))
        await asyncio.sleep(4.0)
        await _check_all_heads(world)

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
    """Newer orders of the operator change the register between the read and the change of an abandoned attempt."""

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
        responses = [
            ClientResponse(1, Outcome.VALUE, 4, b""),
            ClientResponse(2, Outcome.CONFLICT, 5),
            ClientResponse(3, Outcome.VALUE, 5, EVACUATED),
        ]

        async def request(key: str, change: Change | None, timeout_s: float) -> ClientResponse:
            return responses.pop(0)

        call = Call()
        api = EvacuationApi(ZONES, request, lambda record: None, asyncio.get_running_loop().time)
        await api.serve_zone("POST", Z0, call.receive, call.send)
        assert call.status == 200
        assert not responses

    play(run())


class DelayingChain:
    """The registers of a chain, at which changes may arrive after their callers have stopped waiting."""

    def __init__(self) -> None:
        self.registers = Registers()
        self.is_delaying = False
        self.delayed: list[Change] = []

    async def request(self, key: str, change: Change | None, timeout_s: float) -> ClientResponse:
        """Apply or read, as `ReplicaHost.request` does."""
        if change is None:
            register = self.registers.current(key)
            return ClientResponse(1, Outcome.VALUE, register.version, register.payload)
        if self.is_delaying:
            self.delayed.append(change)
            return ClientResponse(1, None)
        return ClientResponse(1, self.submit(change), self.registers.current(key).version)

    def submit(self, change: Change) -> Outcome:
        """Evaluate a change, and apply it if it is new."""
        outcome = self.registers.evaluate(change)
        if outcome is None:
            self.registers.apply(HistoryEntry(self.registers.sequence + 1, change))
        return outcome or Outcome.APPLIED

    def is_evacuated(self, zone: str) -> bool:
        """Return the value in force."""
        return is_evacuated(self.registers.current(evacuation_key(zone)).payload)


@pytest.mark.parametrize("last", ["POST", "DELETE"])
def test_an_earlier_order_without_an_answer_does_not_undo_an_order_that_found_nothing_to_change(last: str) -> None:
    """The change of the first order arrives after the opposite order was acknowledged on a read alone."""

    async def run() -> None:
        chain = DelayingChain()
        api = EvacuationApi(ZONES, chain.request, lambda record: None, asyncio.get_running_loop().time)
        orders = {True: "POST", False: "DELETE"}
        should_evacuate = last == "POST"

        async def order(method: str) -> int | None:
            call = Call()
            await api.serve_zone(method, Z0, call.receive, call.send)
            return call.status

        assert await order(last) == 200
        chain.is_delaying = True
        assert await order(orders[not should_evacuate]) == 503
        chain.is_delaying = False
        assert await order(last) == 200
        for change in chain.delayed:
            chain.submit(change)
        assert chain.is_evacuated(Z0) is should_evacuate

    play(run())


def test_orders_for_unknown_zones_and_other_methods_are_rejected_and_change_nothing() -> None:
    async def run() -> None:
        world = await _start_world(9)
        for method in ("POST", "DELETE", "GET"):
            assert await world.call(ONE, method, "elsewhere") == 404
        assert await world.call(ONE, "PUT", Z0) == 405
        assert not world.members[ONE].soft_state.dissemination.store.records  # type: ignore[union-attr]

    play(run())


def test_an_order_is_answered_before_its_caller_retries_at_another_member() -> None:
    assert ORDER_TIMEOUT_S + 2 * 0.05 < CALL_TIMEOUT_S


def test_operators_read_the_state_of_a_zone_and_of_all() -> None:
    async def run() -> None:
        world = await _start_world(10)
        await world.order(Z1, True, _always(ONE))
        bodies: list[bytes] = []

        async def send(message: dict[str, Any]) -> None:
            bodies.append(message.get("body", b""))

        api = world.api(FOUR)
        await api.serve_all("GET", "", Call().receive, send)
        await api.serve_zone("GET", Z1, Call().receive, send)
        assert json.loads(bodies[1]) == {"evacuated": {Z0: False, Z1: True, Z2: False}}
        assert json.loads(bodies[3]) == {"zone": Z1, "evacuated": True, "version": 1}

    play(run())


# --- random histories -------------------------------------------------------------------------------------------------


async def _inject_fault(world: EvacuationWorld, random: Random) -> None:
    """Inject a fault into one voter, and sometimes one other member, for a few seconds."""
    victim = random.choice(VOTERS)
    minority = {victim, random.choice([FOUR, FIVE])}
    everybody = set(world.members) | set(world.heads)
    kind = random.choice(["cut", "one_way", "kill", "wipe"])
    if kind in ("cut", "one_way"):
        world.cut(minority, everybody - minority, kind == "one_way")
    elif kind == "kill":
        world.kill(victim)
    else:
        world.wipe(victim)
    await asyncio.sleep(random.uniform(0.3, 4.0))
    world.heal()
    if world.members[victim].machine is None:
        world.start(victim)
    await asyncio.sleep(random.uniform(3.0, 5.0))  # until it has caught up: only one loss at a time is tolerated


async def _operate(world: EvacuationWorld, random: Random, zone: str, until: float) -> bool:
    """Send orders for one zone until a time; return the value of the last one, which is acknowledged."""

    def choose() -> tuple[str, float, bool]:
        pause_s = random.choice([0.0, 0.0, 0.0, random.uniform(0.0, 3.0)])
        return random.choice(sorted(world.members)), pause_s, random.random() < 0.3

    value = False
    while world.loop.time() < until:
        value = random.random() < 0.6
        await world.order(zone, value, choose)
        await asyncio.sleep(random.uniform(0.0, 1.5))
        read = await world.request(TWO, evacuation_key(zone), None, 2.0)
        assert read.outcome is not Outcome.VALUE or is_evacuated(read.payload) == value, (
            "a read returned a value older than the acknowledged order"
        )
    return value


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_random_histories_with_faults_keep_every_acknowledged_order(seed: int) -> None:
    async def run() -> None:
        world, random = await _start_world(seed), Random(seed)
        until = world.loop.time() + 30.0
        operators = [asyncio.create_task(_operate(world, Random(f"{seed}-{zone}"), zone, until)) for zone in ZONES]
        while world.loop.time() < until:
            await _inject_fault(world, random)
        values = await asyncio.gather(*operators)
        await world.settle()
        lost = random.choice(VOTERS)
        for member in world.members:
            if member == lost:
                world.wipe(member)
            else:
                world.kill(member)
        await asyncio.sleep(RETRY_DELAY_S)
        for member in world.members:
            world.start(member)
        await asyncio.sleep(3.0)
        expected = {zone for zone, value in zip(ZONES, values, strict=True) if value}
        await _check_all_heads(world, *expected)

    play(run())


@pytest.mark.parametrize("seed", range(RACES))
def test_orders_of_two_operators_with_retries_and_lost_responses_are_linearizable(seed: int) -> None:
    async def run() -> None:
        world, random = await _start_world(seed), Random(seed)
        until = world.loop.time() + 15.0

        async def operate(name: str) -> None:
            operator_random = Random(f"{seed}-{name}")

            def choose() -> tuple[str, float, bool]:
                return (
                    operator_random.choice(sorted(world.members)),
                    operator_random.choice([0.0, 0.0, operator_random.uniform(0.0, 2.0)]),
                    operator_random.random() < 0.3,
                )

            while world.loop.time() < until:
                value = operator_random.random() < 0.5
                await world.order(Z0, value, choose)
                await asyncio.sleep(operator_random.uniform(0.0, 0.3))

        operators = [asyncio.create_task(operate(name)) for name in "ab"]
        while world.loop.time() < until:
            await _inject_fault(world, random)
        await asyncio.gather(*operators)
        await world.settle()
        assert linearizability.check(world.calls, world.sent) > MIN_CALLS

    play(run())
