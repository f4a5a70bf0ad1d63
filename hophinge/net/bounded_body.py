"""Reads the body of an HTTP response up to a limit, for the clients that use aiohttp."""

from __future__ import annotations

import aiohttp

MAX_OBJECT_BYTES = 64 << 20  # of a response of a head in service: more than the largest object, of 33 MiB


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of a response.

    Raises:
        aiohttp.ClientPayloadError: It is larger than `max_bytes`.

    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"an answer of more than {max_bytes} bytes")
    return bytes(body)
