"""Reads past surplus responses on a connection of httpcore, up to the response to the request that is in flight.

h11 pairs each response with one request. To await a second response to the same request, its state machine begins a new
cycle and is told of the request once more; nothing is sent. Bytes that it has received and not used stay in place.
"""

from __future__ import annotations

import h11
import httpcore

from hophinge.fleet.forwarding.response_ownership import SurplusTally

STALL_TIMEOUT_S = 0.5  # without a byte of a surplus response that has begun: the rest of a truncated one never comes


class ForeignResponseError(httpcore.ProtocolError):
    """A response is not the request's own, and the own one cannot be awaited behind it."""


async def read_past(
    connection: httpcore.AsyncHTTP11Connection,
    request: httpcore.Request,
    response: httpcore.Response,
    tallies: tuple[SurplusTally, ...],
) -> httpcore.Response:
    """Read a surplus response to its end, and return the response behind it.

    Args:
        connection: The connection with the request in flight.
        request: The request, of whose response httpcore takes this one to be.
        response: The surplus response, of which only the header was read.
        tallies: Those that its body counts in; the first one bounds it.

    Raises:
        ForeignResponseError: It has no end before the connection's, is truncated, or exceeds the bound.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException: As httpcore raises them.

    """
    await _discard_body(connection, tallies)
    _await_response_again(connection, request)
    _, status, _, headers, _ = await connection._receive_response_headers(request=request)
    return httpcore.Response(status, headers=headers, content=response.stream, extensions=response.extensions)


async def _discard_body(connection: httpcore.AsyncHTTP11Connection, tallies: tuple[SurplusTally, ...]) -> None:
    bounded = httpcore.Request("GET", "http://surplus/", extensions={"timeout": {"read": STALL_TIMEOUT_S}})
    try:
        async for chunk in connection._receive_response_body(request=bounded):
            for tally in tallies:
                tally.add_bytes(len(chunk))
            if tallies[0].is_over:
                raise ForeignResponseError("surplus responses of too many bytes")
    except httpcore.ReadTimeout as error:
        raise ForeignResponseError("a surplus response is truncated") from error


def _await_response_again(connection: httpcore.AsyncHTTP11Connection, request: httpcore.Request) -> None:
    state = connection._h11_state
    try:
        state.start_next_cycle()
    except h11.LocalProtocolError as error:
        raise ForeignResponseError("no response can follow a surplus one") from error
    state.send(h11.Request(method=request.method, target=request.url.target, headers=[(b"host", b"surplus")]))
    state.send(h11.EndOfMessage())
