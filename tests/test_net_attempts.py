"""Attempts to bricks: how each ends, what it tells the module, and the connections that carry it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest
from aiohttp import web

from hophinge.core.interface import Action, Event, Outcome, Probe, ProbeResult, Result
from tests.stand_in import VOLUME, Backend, headers, held_by, run_in_real_time as run, setup, until, world
from tests.test_net import READ, WRITE


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_a_kept_connection_that_turns_out_dead_costs_no_hidden_attempt(method: str) -> None:
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


def test_redirects_and_encodings_are_not_followed_and_cookies_not_kept() -> None:
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


def test_meter_and_other_units_reach_the_module() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()

            async def told(_: web.BaseRequest, __: bytes) -> web.Response:
                return web.Response(headers={"X-Iops-Used": "150", "X-Rho": "3.5"})

            made.backends[0].behave = told
            wire = await made.wire(service)
            wire.send(READ, headers())
            await wire.receive()
            await until(lambda: service.exchange.scheduler.volumes[VOLUME].reported_use > 0)
            assert service.exchange.scheduler.volumes[VOLUME].reported_use == 1.5 * 400

    run(main())


def test_a_given_up_attempt_closes_its_connection_and_the_request_is_answered_in_time() -> None:
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


def test_an_attempt_that_waited_for_its_connection_does_not_go_once_the_drain_is_heard(
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


def test_load_reports_come_by_probes_and_in_answers_where_the_settings_say_so(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            told = setup(Report={"Fields": ["q"], "Source": "answers"})
            service, events = await made.head(settings=told), list[Event]()
            scheduler, backend = service.exchange.scheduler, made.backends[0]

            async def loaded(request: web.BaseRequest, _: bytes) -> web.Response:
                if request.raw_path == "/load":
                    return web.Response(text="TEXT inflight=2, queue=4, odd=x")
                return web.Response(headers={"X-Pressure": "TEXT queue=3, util=0.61"})

            backend.behave = loaded
            usual = scheduler.handle

            def handle(now_us: int, batch: Iterable[Event]) -> list[Action]:
                events.extend(batch := list(batch))
                return usual(now_us, batch)

            monkeypatch.setattr(scheduler, "handle", handle)
            wire = await made.wire(service)
            wire.send(READ, headers())
            await wire.receive()
            await until(
                lambda: any(isinstance(one, Outcome) and one.report == {"queue": 3, "util": 0.61} for one in events)
            )
            for node, result, report in (
                ("s-0", Result.OK, {"inflight": 2, "queue": 4}),
                ("s-9", Result.CONNECT_FAILED, {}),
            ):
                service.exchange._perform(Probe(node), 0)
                await until(
                    lambda node=node, result=result, report=report: any(  # type: ignore[misc]
                        isinstance(one, ProbeResult) and (one.node, one.result, one.report) == (node, result, report)
                        for one in events
                    )
                )

    run(main())


def test_connections_to_backends_that_are_gone_or_too_many_are_closed() -> None:
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


def test_a_request_under_way_at_a_backend_that_leaves_the_list_is_answered_and_its_connection_closes_behind_it() -> (
    None
):
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
            await until(lambda: any(not one.is_idle for one in service.backends.registry.open))
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
