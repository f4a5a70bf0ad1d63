"""Encoding of the discovery stream: round trips, and robustness against arbitrary bytes."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from hophinge.control import wire
from hophinge.control.messages import MalformedMessageError
from hophinge.control.messages import ResourceType, Resource, DiscoveryResponse


@given(
    st.builds(
        DiscoveryResponse,
        st.sampled_from(ResourceType),
        st.text(max_size=5),
        st.lists(st.builds(Resource, st.text(max_size=5), st.text(max_size=5), st.binary(max_size=9)), max_size=3).map(
            tuple
        ),
        st.lists(st.text(max_size=5), max_size=3).map(tuple),
    )
)
def test_responses_round_trip(response: DiscoveryResponse) -> None:
    assert wire.decode_response(wire.encode_response(response)) == response


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_decoded_or_rejected(data: bytes) -> None:
    for decode in (wire.decode_response, wire.decode_request, wire.decode_version, wire.decode_record):
        with contextlib.suppress(MalformedMessageError):
            decode(data)
