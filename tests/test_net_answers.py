"""Answers of backends: valid, malformed, in pieces and endless; only the answer to the request is forwarded."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from random import Random
from unittest.mock import Mock

import pytest
from aiohttp import ClientPayloadError, web
from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.core.counters import Counters
from hophinge.net import backend_connection
from hophinge.net.backend_connection import READ_HIGH_WATER, BackendConnection
from hophinge.net.bounded_reads import FRAMED_READ_BYTES
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.connection_registry import ConnectionRegistry
from hophinge.net.payload import MAX_LONG_BODY
from tests.reading_transport import ReadingTransport, iteration_s
from tests.stand_in import OBJECT, VOLUME, Behaviour, Backend, headers, run_in_real_time as run, setup, until, world
from tests.test_net import READ

SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept"
MALFORMED = [
    b"\xcen\x02\xab\x9d\x1c noise \r\n\r\n",
    b"ICY 200 OK\r\nContent-Length: 4\r\n\r\nkept",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\n\r\nkept",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nkept\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nkept\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\nX-A: b",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(100_000),
    b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 20_000,
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nkept",
    b"HTTP/1.1 101 Switching\r\n\r\n" + SOUND,
]

VALID = [
    SOUND,
    SOUND + SOUND,
    SOUND + b"\0noise",
    b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + SOUND,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nkept\r\n0\r\n\r\n",
    *(
        b"HTTP/1.1 200 OK\r\nX-Iops-Used: "
        + metric
        + b"\r\nX-Rho: "
        + metric
        + b"\r\nX-Pressure: TEXT queue="
        + metric
        + b"\r\nContent-Length: 4\r\n\r\nkept"
        for metric in (b"inf", b"nan", b"-3", b"TEXT ?", b"9" * 400, b"1e308")
    ),
]


def test_an_endless_answer_body_is_cut_off() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, ended = await made.head(), asyncio.Event()

            async def endless(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
                response = web.StreamResponse()
                await response.prepare(request)
                try:
                    while True:
                        await response.write(bytes(8192))
                finally:
                    ended.set()

            made.backends[0].behave = endless
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[0] == 200  # it begins like any long answer
            with pytest.raises(asyncio.IncompleteReadError):
                while size := int(await wire.reader.readuntil(b"\r\n"), 16):
                    await wire.reader.readexactly(size + 2)
            await ended.wait()
            assert service.counters.counts["attempts_reset"] == 1

    run(main())


def test_a_large_answer_in_pieces_is_served_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    # All pieces together take longer than this, a single one does not.
    monkeypatch.setattr(backend_connection, "STALL_TIMEOUT_S", 0.5)

    async def main() -> None:
        async with world(Backend(0)) as made:
            body = bytes(range(256)) * 1600

            async def slowly(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
                response = web.StreamResponse(headers={"Content-Length": str(len(body))})
                await response.prepare(request)
                for start in range(0, len(body), 40_960):
                    await response.write(body[start : start + 40_960])
                    await asyncio.sleep(0.06)
                return response

            made.backends[0].behave = slowly
            service = await made.head()
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[::2] == (200, body)
            assert service.counters.counts["attempts_sent"] == 1 and made.backends[0].connections == 1

    run(main())


def raw(backend: Backend, answer: bytes, stays: bool = True) -> Behaviour:
    """The backend's first answer consists of these bytes; its connection then stays open unused, or closes."""

    async def behave(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
        backend.behave = None
        assert request.transport is not None
        request.transport.write(answer)
        if not stays:
            request.transport.close()
        await asyncio.Event().wait()
        return None

    return behave


@pytest.mark.parametrize("answer", MALFORMED, ids=[f"malformed-{number}" for number in range(len(MALFORMED))])
def test_a_malformed_answer_is_a_failed_attempt_that_may_have_been_executed(answer: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            backend.objects[f"{VOLUME}/{OBJECT}"] = b"true"
            backend.behave = raw(backend, answer)
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[::2] == (200, b"true")
            counts = service.counters.counts
            assert (counts["attempts_reset"], counts["attempts_ok"], counts["client_faults"]) == (1, 1, 0)
            await until(
                lambda: backend.connections == 1
            )  # the connection of the malformed answer is closed, not reused

    run(main())


@pytest.mark.parametrize("answer", VALID)
def test_a_valid_answer_is_served_despite_odd_headers_and_surplus_bytes(answer: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            with_reports = setup(Report={"Fields": ["q"], "Source": "answers"})
            service, backend = await made.head(settings=with_reports), made.backends[0]
            backend.objects[f"{VOLUME}/{OBJECT}"] = b"true"
            backend.behave = raw(backend, answer, stays=VALID.index(answer) in (1, 2))
            wire = await made.wire(service)
            for number, body in ((1, b"kept"), (2, b"true"), (3, b"true")):
                wire.send(READ, headers(number))
                assert (await wire.receive())[::2] == (200, body)
            assert service.counters.counts["attempts_ok"] == 3 and not service.counters.counts["client_faults"]

    run(main())


@given(data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_backend_connection_under_random_bytes_and_cuts(data: st.DataObject) -> None:
    """The model: the first answer is passed on if it is valid; bytes after it never are."""
    is_valid = data.draw(st.booleans())
    answer = data.draw(st.sampled_from(VALID[:4] if is_valid else MALFORMED[:8]))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(answer)), max_size=4)))

    async def main() -> None:
        connection = BackendConnection(
            asyncio.get_running_loop(), ConnectionRegistry(1, Counters(), _ignore), ByteBudget(1 << 30)
        )
        connection.connection_made(Mock(is_closing=lambda: False, get_extra_info={"peername": ("127.0.0.1", 1)}.get))
        connection.set_response_params(read_until_eof=True, auto_decompress=False)
        for start, end in itertools.pairwise([0, *cuts, len(answer)]):
            connection.data_received(answer[start:end])
        if is_valid:
            message, body = await connection.read()
            assert message.code == 200 and await body.read() == b"kept"
            assert connection.should_close == (not answer.endswith(b"\r\n\r\nkept") or answer.count(b"kept") > 1)
        else:
            with pytest.raises(ClientPayloadError):
                _, body = await connection.read()
                await body.read()
            assert connection.should_close
        connection.connection_lost(None)

    run(main())


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = CHUNKED_HEAD + b"1\r\nx\r\n" * 40_000
MAX_STALL_S = 0.1  # as long as other work may wait
CONNECTIONS = 8


def _ignore(_line: str) -> None:
    """Log nothing."""


def _connection_over(received: bytes, log: Callable[[str], None] = _ignore) -> BackendConnection:
    """Return a connection that awaits an answer, and these bytes on their way to it."""
    registry = ConnectionRegistry(8, Counters(), log)
    connection = BackendConnection(asyncio.get_running_loop(), registry, ByteBudget(1 << 20))
    connection.set_response_params(read_until_eof=True, auto_decompress=False, read_bufsize=2 * MAX_LONG_BODY)
    connection.connection_made(ReadingTransport(received))
    return connection


# Guards against an event loop that stands still while it parses what has come in tiny chunks on several connections.
def test_answers_in_tiny_chunks_do_not_stop_the_event_loop() -> None:
    async def main() -> float:
        longest_s = 0.0
        connections = [_connection_over(TINY_CHUNKS) for _ in range(CONNECTIONS)]
        reading = [asyncio.create_task(_read_body(connection)) for connection in connections]
        while not all(task.done() for task in reading):
            longest_s = max(longest_s, await iteration_s())
            for connection in connections:
                if isinstance(connection.transport, ReadingTransport) and not connection.transport.received:
                    connection.connection_lost(None)
        assert all(isinstance(task.exception(), ClientPayloadError) for task in reading), "the body has no end"
        return longest_s

    assert run(main()) < MAX_STALL_S


async def _read_body(connection: BackendConnection) -> bytes:
    _, body = await connection.read()
    whole = bytearray()
    while piece := await body.readany():
        whole += piece
        connection.update_flow_control()
    return bytes(whole)


@pytest.mark.parametrize("seed", range(20))
def test_an_answer_in_chunks_of_any_sizes_arrives_whole(seed: int) -> None:
    random = Random(seed)
    sizes = [random.choice((1, 7, 300, FRAMED_READ_BYTES, 3 * FRAMED_READ_BYTES)) for _ in range(60)]
    chunks = [random.randbytes(size) for size in sizes]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""])

    async def main() -> None:
        connection = _connection_over(CHUNKED_HEAD + encoded)
        assert await asyncio.wait_for(_read_body(connection), 5.0) == b"".join(chunks)
        assert connection.is_idle and not connection.should_close

    run(main())


def test_what_nobody_reads_stays_with_the_backend() -> None:
    chunk = b"1000\r\n" + bytes(0x1000) + b"\r\n"

    async def main() -> None:
        connection = _connection_over(CHUNKED_HEAD + chunk * 1_000)
        for _ in range(200):
            await asyncio.sleep(0)
        assert READ_HIGH_WATER < connection.buffered_bytes <= READ_HIGH_WATER + FRAMED_READ_BYTES

    run(main())


def test_a_body_of_stated_length_is_read_in_large_pieces() -> None:
    async def main() -> None:
        connection = _connection_over(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(100_000))
        for _ in range(3):
            await asyncio.sleep(0)
        assert connection.is_idle and connection.buffered_bytes == 100_000, "the rest is read at once"

    run(main())


def test_the_log_names_the_backend_that_was_cut_off_and_why_once_a_second() -> None:
    lines: list[str] = []

    async def main() -> None:
        connection = _connection_over(CHUNKED_HEAD + b"1\r\nx\r\n" * 400_000, lines.append)
        with pytest.raises(ClientPayloadError):
            await asyncio.wait_for(_read_body(connection), 20.0)
        log = connection.registry.cut_off_log
        for offset_s in (0.1, 0.2, 1.5):
            log.record(log.endpoints["127.0.0.1:1"].logged_at + offset_s, "127.0.0.1:1", "noise")
        connection.registry.retain(["127.0.0.1:2"])
        assert not log.endpoints

    run(main())
    assert lines == [
        "backend connection cut off endpoint=127.0.0.1:1 unlogged=0 reason=the chunk framing is too long",
        "backend connection cut off endpoint=127.0.0.1:1 unlogged=2 reason=noise",
    ]
