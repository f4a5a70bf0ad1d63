"""The HTTP front end of a head: no configuration yet, timeouts of routes, deadlines, clients that disconnect."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from hophinge.coordination.leases import LEASE_DURATION_S
from hophinge.fleet.configuration.record import configuration_record
from hophinge.fleet.dataplane.cluster_state import ClusterState
from hophinge.fleet.dataplane.http_frontend import HttpFrontend
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.emulation.loopback_fleet import HOST, configuration_document
from hophinge.fleet.forwarding.headers import DEADLINE, find_field
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.registry.instance import DRAINING, READY, SWITCHING, Instance
from hophinge.fleet.settings import parse_settings
from hophinge.fleet.transport.asgi import Scope
from hophinge.fleet.transport.connection_context import CONNECTION, MEMORY
from hophinge.fleet.transport.connection_state import ConnectionBounds, ConnectionState
from tests.connection_wire import RecordedMemory
from tests.request_endings import half_an_answer_and_silence, silence
from tests.scripted_instance import NOT_EXECUTED, STAMP, Connection, Ending, ReceivedCall, Script, ScriptedInstance

BOUND_S = 20.0
TIMEOUT_S = 0.4  # of each route
MARGIN_S = 0.5  # after its timeout, by which a request has its final response
DELAY_S = 0.6  # after which a first attempt ends without a response
SETTINGS = {
    "node-name": "one",
    "ip": "127.0.0.1",
    "zone": "z",
    "internal-port-range": [7660, 7675],
    "seed-nodes": ["127.0.0.1:8146"],
    "listen-addresses": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
    "bounds": {"retry-budget-slack": 400, "retry-budget-ratio": 0.2, "budget-window-s": 10},
}
KINDS = {"safe": ("/p/", "plain"), "unsafe": ("/u/", "plain"), "streaming": ("/m/", "models")}
TOKENS = 40_000  # of a prompt, long enough for a separate prefill


@dataclass
class Caller:
    """One ASGI request to the front end, and the messages sent to its client."""

    body: bytes = b"body"
    messages: list[dict[str, Any]] = field(default_factory=list)
    has_left: asyncio.Event = field(default_factory=asyncio.Event)
    is_read: bool = False

    async def receive(self) -> dict[str, Any]:
        """Return the body, then nothing until the client disconnects."""
        if not self.is_read:
            self.is_read = True
            return {"type": "http.request", "body": self.body}
        await self.has_left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """Record a message of the front end."""
        self.messages.append(message)

    @property
    def status(self) -> int | None:
        """The status of the response; None before it starts."""
        return self.messages[0]["status"] if self.messages else None


class FrontEnd:
    """A head's front end with scripted instances."""

    def __init__(self, stages: dict[str, str]) -> None:
        self.script = Script()
        self.instances = [ScriptedInstance(name, stage, self.script) for name, stage in stages.items()]
        self.placement = Placement("z", lambda identity: None, Random(1))
        self.upstream = Upstream()
        self.state = ClusterState(
            parse_settings(SETTINGS), lambda *_: None, lambda *_: None, lambda table: None, lambda: None
        )
        self.frontend = HttpFrontend(self.state.settings, self.state, self.placement, self.upstream)

    def configure(self, timeout_s: float) -> None:
        """Apply a configuration whose routes all have one timeout."""
        routes = [(prefix, kind, service) for kind, (prefix, service) in KINDS.items()]
        raw = json.loads(configuration_document(1, routes))
        for route in raw["routes"]:
            route["timeout-ms"] = int(timeout_s * 1_000)
        self.state._apply_record(configuration_record(1, json.dumps(raw).encode()))
        self.state.first_granted_at = self.state.loop.time() - LEASE_DURATION_S
        self.placement.instances.configure({"models": 100_000})
        self.placement.instances.stage_switch_s = {"models": 60.0}

    def register(self, name: str, address: str, stage: str, state: str = READY) -> None:
        """Register an instance."""
        service = "models" if stage else "plain"
        self.placement.instances.update_instance(name, Instance(name, service, address, "z", "v", 8, state, stage, ()))

    def scope(self, kind: str, more: list[tuple[bytes, bytes]] | None = None) -> Scope:
        """Return the scope of a request of a kind."""
        fields = [(b"host", HOST.encode()), (b"hophinge-request-id", f"{kind}-1".encode()), *(more or [])]
        if kind == "streaming":
            fields += [
                (b"hophinge-token-usage", f"{TOKENS},80".encode()),
                (b"hophinge-prompt-prefix", f"a:{TOKENS}".encode()),
            ]
        path = f"{KINDS[kind][0]}x".encode()
        connection = ConnectionState(ConnectionBounds(), 0.0)
        return {
            "type": "http",
            "method": "POST",
            "path": path.decode(),
            "raw_path": path,
            "query_string": b"",
            "headers": fields,
            "state": {CONNECTION: connection, MEMORY: RecordedMemory()},
        }

    async def call(self, caller: Caller, kind: str, more: list[tuple[bytes, bytes]] | None = None) -> None:
        """Serve one request."""
        await self.frontend(self.scope(kind, more), caller.receive, caller.send)

    def inject_ending(self, kind: str, stage: str, ending: Ending) -> None:
        """Give the first attempt of a request of a kind at a stage the ending."""
        self.script.ending, self.script.stage, self.script.name = ending, stage, f"{kind}-1"


@asynccontextmanager
async def front_end(stages: dict[str, str], timeout_s: float = TIMEOUT_S) -> AsyncIterator[FrontEnd]:
    """Run a front end and its instances."""
    here = FrontEnd(stages)
    for instance in here.instances:
        await instance.listen()
    here.configure(timeout_s)
    for instance in here.instances:
        here.register(instance.name, instance.address, instance.stage)
    try:
        yield here
    finally:
        await here.upstream.close()
        for instance in here.instances:
            await instance.close()


PLAIN = {"s1": "", "s2": ""}
STAGED = {"p1": "prefill", "p2": "prefill", "d1": "decode", "d2": "decode"}


def run(play: Any) -> None:
    asyncio.run(asyncio.wait_for(play(), BOUND_S))


def test_a_request_for_a_stored_but_unreadable_route_is_rejected_and_gets_no_other_route() -> None:
    """Guards against 404, and a run by the service of a shorter prefix, for a route that an older version accepted."""

    async def play() -> None:
        async with front_end({"s1": ""}) as here:
            routes = [("/", "safe", "plain"), ("/p/", "safe", "plain")]
            raw = json.loads(configuration_document(2, routes))
            raw["routes"][1]["timeout-ms"] = {}
            here.state._apply_record(configuration_record(2, json.dumps(raw).encode()))
            rejected, served = Caller(), Caller()
            await here.call(rejected, "safe")
            await here.call(served, "unsafe")
            assert (rejected.status, served.status) == (503, 200)
            assert find_field(rejected.messages[0]["headers"], b"retry-after") is not None

    run(play)


@pytest.mark.parametrize("size", ["header", "body", "small"])
def test_a_head_without_a_configuration_answers_503_to_any_request(size: str) -> None:
    """Size limits are part of the configuration, so no request is rejected for its size before there is one."""

    async def play() -> None:
        here = FrontEnd({})
        caller = Caller(b"x" * (6 << 20) if size == "body" else b"")
        await here.call(caller, "safe", [(b"x-large", b"y" * 40_000)] if size == "header" else None)
        assert caller.status == 503
        assert find_field(caller.messages[0]["headers"], b"retry-after") is not None

    run(play)


@pytest.mark.parametrize("ending", [silence, half_an_answer_and_silence])
@pytest.mark.parametrize(
    ("kind", "stage"), [("safe", ""), ("unsafe", ""), ("streaming", "prefill"), ("streaming", "decode")]
)
def test_a_request_ends_by_the_timeout_of_its_route(kind: str, stage: str, ending: Ending) -> None:
    """A later deadline of the client does not extend the timeout, also in the deadline sent to instances."""

    async def play() -> None:
        async with front_end(STAGED if stage else PLAIN) as here:
            here.inject_ending(kind, stage, ending)
            caller, loop = Caller(), asyncio.get_running_loop()
            began = loop.time()
            deadlines = _watch_deadlines(here)
            await here.call(caller, kind, [(DEADLINE, b"60000")])
            assert loop.time() - began < TIMEOUT_S + MARGIN_S
            assert here.script.struck is not None
            assert deadlines and max(deadlines) <= TIMEOUT_S * 1_000
            assert caller.messages or kind == "streaming"

    run(play)


@pytest.mark.parametrize("field", ["\u00b2", "9" * 5_000, "soon", ""])
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_deadline_that_is_no_number_counts_as_absent(kind: str, field: str) -> None:
    """Guards against status 500 for an invalid number, in a client's deadline or in an instance's timeout."""

    async def play() -> None:
        async with front_end(PLAIN) as here:
            caller = Caller()
            await here.call(caller, kind, [(DEADLINE, field.encode("latin-1"))])
            assert caller.status == 200

    run(play)


async def _repeated_refusal(script: Script, connection: Connection, call: ReceivedCall) -> bool:
    """Refuse a request; if it is sent again on this connection, repeat the refusal and then run the request."""
    refusal = script.answer(call, 503, NOT_EXECUTED, b"")
    connection.say(refusal)
    await connection.reader.readuntil(b"\r\n\r\n")
    await connection.reader.readexactly(len(call.body))
    script.ran(call)
    connection.say(refusal + script.answer(call, more=STAMP))
    return True


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_repeated_refusal_is_not_the_response_to_the_next_attempt(kind: str) -> None:
    """Guards against an unsafe request that runs up to five times (review, case TWICE)."""

    async def play() -> None:
        async with front_end({"s1": ""}) as here:
            here.inject_ending(kind, "", _repeated_refusal)
            caller = Caller()
            await here.call(caller, kind)
            assert caller.status == 200
            assert here.script.runs == {f"{kind}-1": 1}
            assert here.script.connections == 2

    run(play)


@pytest.mark.parametrize(
    ("kind_then", "status"), [("unsafe", 502), ("streaming", 200), ("safe", 200), (None, 200)], ids=str
)
def test_a_request_whose_route_becomes_unsafe_is_not_sent_again(kind_then: str | None, status: int) -> None:
    """Guards against a second run that the operator's latest configuration excludes (rule TWICE)."""

    async def play() -> None:
        async with front_end(PLAIN) as here:

            async def runs_and_closes(script: Script, connection: Connection, call: ReceivedCall) -> bool:
                script.ran(call)
                routes = [(KINDS["safe"][0], kind_then, "plain")] if kind_then is not None else []
                here.state._apply_record(configuration_record(2, configuration_document(2, routes)))
                return False

            here.inject_ending("safe", "", runs_and_closes)
            caller = Caller()
            await here.call(caller, "safe")
            assert caller.status == status
            assert here.script.runs == {"safe-1": 1 if status == 502 else 2}

    run(play)


def _watch_deadlines(here: FrontEnd) -> list[int]:
    """Return the list that the forwarded deadlines are added to, in milliseconds."""
    deadlines: list[int] = []
    original_call = here.upstream.call

    def watched_call(identity: str, call: Any) -> Any:
        deadlines.append(int(find_field(call.fields, DEADLINE) or 0))
        return original_call(identity, call)

    here.upstream.call = watched_call  # type: ignore[method-assign]
    return deadlines


async def _late_close(script: Script, connection: Connection, call: ReceivedCall) -> bool:
    """Close the connection without a response after DELAY_S."""
    await asyncio.sleep(DELAY_S)
    return False


@pytest.mark.parametrize(("kind", "stage"), [("safe", ""), ("streaming", "prefill"), ("streaming", "decode")])
def test_a_later_attempt_gets_only_the_remaining_time(kind: str, stage: str) -> None:
    async def play() -> None:
        async with front_end(STAGED if stage else PLAIN, 4.0) as here:
            here.inject_ending(kind, stage, _late_close)
            deadlines = _watch_deadlines(here)
            caller = Caller()
            await here.call(caller, kind, [(DEADLINE, b"3000")])
            assert caller.status == 200
            assert max(deadlines) <= 3_000
            assert deadlines[-1] <= deadlines[0] - DELAY_S * 1_000

    run(play)


@pytest.mark.parametrize(
    ("kind", "stage"), [("safe", ""), ("unsafe", ""), ("streaming", "prefill"), ("streaming", "decode")]
)
def test_a_disconnect_ends_the_work_at_the_instance_and_no_other_attempt_begins(kind: str, stage: str) -> None:
    async def play() -> None:
        async with front_end(STAGED if stage else PLAIN, 8.0) as here:
            here.inject_ending(kind, stage, silence)
            caller, loop = Caller(), asyncio.get_running_loop()
            serving = asyncio.create_task(here.call(caller, kind))
            while here.script.struck is None:
                await asyncio.sleep(0)
            arrived, began = len(here.script.arrivals), loop.time()
            caller.has_left.set()
            await here.script.left.wait()
            assert loop.time() - began < MARGIN_S
            await serving
            assert len(here.script.arrivals) == arrived
            assert all(node.outstanding == 0 for node in here.placement.nodes.values())

    run(play)


def test_an_instance_whose_client_disconnects_does_not_count_as_cold() -> None:
    """Guards against warm instances that get almost no requests because a client's disconnect counted as silence."""

    async def play() -> None:
        async with front_end(PLAIN, 8.0) as here:
            warmup = here.placement.admission.warmup
            warmup.cold_per_s, warmup.cold_start_s = {"plain": 3.0}, {"plain": 4.5}
            warmup.head_count, warmup.slack = 79, 5.0
            here.inject_ending("unsafe", "", silence)
            caller = Caller()
            serving = asyncio.create_task(here.call(caller, "unsafe"))
            while here.script.struck is None:
                await asyncio.sleep(0)
            caller.has_left.set()
            await serving
            now = asyncio.get_running_loop().time()
            nodes = here.placement.nodes.values()
            assert any(node.is_ejected(now) for node in nodes), "this head avoids it for a moment"
            assert not any(warmup.is_limited(now, node.instance) for node in nodes)
            assert not here.placement.exchange.suspects

    run(play)


def test_nothing_is_sent_for_a_client_that_disconnected_while_its_request_was_pending() -> None:
    """The stage gets an instance right after the client has disconnected; the pending request must not be sent."""

    async def play() -> None:
        async with front_end({"d1": "decode"}, 8.0) as here:
            [decode] = here.instances
            loop = asyncio.get_running_loop()
            here.placement.instances.stage_switch_s = {"models": 0.3}
            here.register("p9", "127.0.0.1:9", "prefill")
            here.register("d1", decode.address, "decode", DRAINING)
            here.placement.instances.update_instance(
                "d2", Instance("d2", "models", "127.0.0.1:9", "z", "v", 8, SWITCHING, "prefill", ()), loop.time()
            )
            caller = Caller()
            serving = asyncio.create_task(here.call(caller, "streaming", [(DEADLINE, b"1900")]))
            while not here.placement.pending_requests:
                assert not serving.done(), caller.messages
                await asyncio.sleep(0)
            caller.has_left.set()
            await asyncio.sleep(0)
            here.register("d1", decode.address, "decode")
            await serving
            assert not caller.messages and not here.script.arrivals
            assert not here.placement.pending_requests

    run(play)
