"""Steps of the features of a replica group, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, cast

from behave import given, then, when
from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change

FORMATION_S = 1.0
COMMIT_S = 0.5
POWER_OFF_S = 0.5
PARTITION_S = 30.0

Step = TypeVar("Step", bound=Callable[..., None])


def step(decorator: object) -> Callable[[Step], Step]:
    """Give behave's decorators, which have no types, a type."""
    return cast("Callable[[Step], Step]", decorator)


def _address(number: str) -> str:
    return f"10.0.0.{number}:7660"


@step(given("a group of {count:d} replicas"))
def form(context: Any, count: int) -> None:
    context.world = World(1, count)
    context.world.run(FORMATION_S)
    context.request_ids = []


@step(when("an operator sends version {version:d} to replica {number}"))
def send(context: Any, version: int, number: str) -> None:
    if " and another sends version " in number:
        number, _, rest = number.partition(" and another sends version ")
        other, _, other_number = rest.partition(" to replica ")
        context.request_ids.append(context.world.request(_address(other_number), change(0, int(other), "b")))
    context.request_ids.append(context.world.request(_address(number), change(0, version, "a")))
    context.world.run(COMMIT_S)


@step(when("replica {number} loses its disk"))
def wipe(context: Any, number: str) -> None:
    context.world.wipe(_address(number))
    context.world.run(POWER_OFF_S)
    context.world.start(_address(number))


@step(when("replica {number} is partitioned"))
def cut(context: Any, number: str) -> None:
    context.world.cut(_address(number), PARTITION_S)


@step(when("all replicas lose power"))
def power(context: Any) -> None:
    for address in context.world.members:
        context.world.kill(address)
    context.world.run(POWER_OFF_S)
    for address in context.world.members:
        context.world.start(address)


@step(when("{seconds:d} seconds pass"))
def wait(context: Any, seconds: int) -> None:
    context.world.run(float(seconds))


@step(then("it is acknowledged"))
def acknowledged(context: Any) -> None:
    assert context.world.responses[context.request_ids[-1]].outcome is Outcome.APPLIED


@step(then("one is acknowledged and the other rejected"))
def one_wins(context: Any) -> None:
    outcomes = sorted(context.world.responses[request_id].outcome for request_id in context.request_ids)
    assert outcomes == [Outcome.APPLIED, Outcome.CONFLICT]


@step(then("its outcome is unknown"))
def unknown(context: Any) -> None:
    assert context.world.responses[context.request_ids[-1]].outcome is None


@step(then("every replica reads version {version:d}"))
def reads(context: Any, version: int) -> None:
    for address in sorted(context.world.members):
        answer = context.world.read(address)
        assert answer is not None, address
        assert answer.version == version


@step(then("every replica reads the acknowledged one"))
def reads_winner(context: Any) -> None:
    versions = set()
    for address in sorted(context.world.members):
        answer = context.world.read(address)
        assert answer is not None, address
        versions.add(answer.version)
    assert len(versions) == 1
    assert versions <= {1, 2}
