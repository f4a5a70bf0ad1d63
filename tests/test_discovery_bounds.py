"""What a head in service and its command line read of other processes is bounded, also where it has no end."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import itertools
import json
from pathlib import Path
from typing import Any, cast

import pytest
import typer

from hophinge.cli.tenant_commands import MAX_ANSWER_BYTES, call_admin_api
from hophinge.core.counters import Counters
from hophinge.net.discovery import MAX_LISTING_BYTES, DiscoveryWatch
from types import SimpleNamespace

BOUND_S = 20.0
PIECE = b"x" * 65_536
HEADER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
BY_LENGTH = HEADER + b"Content-Length: 1000000000000\r\n\r\n", PIECE
BY_CHUNKS = HEADER + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"
BY_CLOSE = HEADER + b"Connection: close\r\n\r\n", PIECE
ZEROS = gzip.compress(bytes(4 * MAX_LISTING_BYTES))
COMPRESSED = HEADER + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(ZEROS) + ZEROS
MAX_TAKEN_BYTES = MAX_LISTING_BYTES + (16 << 20)  # with what the kernel's buffers hold


async def _fault(begin: bytes, piece: bytes) -> tuple[str, int]:
    """Return what a watch logs of an agent, and how many bytes it took from one answer at most."""
    taken, faults = [0], asyncio.Queue[str]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sent = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for data in itertools.chain([begin], itertools.repeat(piece) if piece else []):
                writer.write(data)
                await writer.drain()
                sent += len(data)
                taken.append(sent)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    directory = cast(Any, SimpleNamespace(endpoints={}))
    watch = DiscoveryWatch("", directory, lambda listing: None, Counters(), log=faults.put_nowait)
    watch.follow(f"{host}:{port}")
    try:
        async with asyncio.timeout(BOUND_S):
            fault = await faults.get()
    finally:
        await watch.close()
        server.close()
    return fault, max(taken)


@pytest.mark.parametrize(("begin", "piece"), [BY_LENGTH, BY_CHUNKS, BY_CLOSE], ids=["length", "chunks", "close"])
def test_the_command_line_gives_up_an_answer_without_end(
    begin: bytes, piece: bytes, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "token").write_text("t")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            while True:
                writer.write(piece)
                await writer.drain()
        writer.close()

    async def play() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        with pytest.raises(typer.Exit):
            await asyncio.to_thread(call_admin_api, f"http://{host}:{port}", tmp_path / "token", "GET", "/v1/tenants")
        server.close()

    asyncio.run(asyncio.wait_for(play(), BOUND_S))
    assert f"an answer of more than {MAX_ANSWER_BYTES} bytes" in capsys.readouterr().err


# Guards against a head in service that keeps a list without end until it runs out of memory.
@pytest.mark.parametrize(("begin", "piece"), [BY_LENGTH, BY_CHUNKS, BY_CLOSE], ids=["length", "chunks", "close"])
def test_a_list_without_end_is_given_up(begin: bytes, piece: bytes) -> None:
    fault, taken = asyncio.run(_fault(begin, piece))
    assert f"an answer of more than {MAX_LISTING_BYTES} bytes" in fault
    assert taken < MAX_TAKEN_BYTES


def test_a_compressed_list_is_not_expanded() -> None:
    """Guards against an answer of a few kilobytes that takes gigabytes."""
    fault, _ = asyncio.run(_fault(COMPRESSED, b""))
    assert "JSON" in fault or "Decode" in fault


def test_a_list_as_large_as_it_may_be_is_read() -> None:
    row = {"uid": "u", "endpoint": "127.0.0.1:80", "state": "Ready", "az": "z" * 100}
    listing = json.dumps({"rev": 3, "targets": [row] * 40_000}).encode()
    assert MAX_LISTING_BYTES * 3 / 4 < len(listing) < MAX_LISTING_BYTES

    async def play() -> tuple[object, ...]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEADER + b"Content-Length: %d\r\n\r\n" % len(listing) + listing)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        watch = DiscoveryWatch("", cast(Any, SimpleNamespace(endpoints={})), lambda listing: None, Counters())
        async with asyncio.timeout(BOUND_S):
            read, skipped = await watch._request(f"http://{host}:{port}/v1/servers")
        await watch.close()
        server.close()
        return read.rev, len(read.targets), skipped

    assert asyncio.run(play()) == (3, 40_000, 0)
