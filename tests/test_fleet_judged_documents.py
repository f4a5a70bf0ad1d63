"""A control member validates each document once; processes log stalls of their event loops."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator

import pytest
from loguru import logger

from hophinge.fleet.configuration import judged_documents
from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.configuration.judged_documents import MAX_DOCUMENTS, ValidationCache
from hophinge.fleet.event_loop import STALL_S, log_stall
from hophinge.fleet.program import call_periodically
from tests.odd_documents import complete_document


@pytest.fixture
def validated(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Return a list that records the documents that are validated."""
    documents: list[bytes] = []

    def record(document: bytes) -> object:
        documents.append(document)
        return validate_document(document)

    monkeypatch.setattr(judged_documents, "validate_document", record)
    return documents


@pytest.fixture
def events() -> Iterator[list[str]]:
    """Return a list that records the log lines."""
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(message.record["message"]))
    yield lines
    logger.remove(sink)


def _document(version: int, timeout_ms: object = 4_000) -> bytes:
    document = complete_document(version)
    document["routes"][0]["timeout-ms"] = timeout_ms
    return json.dumps(document).encode()


@pytest.mark.parametrize(("timeout_ms", "is_valid"), [(4_000, True), ("4000", False)])
def test_a_document_sent_again_is_not_validated_again(
    timeout_ms: object, is_valid: bool, validated: list[bytes]
) -> None:
    cache = ValidationCache()
    results = [cache.validate(_document(7, timeout_ms)) for _ in range(3)]
    assert [result.is_ok() for result in results] == [is_valid] * 3
    assert len(validated) == 1
    if is_valid:
        assert results[-1].ok == 7
    else:
        assert results[-1].error == results[0].error


def test_documents_that_differ_in_one_byte_are_validated_separately(validated: list[bytes]) -> None:
    cache = ValidationCache()
    assert [cache.validate(_document(7, timeout_ms)).is_ok() for timeout_ms in (4_000, 4_001, "4000")] == [
        True,
        True,
        False,
    ]
    assert len(validated) == 3


def test_a_committed_document_is_valid_even_if_this_release_would_reject_it(validated: list[bytes]) -> None:
    """Another member may have accepted the document under older rules; a retry at this member must not be rejected."""
    cache = ValidationCache()
    invalid = _document(7, "4000")
    assert cache.validate(invalid).is_error()
    cache.add_committed(invalid, 7)
    assert cache.validate(invalid).ok == 7
    cache.add_committed(_document(8), 8)
    assert cache.validate(_document(8)).ok == 8
    assert validated == [invalid]


def test_the_cache_keeps_the_most_recently_used_results(validated: list[bytes]) -> None:
    cache = ValidationCache()
    for version in range(1, MAX_DOCUMENTS + 2):
        cache.validate(_document(version))
    cache.validate(_document(2))
    assert len(validated) == MAX_DOCUMENTS + 1, "version 2 is cached"
    cache.validate(_document(1))
    assert len(validated) == MAX_DOCUMENTS + 2, "version 1 was evicted"


def test_an_event_loop_stall_is_logged_with_its_duration(events: list[str]) -> None:
    async def run() -> None:
        task = asyncio.create_task(call_periodically(0.01, lambda: None, on_late=log_stall))
        await asyncio.sleep(0.05)
        time.sleep(3 * STALL_S)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    stalls = [float(event.rpartition("=")[2]) for event in events if event.startswith("event loop stalled late_ms=")]
    assert max(stalls, default=0.0) > 2 * STALL_S * 1_000


def test_a_short_delay_of_a_step_is_not_logged(events: list[str]) -> None:
    log_stall(STALL_S / 2)
    assert events == []
    log_stall(STALL_S * 2)
    assert events == ["event loop stalled late_ms=200"]
