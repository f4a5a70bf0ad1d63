"""Steps of the group's features, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar, cast

from behave import given, then, when
from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change

FORMED_S, SETTLED_S, POWER_S = 1.0, 0.5, 0.5
CUT_S = 30.0

Step = TypeVar("Step", bound=Callable[..., None])


def step(decorator: object) -> Callable[[Step], Step]:
    """Give the decorators of the features' runner, which has no types, a type."""
    return cast("Callable[[Step], Step]", decorator)


def _address(number: str) -> str:
    return f"10.0.0.{number}:7660"


@step(given("a group of {count:d} replicas"))
def form(context: Any, count: int) -> None:
    context.world = World(1, count)
    context.world.run(FORMED_S)
    context.requests = []


@step(when("an operator sends version {version:d} to replica {number}"))
def send(context: Any, version: int, number: str) -> None:
    if " and another sends version " in number:
        number, _, rest = number.partition(" and another sends version ")
        other, _, place = rest.partition(" to replica ")
        context.requests.append(context.world.ask(_address(place), change(0, int(other), "b")))
    context.requests.append(context.world.ask(_address(number), change(0, version, "a")))
    context.world.run(SETTLED_S)


@step(when("replica {number} loses its disk"))
def wipe(context: Any, number: str) -> None:
    context.world.wipe(_address(number))
    context.world.run(POWER_S)
    context.world.start(_address(number))


@step(when("replica {number} is cut off"))
def cut(context: Any, number: str) -> None:
    context.world.cut(_address(number), CUT_S)


@step(when("all replicas lose power"))
def power(context: Any) -> None:
    for address in context.world.members:
        context.world.kill(address)
    context.world.run(POWER_S)
    for address in context.world.members:
        context.world.start(address)


@step(when("{seconds:d} seconds pass"))
def wait(context: Any, seconds: int) -> None:
    context.world.run(float(seconds))


@step(then("it is acknowledged"))
def acknowledged(context: Any) -> None:
    assert context.world.answers[context.requests[-1]].outcome is Outcome.APPLIED


@step(then("one is acknowledged and the other refused"))
def one_wins(context: Any) -> None:
    outcomes = sorted(context.world.answers[request].outcome for request in context.requests)
    assert outcomes == [Outcome.APPLIED, Outcome.CONFLICT]


@step(then("nobody knows what became of it"))
def unknown(context: Any) -> None:
    assert context.world.answers[context.requests[-1]].outcome is None


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
