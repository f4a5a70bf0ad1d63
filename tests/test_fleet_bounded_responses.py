"""Limits on what a response may cost its reader: bytes held, work in one turn of the event loop, and whole time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import cappa
import httpcore
import pytest

from hophinge.fleet.cli.commands import EXIT_UNREACHABLE, main
from hophinge.fleet.controlplane.report_backoff import INITIAL_BACKOFF_S, MAX_BACKOFF_S, ReportBackoffs
from hophinge.fleet.controlplane.report_collector import REQUEST_TIMEOUT_S, ReportCollector
from hophinge.fleet.controlplane.stage_controller import ORDER_TIMEOUT_S, _post_order
from hophinge.fleet.dataplane.response_buffers import (
    FREE_CHUNKS,
    MIN_MEAN_CHUNK_BYTES,
    RESPONSE_COPIES,
    ReaderGroup,
    ResponseBuffers,
    ResponseReader,
)
from hophinge.fleet.emulation.engine import EmulatedEngine
from hophinge.fleet.emulation.instance_server import EmulatedInstance
from hophinge.fleet.forwarding.events import MAX_EVENT_BYTES, EventReader
from hophinge.fleet.placement.hints import EngineReports
from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.stages import StageSwitch, SwitchReason
from hophinge.fleet.registry.instance import READY, Instance
from hophinge.fleet.transport.bounded_call import (
    ShortCall,
    ShortResponse,
    bounded_pool,
    check_stated_length,
    send_short_call,
)
from hophinge.fleet.transport.bounded_stream import (
    FREE_FRAMING_BYTES,
    MAX_HEADER_LINES,
    MAX_PIECE_LINES,
    BoundedStream,
    Limit,
    ResponseLimitError,
)
from hophinge.fleet.transport.client_memory import SMALL_BYTES, MemoryReservation
from hophinge.fleet.transport.loop_turns import MAX_ADMITTED, LoopTurns
from hophinge.fleet.transport.parse_scheduler import TURN_S
from tests.connection_wire import RecordedMemory, settle
from tests.endless_instance import (
    BY_CHUNKS,
    BY_CLOSE,
    BY_DRIP,
    BY_HEADER,
    BY_INTERIM,
    BY_LENGTH,
    BY_NOISE,
    BY_SMALL_CHUNKS,
    BY_SWITCH,
    CallKind,
    EndlessInstance,
    Flood,
)
from tests.response_floods import play_orders
from tests.scripted_instance import EVENTS, STAMP, Connection, ReceivedCall, Script, ScriptedInstance
from tests.test_failures_requests import ROUTES, Client, Play

ORDERS = 40
BOUND_S = 20.0
SHORT_CALL_S = 1.0
MAX_BODY_BYTES = 4_096
FAST_FLOODS = (BY_LENGTH, BY_CHUNKS, BY_CLOSE, BY_SMALL_CHUNKS, BY_INTERIM, BY_HEADER, BY_NOISE, BY_SWITCH)
MIB = 1 << 20


# Guards against what seeded orders of bytes without end cost the request that meets them, and the one after it.
def test_whatever_an_instance_sends_without_end_its_request_ends_and_the_next_one_is_served() -> None:
    tally = asyncio.run(play_orders(0, ORDERS))
    assert tally.faults == []
    assert tally.cut_off > ORDERS / 2
    assert {"limit=body", "limit=header", "limit=framing", "limit=event"} <= tally.limits, tally.limits


# --- one connection ----------------------------------------------------------------------------------------------


class _Received(httpcore.AsyncNetworkStream):
    """A connection on which all bytes arrive at once."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data, self.data = self.data[:max_bytes], self.data[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send nothing."""

    def get_extra_info(self, info: str) -> Any:
        return False


async def _read_all(stream: BoundedStream) -> list[bytes]:
    pieces = []
    while piece := await stream.read(65_536):
        pieces.append(piece)
    return pieces


def test_received_bytes_are_parsed_in_pieces_of_a_bounded_number_of_lines() -> None:
    data = b"1\r\nx\r\n" * 3_000 + b"y" * 200_000
    stream = BoundedStream(_Received(data), LoopTurns())
    stream.begin_body()
    pieces = asyncio.run(_read_all(stream))
    assert b"".join(pieces) == data
    assert max(piece.count(b"\n") for piece in pieces) == MAX_PIECE_LINES
    assert len(pieces) < 120, "bytes without line ends come in large pieces"


@pytest.mark.parametrize("line", [b"a:\r\n", b"HTTP/1.1 103 -\r\n\r\n", b"a: " + b"x" * 1_000 + b"\r\n"])
def test_a_header_is_bounded_with_the_interim_responses_before_it(line: bytes) -> None:
    stream = BoundedStream(_Received(line * 40_000), LoopTurns())
    with pytest.raises(ResponseLimitError) as raised:
        asyncio.run(_read_all(stream))
    assert raised.value.limit is Limit.HEADER


def test_a_header_within_the_limits_passes_on_each_request_of_a_connection() -> None:
    async def play() -> None:
        received = _Received(b"")
        stream = BoundedStream(received, LoopTurns())
        for _ in range(5):
            received.data = b"a: b\r\n" * (MAX_HEADER_LINES - MAX_PIECE_LINES)
            await stream.write(b"GET / HTTP/1.1\r\n\r\n")
            assert len(b"".join(await _read_all(stream))) == 6 * (MAX_HEADER_LINES - MAX_PIECE_LINES)

    asyncio.run(play())


def test_the_framing_of_a_body_is_bounded_but_for_the_latest_piece() -> None:
    async def play() -> None:
        received = _Received(bytes(2 * FREE_FRAMING_BYTES))
        stream = BoundedStream(received, LoopTurns())
        stream.begin_body()
        await stream.read(65_536)
        stream.check_framing(0)  # the bytes may stand behind the response
        received.data = b"x"
        await stream.read(65_536)
        stream.check_framing(FREE_FRAMING_BYTES // 2)
        with pytest.raises(ResponseLimitError) as raised:
            stream.check_framing(0)
        assert raised.value.limit is Limit.FRAMING

    asyncio.run(play())


def test_bytes_that_wait_to_be_parsed_make_an_idle_connection_unusable() -> None:
    async def play() -> None:
        stream = BoundedStream(_Received(b"\n" * 200), LoopTurns())
        assert not stream.get_extra_info("is_readable")
        await stream.read(65_536)
        assert stream.has_unparsed and stream.get_extra_info("is_readable")

    asyncio.run(play())


def test_responses_take_turns_and_other_work_goes_on_between_them() -> None:
    """Guards against an event loop that parses for all responses before it does anything else."""
    work_s, readers = TURN_S / 2, 60

    async def play() -> tuple[int, list[int]]:
        turns, parsed, longest, shares = LoopTurns(), 0, 0, [0] * readers

        async def read(number: int) -> None:
            nonlocal parsed
            for _ in range(4):
                await turns.wait_for_turn()
                until = time.perf_counter() + work_s
                while time.perf_counter() < until:
                    pass
                parsed += 1
                shares[number] += 1

        tasks = [asyncio.create_task(read(number)) for number in range(readers)]
        while not all(task.done() for task in tasks):
            before = parsed
            await asyncio.sleep(0)
            longest = max(longest, parsed - before)
            if parsed == readers + MAX_ADMITTED:
                assert max(shares) - min(shares) <= 2, "each has its turn"
        return longest, shares

    longest, shares = asyncio.run(play())
    assert shares == [4] * readers
    assert longest <= 2 * (TURN_S / work_s + MAX_ADMITTED), f"{longest} pieces were parsed between other work"


def test_a_reader_that_is_cancelled_while_it_waits_takes_no_turn() -> None:
    async def play() -> None:
        turns = LoopTurns()
        await turns.wait_for_turn()
        time.sleep(TURN_S)
        waiting = [asyncio.create_task(turns.wait_for_turn()) for _ in range(3 * MAX_ADMITTED)]
        await asyncio.sleep(0)
        for task in waiting[:-1]:
            task.cancel()
        async with asyncio.timeout(BOUND_S):
            await waiting[-1]

    asyncio.run(play())


# --- short calls -------------------------------------------------------------------------------------------------


@asynccontextmanager
async def _instance(kind: CallKind, flood: Flood | None, identity: str = "i") -> AsyncIterator[EndlessInstance]:
    engine = EmulatedEngine(identity, "decode")
    instance = EndlessInstance(engine, "models", "127.0.0.1", "z", {})
    await instance.start()
    instance.flood_calls(kind, flood)
    try:
        yield instance
    finally:
        instance.close()


async def _settled(instance: EndlessInstance) -> None:
    """Wait until the instance has noticed that its connections are closed."""
    async with asyncio.timeout(BOUND_S):
        while instance.result.open:
            await asyncio.sleep(0.01)


async def _call(instance: EndlessInstance, timeout_s: float) -> ShortResponse:
    call = ShortCall("GET", f"http://{instance.address}/v1/report", timeout_s, MAX_BODY_BYTES, [])
    async with bounded_pool() as pool:
        return await send_short_call(pool, call)


@pytest.mark.parametrize("flood", FAST_FLOODS, ids=lambda flood: flood.name)
def test_a_short_call_ends_at_its_limits(flood: Flood) -> None:
    async def play() -> None:
        async with _instance(CallKind.REPORT, flood) as instance:
            with pytest.raises(httpcore.RemoteProtocolError):
                await _call(instance, BOUND_S)
            await _settled(instance)
            assert instance.result.sent_bytes < 16 * MIB

    asyncio.run(play())


def test_a_short_call_ends_in_time_though_each_byte_arrives_in_time() -> None:
    async def play() -> None:
        async with _instance(CallKind.REPORT, BY_DRIP) as instance:
            began_at = asyncio.get_running_loop().time()
            with pytest.raises(ResponseLimitError) as raised:
                await _call(instance, SHORT_CALL_S)
            assert raised.value.limit is Limit.TIME
            assert asyncio.get_running_loop().time() - began_at < SHORT_CALL_S + BOUND_S / 4
            await _settled(instance)

    asyncio.run(play())


def test_a_short_response_passes_up_to_its_limit() -> None:
    async def play(length: int, piece: bytes) -> ShortResponse:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 103 -\r\n\r\n" * 8)
            writer.write(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) * (length // len(piece)) + b"0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        async with server, bounded_pool() as pool:
            call = ShortCall("GET", f"http://{host}:{port}/", BOUND_S, MAX_BODY_BYTES, [])
            return await send_short_call(pool, call)

    for piece in (b"x", b"xy", b"x" * MAX_BODY_BYTES):
        assert asyncio.run(play(MAX_BODY_BYTES, piece)).body == MAX_BODY_BYTES // len(piece) * piece
        with pytest.raises(ResponseLimitError):
            asyncio.run(play(MAX_BODY_BYTES + len(piece), piece))


def test_only_a_response_with_a_body_has_its_stated_length_checked() -> None:
    response = httpcore.Response(200, headers=[(b"Content-Length", b"101")])
    check_stated_length(b"HEAD", response, 100)
    check_stated_length(b"GET", httpcore.Response(304, headers=response.headers), 100)
    check_stated_length(b"GET", response, 101)
    with pytest.raises(ResponseLimitError):
        check_stated_length(b"GET", response, 100)


# --- members and the command line --------------------------------------------------------------------------------


class _SoftState:
    """A fake soft state with instances and published reports."""

    def __init__(self, instances: list[Instance]) -> None:
        self.instances = {instance.identity: instance for instance in instances}
        self.published: list[EngineReports] = []

    @property
    def registry(self) -> _SoftState:
        return self

    def publish_hints(self, reports: EngineReports) -> None:
        self.published.append(reports)


def _registered(instance: EmulatedInstance) -> Instance:
    return Instance(instance.engine.identity, "models", instance.address, "z", "v", 8, READY, "decode", ())


@pytest.mark.parametrize("flood", [*FAST_FLOODS, BY_DRIP], ids=lambda flood: flood.name)
def test_a_report_without_end_delays_no_other_and_its_instance_is_not_asked_for_a_while(flood: Flood) -> None:
    async def play() -> None:
        async with _instance(CallKind.REPORT, flood, "bad") as bad, _instance(CallKind.REPORT, None, "good") as good:
            soft_state = _SoftState([_registered(bad), _registered(good)])
            collector = ReportCollector(cast(Any, soft_state), lambda: {"me"}, "me")
            began_at = asyncio.get_running_loop().time()
            for _ in range(2):
                await collector.collect_once()
            assert asyncio.get_running_loop().time() - began_at < 2 * REQUEST_TIMEOUT_S + BOUND_S / 4
            reported = [[report.instance for report in reports.reports] for reports in soft_state.published]
            assert reported == [["good"], ["good"]]
            if flood not in (BY_NOISE, BY_SWITCH):  # rejected by the parser at its first line
                assert bad.result.calls == 1, "it is not asked again for a while"
                assert collector.backoffs.length_s("bad") == INITIAL_BACKOFF_S
            await _settled(bad)
            await collector.pool.aclose()

    asyncio.run(play())


def test_backoffs_grow_and_end_with_a_report_or_with_the_instance() -> None:
    backoffs, now = ReportBackoffs(), 0.0
    lengths = []
    for _ in range(6):
        backoffs.record_response_limit(now, "bad")
        lengths.append(backoffs.length_s("bad"))
        assert not backoffs.may_ask(now + 0.9 * lengths[-1], "bad") and backoffs.may_ask(now, "other")
        now += lengths[-1]
        assert backoffs.may_ask(now, "bad")
    assert lengths[:3] == [INITIAL_BACKOFF_S, 2 * INITIAL_BACKOFF_S, 4 * INITIAL_BACKOFF_S]
    assert lengths[-1] == MAX_BACKOFF_S
    backoffs.record_report("bad")
    assert not backoffs.length_s("bad")
    backoffs.record_response_limit(now, "bad")
    backoffs.retain({"other"})
    assert backoffs.may_ask(now, "bad") and not backoffs.length_s("bad")


def test_a_sound_report_ends_the_backoff_of_its_instance() -> None:
    async def play() -> None:
        async with _instance(CallKind.REPORT, BY_CHUNKS, "bad") as bad:
            soft_state = _SoftState([_registered(bad)])
            collector = ReportCollector(cast(Any, soft_state), lambda: {"me"}, "me")
            await collector.collect_once()
            assert collector.backoffs.length_s("bad") and not soft_state.published
            bad.flood_calls(CallKind.REPORT, None)
            collector.backoffs.record_response_limit(-1_000.0, "bad")  # long ago
            await collector.collect_once()
            assert not collector.backoffs.length_s("bad") and soft_state.published
            bad.flood_calls(CallKind.REPORT, BY_CHUNKS)
            await collector.collect_once()
            assert collector.backoffs.length_s("bad")
            soft_state.instances.clear()
            await collector.collect_once()
            assert not collector.backoffs.length_s("bad")
            await collector.pool.aclose()

    asyncio.run(play())


@pytest.mark.parametrize("flood", [*FAST_FLOODS, BY_DRIP], ids=lambda flood: flood.name)
def test_a_response_without_end_to_a_stage_order_is_none(flood: Flood) -> None:
    async def play() -> None:
        async with _instance(CallKind.ORDER, flood) as instance:
            switch = StageSwitch(_registered(instance), "prefill", SwitchReason.LOAD)
            began_at = asyncio.get_running_loop().time()
            assert await _post_order(switch, "me", 1) is None
            assert asyncio.get_running_loop().time() - began_at < ORDER_TIMEOUT_S + BOUND_S / 4
            await _settled(instance)
            assert instance.result.calls == 1, "an order is sent once"

    asyncio.run(play())


@pytest.mark.parametrize("flood", [BY_LENGTH, BY_SMALL_CHUNKS, BY_DRIP], ids=lambda flood: flood.name)
def test_the_command_line_gives_up_an_answer_without_end(flood: Flood, capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> cappa.Exit | SystemExit:
        async with _instance(CallKind.REQUEST, flood) as instance:
            with pytest.raises((cappa.Exit, SystemExit)) as raised:
                await asyncio.to_thread(main, ["show", instance.address])
            await _settled(instance)
            return raised.value

    assert asyncio.run(asyncio.wait_for(play(), BOUND_S)).code == EXIT_UNREACHABLE
    assert "does not answer: ResponseLimitError" in capsys.readouterr().err


# --- what heads hold ---------------------------------------------------------------------------------------------


def test_an_event_is_bounded_and_events_up_to_the_limit_pass() -> None:
    reader = EventReader()
    event = b"data: " + b"x" * (MAX_EVENT_BYTES - 10) + b"\n\n"
    passed = [reader.feed(event[begin : begin + 4_096]) for begin in range(0, len(event), 4_096)]
    assert b"".join(passed) == event and not reader.is_event_too_long
    for _ in range(MAX_EVENT_BYTES // 1_000):
        reader.feed(b"data: " + b"x" * 993 + b"\n")
        assert not reader.is_event_too_long
    reader.feed(b"data: " + b"x" * 993 + b"\n")
    assert reader.is_event_too_long


@pytest.mark.parametrize("end", [b"\n\n", b"\n\r\n", b"\r\r", b"\r\n\r\n"])
def test_an_event_is_complete_wherever_the_bytes_of_its_end_are_divided(end: bytes) -> None:
    stream = b"id: 1\ndata: a" + end + b"id: 2\ndata: b" + end
    for size in range(1, len(stream)):
        reader = EventReader()
        passed = b"".join(reader.feed(stream[begin : begin + size]) for begin in range(0, len(stream), size))
        assert (passed, reader.latest_id, reader.buffer.strip(b"\r\n")) == (stream[: len(passed)], "2", b"")


class _Body:
    """A response of one instance, in chunks."""

    def __init__(self, chunks: int, size: int) -> None:
        self.chunks, self.size = chunks, size

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        for _ in range(self.chunks):
            yield bytes(self.size)
            await asyncio.sleep(0)


async def _read(buffers: ResponseBuffers, instance: str, body: _Body, gate: asyncio.Event | None = None) -> int:
    with (
        MemoryReservation(RecordedMemory()) as reservation,
        ResponseReader(buffers, reservation, instance) as reader,
    ):
        size = len(await reader.read(cast(httpcore.Response, body)))
        if gate is not None:
            await gate.wait()
        return size


def test_a_response_is_bounded_and_one_up_to_the_limit_passes() -> None:
    async def play() -> None:
        buffers = ResponseBuffers(1 << 40, 1_000)
        assert await _read(buffers, "i", _Body(10, 100)) == 1_000
        with pytest.raises(ResponseLimitError) as raised:
            await _read(buffers, "i", _Body(1_000_000, 100))
        assert raised.value.limit is Limit.BODY and raised.value.received_bytes <= 1_100
        assert buffers.used == 0 and not buffers.by_instance

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


def test_a_body_is_bounded_in_chunks_and_one_of_small_chunks_up_to_the_limit_passes() -> None:
    async def play(chunks: int, size: int) -> int:
        return await _read(ResponseBuffers(1 << 40, 1 << 40), "i", _Body(chunks, size))

    assert asyncio.run(play(FREE_CHUNKS, 1)) == FREE_CHUNKS
    assert asyncio.run(play(4 * FREE_CHUNKS, MIN_MEAN_CHUNK_BYTES)) == 4 * FREE_CHUNKS * MIN_MEAN_CHUNK_BYTES
    for size in (2, MIN_MEAN_CHUNK_BYTES // 2):
        with pytest.raises(ResponseLimitError) as raised:
            asyncio.run(play(4 * FREE_CHUNKS, size))
        assert raised.value.limit is Limit.FRAMING


def test_an_instance_that_fills_its_limit_delays_no_response_of_another() -> None:
    async def play() -> None:
        buffers = ResponseBuffers.of_machine(512 * MIB)
        gate = asyncio.Event()
        largest = _Body(buffers.max_response_bytes // MIB, MIB)
        flood = [asyncio.create_task(_read(buffers, "flood", largest, gate)) for _ in range(4)]
        await settle()
        held = buffers.by_instance["flood"]
        assert held.used > held.max_bytes
        assert await _read(buffers, "other", _Body(8, 512 * 1_024)) == 4 * MIB
        assert await _read(buffers, "small", _Body(3, 1_000)) == 3_000
        assert not any(task.done() for task in flood)
        for task in flood:
            task.cancel()
        await asyncio.gather(*flood, return_exceptions=True)
        assert buffers.used == 0

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


# Guards against 503 for other clients while instances send without end.
def test_only_a_complete_response_counts_against_the_memory_for_clients() -> None:
    async def play() -> None:
        memory, buffers = RecordedMemory(), ResponseBuffers(1 << 40, 1_000)
        with MemoryReservation(memory) as reservation:
            with pytest.raises(ResponseLimitError), ResponseReader(buffers, reservation, "i") as reader:
                await reader.read(cast(httpcore.Response, _Body(1_000_000, 100)))
            assert memory.reserved == 0
            with ResponseReader(buffers, reservation, "i") as reader:
                await reader.read(cast(httpcore.Response, _Body(10, 100)))
            assert memory.reserved == RESPONSE_COPIES * 1_000
        assert memory.reserved == 0

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


def test_a_small_response_does_not_wait_until_the_reserve_is_used_up() -> None:
    async def play() -> None:
        buffers = ResponseBuffers(100 * SMALL_BYTES, 1 << 40)
        buffers.by_instance["i"] = ReaderGroup(0)
        with MemoryReservation(RecordedMemory()) as reservation:
            readers = [ResponseReader(buffers, reservation, "i") for _ in range(3)]
            for reader in readers:
                buffers.add(reader)
            buffers.hold(readers[1], 101 * SMALL_BYTES)
            buffers.hold(readers[2], SMALL_BYTES)
            assert buffers._may_read_on(readers[2]) and not buffers._may_read_on(readers[1])
            buffers.hold(readers[1], 100 * SMALL_BYTES)
            assert not buffers._may_read_on(readers[2]) and buffers._may_read_on(readers[0])

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


def test_an_instance_over_a_limit_is_ejected_whatever_else_it_answers() -> None:
    node = Node(Instance("i", "s", "127.0.0.1:9", "z", "v", 8, READY, "", ()))
    node.record_answer(10.0)
    node.record_response_limit(10.1)
    node.record_answer(10.2)
    assert node.is_ejected(10.3) and not node.is_ejected(20.0)


# Guards against a stream that is resumed behind events that its client never got.
def test_a_stream_that_is_cut_off_for_an_event_is_resumed_behind_the_events_that_were_sent() -> None:
    async def play() -> tuple[Client, Script]:
        async def ending(script: Script, connection: Connection, call: ReceivedCall) -> bool:
            script.ran(call)
            header = b"HTTP/1.1 200 X\r\nHophinge-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\n\r\n"
            connection.say(header % (call.name.encode(), STAMP))
            connection.say(b"id: 1\ndata: x\n\nid: 2\ndata: x\n\ndata: " + bytes(2 * MAX_EVENT_BYTES))
            await connection.reader.read()
            return False

        script = Script(ending, "", "stream-1")
        instances = [ScriptedInstance(f"i-{number}", "", script) for number in range(2)]
        for instance in instances:
            await instance.listen()
        scripted = Play(script, instances)
        client = await scripted.request("stream-1", ROUTES["stream-resumable"], left_s=BOUND_S)
        await scripted.upstream.close()
        for instance in instances:
            await instance.close()
        return client, script

    client, script = asyncio.run(asyncio.wait_for(play(), BOUND_S))
    assert client.whole and client.body == b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1))
    assert [call.first_event for call in script.arrivals] == [1, 3]
