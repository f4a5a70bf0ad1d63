"""Attempts at backends: their outcomes, what they report to the scheduler, and their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest
from aiohttp import web

from hophinge.core.interface import Action, Event, Outcome, Probe, ProbeResult, Result
from tests.stand_in import VOLUME, Backend, headers, held_by, run_in_real_time as run, setup, until, world
from tests.test_net import READ, WRITE


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_a_reused_connection_that_fails_causes_no_hidden_attempt(method: str) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            wire = await made.wire(service)
            target = READ if method == "GET" else WRITE
            wire.send(target, headers(1), method)
            await wire.receive()

            async def die(request: web.BaseRequest, _: bytes) -> None:
                assert request.transport is not None
                request.transport.abort()

            backend.behave = die
            wire.send(target, headers(2), method)
            assert (await wire.receive())[0] == 503
            counts = service.counters.counts
            assert len(backend.seen) == 1 + 3 == counts["attempts_sent"] and counts["attempts_reset"] == 3

    run(main())


def test_redirects_are_not_followed_bodies_not_decoded_and_cookies_not_stored() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            wire = await made.wire(service)

            async def odd(_: web.BaseRequest, __: bytes) -> web.Response:
                return web.Response(body=b"not gzip", headers={"Content-Encoding": "gzip", "Set-Cookie": "a=b"})

            backend.behave = odd
            for number in (1, 2):
                wire.send(READ, headers(number))
                status, _, body = await wire.receive()
                assert (status, body) == (200, b"not gzip")
            assert "Cookie" not in backend.headers[1]

            async def move(_: web.BaseRequest, __: bytes) -> web.Response:
                return web.Response(status=302, headers={"Location": "/healthz"})

            backend.behave = move
            wire.send(READ, headers(3))
            assert (await wire.receive())[0] == 503
            assert {target for _, target in backend.seen} == {READ}
            assert service.counters.counts["bricks_answered_oddly"] == 3

    run(main())


def test_usage_headers_reach_the_scheduler() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()

            async def respond_with_usage(_: web.BaseRequest, __: bytes) -> web.Response:
                return web.Response(headers={"X-Iops-Used": "150", "X-Rho": "3.5"})

            made.backends[0].behave = respond_with_usage
            wire = await made.wire(service)
            wire.send(READ, headers())
            await wire.receive()
            await until(lambda: service.exchange.scheduler.volumes[VOLUME].reported_use > 0)
            assert service.exchange.scheduler.volumes[VOLUME].reported_use == 1.5 * 400

    run(main())


def test_an_abandoned_attempt_closes_its_connection_and_the_request_is_answered_in_time() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, closed = await made.head(), asyncio.Event()

            async def hang(_: web.BaseRequest, __: bytes) -> None:
                try:
                    await asyncio.Event().wait()
                finally:
                    closed.set()

            made.backends[0].behave = hang
            wire = await made.wire(service)
            wire.send(READ, headers(X_Remaining_Ms="100"))
            assert (await wire.receive())[0] == 503
            await closed.wait()
            assert service.counters.counts["attempts_timeout"] == 1 and not service.backends.registry.open

    run(main())


def test_a_refused_connection_is_a_failed_connect() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            await made.backends[0].close()
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[0] == 503
            assert service.counters.counts["attempts_connect_failed"] == 3

    run(main())


def test_an_attempt_waiting_for_a_connection_is_withdrawn_when_its_backend_drains(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service, gate, waiting = await made.head(), asyncio.Event(), asyncio.Event()
            connector = service.backends.connector
            create = connector._create_connection

            async def slow(*parts: object) -> object:
                waiting.set()
                await gate.wait()
                return await create(*parts)  # type: ignore[arg-type]

            monkeypatch.setattr(connector, "_create_connection", slow)
            wire = await made.wire(service)
            wire.send(READ, headers())
            await waiting.wait()
            await made.agent.tell(made.backends[0].target("Terminating"))
            await until(lambda: service.exchange.phases["s-0"].value == "draining")
            gate.set()
            assert (await wire.receive())[0] == 503
            assert not made.backends[0].seen and service.counters.counts["attempts_moot"] == 1

    run(main())


def test_connections_to_backends_are_bounded_without_a_queue() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            assert service.backends.connector.limit == 0
            service.backends.max_attempts = 0
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[0] == 503 and not made.backends[0].seen
            assert service.counters.counts["attempts_without_socket"] == 3

    run(main())


def test_load_reports_are_read_from_probes_and_from_answers_if_configured(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            with_reports = setup(Report={"Fields": ["q"], "Source": "answers"})
            service, events = await made.head(settings=with_reports), list[Event]()
            scheduler, backend = service.exchange.scheduler, made.backends[0]

            async def loaded(request: web.BaseRequest, _: bytes) -> web.Response:
                if request.raw_path == "/load":
                    return web.Response(text="TEXT inflight=2, queue=4, odd=x")
                return web.Response(headers={"X-Pressure": "TEXT queue=3, util=0.61"})

            backend.behave = loaded
            original_handle = scheduler.handle

            def handle(now_us: int, batch: Iterable[Event]) -> list[Action]:
                events.extend(batch := list(batch))
                return original_handle(now_us, batch)

            monkeypatch.setattr(scheduler, "handle", handle)
            wire = await made.wire(service)
            wire.send(READ, headers())
            await wire.receive()
            await until(
                lambda: any(
                    isinstance(event, Outcome) and event.report == {"queue": 3, "util": 0.61} for event in events
                )
            )
            for node, result, report in (
                ("s-0", Result.OK, {"inflight": 2, "queue": 4}),
                ("s-9", Result.CONNECT_FAILED, {}),
            ):
                service.exchange._perform(Probe(node), 0)
                await until(
                    lambda node=node, result=result, report=report: any(  # type: ignore[misc]
                        isinstance(event, ProbeResult)
                        and (event.node, event.result, event.report) == (node, result, report)
                        for event in events
                    )
                )

    run(main())


def test_idle_connections_to_removed_backends_or_above_the_limit_are_closed() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1), Backend(2)) as made:
            service = await made.head()
            wire = await made.wire(service)
            for number in range(3):
                wire.send(READ, headers(number, X_Placement=f"units=2,shard={number},hosts=1"))
                assert (await wire.receive())[0] == 404
            await made.agent.tell(made.backends[0].target("Gone"))
            await until(lambda: [backend.connections for backend in made.backends] == [0, 1, 1])
            service.backends.registry.limit = 1
            wire.send(READ, headers(4, X_Placement="units=2,shard=2,hosts=1"))
            assert (await wire.receive())[0] == 404
            await until(lambda: [backend.connections for backend in made.backends] == [0, 0, 1])

    run(main())


def test_a_request_at_a_removed_backend_is_answered_and_its_connection_closes_afterwards() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with world(Backend(0), Backend(1)) as made:
            service = await made.head()
            leaving = made.backends[0]
            wire = await made.wire(service)
            wire.send(READ, headers(1, X_Placement="units=2,shard=0,hosts=1"))
            assert (await wire.receive())[0] == 404
            leaving.behave = held_by(gate)
            wire.send(READ, headers(2, X_Placement="units=2,shard=0,hosts=1"))
            await until(lambda: any(not connection.is_idle for connection in service.backends.registry.open))
            await made.agent.tell(leaving.target("Gone"))
            await until(lambda: leaving.name not in service.exchange.phases)
            assert leaving.connections == 1
            gate.set()
            assert (await wire.receive())[0] == 404
            await until(lambda: leaving.connections == 0)

    run(main())


def test_settings_of_the_pool() -> None:
    async def main() -> None:
        async with world() as made:
            backends = (await made.head(settings=setup())).backends
            assert 0 < backends.pool.idle_timeout_s <= 15 and backends.connector.limit == 0

    run(main())
