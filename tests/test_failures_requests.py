"""Failure scenarios: one request through every outcome in every phase, for each type of route, on real sockets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.dataplane.connections import ReleasingStream
from hophinge.fleet.dataplane.exchange import ResponseAbortedError, Exchange, Inbound
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.headers import Fields, find_field
from hophinge.fleet.forwarding.request_lifecycle import RequestLifecycle
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import READY, Instance
from hophinge.fleet.transport.client_memory import MemoryReservation
from tests.connection_wire import RecordedMemory
from tests.request_endings import NOT_RUN, OWN_ANSWER_IS_WHOLE, RUN, SERVED, SILENCES
from tests.scripted_instance import EVENTS, Ending, Script, ScriptedInstance
from tests.steady import run_steadily

UNSAFE = Route("r", "h", "/", "unsafe", 4.0, 0.5, 0.0, 1, 2, False, ("s",), (1.0,))
ROUTES = {
    "unsafe": UNSAFE,
    "safe": replace(UNSAFE, route_type="safe"),
    "stream": replace(UNSAFE, route_type="streaming"),
    "stream-resumable": replace(UNSAFE, route_type="streaming", is_resumable=True),
}
PROMISES = (408, 421, 429, 503)
TOKENS = 40_000  # of a prompt: so long that it is read apart
DEADLINE_S, SHORT_S = 5.0, 0.5
BOUND_S = 20.0


@dataclass
class Client:
    """What a client of the head gets."""

    status: int | None = None
    fields: Fields = field(default_factory=list)
    body: bytes = b""
    whole: bool = False
    broken: bool = False  # the head closed the connection in the middle

    async def send(self, message: dict[str, Any]) -> None:
        """Take a message of the application."""
        if message["type"] == "http.response.start":
            assert self.status is None, "one answer, and one only"
            self.status, self.fields = message["status"], list(message["headers"])
        else:
            assert not self.whole, "bytes behind the end of an answer"
            self.body += message.get("body", b"")
            self.whole = not message.get("more_body", False)


class Play:
    """A head's parts before scripted instances."""

    def __init__(self, script: Script, instances: list[ScriptedInstance]) -> None:
        self.script, self.instances, self.upstream = script, instances, Upstream()
        self.placement = Placement("z", lambda identity: None, Random(1))
        for one in instances:
            self.placement.instances.update_instance(
                one.name, Instance(one.name, "s", one.address, "z", "v", 8, READY, one.stage, ())
            )
        self.placement.instances.configure({"s": 100_000})
        self.staged = any(one.stage for one in instances)
        self.budget = RetryBudget(0.2, 100.0, 10.0, -10.0)
        self.numbers = itertools.count()

    async def request(self, name: str, route: Route, body: bytes = b"body", left_s: float = DEADLINE_S) -> Client:
        """Send one request through the head's parts."""
        loop, client = asyncio.get_running_loop(), Client()
        inbound = Inbound(b"POST", b"/x", [(b"host", b"h"), (b"hophinge-request-id", name.encode())], body, name)
        now = loop.time()
        prompt = Prompt(TOKENS, 80, ((f"{name}-{next(self.numbers)}", TOKENS),)) if self.staged else None
        life = RequestLifecycle(
            name,
            route,
            "s",
            prompt,
            self.staged,
            now + 0.5,
            now + left_s,
            self.placement,
            self.budget,
            1,
            RequestTrace("r", now, 0.5),
        )
        try:
            await Exchange(inbound, life, self.upstream, client.send, False, MemoryReservation(RecordedMemory())).run()
        except ResponseAbortedError:
            client.broken = True
        return client


@asynccontextmanager
async def _playing(staged: bool) -> AsyncIterator[Play]:
    script = Script()
    stages = ["prefill", "prefill", "decode", "decode"] if staged else ["", ""]
    instances = [ScriptedInstance(f"i-{number}", stage, script) for number, stage in enumerate(stages)]
    for one in instances:
        await one.listen()
    play = Play(script, instances)
    try:
        yield play
    finally:
        await play.upstream.close()
        for one in instances:
            await one.close()


def _check(kind: str, name: str, client: Client, script: Script) -> None:
    """Check the rules from what the client got and what the instances saw; raises AssertionError."""
    route, ran = ROUTES[kind], script.runs[name]
    if not route.is_idempotent:
        assert ran <= 1, f"ran {ran} times"
        assert client.status not in PROMISES or ran == 0, f"{client.status} for what has run"
    assert ran <= route.max_attempts
    signature = find_field(client.fields, b"hophinge-server-signature")
    if client.status is not None and 200 <= client.status < 300:
        assert signature is not None
        assert find_field(client.fields, b"hophinge-request-id") == name
        if client.whole and kind.startswith("stream"):
            assert client.body == b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1))
        elif client.whole:
            assert (client.status, client.body) in script.given
        else:
            assert client.broken, "an answer that is not whole has to be seen to be so"
    elif signature is not None:
        assert client.status in {status for status, _ in script.given}
    assert client.whole or client.broken
    bodies = {asked.body for asked in script.arrivals if asked.name == name and asked.body}
    assert bodies <= {b"body"}


async def _drive(kind: str, ending: Ending, stage: str, kept: bool) -> tuple[Client, Script]:
    """Play one case; a kept connection has served another request before."""
    route = ROUTES[kind]
    async with _playing(bool(stage)) as play:
        name = f"{'stream' if kind.startswith('stream') else 'plain'}-1"
        if kept:
            for _ in range(6):
                assert (await play.request("warm", replace(route, route_type="safe"))).status == 200
        play.script.ending, play.script.stage, play.script.name = ending, stage, name
        client = await play.request(name, route, left_s=SHORT_S if ending in SILENCES else DEADLINE_S)
        _check(kind, name, client, play.script)
        assert play.script.struck == name, "the ending has to come"
        after = await play.request("plain-2", ROUTES["unsafe"])
        assert after.status == 200, "the connection's leavings reach nobody else"
        _check("unsafe", "plain-2", after, play.script)
        return client, play.script


CASES = [
    pytest.param(kind, ending, stage, kept, id=f"{kind}-{ending.__name__}-{stage or 'plain'}-{kept}")
    for kind, ending, stage, kept in itertools.product(
        ROUTES, (*NOT_RUN, *RUN, *SERVED), ("", "prefill", "decode"), (False, True)
    )
]


@pytest.mark.parametrize(("kind", "ending", "stage", "kept"), CASES)
def test_every_outcome_in_every_phase(
    kind: str, ending: Ending, stage: str, kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        client, script = await _drive(kind, ending, stage, kept)
        harmless = ROUTES[kind].is_idempotent or stage == "prefill"
        if ending in NOT_RUN or (harmless and ending not in SILENCES and ending not in SERVED):
            assert client.status == 200, "what surely did not run, or may run twice, is served elsewhere"
        runs = script.runs["plain-1"] + script.runs["stream-1"]
        if ending in SILENCES and not harmless:
            assert runs == 1
        if ending in OWN_ANSWER_IS_WHOLE:
            assert (client.status, client.whole, runs) == (200, True, 1), "an own answer that came is the client's"

    run_steadily(asyncio.wait_for(run(), BOUND_S), monkeypatch)


@pytest.mark.parametrize("stage", ["", "decode"])
@pytest.mark.parametrize("kind", ROUTES)
def test_a_deadline_within_the_close_of_a_connection_adds_no_second_answer(
    kind: str, stage: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 503 behind a whole 200, where the deadline comes between the answer's end and its release."""
    close = ReleasingStream.aclose

    async def slow_close(stream: ReleasingStream) -> None:
        await asyncio.sleep(SHORT_S)
        await close(stream)

    async def run() -> None:
        async with _playing(bool(stage)) as play:
            name = f"{'stream' if kind.startswith('stream') else 'plain'}-1"
            client = await play.request(name, ROUTES[kind], left_s=1.5 * SHORT_S if stage else SHORT_S / 2)
            assert (client.status, client.whole, client.broken) == (200, True, False)
            _check(kind, name, client, play.script)

    monkeypatch.setattr(ReleasingStream, "aclose", slow_close)
    run_steadily(asyncio.wait_for(run(), BOUND_S), monkeypatch)
