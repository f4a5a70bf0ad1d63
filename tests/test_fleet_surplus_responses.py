"""Surplus responses on connections to instances are skipped up to a limit, counted, and never a request's own."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import pytest

from hophinge.fleet.dataplane import upstream
from hophinge.fleet.dataplane.connections import RequestContext
from hophinge.fleet.dataplane.surplus_responses import STALL_TIMEOUT_S, ForeignResponseError
from hophinge.fleet.dataplane.upstream import UPSTREAM_ERRORS, Call, Upstream
from hophinge.fleet.forwarding.attempt_results import KvHandle
from hophinge.fleet.forwarding.response_ownership import (
    MAX_SURPLUS_BYTES,
    MAX_SURPLUS_RESPONSES,
    ResponseOwner,
    response_owner,
)
from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.surplus_rate import AVOIDANCE_S, MIN_SURPLUS, WINDOW_S, SurplusRate
from hophinge.fleet.registry.instance import READY, Instance
from tests.surplus_orders import play_orders

ORDERS = 300
DEADLINE_S = 2.0


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch: pytest.MonkeyPatch) -> None:
    """Extend the timeout of connects: on a busy machine they take longer than a head waits."""
    monkeypatch.setattr(upstream, "CONNECT_TIMEOUT_S", DEADLINE_S)


def response(request_id: str | None, body: bytes = b"body", more: bytes = b"") -> bytes:
    """Encode a response."""
    identity = b"" if request_id is None else b"Hophinge-Request-Id: %s\r\n" % request_id.encode()
    return b"HTTP/1.1 200 X\r\n%s%sContent-Length: %d\r\n\r\n%s" % (identity, more, len(body), body)


@dataclass
class Wire:
    """An instance that writes scripted bytes for each request, in the order of the requests."""

    script: list[bytes]
    upstream: Upstream = field(default_factory=Upstream)
    connections: int = 0
    received: list[bytes] = field(default_factory=list)
    address: str = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.received.append((await reader.readuntil(b"\r\n\r\n")).split(b" ")[0])
                writer.write(self.script.pop(0))
        writer.close()

    async def request(self, request_id: str | None) -> bytes | None:
        """Return the body of a request's own response; None if the request fails."""
        fields = [(b"host", b"a")]
        call = Call(self.address, b"GET", b"/", fields, b"", DEADLINE_S, RequestContext(request_id))
        try:
            async with asyncio.timeout(DEADLINE_S), self.upstream.call("i", call) as got:
                return await got.aread()
        except (*UPSTREAM_ERRORS, TimeoutError):
            return None


def play(script: list[bytes], *request_ids: str | None) -> tuple[list[bytes | None], Wire]:
    """Send requests in sequence; an id of "DELETE" frees a KV handle instead. Return the bodies and the instance."""

    async def run() -> tuple[list[bytes | None], Wire]:
        wire = Wire(list(script))
        server = await asyncio.start_server(wire.serve, "127.0.0.1", 0)
        wire.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        bodies = []
        for request_id in request_ids:
            if request_id == "DELETE":
                await wire.upstream._free_handle(KvHandle("i", wire.address, "h"))
            else:
                bodies.append(await wire.request(request_id))
        await wire.upstream.close()
        server.close()
        return bodies, wire

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("response_id", "request_id", "has_carried_unidentified", "owner"),
    [
        ("a", "a", False, ResponseOwner.REQUEST),
        ("a", "a", True, ResponseOwner.REQUEST),
        (None, None, False, ResponseOwner.REQUEST),
        (None, None, True, ResponseOwner.REQUEST),
        ("b", "a", False, ResponseOwner.SURPLUS),
        ("b", None, False, ResponseOwner.SURPLUS),
        (None, "a", True, ResponseOwner.SURPLUS),
        (None, "a", False, ResponseOwner.UNKNOWN),
    ],
)
def test_the_owner_of_a_response(
    response_id: str | None, request_id: str | None, has_carried_unidentified: bool, owner: ResponseOwner
) -> None:
    fields = [] if response_id is None else [(b"Hophinge-Request-Id", response_id.encode())]
    assert response_owner(fields, request_id, has_carried_unidentified) is owner


def test_each_request_of_seeded_orders_gets_its_own_response_and_runs_once() -> None:
    """Guards against 502, a second run and another request's response where instances repeat responses late."""
    tally = asyncio.run(play_orders(0, ORDERS))
    assert tally.faults == []
    assert tally.skipped > ORDERS / 3, "the orders require surplus responses to be skipped"


@pytest.mark.parametrize("count", [1, MAX_SURPLUS_RESPONSES])
def test_surplus_responses_up_to_the_limit_are_skipped(count: int) -> None:
    bodies, wire = play([response("b", b"other") * count + response("a")], "a")
    assert (bodies, wire.connections) == ([b"body"], 1)


CHUNKED = b"HTTP/1.1 200 X\r\nHophinge-Request-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
LARGE = response("b", b"x" * MAX_SURPLUS_BYTES)


@pytest.mark.parametrize(
    "surplus", [CHUNKED, INTERIM + response("b"), response("b") + INTERIM, LARGE, response("b", b"")]
)
def test_a_surplus_response_of_any_form_is_skipped(surplus: bytes) -> None:
    bodies, wire = play([surplus + response("a")], "a")
    assert (bodies, wire.connections) == ([b"body"], 1)


UNREADABLE = {
    "too many": response("b") * (MAX_SURPLUS_RESPONSES + 1),
    "of too many bytes": response("b", b"x" * (MAX_SURPLUS_BYTES + 1)),
    "of 4 MiB": response("b", b"x" * (4 << 20)),
    "without a length": b"HTTP/1.1 200 X\r\nHophinge-Request-Id: b\r\n\r\nother",
    "closing": response("b", more=b"Connection: close\r\n"),
    "truncated": response("b", b"x" * 9_000)[:200],
    "no HTTP": b"these bytes are no response\r\n\r\n",
    "without an id": response(None),
    "a change of protocol": b"HTTP/1.1 101 X\r\nHophinge-Request-Id: b\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}


@pytest.mark.parametrize("surplus", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_a_surplus_response_that_cannot_be_skipped_fails_the_request_at_once_and_closes_the_connection(
    surplus: bytes,
) -> None:
    """The next request uses a new connection and gets its own response, and no remaining bytes of this one."""

    async def run() -> float:
        wire = Wire([surplus + response("a"), response("c", b"next")])
        server = await asyncio.start_server(wire.serve, "127.0.0.1", 0)
        wire.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert await wire.request("a") is None
        took_s = loop.time() - began
        assert await wire.request("c") == b"next"
        assert wire.connections == 2
        await wire.upstream.close()
        server.close()
        return took_s

    assert asyncio.run(run()) < STALL_TIMEOUT_S + 0.5 < DEADLINE_S


def test_a_connection_with_many_surplus_responses_is_not_reused() -> None:
    """The limit is reached between two requests, so that no request loses its response."""
    half = MAX_SURPLUS_RESPONSES // 2 + 1
    script = [response("x") * half + response(name) for name in "abc"]
    bodies, wire = play(script, "a", "b", "c")
    assert (bodies, wire.connections) == ([b"body"] * 3, 2)


def test_freeing_a_handle_does_not_accept_the_response_of_another_request() -> None:
    """Guards against a connection on which every later response is assigned to the wrong request."""
    script = [response("a"), response("a") + response(None, b""), response("c")]
    bodies, wire = play(script, "a", "DELETE", "c")
    assert (bodies, wire.connections) == ([b"body", b"body"], 1)
    assert wire.received == [b"GET", b"DELETE", b"GET"]


def test_the_surplus_response_of_a_freed_handle_is_skipped() -> None:
    bodies, wire = play([response(None, b""), response(None, b"") + response("a")], "DELETE", "a")
    assert (bodies, wire.connections) == ([b"body"], 1)


def test_surplus_responses_are_counted_by_instance() -> None:
    async def run() -> int:
        wire = Wire([response("b") * 2 + response("a"), response("a") + response("c")])
        server = await asyncio.start_server(wire.serve, "127.0.0.1", 0)
        wire.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        assert [await wire.request("a"), await wire.request("c")] == [b"body", b"body"]
        counted = wire.upstream.surplus_responses("i")
        await wire.upstream.close()
        server.close()
        return counted

    assert asyncio.run(run()) == 3


def test_an_instance_is_avoided_for_many_surplus_responses_and_not_for_a_few() -> None:
    often, seldom = SurplusRate(), SurplusRate()
    for attempt in range(200):
        now = attempt * WINDOW_S / 400
        often.record_attempt(now, 1 if attempt % 5 == 0 else 0)
        seldom.record_attempt(now, 1 if attempt % 17 == 0 else 0)
    assert often.is_avoided(now) and not seldom.is_avoided(now)
    assert not often.is_avoided(now + AVOIDANCE_S)
    often.record_attempt(now + 2 * WINDOW_S, 1)
    assert not often.is_avoided(now + 2 * WINDOW_S), "a new window begins at zero"


def test_an_avoided_instance_counts_as_ejected_until_the_avoidance_ends() -> None:
    node = Node(Instance("i", "s", "127.0.0.1:9", "z", "v", 8, READY, "", ()))
    for _ in range(MIN_SURPLUS):
        assert not node.is_ejected(1.0)
        node.surplus_rate.record_attempt(1.0, 1)
    node.record_answer(1.0)
    assert node.is_ejected(1.0) and not node.is_ejected(1.0 + AVOIDANCE_S)


def test_a_request_whose_response_never_follows_a_surplus_one_ends_at_its_deadline() -> None:
    async def run() -> None:
        wire = Wire([response("b")])
        server = await asyncio.start_server(wire.serve, "127.0.0.1", 0)
        wire.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        call = Call(wire.address, b"GET", b"/", [(b"host", b"a")], b"", 0.3, RequestContext("a"))
        with pytest.raises((*UPSTREAM_ERRORS, TimeoutError)) as raised:
            async with asyncio.timeout(5.0), wire.upstream.call("i", call):
                pass
        assert not isinstance(raised.value, ForeignResponseError), "the response was awaited"
        await wire.upstream.close()
        server.close()

    asyncio.run(run())
