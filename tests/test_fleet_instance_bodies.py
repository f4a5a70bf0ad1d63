"""Bodies sent by instances: an invalid heartbeat is rejected naming the field, an invalid handle counts as none."""

from __future__ import annotations

import json

import pytest
from pydantic import ValidationError

from hophinge.fleet.controlplane.schemas import HeartbeatBody
from hophinge.fleet.forwarding.prefill_response import parse_handle
from hophinge.fleet.registry.registry import UNREGISTERED_SEQUENCE

HEARTBEAT = {"service": "s", "address": "10.128.0.9:8080", "slots": 64, "sequence": 4}


def test_a_heartbeat_is_parsed() -> None:
    assert HeartbeatBody.model_validate(HEARTBEAT).address == "10.128.0.9:8080"


@pytest.mark.parametrize(
    "address", ["host:80", "10.0.0:80", "10.0.0.256:80", "10.0.0.1:0", "10.0.0.1:65536", "a/b:80", "[::1]:80", ":80"]
)
def test_an_address_that_cannot_be_connected_to_is_rejected(address: str) -> None:
    """Guards against calls that need a name lookup, and against a URL that refers to another host."""
    with pytest.raises(ValidationError) as raised:
        HeartbeatBody.model_validate({**HEARTBEAT, "address": address})
    assert [detail["loc"] for detail in raised.value.errors()] == [("address",)]


@pytest.mark.parametrize("sequence", [-1, UNREGISTERED_SEQUENCE, 10**30])
def test_a_sequence_that_nothing_can_follow_is_rejected(sequence: int) -> None:
    """Guards against an instance that can never unregister: its tombstone would be older than its record."""
    with pytest.raises(ValidationError) as raised:
        HeartbeatBody.model_validate({**HEARTBEAT, "sequence": sequence})
    assert [detail["loc"] for detail in raised.value.errors()] == [("sequence",)]


def test_a_handle_is_parsed() -> None:
    assert parse_handle(b'{"prefill-handle":"3fa09c41b7d5","tokens":1460,"version":1}') == "3fa09c41b7d5"
    assert parse_handle(b'{"prefill-handle":"h","tokens":Infinity}') == "h"


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b"\xff", b"[" * 100_000]
    + [
        json.dumps({"prefill-handle": handle}).encode()
        for handle in (None, 7, "", " ", "a b", "a\r\nX: y", "a/b", "\u00e9", "\ud800", "h" * 257)
    ],
)
def test_a_handle_that_cannot_be_forwarded_is_none(body: bytes) -> None:
    """Guards against an instance's body that causes status 500 for a client, or injects a line into a header."""
    assert parse_handle(body) is None
