"""Calls whose responses are short: each is bounded in bytes, in work, and in the time until its last byte."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httpcore
from loguru import logger

from hophinge.fleet.forwarding.headers import CONTENT_LENGTH, Fields, find_field
from hophinge.fleet.numerals import parse_decimal
from hophinge.fleet.transport.bounded_stream import BoundedBackend, Limit, ResponseLimitError, bounded_body
from hophinge.fleet.transport.loop_turns import LoopTurns

NOT_MODIFIED = 304
CALL_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class ShortCall:
    """A request with a short response."""

    method: str
    url: str
    timeout_s: float  # for the whole call
    max_body_bytes: int  # of the response
    headers: Fields
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class ShortResponse:
    """A complete response."""

    status: int
    body: bytes


def bounded_pool(
    max_connections: int | None = 10, keepalive_expiry_s: float | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a connection pool on whose connections each response is bounded."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=keepalive_expiry_s,
        network_backend=BoundedBackend(LoopTurns()),
    )


def check_stated_length(method: bytes, response: httpcore.Response, max_bytes: int) -> None:
    """Check the length that a response states for its body, before any of it is read.

    The response to HEAD and one with status 304 state the length of a body that they do not have (RFC 9110, 8.6).

    Raises:
        ResponseLimitError: It exceeds the limit.

    """
    length = parse_decimal(find_field(response.headers, CONTENT_LENGTH) or "")
    has_body = method != b"HEAD" and response.status != NOT_MODIFIED
    if has_body and length is not None and length > max_bytes:
        raise ResponseLimitError(Limit.BODY, 0)


async def read_short_body(response: httpcore.Response, max_bytes: int, timeout_s: float) -> bytes:
    """Return the whole body of a response.

    Raises:
        ResponseLimitError: The body or its framing exceeds its limit, or the body has no end after `timeout_s`.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException: As httpcore raises them.

    """
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in response.aiter_stream():
                body += chunk
                if len(body) > max_bytes:
                    raise ResponseLimitError(Limit.BODY, len(body))
    except TimeoutError as error:
        raise ResponseLimitError(Limit.TIME, len(body)) from error
    return bytes(body)


def log_response_limit(instance: str, call: str, error: ResponseLimitError, request_id: str = "-") -> None:
    """Log that the response of an instance to a kind of call exceeded a limit, and that its connection was closed."""
    logger.warning(
        "response cut off instance={} call={} request={} limit={} received_bytes={}",
        instance,
        call,
        request_id,
        error.limit.value,
        error.received_bytes,
    )


def log_rejected_response(instance: str, call: str, reason: str, request_id: str = "-") -> None:
    """Log that the response of an instance cannot be used, and that its connection was closed."""
    logger.info("response rejected instance={} call={} request={} reason={}", instance, call, request_id, reason)


async def send_short_call(pool: httpcore.AsyncConnectionPool, call: ShortCall) -> ShortResponse:
    """Send a request and return its complete response; a connection that is not read to its end is closed.

    Args:
        pool: A pool of `bounded_pool`.
        call: The request.

    Raises:
        ResponseLimitError: The response exceeds a limit; `Limit.TIME` if its header came in time, and its end did not.
        httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException: As httpcore raises them.

    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + call.timeout_s
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), call.timeout_s)
    try:
        async with (
            asyncio.timeout_at(deadline) as header_timeout,
            pool.stream(
                call.method, call.url, headers=call.headers, content=call.content, extensions={"timeout": timeout}
            ) as response,
        ):
            header_timeout.reschedule(None)
            response.stream = bounded_body(response)
            body = await read_short_body(response, call.max_body_bytes, deadline - loop.time())
            return ShortResponse(response.status, body)
    except TimeoutError as error:
        raise httpcore.ReadTimeout("no response header in time") from error
