from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.cluster import datagram
from hophinge.cluster.errors import KeysUnusableError
from hophinge.cluster.messages import MemberDigest, MemberRecord, Nack, Ping, Summary, encode_message

OLD, NEW = b"an old key, long enough", b"a new key, long enough"
MESSAGES = [encode_message(Ping(7, "b", MemberRecord("a", "a:1", 5, zone="z"))), encode_message(Summary([1, 2]))]


class Reader:
    def __init__(self, *keys: bytes, senders: int = 10) -> None:
        self.counts: Counter[str] = Counter()
        self.opener = datagram.DatagramOpener(keys or [NEW], senders, self.count)

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def open(self, data: bytes) -> datagram.Datagram | None:
        return self.opener.open(data)


def sealed(count: int = 1, key: bytes = NEW, start: int = 3, **more: Any) -> bytes:
    return datagram.seal_datagram(key, "a", start, count, more.pop("parts", MESSAGES), **more)


def test_a_sealed_datagram_is_opened() -> None:
    opened = Reader().open(sealed())
    assert opened is not None and (opened.sender, opened.generation) == ("a", 3)
    assert opened.messages == [Ping(7, "b", MemberRecord("a", "a:1", 5, zone="z")), Summary([1, 2])]


@given(st.data())
def test_a_modified_or_truncated_datagram_is_dropped_before_decoding(data: st.DataObject) -> None:
    whole, reader = sealed(), Reader()
    at = data.draw(st.integers(0, len(whole) - 1))
    changed = bytearray(whole)
    changed[at] ^= data.draw(st.integers(1, 255))
    assert reader.open(bytes(changed)) is None and reader.open(whole[:at]) is None
    assert reader.open(whole + b"x") is None and sum(reader.counts.values()) == 3
    assert reader.counts.keys() <= {"dropped_unauthentic", "dropped_unknown", "dropped_too_short"}
    assert not reader.opener.windows


@given(st.binary(max_size=1_300))
def test_arbitrary_bytes_are_dropped_and_counted_once(data: bytes) -> None:
    reader = Reader()
    assert reader.open(data) is None and sum(reader.counts.values()) == 1


@given(st.binary(max_size=200), st.integers(0, 9))
def test_authentic_garbage_is_dropped_as_malformed(data: bytes, kind: int) -> None:
    reader = Reader()
    for count, parts in enumerate(([data], [b"\x92" + bytes([kind]) + data])):
        opened = reader.open(sealed(count, parts=parts))
        assert opened is not None or reader.counts["dropped_malformed"]


LIES = [
    MemberRecord("a", "no address", 1),
    MemberRecord("", "a:1", 1),
    MemberRecord("a", "a:1", 2**63),
    MemberRecord("a", "a:1", -1),
    MemberRecord("a", "a:1", 1, state=9),
    MemberRecord("a" * 65, "a:1", 1),
    Summary([0] * 65),
    Summary([2**32]),
    Ping(1, "b", MemberRecord("a", "a:b", 1)),
]


@pytest.mark.parametrize("message", LIES, ids=repr)
def test_values_out_of_range_are_malformed(message: Any) -> None:
    reader = Reader()
    assert reader.open(sealed(parts=[encode_message(message)])) is None and reader.counts == {"dropped_malformed": 1}


def test_a_datagram_that_is_too_long_is_dropped_though_authentic() -> None:
    reader = Reader()
    assert reader.open(sealed(parts=[encode_message(Summary([2**31] * 64))] * 4)) is None
    assert reader.counts == {"dropped_too_long": 1}


def test_two_keys_are_valid_at_a_time_but_not_three() -> None:
    both = Reader(NEW, OLD)
    assert both.open(sealed(1, OLD)) and both.open(sealed(2, NEW))
    assert both.open(sealed(3, b"another key, long enough")) is None and both.counts == {"dropped_unauthentic": 1}
    both.opener.keys = [NEW]
    assert both.open(sealed(4, OLD)) is None and both.open(sealed(5, NEW))


@pytest.mark.parametrize("text", ["", "short\n", "x" * 65, "\n".join([OLD.decode()] * 3)])
def test_invalid_keys_are_rejected(text: str) -> None:
    with pytest.raises(KeysUnusableError):
        datagram.read_keys(text)


@given(st.lists(st.integers(0, 700), min_size=1, max_size=200))
def test_a_duplicate_is_dropped_and_a_reordered_datagram_is_accepted(counts: list[int]) -> None:
    reader, taken = Reader(), set()
    for count in counts:
        if reader.open(sealed(count)) is not None:
            assert count not in taken
            taken.add(count)
        else:
            assert count in taken or count <= max(taken) - datagram.REPLAY_WINDOW, "new, and within the window"


def test_a_new_generation_has_its_own_window_and_windows_are_bounded() -> None:
    reader = Reader(senders=4)
    assert reader.open(sealed(9)) and reader.open(sealed(1, start=4)) and reader.open(sealed(1)) is not None
    for start in range(100):
        reader.open(sealed(1, start=start))
    assert len(reader.opener.windows) == 4


def test_datagrams_of_older_and_newer_formats() -> None:
    reader = Reader()
    # A newer member that can be read here: an additional field, and a message of unknown type.
    longer = msgspec.msgpack.encode((4, [17, "something new"]))
    unknown = msgspec.msgpack.encode((77, {"any": "thing"}))
    opened = reader.open(sealed(parts=[longer, unknown, MESSAGES[1]], format_=9))
    assert opened is not None and opened.messages == [Nack(17), Summary([1, 2])]
    assert reader.counts == {"unknown_kinds": 1}
    # An older member: fields that were added later are missing.
    older = msgspec.msgpack.encode((5, ["a", "a:1", 5]))
    opened = reader.open(sealed(2, parts=[older]))
    assert opened is not None and opened.messages == [MemberRecord("a", "a:1", 5)]
    # A datagram that requires a newer reader.
    assert reader.open(sealed(3, format_=9, min_reader_format=datagram.FORMAT_VERSION + 1)) is None
    assert reader.counts["dropped_newer_format"] == 1


def test_an_unknown_role_is_a_head_and_digests_may_have_more_topics() -> None:
    assert MemberRecord("a", "a:1", 5, role="witness").to_member().role.value == "head"
    assert Reader().open(
        sealed(parts=[msgspec.msgpack.encode((8, [1, [MemberDigest("a", 1, [1] * 5, [2] * 5)], True]))])
    )
