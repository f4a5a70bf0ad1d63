"""Each aborted response is logged and counted, with the side that ended first, the phase and what the head knew."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from hophinge.fleet.emulation.engine import Fault
from hophinge.fleet.emulation.loopback_fleet import FRONT_PORT, HOST, READY_PORT, LoopbackFleet, configuration_document
from hophinge.fleet.forwarding.aborted_responses import AbortedResponse, ObservedInstance, AbortSide, RequestPhase
from hophinge.load.rig.conditions import Condition, wait_until
from tests.fleet_requests import BOUND_S, PROMPT, taken

ROUTES = (("/m/", "streaming", "models"), ("/p/", "unsafe", "plain"))
INSTANCES = (("p1", "models", "prefill"), ("d1", "models", "decode"), ("s1", "plain", ""))


@pytest.mark.parametrize(
    ("error", "unregistered", "line"),
    [
        (
            "ReadError()",
            0.0034,
            "response aborted request=q1 route=r side=head phase=answering instance=i-1 state=unknown "
            "unregistered_s=0.003 connections=2 version=7 version_age_s=1.500 deadline_in_s=4.600 error=ReadError()",
        ),
        (
            "",
            None,
            "response aborted request=q1 route=r side=head phase=answering instance=i-1 state=unknown "
            "connections=2 version=7 version_age_s=1.500 deadline_in_s=4.600",
        ),
    ],
)
def test_the_log_event_contains_what_the_head_knew(error: str, unregistered: float | None, line: str) -> None:
    instance = ObservedInstance("i-1", "", unregistered, 2)
    aborted = AbortedResponse("q1", "r", AbortSide.HEAD, RequestPhase.ANSWERING, error, instance, 7, 1.5, 4.6)
    assert aborted.event() == line
    assert aborted.reason == "head while answering"


def test_aborts_by_an_instance_and_by_a_client_are_distinguished(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, 1, losses=0) as fleet:
            await fleet.start()
            for identity, service, stage in INSTANCES:
                await fleet.start_instance(identity, service, stage)
            await wait_until([taken(fleet, 0, configuration_document(1, ROUTES), 0)], BOUND_S)
            await wait_until([fleet.ready_condition(0, 1, len(INSTANCES))], BOUND_S)
            decode = fleet.instances["d1"]
            decode.engine.faults.add(Fault.CUT)
            reply = await fleet.request(0, "/m/q", "broken", *PROMPT)
            assert reply.status == 200 and not reply.is_complete
            decode.engine.faults.clear()
            decode.before_event = asyncio.Event().wait
            await _leave(fleet, "/m/q", "left-answering")
            fleet.instances["s1"].before_response = asyncio.Event().wait
            await _leave(fleet, "/p/q", "left-waiting")
            await wait_until(
                [
                    _counts(
                        fleet, {"instance while answering": 1, "client while answering": 1, "client while waiting": 1}
                    )
                ],
                BOUND_S,
            )
            head = fleet.head(0)
            for begin, error in (
                ("request=broken route=r0 side=instance phase=answering", "RemoteProtocolError("),
                (
                    "request=left-answering route=r0 side=client phase=answering instance=d1 state=ready ",
                    "closed by the client",
                ),
                (
                    "request=left-waiting route=r1 side=client phase=waiting instance=s1 state=ready ",
                    "closed by the client",
                ),
            ):
                lines = [line for line in head.lines if f"response aborted {begin}" in line]
                assert any(f" error={error}" in line for line in lines), (begin, list(head.lines))
            assert not head.has_logged("Traceback")
            assert {"left-answering"} <= decode.in_flight

    asyncio.run(run())


async def _leave(fleet: LoopbackFleet, path: str, name: str) -> None:
    """Send a request, and close the connection once an instance processes it."""
    host, port = fleet.address(0, FRONT_PORT).rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port))
    fields = [(b"Host", HOST.encode()), (b"Hophinge-Request-Id", name.encode()), (b"Content-Length", b"1"), *PROMPT]
    lines = b"".join(field + b": " + value + b"\r\n" for field, value in fields)
    writer.write(b"POST %s HTTP/1.1\r\n%s\r\nx" % (path.encode(), lines))
    await wait_until([_is_processing(fleet, name)], BOUND_S)
    writer.close()
    await writer.wait_closed()


def _is_processing(fleet: LoopbackFleet, name: str) -> Condition:
    async def check() -> tuple[bool, str]:
        generating = [instance for instance in fleet.instances.values() if instance.engine.stage != "prefill"]
        is_in_flight = any(name in instance.in_flight for instance in generating)
        return is_in_flight and any(run.request == name for instance in generating for run in instance.engine.runs), ""

    return Condition(fleet.head(0), f"has {name} in flight", check)


def _counts(fleet: LoopbackFleet, expected: dict[str, int]) -> Condition:
    async def check() -> tuple[bool, str]:
        reply = await fleet.call(fleet.address(0, READY_PORT), "GET", "/v1/member", b"", [(b"Host", b"c")])
        counts = json.loads(reply.body)["cuts"]
        return counts == expected, str(counts)

    return Condition(fleet.head(0), "counts the aborted responses", check)
