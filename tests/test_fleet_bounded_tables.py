"""What is kept by names that callers choose, and what is read whole for them: each has a bound."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import cast

import httpcore
import pytest
from pydantic import ValidationError

from hophinge.coordination.counters import CounterSet, Increment
from hophinge.fleet.configuration.document import (
    MAX_FINDINGS,
    DocumentModel,
    InvalidEntries,
    RouteModel,
    validate_document,
)
from hophinge.fleet.configuration.document_limits import DocumentLimits
from hophinge.fleet.dataplane.response_buffers import RESPONSE_COPIES, ResponseBuffers, ResponseReader
from hophinge.fleet.placement.node import MAX_SEGMENTS, PrefixCache, SegmentBudget
from hophinge.fleet.placement.prompt import MAX_NAME_CHARACTERS, parse_prompt
from hophinge.fleet.registry.instance import READY, Instance
from hophinge.fleet.registry.registry import Registry
from hophinge.fleet.emulation.loopback_fleet import configuration_document
from hophinge.fleet.transport.client_memory import MemoryReservation
from tests.connection_wire import RecordedMemory, settle


def _instance(identity: str, service: str = "s") -> Instance:
    return Instance(identity, service, "127.0.0.1:9", "z", "v", 8, READY, "", ())


def test_segments_without_tokens_are_limited_by_their_number() -> None:
    budget = SegmentBudget(MAX_SEGMENTS + 10)
    caches = [PrefixCache(1_000, budget), PrefixCache(1_000, budget)]
    for index in range(MAX_SEGMENTS + 500):
        for cache in caches:
            cache.insert_pending(((f"{index:x}", 0),), index)
    assert len(caches[0].segments) <= MAX_SEGMENTS
    assert sum(len(cache.segments) for cache in caches) == budget.used <= budget.max_segments + 2
    assert all(cache.pending_jobs.keys() <= cache.segments.keys() for cache in caches)
    newest = f"{MAX_SEGMENTS + 499:x}"
    assert all(newest in cache.segments for cache in caches), "the latest prompt is kept in any case"
    for cache in caches:
        cache.clear()
    assert budget.used == 0


def test_the_segments_of_a_cancelled_job_are_no_longer_counted() -> None:
    budget = SegmentBudget(10)
    cache = PrefixCache(1_000, budget)
    cache.insert((("a", 5),))
    cache.insert_pending((("a", 5), ("b", 7)), 1)
    cache.cancel(1)
    assert (budget.used, cache.used_tokens) == (1, 5)


def test_a_long_segment_name_is_kept_as_its_digest() -> None:
    long = "x" * 10_000
    first, second = (parse_prompt("9,2", f"a:4,{long}{end}:5") for end in ("", "y"))
    names = [prompt.segments[1][0] for prompt in (first, second)]
    assert names[0] != names[1] and all(len(name) <= MAX_NAME_CHARACTERS for name in names)
    assert parse_prompt("9,2", f"a:4,{long}:5") == first
    short = "f" * MAX_NAME_CHARACTERS
    assert parse_prompt("9,2", f"{short}:5").segments == ((short, 5),)


def test_unknown_instances_register_and_unregister_only_while_there_is_room() -> None:
    registry = Registry(1.0, 0.0, max_instances=2)
    for name in ("a", "b"):
        assert registry.has_room_for(name)
        registry.record_heartbeat(0.0, _instance(name), 1)
    assert not registry.has_room_for("c") and registry.has_room_for("a"), "known ones go on"
    for name in ("x", "y"):
        assert registry.may_unregister(name)
        registry.unregister(0.0, name)
    assert not registry.may_unregister("z")
    assert registry.may_unregister("a") and registry.may_unregister("x")
    registry.unregister(0.0, "a")
    assert registry.has_room_for("c")


def test_a_document_of_many_invalid_entries_is_not_validated_to_its_end() -> None:
    entries = 20_000
    body = b'{"version":2,"routes":[' + b",".join([b"{}"] * entries) + b'],"services":[]}'
    invalid = InvalidEntries()
    with pytest.raises(ValidationError) as raised:
        DocumentModel.model_validate_json(body, context=invalid)
    assert raised.value.error_count() <= MAX_FINDINGS * len(RouteModel.model_fields)
    assert invalid.count == MAX_FINDINGS
    result = validate_document(body)
    assert result.is_error() and len(result.error) == MAX_FINDINGS


def test_one_invalid_entry_among_many_is_still_found_with_its_place() -> None:
    raw = json.loads(configuration_document(2, [(f"/p{number}/", "safe", "plain") for number in range(500)]))
    raw["routes"][437]["max-attempts"] = 0
    result = validate_document(json.dumps(raw).encode())
    assert result.is_error() and [finding.path for finding in result.error] == ["routes.437.max-attempts"]


def test_a_document_s_values_are_counted_by_what_stands_before_them() -> None:
    limits = DocumentLimits(1_000, 5)
    assert not limits.has_too_many_values(b'{"a":[1,2,3]}')
    assert limits.has_too_many_values(b'{"a":[1,2,3,4,5]}')
    machine = DocumentLimits.of_machine(300 << 20)
    routes = [(f"/p{number}/", "safe", "plain") for number in range(20_000)]
    body = configuration_document(2, routes)
    assert len(body) < machine.max_bytes and not machine.has_too_many_values(body)


def test_the_names_of_increments_are_counted() -> None:
    counters = CounterSet()
    counters.merge(Increment("id-1", "name", 1))
    counters.merge(Increment("id-1", "name", 1))
    assert counters.name_bytes == 8
    counters.merge(Increment("id-1", "n", 1))
    assert counters.name_bytes == sum(len(one.identifier) + len(one.counter) for one in counters.increments())


UNLIMITED = 1 << 40


class _Response:
    """A response whose chunks are released one by one."""

    def __init__(self, chunks: int, size: int) -> None:
        self.chunks, self.size = chunks, size
        self.given = 0

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        for _ in range(self.chunks):
            self.given += 1
            yield bytes(self.size)
            await asyncio.sleep(0)


def test_beyond_the_limit_only_the_oldest_response_is_read_on() -> None:
    async def play() -> None:
        buffers = ResponseBuffers(100 * RESPONSE_COPIES, UNLIMITED)
        gate = asyncio.Event()
        responses = [_Response(10, 30) for _ in range(4)]
        memory = RecordedMemory()

        async def read(response: _Response) -> int:
            with MemoryReservation(memory) as reservation, ResponseReader(buffers, reservation, "i") as reader:
                size = len(await reader.read(cast(httpcore.Response, response)))
                await gate.wait()
                return size

        tasks = [asyncio.create_task(read(response)) for response in responses]
        await settle()
        assert responses[0].given == 10 and all(response.given < 5 for response in responses[1:])
        gate.set()
        assert await asyncio.gather(*tasks) == [300] * 4
        assert buffers.used == 0 and memory.reserved == 0

    asyncio.run(play())


def test_a_response_that_is_given_up_lets_the_next_one_go_on() -> None:
    async def play() -> None:
        buffers = ResponseBuffers(10, UNLIMITED)
        responses = [_Response(1_000_000, 30), _Response(5, 30)]

        async def read(response: _Response) -> int:
            with (
                MemoryReservation(RecordedMemory()) as reservation,
                ResponseReader(buffers, reservation, "i") as reader,
            ):
                return len(await reader.read(cast(httpcore.Response, response)))

        first, second = [asyncio.create_task(read(response)) for response in responses]
        await settle()
        assert not second.done()
        first.cancel()
        assert await second == 150 and buffers.used == 0

    asyncio.run(play())
