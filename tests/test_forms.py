"""Tests of the valid syntax variants of HTTP requests, in pieces of any size and pipelined: each is answered."""

from __future__ import annotations

import pytest

from tests.stand_in import OBJECT, VOLUME, Backend, headers, run, until, world
from tests.test_net import READ, WRITE
from tests.test_pipelined import connections

HEADER_LINES = "".join(f"{name}: {text}\r\n" for name, text in headers().items()).encode()
HOST_LINE = b"Host: origin.svc\r\n"
PUT = b"PUT " + WRITE.encode() + b" HTTP/1.1\r\n" + HOST_LINE + HEADER_LINES
FORMS = {
    "plain": PUT + b"Content-Length: 4\r\n\r\nbody",
    "empty lines before": b"\r\n\r\n" + PUT + b"Content-Length: 4\r\n\r\nbody",
    "lower case": PUT.replace(HEADER_LINES, HEADER_LINES.lower()) + b"content-length: 4\r\n\r\nbody",
    "absolute target": PUT.replace(b"PUT /", b"PUT http://origin.svc/") + b"Content-Length: 4\r\n\r\nbody",
    "white space": PUT.replace(
        HOST_LINE + HEADER_LINES, (HOST_LINE + HEADER_LINES).replace(b": ", b":\t ").replace(b"\r\n", b" \t\r\n")
    )
    + b"Content-Length: \t4\t \r\n\r\nbody",
    "no white space": PUT.replace(b": ", b":") + b"Content-Length:4\r\n\r\nbody",
    "zeros": PUT + b"Content-Length: 0004\r\n\r\nbody",
    "chunks": PUT + b"Transfer-Encoding: Chunked\r\n\r\n1\r\nb\r\n003\r\nody\r\n0\r\n\r\n",
    "extensions and trailers": PUT + b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
    b'2;a=b;c="d;e"\r\nbo\r\n2\r\ndy\r\n00;x\r\nX-Sum: 1\r\n\r\n',
    "options": PUT + b"Connection: keep-alive, x\r\nTE: trailers\r\nX-Empty:\r\nContent-Length: 4\r\n\r\nbody",
    "upgrade": PUT + b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    "old": PUT.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody",
}
GET = b"GET " + READ.encode() + b" HTTP/1.1\r\n" + HOST_LINE + HEADER_LINES + b"\r\n"


@pytest.mark.parametrize("piece_size", [1, 3, 7, 10_000])
@pytest.mark.parametrize("form", FORMS)
def test_each_valid_request_form_is_served_in_pieces_of_any_size(form: str, piece_size: int) -> None:
    async def main() -> None:
        async with world(Backend(0)) as environment:
            service, backend = await environment.head(), environment.backends[0]
            wire = await environment.wire(service)
            wire.writer.write(b"GET /healthz HTTP/1.1\r\n" + HOST_LINE + b"\r\n")
            assert (await wire.receive())[0] == 200
            (client,) = connections(service)
            await until(lambda: client in service.front.idle)
            request_bytes = FORMS[form] + GET + FORMS[form] + GET
            for offset in range(0, len(request_bytes), piece_size):
                client.data_received(request_bytes[offset : offset + piece_size])  # as the system may deliver them
            responses = [(await wire.receive())[::2] for _ in range(4)]
            assert responses == [(200, b"ok"), (200, b"body")] * 2
            assert backend.objects == {f"{VOLUME}/{OBJECT}": b"body"} and len(backend.seen) == 4
            await until(lambda: client in service.front.idle and client.requests_read == client.answered == 5)

    run(main())


def test_a_pipelined_request_with_expect_100_continue_gets_its_interim_response() -> None:
    async def main() -> None:
        async with world(Backend(0)) as environment:
            wire = await environment.wire(await environment.head())
            wire.writer.write(GET + PUT + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
            assert [(await wire.receive())[0] for _ in range(2)] == [404, 100]
            wire.writer.write(b"body" + GET)
            assert [(await wire.receive())[0] for _ in range(2)] == [200, 200]

    run(main())
