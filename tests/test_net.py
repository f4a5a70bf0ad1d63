"""Forwarding of requests by a head: a model of a client's connection under random steps, and single cases."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.core.interface import Action, Event, Refuse, Send
from hophinge.net.payload import MAX_LONG_BODY
from hophinge.head.service import Service
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, World, headers, held_by, run_in_real_time as run, until, world

READ = f"/record-read/{VOLUME}/{OBJECT}"
WRITE = f"/transfer-write/{VOLUME}/{OBJECT}"
AWAY = {"X-Turned-Away": "1"}


class Connection:
    """The model of a client connection: whether it is open, what the head must have counted, and the possible steps."""

    def __init__(self, made: World, service: Service) -> None:
        self.world, self.service, self.backend = made, service, made.backends[0]
        self.wire: Wire | None = None
        self.number = 0
        self.counts: Counter[str] = Counter()

    async def step(self, name: str) -> None:
        if self.wire is None:
            self.wire = await self.world.wire(self.service)
        self.number += 1
        await getattr(self, name)(self.wire, headers(self.number))
        for key, value in self.counts.items():
            await until(lambda key=key, value=value: self.service.counters.counts[key] >= value)  # type: ignore[misc]
            assert self.service.counters.counts[key] == value, key
        await until(lambda: not self.service.exchange.open)

    async def _served(self, wire: Wire, sent: dict[str, str], body: bytes = b"kept") -> None:
        self.backend.objects[f"{VOLUME}/{OBJECT}"] = body
        wire.send(READ, sent)
        status, _, got = await wire.receive()
        assert (status, got) == (200, body)
        self.counts.update(["requests_taken", "requests_served", "attempts_sent", "attempts_ok"])

    async def read(self, wire: Wire, sent: dict[str, str]) -> None:
        await self._served(wire, sent)

    async def write(self, wire: Wire, sent: dict[str, str]) -> None:
        wire.send(WRITE, sent, "PUT", bytes(range(256)) * 256)
        assert (await wire.receive())[0] == 200
        assert self.backend.objects[f"{VOLUME}/{OBJECT}"] == bytes(range(256)) * 256
        self.counts.update(["requests_taken", "requests_served", "attempts_sent", "attempts_ok"])

    async def _once(self, wire: Wire, sent: dict[str, str], result: str, answer: web.Response | None) -> None:
        """The backend's first answer is `answer`, or a reset if None; the next attempt is served."""

        async def behave(request: web.BaseRequest, _: bytes) -> web.Response | None:
            self.backend.behave = None
            if answer is None and request.transport is not None:
                request.transport.abort()
            return answer

        self.backend.behave = behave
        await self._served(wire, sent)
        self.counts.update(["attempts_sent", f"attempts_{result}"])

    async def error(self, wire: Wire, sent: dict[str, str]) -> None:
        await self._once(wire, sent, "error", web.Response(status=500))

    async def full(self, wire: Wire, sent: dict[str, str]) -> None:
        await self._once(wire, sent, "full", web.Response(status=503, headers=AWAY))

    async def reset(self, wire: Wire, sent: dict[str, str]) -> None:
        await self._once(wire, sent, "reset", None)

    async def ready(self, wire: Wire, _: dict[str, str]) -> None:
        wire.send("/healthz", {})
        assert (await wire.receive())[0] == 200

    async def malformed(self, wire: Wire, sent: dict[str, str]) -> None:
        seen_before = len(self.backend.seen)
        wire.send(READ, {**sent, "X-Txn": "odd"})
        assert (await wire.receive())[0] == 400 and len(self.backend.seen) == seen_before
        self.counts["requests_malformed"] += 1

    async def oversize(self, wire: Wire, sent: dict[str, str]) -> None:
        wire.writer.write(wire.head(WRITE, {**sent, "Content-Length": str(MAX_LONG_BODY + 1)}, "PUT") + bytes(1000))
        status, fields, _ = await wire.receive()
        assert status == 413 and fields["connection"] == "close" and await wire.ended()
        self.counts["requests_malformed"] += 1
        self.wire = None

    async def leave(self, wire: Wire, sent: dict[str, str]) -> None:
        gate = asyncio.Event()

        self.backend.behave, seen_before = held_by(gate), len(self.backend.seen)
        wire.send(READ, sent)
        await until(lambda: len(self.backend.seen) > seen_before)
        wire.close()
        await until(lambda: self.service.counters.counts["requests_departed"] > self.counts["requests_departed"])
        self.backend.behave = None
        gate.set()
        self.counts.update(["requests_taken", "requests_departed", "attempts_sent", "attempts_ok"])
        self.wire = None


STEPS = ["read", "write", "error", "full", "reset", "ready", "malformed", "oversize", "leave"]


@settings(max_examples=25)
@given(st.lists(st.sampled_from(STEPS), min_size=1, max_size=8))
def test_a_connection_under_random_steps(steps: list[str]) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            connection = Connection(made, await made.head())
            for name in steps:
                await connection.step(name)

    run(main())


def test_requests_are_forwarded_byte_for_byte() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            target = f"{WRITE}?a=%7e%2F..&b=c+d%20e&&=;x"
            wire.send(target, headers(X_Txn="9B1F03AA5c7e2d41"), "PUT", b"\r\n\0\xff")
            assert (await wire.receive())[0] == 200
            (backend,) = made.backends
            assert backend.seen == [("PUT", target)] and b"\r\n\0\xff" in backend.objects.values()
            sent = backend.headers[0]
            assert sent["X-Txn"] == "9B1F03AA5c7e2d41" and 600 < int(sent["X-Remaining-Ms"]) <= 750
            assert not sent.keys() & {"Cookie", "User-Agent", "Accept-Encoding", "X-Qos-Policy"}

    run(main())


@pytest.mark.parametrize(
    ("target", "changes", "status"),
    [
        (READ, {"X-Txn": ""}, 400),
        (READ, {"X-Txn": "9b1f03aa5c7e2d4"}, 400),
        (READ, {"X-Remaining-Ms": "-1"}, 400),
        (READ, {"X-Remaining-Ms": "1e3"}, 400),
        (READ, {"X-Qos-Policy": "gold"}, 400),
        (READ, {"X-Placement": ""}, 400),
        (READ, {"X-Placement": "units=9,shard=0,hosts=1"}, 400),
        (READ, {"X-Placement": "units=0,shard=0,hosts=1"}, 400),
        (READ, {"X-Placement": "units=nan,shard=0,hosts=1"}, 400),
        (READ, {"X-Placement": "units=1,shard=-2,hosts=1"}, 400),
        (f"/unknown/{VOLUME}/{OBJECT}", {}, 404),
        ("/record-read/short/short", {}, 400),
        ("/", {}, 400),
        (f"{READ}/more", {}, 400),
        (f"{READ}#part", {}, 400),
    ],
)
def test_malformed_requests_reach_no_backend(
    target: str, changes: dict[str, str], status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.send(target, {**headers(), **changes})
            assert (await wire.receive())[0] == status
            wire.writer.write(b"not http at all\r\n\r\n")
            assert (await wire.receive())[0] == 400
            wire.close()
            assert not made.backends[0].seen and service.counters.counts["requests_malformed"] == 1

    run(main())
    assert "Traceback" not in "".join(capsys.readouterr())


def test_requests_above_the_limit_are_rejected_with_retry_after() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            service.front.max_busy = 0
            wire = await made.wire(service)
            wire.send("/healthz", {})
            assert (await wire.receive())[0] == 200
            wire.send(READ, headers())
            status, fields, _ = await wire.receive()
            assert status == 503 and fields["retry-after"] == "1" and await wire.ended()
            assert service.counters.counts["requests_too_many"] == 1 and not made.backends[0].seen

    run(main())


def test_100_continue_is_sent_for_a_valid_request_but_not_for_a_malformed_one() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(wire.head(WRITE, {**headers(), "Expect": "100-continue", "Content-Length": "4"}, "PUT"))
            assert (await wire.receive())[0] == 100
            wire.writer.write(b"body")
            assert (await wire.receive())[0] == 200 and b"body" in made.backends[0].objects.values()
            odd = {**headers(2, X_Txn="odd"), "Expect": "100-continue", "Content-Length": "4"}
            wire.writer.write(wire.head(WRITE, odd, "PUT"))
            assert (await wire.receive())[0] == 400 and await wire.ended()

    run(main())


def test_a_client_that_disconnects_as_it_is_answered_does_not_break_another_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service, gate = await made.head(), asyncio.Event()

            made.backends[0].behave = held_by(gate)
            leaving, staying = await made.wire(service), await made.wire(service)
            leaving.send(READ, headers(1, X_Remaining_Ms="20000"))
            await until(lambda: len(made.backends[0].seen) == 1)
            open_request = next(iter(service.front.busy))._current_request
            assert open_request is not None
            handler = open_request.task
            exchange, original_handle = service.exchange, service.exchange.scheduler.handle

            def handle(now_us: int, batch: Iterable[Event]) -> list[Action]:
                # The client's disconnect and the scheduler's answer fall into one loop iteration, in that order.
                actions = original_handle(now_us, batch)
                if any(isinstance(action, Send) for action in actions):
                    handler.cancel()
                    actions.insert(0, Refuse(f"{1:016x}", 0))
                return actions

            monkeypatch.setattr(exchange.scheduler, "handle", handle)
            staying.send(READ, headers(2, X_Placement="units=2,shard=1,hosts=1"))
            assert (await staying.receive())[0] == 404
            assert not service.counters.counts["module_faults"] and await leaving.ended()
            gate.set()

    run(main())
