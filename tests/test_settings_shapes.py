"""Settings without optional parts: a head starts with them, serves a read and a write, and ends."""

from __future__ import annotations

from typing import Any

import pytest

from tests.stand_in import Backend, headers, run, setup, world
from tests.test_net import READ, WRITE


def settings_with(**changes: Any) -> dict[str, Any]:
    """Return settings with changed parts; parts that are None are removed."""
    return {name: part for name, part in setup(**changes).items() if part is not None}


GRADE = {"Name": "priority", "BaseRate": 400, "Reserve": 400, "Proportion": 1, "Price": 1}


@pytest.mark.parametrize(
    "settings",
    [
        settings_with(Zones=None, Skus=None),
        settings_with(Zones=[], Skus=[]),
        settings_with(Report=None, Penalties=None),
        settings_with(Grades=[GRADE]),
        settings_with(Grades=[{**GRADE, "Limit": 0}]),
        settings_with(Balancers=1),
        settings_with(Balancers=5),
        settings_with(Caps={"MaxAttempts": 3}),
        settings_with(Caps={}),
        settings_with(Discovery="on_request"),
        settings_with(Discovery=None),
    ],
    ids=[
        "no zones",
        "empty zones",
        "no reports",
        "one plan",
        "no limit",
        "one head",
        "five heads",
        "few caps",
        "no caps",
        "lists asked for",
        "no word on lists",
    ],
)
def test_a_head_serves_without_optional_settings(settings: dict[str, Any]) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as fleet:
            service = await fleet.head(settings=settings)
            wire = await fleet.wire(service)
            wire.send(WRITE, headers(1), "PUT", b"kept")
            assert (await wire.receive())[0] == 200
            wire.send(READ, headers(2))
            assert (await wire.receive())[::2] == (200, b"kept")
            assert not service.counters.counts["module_faults"]

    run(main())
