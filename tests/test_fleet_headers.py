"""Parsing of header fields from clients and instances."""

from __future__ import annotations

import pytest

from hophinge.fleet.forwarding.headers import host_name, keep_alive_timeout_s
from hophinge.fleet.numerals import parse_decimal
from hophinge.fleet.placement.prompt import parse_prompt


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
    """Guards against a route with an IPv6 address that is not found by a request without a port."""
    assert host_name(field) == name


INVALID_DECIMALS = [
    "",
    " ",
    "-1",
    "+1",
    "1.5",
    "0x1",
    "1_0",
    "nan",
    "inf",
    "\u00b2",
    "\u00b9\u00b2",
    "9" * 19,
    "9" * 5_000,
]


@pytest.mark.parametrize(("text", "number"), [("0", 0), (" 17 ", 17), ("007", 7), ("9" * 18, 10**18 - 1)])
def test_a_decimal_is_parsed(text: str, number: int) -> None:
    assert parse_decimal(text) == number


@pytest.mark.parametrize("text", INVALID_DECIMALS)
def test_an_invalid_decimal_counts_as_absent(text: str) -> None:
    """Guards against an exception for digits that are not ASCII, or for more digits than the interpreter converts."""
    assert parse_decimal(text) is None
    assert keep_alive_timeout_s([(b"Keep-Alive", f"timeout={text}, max=3".encode("latin-1"))]) is None
    assert parse_prompt(f"{text},{text}", f"a:{text},b:5").tokens_in == 5


def test_the_keep_alive_timeout_is_parsed() -> None:
    assert keep_alive_timeout_s([(b"keep-alive", b"max=3, Timeout=15")]) == 15.0
