"""The control API before its chain: which changes are judged there, and which are rejected at once."""

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
from tests.odd_documents import proper_document

VERSION = 7


class _Chain:
    """Stands for the chain: records the changes that reach it, and applies all."""

    def __init__(self) -> None:
        self.changes: list[Change | None] = []

    async def request(self, _key: str, change: Change | None, _timeout_s: float) -> ClientResponse:
        self.changes.append(change)
        return ClientResponse(1, Outcome.APPLIED)


class _SoftState:
    """Stands for a member's soft state: what was disseminated."""

    def __init__(self) -> None:
        self.dissemination = self
        self.store = GossipStore()


def _put(body: bytes, base: bytes, in_force: bytes | None = None) -> tuple[int, dict[str, Any], _Chain]:
    """Send a configuration to a member, where another one may be in force; return the status, its body, the chain."""
    chain, soft_state, messages = _Chain(), _SoftState(), []
    if in_force is not None:
        soft_state.store.store_if_newer(0.0, configuration_record(3, in_force))

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        messages.append(message)

    scope = {"type": "http", "method": "PUT", "path": CONFIGURATION_PATH, "headers": [(b"if-match", base)]}
    api = ControlApi(cast(Any, chain), cast(Any, soft_state))
    asyncio.run(api(cast(Any, scope), cast(Any, receive), cast(Any, send)))
    content = b"".join(message.get("body", b"") for message in messages)
    return messages[0]["status"], json.loads(content), chain


def _odd() -> bytes:
    document = proper_document(VERSION)
    document["routes"][0]["timeout-ms"] = "4000"
    return json.dumps(document).encode()


def test_a_valid_change_is_judged_by_the_chain() -> None:
    body = json.dumps(proper_document(VERSION)).encode()
    status, _, chain = _put(body, b"6")
    (change,) = chain.changes
    assert status == 200
    assert change is not None
    assert (change.key, change.base, change.version, change.payload) == (RECORD_KEY, 6, VERSION, body)


def test_an_invalid_change_is_rejected_with_the_field() -> None:
    status, answer, chain = _put(_odd(), b"6")
    assert status == 400
    assert [finding.split(":")[0] for finding in answer["findings"]] == ["routes.0.timeout-ms"]
    assert not chain.changes


def test_a_change_that_an_older_version_took_is_not_refused_when_it_is_sent_again() -> None:
    """Guards against a 400 to an acknowledged change, sent again while members are upgraded one by one."""
    status, answer, chain = _put(_odd(), b"6", in_force=_odd())
    assert (status, answer) == (200, {"version": VERSION})
    assert len(chain.changes) == 1


@pytest.mark.parametrize("base", [b"", b"x", b"-1", "\u00b2".encode("latin-1"), b"9" * 5_000])
def test_a_base_that_is_no_version_is_rejected(base: bytes) -> None:
    """Guards against 500 for digits that are not ASCII, and for more of them than are converted."""
    status, answer, chain = _put(json.dumps(proper_document(VERSION)).encode(), base)
    assert status == 400
    assert "If-Match" in answer["error"]
    assert not chain.changes
