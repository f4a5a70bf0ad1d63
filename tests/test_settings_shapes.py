"""Settings of deployments that lack what others have: each starts, serves a read and a write, and ends."""

from __future__ import annotations

from typing import Any

import pytest

from tests.stand_in import Backend, headers, run, setup, world
from tests.test_net import READ, WRITE


def shaped(**changes: Any) -> dict[str, Any]:
    """Settings with parts changed, and with those taken out that are None."""
    return {name: part for name, part in setup(**changes).items() if part is not None}


GRADE = {"Name": "priority", "BaseRate": 400, "Reserve": 400, "Proportion": 1, "Price": 1}


@pytest.mark.parametrize(
    "settings",
    [
        shaped(Zones=None, Skus=None),
        shaped(Zones=[], Skus=[]),
        shaped(Report=None, Penalties=None),
        shaped(Grades=[GRADE]),
        shaped(Grades=[{**GRADE, "Limit": 0}]),
        shaped(Balancers=1),
        shaped(Balancers=5),
        shaped(Caps={"MaxAttempts": 3}),
        shaped(Caps={}),
        shaped(Discovery="on_request"),
        shaped(Discovery=None),
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
def test_what_a_deployment_lacks_is_off_and_a_head_serves_without_it(settings: dict[str, Any]) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service = await made.head(settings=settings)
            wire = await made.wire(service)
            wire.send(WRITE, headers(1), "PUT", b"kept")
            assert (await wire.receive())[0] == 200
            wire.send(READ, headers(2))
            assert (await wire.receive())[::2] == (200, b"kept")
            assert not service.counters.counts["module_faults"]

    run(main())
