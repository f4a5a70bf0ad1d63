"""What a head reads in header fields of clients and instances."""

from __future__ import annotations

import pytest

from hophinge.fleet.forwarding.headers import host_name


@pytest.mark.parametrize(
    ("field", "name"),
    [
        ("a.example", "a.example"),
        ("a.example:80", "a.example"),
        ("10.0.0.1:8080", "10.0.0.1"),
        ("[::1]", "[::1]"),
        ("[::1]:80", "[::1]"),
        ("", ""),
        ("[", ""),
    ],
)
def test_a_host_is_read_without_its_port(field: str, name: str) -> None:
    """Guards against a route with an IPv6 address that no request without a port finds."""
    assert host_name(field) == name
