"""Tests of the service document: mistakes are reported at once with positions, and no input hangs or raises."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.routing import records
from hophinge.routing.document_reader import read_document
from hophinge.routing.quantities import EXAMPLES, UNITS, QuantityError, parse_quantity, format_quantity

EXAMPLE = (Path(__file__).parent.parent / "examples" / "service.sexp").read_bytes()
HEADER = "(hophinge 1)\n"


def mistake_lines(text: str) -> list[str]:
    return read_document((HEADER + text).encode()).mistake_lines("f")


def test_example_has_every_form_and_no_mistake() -> None:
    document = read_document(EXAMPLE)
    assert document.mistake_lines("f") == []
    assert {key.partition("/")[0] for key in document.records} == {
        "plan",
        "pool",
        "tenant",
        "route",
        "limit",
        "retries",
        "eject",
        "spare",
        "rollout",
    }
    limit = document.records["limit/alba/*/*"]
    assert isinstance(limit, records.Limit)
    assert (limit.rate, limit.burst_us, limit.max_open) == (120.0, 2_000_000, 64)


@pytest.mark.parametrize(
    ("text", "position", "expected"),
    [
        ("(limit (rate 120))", "2:14", "120 has no unit; write it like 120 units/s"),
        ("(limit (rate 120 ms))", "2:14", "ms is a unit of time, but rate is expected"),
        ("(limit (rate 120 parsecs))", "2:14", "unknown unit 'parsecs'"),
        ("(limit (rate -1 units/s))", "2:14", "not a number"),
        ("(limit (rate 1e9 units/s))", "2:14", "not a number"),
        ("(limit (open 1.5 requests))", "2:14", "whole number"),
        ("(limit (burst 1 s) (open 2 requests))", "2:1", "(burst ...) requires a rate"),
        ("(limit)", "2:1", "needs (rate 120 units/s)"),
        ("(limit (in 1 KiB/s))", "2:12", "from 64 KiB/s"),
        ("(limit (out 4 MiB))", "2:13", "MiB is a unit of size, but byte rate is expected"),
        ("(limit x (open 2 requests))", "2:8", "bracketed parts only"),
        ("(retries (budget 120 %))", "2:18", "over 100 %"),
        ("(retries (attempts 2 requests))", "2:20", "without a unit"),
        ("(shard a)", "2:1", "unknown form 'shard'; known forms: plan, pool"),
        ("(plan a)\n (plan a)", "3:2", "plan/a is defined twice, first on line 2"),
        ("(route (pools gone))", "2:1", "the pool gone is not defined"),
        ("(pool a (zones x) (zones y))", "2:19", "twice in one form"),
        ("(pool a (zones x x))", "2:18", "x appears twice"),
        ("(pool a (zones x) (colour red))", "2:19", "has no part (colour ...); it may have zones, kinds"),
        ("(pool a)", "2:1", "needs (zones ...)"),
        ("(pool a b (zones x))", "2:9", "takes one name"),
        ("(pool (zones x))", "2:1", "takes one name"),
        ("(pool a/b (zones x))", "2:7", "not a valid pool name"),
        ("(pool a (zones))", "2:9", "(zones) is empty"),
        ("(pool a (zones (x)))", "2:9", "takes words, not forms"),
        ("(pool a ((x)))", "2:9", "must begin with a keyword"),
        ("()", "2:1", "a form must begin with a keyword"),
        ("stray", "2:1", "is outside any form"),
        ("(hophinge 1)", "2:1", "must appear only once"),
        ("(eject (errors 50 %) (over 2 s) (rest 1 s))", "2:1", "needs (at-most 20 %)"),
        ("(eject (errors 50 %) (over 2 s) (rest 2 min) (at-most 30 %) (least 0 requests))", "2:68", "from 1 requests"),
        ("(rollout (waves 50 % 10 % 100 %))", "2:10", "shares must increase and end with 100 %"),
        ("(tenant a (volumes 0000000000000001))(tenant b (volumes 0000000000000001))", "2:38", "already belongs to a"),
        ("(pool a (zones hall-a)", "2:1", "the file ends within this form; close it with ')'"),
        ("(pool a (zones hall-a)))", "2:24", "')' has no matching '('"),
        ('(pool a (zones "hall))', "2:16", "does not end on its line"),
    ],
)
def test_mistake_is_reported_with_position_and_advice(text: str, position: str, expected: str) -> None:
    mistakes = mistake_lines(text)
    assert len(mistakes) == 1, mistakes
    assert mistakes[0].startswith(f"f:{position}: ") and expected in mistakes[0], mistakes


def test_all_mistakes_are_reported_at_once_in_order() -> None:
    mistakes = mistake_lines("(limit (rate 1))\n(pool a (zones x)))\n(shard)\n(retries (budget 200 %))\n(plan b")
    assert [line.split(":")[1] for line in mistakes] == ["2", "3", "4", "5", "6"]


def test_unsupported_version_and_empty_file() -> None:
    assert "not 2" in read_document(b"(hophinge 2)").mistake_lines("f")[0]
    assert "must begin with (hophinge 1)" in read_document(b"").mistake_lines("f")[0]
    assert "must begin with (hophinge 1)" in read_document(b"(plan a)").mistake_lines("f")[0]


def test_invalid_utf_8_and_unclosed_brackets() -> None:
    mistakes = read_document(b"(hophinge 1)\n(pool \xff)").mistake_lines("f")
    assert mistakes == ["f:2:7: byte 0xff is not valid UTF-8; save the file as UTF-8"]
    started_at = time.perf_counter()
    mistakes = read_document(b"(" * 10_000_000).mistake_lines("f")
    assert len(mistakes) == 1 and mistakes[0].startswith("f:1:9: brackets are nested deeper than 8")
    assert len(read_document(b")" * 1_000_000).mistake_lines("f")) == 100
    assert "at most" in read_document(b" " * (32 * 1024 * 1024 + 1)).mistake_lines("f")[0]
    assert time.perf_counter() - started_at < 10  # the work is bounded, independent of the size


def test_truncated_file_is_reported_or_still_complete() -> None:
    # A file that is cut between two forms is a valid document; any other cut is a mistake, and none raises.
    whole = EXAMPLE.decode().splitlines(keepends=True)
    text = "".join(line for line in whole if not line.startswith(";"))
    cuts_inside_forms = 0
    for cut in range(len(text)):
        document = read_document(text[:cut].encode())
        balanced = text[:cut].count("(") == text[:cut].count(")")
        is_inside = not balanced and not text[:cut].rstrip().endswith(";")
        assert bool(document.mistake_lines("f")) >= is_inside, cut
        cuts_inside_forms += is_inside
    assert cuts_inside_forms > 500


@given(st.text(alphabet='()"; %ab1.\\\n', max_size=60))
def test_arbitrary_text_gives_mistakes_with_positions(text: str) -> None:
    document = read_document(text.encode())
    text_lines = text.split("\n")
    for mistake in document.mistakes:
        assert 1 <= mistake.line <= len(text_lines) and 1 <= mistake.column <= len(text_lines[mistake.line - 1]) + 1


@given(st.binary(max_size=40))
def test_arbitrary_bytes_do_not_raise(raw: bytes) -> None:
    assert read_document(raw).mistake_lines("f") or raw.strip().startswith(b"(hophinge")


@given(st.sampled_from(sorted(EXAMPLES)), st.integers(0, 10**7))
def test_formatted_quantity_is_parsed_back(dimension: str, number: int) -> None:
    value = number / 100 if dimension == "share" else float(number)
    if dimension == "share":
        value = min(1.0, value / 100)
    assert parse_quantity(format_quantity(value, dimension).split(), dimension) == pytest.approx(value, rel=1e-9)


def test_unit_directly_after_its_number() -> None:
    assert parse_quantity(["80ms"], "time") == 80_000 and parse_quantity(["20%"], "share") == 0.2
    assert parse_quantity(["64", "KiB"], "size") == 65536 and parse_quantity(["2", "MiB"], "size") == 2 * 1024**2
    assert {"ms", "s", "%", "units/s", "requests", "bricks", "KiB", "MiB"} <= UNITS.keys()
    with pytest.raises(QuantityError, match="unexpected '2' after the time"):
        parse_quantity(["1", "s", "2"], "time")


def test_records_round_trip_with_equal_fingerprints() -> None:
    for name, record in read_document(EXAMPLE).records.items():
        body = records.encode(record)
        assert records.decode(body) == record and records.encode(records.decode(body)) == body
        assert records.fingerprint(name, body) != records.fingerprint(name + "x", body)
        assert records.fingerprint(name, body) != records.fingerprint(name, body + b" ")
    with pytest.raises(ValueError):
        records.decode(b'{"type":"odd"}')
