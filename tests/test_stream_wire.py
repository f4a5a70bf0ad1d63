"""The stream's messages: they come back as they were, and no bytes break a side."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from hophinge.control import wire
from hophinge.control.wire import Kind, Resource, Response


@given(
    st.builds(
        Response,
        st.sampled_from(Kind),
        st.text(max_size=5),
        st.lists(st.builds(Resource, st.text(max_size=5), st.text(max_size=5), st.binary(max_size=9)), max_size=3).map(
            tuple
        ),
        st.lists(st.text(max_size=5), max_size=3).map(tuple),
    )
)
def test_responses_come_back_as_they_were(response: Response) -> None:
    assert wire.decode_response(wire.encode_response(response)) == response


@given(st.binary(max_size=60))
def test_no_bytes_break_a_side(data: bytes) -> None:
    for read in (wire.decode_response, wire.decode_request, wire.read_version, wire.record_json):
        with contextlib.suppress(wire.WireError):
            read(data)
