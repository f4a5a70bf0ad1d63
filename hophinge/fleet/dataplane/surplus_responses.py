"""Skips surplus responses on a connection of httpcore, up to the response to the request in flight.

h11 pairs each response with one request. To await a second response to the same request, its state machine starts a new
cycle and is given the request again; nothing is sent. Bytes that it has buffered stay buffered.
"""

from __future__ import annotations

import h11
import httpcore

from hophinge.fleet.forwarding.response_ownership import SurplusTally
from hophinge.fleet.transport.bounded_stream import BoundedStream, network_stream

STALL_TIMEOUT_S = 0.5  # of silence within a surplus response: the rest of a truncated one never arrives


class ForeignResponseError(httpcore.ProtocolError):
    """A response is not the request's own, and its own cannot be awaited after it."""


async def skip_surplus_response(
    connection: httpcore.AsyncHTTP11Connection,
    request: httpcore.Request,
    response: httpcore.Response,
    tallies: tuple[SurplusTally, ...],
) -> httpcore.Response:
    """Read a surplus response to its end, and return the response after it.

    Args:
        connection: The connection with the request in flight.
        request: The request in flight, to which httpcore attributes this response.
        response: The surplus response; only its header has been read.
        tallies: Each counts the body; the limit of the first one applies.

    Raises:
        ForeignResponseError: The surplus response ends only with the connection, is truncated, or exceeds the limit.
        ResponseLimitError: Its framing, or the header of the response after it, exceeds a limit.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException: As httpcore raises them.

    """
    stream = network_stream(response)
    stream.begin_body()
    await _discard_body(connection, stream, tallies)
    stream.begin_header()
    _await_response_again(connection, request)
    _, status, _, headers, _ = await connection._receive_response_headers(request=request)
    return httpcore.Response(status, headers=headers, content=response.stream, extensions=response.extensions)


async def _discard_body(
    connection: httpcore.AsyncHTTP11Connection, stream: BoundedStream, tallies: tuple[SurplusTally, ...]
) -> None:
    bounded = httpcore.Request("GET", "http://surplus/", extensions={"timeout": {"read": STALL_TIMEOUT_S}})
    body_bytes = 0
    try:
        async for chunk in connection._receive_response_body(request=bounded):
            body_bytes += len(chunk)
            stream.check_framing(body_bytes)
            for tally in tallies:
                tally.add_bytes(len(chunk))
            if tallies[0].is_limit_exceeded:
                raise ForeignResponseError("too many bytes of surplus responses")
    except httpcore.ReadTimeout as error:
        raise ForeignResponseError("a surplus response is truncated") from error


def _await_response_again(connection: httpcore.AsyncHTTP11Connection, request: httpcore.Request) -> None:
    state = connection._h11_state
    try:
        state.start_next_cycle()
    except h11.LocalProtocolError as error:
        raise ForeignResponseError("no response can follow the surplus response") from error
    state.send(h11.Request(method=request.method, target=request.url.target, headers=[(b"host", b"surplus")]))
    state.send(h11.EndOfMessage())
