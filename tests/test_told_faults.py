"""A watch never dies: faults of what is told, of the log and of calls, and lists with absurd values."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hophinge.core.interface import NodeList
from tests.raw_agent import changed, drained, plain, told_by
from tests.stand_in import headers, run, until
from tests.test_net import READ, WRITE
from tests.test_told import refused, reset_at_once


@pytest.mark.parametrize(
    "fault",
    [
        KeyError("a"),
        RecursionError(),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "bad"),
        asyncio.CancelledError(),
        asyncio.InvalidStateError(),
        BrokenPipeError(),
    ],
)
def test_a_list_that_could_not_be_told_ends_no_watch_and_is_asked_for_again(fault: BaseException) -> None:
    async def main() -> None:
        async with told_by() as (made, agent, service):
            tell, faults = service.discovery.on_list, [fault]

            def fails_once(event: NodeList) -> None:
                if faults:
                    raise faults.pop()
                tell(event)

            service.discovery.on_list = fails_once
            before, asked = service.counters.counts["discovery_errors"], len(agent.asked)
            await drained(made, agent, service)
            assert service.counters.counts["discovery_errors"] > before
            assert "/v1/servers" in agent.asked[asked:]  # whole: its version had been answered already

    run(main())


def test_a_log_that_is_gone_ends_no_watch() -> None:
    def gone(_: str) -> None:
        raise BrokenPipeError

    async def main() -> None:
        async with told_by() as (made, agent, service):
            service.discovery.log = gone
            agent.sends = [reset_at_once, reset_at_once, refused]
            await drained(made, agent, service)
            assert service.discovery.task is not None and not service.discovery.task.done()

    run(main())


def test_a_watch_that_was_left_ends_even_where_its_end_is_taken_for_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with told_by() as (_, agent, service):
            left = service.discovery.task

            async def swallows(_: str) -> None:
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed.append(True)
                    raise ConnectionResetError from None

            swallowed: list[bool] = []
            monkeypatch.setattr(service.discovery, "_update", swallows)
            await agent.tell()
            await until(lambda: agent.watching == 0)
            service.discovery.follow(agent.endpoint)
            assert left is not None
            await until(left.done)
            assert swallowed

    run(main())


@pytest.mark.parametrize(
    "absurd",
    [
        {"boot_ms": int("9" * 400)},
        {"boot_ms": -int("9" * 400)},
        {"boot_ms": 1.5},
        {"boot_ms": "now"},
        {"pod_group": "x"},
        {"capacity_hint": "NaN"},
        {"endpoint": "nowhere"},
        {"endpoint": None},
        {"az": 7},
    ],
)
@pytest.mark.parametrize("state", ["Ready", "Terminating"])
def test_absurd_values_of_one_backend_harm_no_request_and_hide_no_drain(absurd: dict[str, Any], state: str) -> None:
    async def main() -> None:
        async with told_by() as (made, agent, service):

            async def send(writer: asyncio.StreamWriter, body: bytes) -> None:
                await plain(writer, changed(body, **absurd))

            agent.sends = [send]
            await agent.tell(made.backends[1].target(state))
            await until(lambda: agent.asked[-1].startswith("/v1/servers?since=2&"))
            if state == "Terminating":
                await until(lambda: service.exchange.phases["s-1"].value == "draining")
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 404
            wire.send(WRITE, headers(2, X_Placement="units=2,shard=-1,hosts=1"), "PUT", b"x")
            assert (await wire.receive())[0] == 200
            assert service.counters.counts["module_faults"] == 0
            assert service.directory.endpoints["s-1"] == made.backends[1].endpoint

    run(main())
