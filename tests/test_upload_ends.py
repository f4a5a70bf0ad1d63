"""Bodies passed on as they come: what their one attempt's end means at the body's last byte."""

from __future__ import annotations


import pytest
from aiohttp import web

from hophinge.head.service import Service
from hophinge.net import frontend
from hophinge.net.backend_connection import BackendConnection
from hophinge.net.request_body import RequestBodyStream
from tests.servers import Backend
from tests.stand_in import OBJECT, VOLUME, Wire, World, headers, run, until, world
from tests.test_net import WRITE
from tests.test_streams import LONG, with_head


class Counting(Backend):
    """A brick that notes each body as far as it came."""

    def __init__(self) -> None:
        super().__init__(0)
        self.bodies = list[bytes]()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.bodies.append(b"")
        async for piece in request.content.iter_any():
            self.bodies[-1] += piece
        return await super().handle(request)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_that_was_taken_is_not_sent_again_without_it(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """It is whole before any node can take it, so that nothing else says that it came in pieces."""
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", len(LONG) - 1)

    async def main() -> None:
        async with world(backend := Counting()) as made:
            del made.agent.targets[backend.name]
            service = await made.head()
            wire = await made.wire(service)

            async def die(request: web.BaseRequest, _: bytes) -> None:
                assert request.transport is not None
                request.transport.abort()

            backend.behave = die
            fields = headers(X_Remaining_Ms="20000")
            if chunked:
                fields |= {"Transfer-Encoding": "chunked"}
                wire.writer.write(wire.head(WRITE, fields, "PUT") + b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG))
            else:
                wire.send(WRITE, fields, "PUT", LONG)
            await until(lambda: any(one.is_complete for one in service.exchange.open.values()))
            assert not backend.bodies and service.counters.counts["bodies_streamed"] == 1
            await made.agent.tell(backend.target())
            assert (await wire.receive())[0] == 503
            assert backend.bodies == [LONG] and service.counters.counts["attempts_sent"] == 1

    run(main())


@pytest.mark.parametrize("way", ["answer", "reset"])
def test_what_a_backend_does_at_once_with_a_whole_body_counts(way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The last piece had to wait for the kernel, and the brick was quicker than the head's next turn."""
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)
    taken, read, drain = 0, RequestBodyStream.read, BackendConnection._drain_helper

    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        async def counted(self: RequestBodyStream) -> bytes:
            nonlocal taken
            data = await read(self)
            taken += len(data)
            return data

        async def slow(self: BackendConnection) -> None:
            await drain(self)
            if taken == len(LONG):
                await until(lambda: bool(self._buffer) or not self.is_connected())

        async def die(request: web.BaseRequest, _: bytes) -> None:
            assert request.transport is not None
            request.transport.abort()

        monkeypatch.setattr(RequestBodyStream, "read", counted)
        monkeypatch.setattr(BackendConnection, "_drain_helper", slow)
        backend.behave = die if way == "reset" else None
        wire.send(WRITE, headers(X_Remaining_Ms="20000"), "PUT", LONG)
        assert (await wire.receive())[0] == (503 if way == "reset" else 200)
        counts = service.counters.counts
        assert len(backend.seen) == 1 and counts["attempts_connect_failed"] == 0
        assert counts["attempts_reset" if way == "reset" else "attempts_ok"] == 1
        assert way == "reset" or backend.objects[f"{VOLUME}/{OBJECT}"] == LONG

    with_head(test)
