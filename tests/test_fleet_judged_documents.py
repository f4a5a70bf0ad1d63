"""Documents are judged once at a control member; processes log how long their event loops stood still for what."""

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
from tests.odd_documents import proper_document


@pytest.fixture
def judged(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """Return the list of the documents that are judged from now on."""
    documents: list[bytes] = []

    def record(document: bytes) -> object:
        documents.append(document)
        return validate_document(document)

    monkeypatch.setattr(judged_documents, "validate_document", record)
    return documents


@pytest.fixture
def events() -> Iterator[list[str]]:
    """Return the list of the log lines from now on."""
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(message.record["message"]))
    yield lines
    logger.remove(sink)


def _document(version: int, timeout_ms: object = 4_000) -> bytes:
    document = proper_document(version)
    document["routes"][0]["timeout-ms"] = timeout_ms
    return json.dumps(document).encode()


@pytest.mark.parametrize(("timeout_ms", "is_valid"), [(4_000, True), ("4000", False)])
def test_a_document_that_is_sent_again_is_not_judged_again(
    timeout_ms: object, is_valid: bool, judged: list[bytes]
) -> None:
    documents = ValidationCache()
    judgements = [documents.validate(_document(7, timeout_ms)) for _ in range(3)]
    assert [judgement.is_ok() for judgement in judgements] == [is_valid] * 3
    assert len(judged) == 1
    if is_valid:
        assert judgements[-1].ok == 7
    else:
        assert judgements[-1].error == judgements[0].error


def test_documents_that_differ_in_one_byte_are_judged_each(judged: list[bytes]) -> None:
    documents = ValidationCache()
    assert [documents.validate(_document(7, timeout_ms)).is_ok() for timeout_ms in (4_000, 4_001, "4000")] == [
        True,
        True,
        False,
    ]
    assert len(judged) == 3


def test_a_committed_document_is_known_also_where_this_version_would_not_take_it(judged: list[bytes]) -> None:
    """Another member judged it, maybe by older rules; sent again to this one, it is not refused."""
    documents = ValidationCache()
    odd = _document(7, "4000")
    assert documents.validate(odd).is_error()
    documents.add_committed(odd, 7)
    assert documents.validate(odd).ok == 7
    documents.add_committed(_document(8), 8)
    assert documents.validate(_document(8)).ok == 8
    assert judged == [odd]


def test_as_many_judgements_as_the_bound_are_remembered_the_latest_ones(judged: list[bytes]) -> None:
    documents = ValidationCache()
    for version in range(1, MAX_DOCUMENTS + 2):
        documents.validate(_document(version))
    documents.validate(_document(2))
    assert len(judged) == MAX_DOCUMENTS + 1, "version 2 is remembered"
    documents.validate(_document(1))
    assert len(judged) == MAX_DOCUMENTS + 2, "version 1 was forgotten"


def test_a_stall_of_the_event_loop_is_logged_with_its_length(events: list[str]) -> None:
    async def run() -> None:
        task = asyncio.create_task(call_periodically(0.01, lambda: None, on_late=log_stall))
        await asyncio.sleep(0.05)
        time.sleep(3 * STALL_S)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    stalls = [float(event.rpartition("=")[2]) for event in events if event.startswith("event loop stalled late_ms=")]
    assert max(stalls, default=0.0) > 2 * STALL_S * 1_000


def test_a_step_that_is_a_little_late_is_not_logged(events: list[str]) -> None:
    log_stall(STALL_S / 2)
    assert events == []
    log_stall(STALL_S * 2)
    assert events == ["event loop stalled late_ms=200"]
