"""Client of the control service's operator API."""

from __future__ import annotations

from hophinge.control.messages import OPERATOR_SERVICE
from hophinge.control.stream_client import AIO, CHANNEL_OPTIONS


async def call_operator_api(address: str, token: str, method: str, body: bytes, timeout_s: float = 10.0) -> bytes:
    """Make one call.

    Args:
        address: Host and port of the control service.
        token: An operator's token.
        method: Push, Status, History, Rollback or Resume.
        body: A JSON object.
        timeout_s: Deadline of the call.

    Returns:
        A JSON object.

    Raises:
        ConnectionError: The service returned an error or could not be reached.

    """
    async with AIO.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        try:
            return bytes(
                await channel.unary_unary(f"/{OPERATOR_SERVICE}/{method}")(
                    body, metadata=(("authorization", f"Bearer {token}"),), timeout=timeout_s
                )
            )
        except AIO.AioRpcError as error:
            raise ConnectionError(f"{address}: {error.details() or error.code()}") from error
