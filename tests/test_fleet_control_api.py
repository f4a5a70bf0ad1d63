"""The configuration API of a control member: valid changes are sent to the chain, invalid ones rejected at once."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from hophinge.coordination.dissemination import GossipStore
from hophinge.coordination.events import ClientResponse
from hophinge.coordination.registers import Change, Outcome
from hophinge.fleet.configuration.record import RECORD_KEY, configuration_record
from hophinge.fleet.controlplane.api import CONFIGURATION_PATH, ControlApi
from hophinge.fleet.transport.connection_context import MEMORY
from tests.connection_wire import RecordedMemory
from tests.odd_documents import complete_document

VERSION = 7


class _Chain:
    """A fake chain that records the changes sent to it, and responds to all of them, and to reads, alike."""

    def __init__(self, outcome: Outcome | None = Outcome.APPLIED, read: ClientResponse | None = None) -> None:
        self.changes: list[Change] = []
        self.outcome = outcome
        self.read = read

    async def request(self, _key: str, change: Change | None, _timeout_s: float) -> ClientResponse:
        if change is None:
            return self.read or ClientResponse(2, None)
        self.changes.append(change)
        return ClientResponse(1, self.outcome)


class _SoftState:
    """A fake soft state with the disseminated records."""

    def __init__(self) -> None:
        self.dissemination = self
        self.store = GossipStore()


def _put(
    body: bytes, base: bytes, committed: bytes | None = None, chain: _Chain | None = None
) -> tuple[int, dict[str, Any], _Chain]:
    """Send a configuration to a member that may have a committed one; return status, response body and the chain."""
    chain, soft_state, messages = chain or _Chain(), _SoftState(), []
    if committed is not None:
        soft_state.store.store_if_newer(0.0, configuration_record(3, committed))

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        messages.append(message)

    scope = {
        "type": "http",
        "method": "PUT",
        "path": CONFIGURATION_PATH,
        "headers": [(b"if-match", base)],
        "state": {MEMORY: RecordedMemory()},
    }
    api = ControlApi(cast(Any, chain), cast(Any, soft_state))
    asyncio.run(api(cast(Any, scope), cast(Any, receive), cast(Any, send)))
    content = b"".join(message.get("body", b"") for message in messages)
    return messages[0]["status"], json.loads(content), chain


def _document_valid_in_an_older_release() -> bytes:
    document = complete_document(VERSION)
    document["routes"][0]["timeout-ms"] = "4000"
    return json.dumps(document).encode()


def test_a_valid_change_is_sent_to_the_chain() -> None:
    body = json.dumps(complete_document(VERSION)).encode()
    status, _, chain = _put(body, b"6")
    (change,) = chain.changes
    assert status == 200
    assert (change.key, change.base, change.version, change.payload) == (RECORD_KEY, 6, VERSION, body)


def test_an_invalid_change_is_rejected_with_the_field() -> None:
    status, answer, chain = _put(_document_valid_in_an_older_release(), b"6")
    assert status == 400
    assert [finding.split(":")[0] for finding in answer["findings"]] == ["routes.0.timeout-ms"]
    assert not chain.changes


def test_a_change_accepted_by_an_older_release_is_accepted_when_retried() -> None:
    """Guards against a 400 response to the retry of an acknowledged change during a rolling upgrade."""
    status, answer, chain = _put(
        _document_valid_in_an_older_release(), b"6", committed=_document_valid_in_an_older_release()
    )
    assert (status, answer) == (200, {"version": VERSION})
    assert len(chain.changes) == 1


@pytest.mark.parametrize("base", [b"", b"x", b"-1", "\u00b2".encode("latin-1"), b"9" * 5_000])
def test_an_invalid_base_version_is_rejected(base: bytes) -> None:
    """Guards against a 500 response to digits outside ASCII, and to more digits than `int` converts."""
    status, answer, chain = _put(json.dumps(complete_document(VERSION)).encode(), base)
    assert status == 400
    assert "If-Match" in answer["error"]
    assert not chain.changes


@pytest.mark.parametrize(("read_version", "is_named"), [(4, True), (6, False), (None, False)])
def test_a_change_without_an_outcome_is_unavailable_and_names_the_version_if_its_base_is_still_to_come(
    read_version: int | None, is_named: bool
) -> None:
    """A wrong If-Match above the current version got a text from which nobody could tell what was wrong."""
    read = None if read_version is None else ClientResponse(2, Outcome.VALUE, read_version)
    chain = _Chain(None, read)
    status, answer, _ = _put(json.dumps(complete_document(VERSION)).encode(), b"6", chain=chain)
    assert status == 503
    assert answer.get("version") == (read_version if is_named else None)
    assert ("version 6 is still to come, the current version is 4" in answer["error"]) == is_named
    assert ("unknown whether the change was applied" in answer["error"]) != is_named
