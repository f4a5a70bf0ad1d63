"""Faults of one machine of a fleet on loopback, drawn by a seed, each with its mending."""

from __future__ import annotations

import shutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet

Step = Callable[[LoopbackFleet, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FleetFault:
    """What happens to a machine, and what ends it."""

    name: str
    begin: Step
    repair: Step


async def _kill_control(fleet: LoopbackFleet, number: int) -> None:
    await fleet.control(number).kill()


async def _start_control(fleet: LoopbackFleet, number: int) -> None:
    await fleet.control(number).start()


async def _kill_head(fleet: LoopbackFleet, number: int) -> None:
    await fleet.head(number).kill()


async def _start_head(fleet: LoopbackFleet, number: int) -> None:
    await fleet.head(number).start()


async def _lose_disk(fleet: LoopbackFleet, number: int) -> None:
    await fleet.control(number).kill()
    shutil.rmtree(fleet.data_folder(number))


async def _freeze(fleet: LoopbackFleet, number: int) -> None:
    await fleet.control(number).suspend()
    await fleet.head(number).suspend()


async def _wake(fleet: LoopbackFleet, number: int) -> None:
    fleet.control(number).resume()
    fleet.head(number).resume()


async def _cut_off(fleet: LoopbackFleet, number: int) -> None:
    fleet.partition(number)


async def _heal(fleet: LoopbackFleet, number: int) -> None:
    fleet.heal()


async def _power_off(fleet: LoopbackFleet, number: int) -> None:
    await fleet.processes.kill(f"control-{number}", f"head-{number}")


async def _power_on(fleet: LoopbackFleet, number: int) -> None:
    await fleet.processes.start(f"control-{number}", f"head-{number}")


FAULTS = (
    FleetFault("control member killed", _kill_control, _start_control),
    FleetFault("head killed", _kill_head, _start_head),
    FleetFault("disk lost", _lose_disk, _start_control),
    FleetFault("machine stands still", _freeze, _wake),
    FleetFault("machine cut off", _cut_off, _heal),
    FleetFault("machine without power", _power_off, _power_on),
)


def draw_faults(random: Random) -> list[FleetFault]:
    """Tell all faults in an order of the seed."""
    return random.sample(FAULTS, len(FAULTS))
