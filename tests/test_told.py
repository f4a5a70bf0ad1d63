"""What an agent beside the head has counts as told: answers in every form, spoilt ones, and calls beside each other."""

from __future__ import annotations

import asyncio
import json
import os
import resource

import pytest

from tests.raw_agent import Send, drained, plain, reset, told_by
from tests.stand_in import run, until


# --- forms


async def in_pieces(writer: asyncio.StreamWriter, body: bytes) -> None:
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body):
        writer.write(bytes([byte]))
        await asyncio.sleep(0)


async def indented(writer: asyncio.StreamWriter, body: bytes) -> None:
    listing = json.loads(body)
    listing = {
        "extra": [[]],
        "targets": [dict(reversed(one.items())) for one in listing["targets"]],
        "all": listing["all"],
        "rev": listing["rev"],
    }
    await plain(writer, json.dumps(listing, indent=4).replace("\n", "\r\n").encode())


async def chunked(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\ntransfer-ENCODING: chunked\r\nTrailer: X-A\r\n\r\n")
    for at in range(0, len(body), 7):
        writer.write(b"%x;name=value\r\n%b\r\n" % (len(body[at : at + 7]), body[at : at + 7]))
    writer.write(b"0\r\nX-A: 1\r\n\r\n")


async def closing(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    writer.close()


async def without_length(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
    writer.close()


async def closed_unsaid(writer: asyncio.StreamWriter, body: bytes) -> None:
    await plain(writer, body)
    writer.close()  # crosses the next call


# --- spoilt ones: the answer that bears the change never comes whole


async def half_and_reset(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:-9]))
    await asyncio.sleep(0.01)
    reset(writer)


async def half_and_silent(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body[:-9]))
    await asyncio.Event().wait()


async def chunks_without_end(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(body), body))
    await asyncio.Event().wait()


async def garbage(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"\x00\xff 200\r\n\r\n")


async def not_json(writer: asyncio.StreamWriter, body: bytes) -> None:
    await plain(writer, body[:-1] + b"\xff")


async def nested(writer: asyncio.StreamWriter, body: bytes) -> None:
    await plain(writer, b'{"rev":9,"targets":[' + b"[" * 100_000 + b"]" * 100_000 + b"]}")


async def refused(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(b"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")


async def reset_at_once(writer: asyncio.StreamWriter, body: bytes) -> None:
    reset(writer)


@pytest.mark.parametrize(
    "send",
    [
        in_pieces,
        indented,
        chunked,
        closing,
        without_length,
        closed_unsaid,
        half_and_reset,
        half_and_silent,
        chunks_without_end,
        garbage,
        not_json,
        nested,
        refused,
        reset_at_once,
    ],
)
def test_a_change_is_heard_in_time_in_whatever_form_and_after_whatever_became_of_its_answer(send: Send) -> None:
    async def main() -> None:
        async with told_by() as (made, agent, service):
            agent.sends = [send]
            await drained(made, agent, service)
            assert agent.sends == []
            await agent.tell(made.backends[1].target("Terminating"))  # and the watch goes on
            await until(lambda: service.exchange.phases["s-1"].value == "draining")

    run(main())


# --- calls beside each other


def test_calls_that_are_open_outlive_one_that_cannot_connect() -> None:
    async def main() -> None:
        async with told_by() as (made, agent, service):
            gate = asyncio.Event()

            async def held(writer: asyncio.StreamWriter, body: bytes) -> None:
                await gate.wait()
                await plain(writer, await agent._body("/v1/servers?since=1&timeout_ms=0"))

            agent.sends = [half_and_silent, *[held] * 8]  # the watch falls silent, then calls go out beside
            await agent.tell()
            await until(lambda: len(agent.sends) <= 6)
            agent.refuse()
            errors = service.counters.counts["discovery_errors"]
            await until(lambda: service.counters.counts["discovery_errors"] >= errors + 2)
            await agent.tell(made.backends[0].target("Terminating"))
            gate.set()
            await until(lambda: service.exchange.phases["s-0"].value == "draining")

    run(main())


def test_a_head_whose_first_call_is_reset_waits_for_its_agent_s_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.head.service.FIRST_LIST_S", 60.0)

    async def main() -> None:
        async with told_by() as (made, agent, before):
            await drained(made, agent, before)
            agent.sends = [reset_at_once] * 3  # one of them the first head's
            service = await made.head(saved=[backend.target() for backend in made.backends])
            assert service.exchange.phases["s-0"].value == "draining"

    run(main())


def test_a_watch_that_finds_no_descriptor_is_back_as_soon_as_there_is_one() -> None:
    async def main() -> None:
        async with told_by() as (made, agent, service):
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            errors = service.counters.counts["discovery_errors"]
            try:
                # Those of the listener and of what is open stay; nothing new comes up.
                resource.setrlimit(resource.RLIMIT_NOFILE, (min(map(int, os.listdir("/proc/self/fd"))), hard))
                agent.sends = [reset_at_once]
                await agent.tell(made.backends[0].target("Terminating"))
                await until(lambda: service.counters.counts["discovery_errors"] >= errors + 4)
                assert service.exchange.phases["s-0"].value == "on"
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            await until(lambda: service.exchange.phases["s-0"].value == "draining")

    run(main())
