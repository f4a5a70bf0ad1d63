"""The operator's orders to begin or end the evacuation of a zone: changes to the zone's register in the chain.

An order may take effect only while its caller waits. A caller without a response for one second retries the order at
another member, and may then send the opposite order; a late change by a slow member would undo that one. Therefore an
order has a timeout of less than a second, ends when its caller disconnects, and is not retried on a newer version of
the register than the one that it read.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Collection
from enum import Enum
from typing import Any

from loguru import logger

from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.events import ClientResponse
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.fleet.configuration.evacuations import (
    evacuation_change,
    evacuation_key,
    evacuation_record,
    is_evacuated,
)
from hophinge.fleet.transport.asgi import Receive, Send, answer, read_body

EVACUATIONS_PATH = "/v1/evacuations"
ZONE_PREFIX = EVACUATIONS_PATH + "/"
ORDER_TIMEOUT_S = 0.8  # for the complete order; callers retry at another member after one second
READ_TIMEOUT_S = 2.0  # for an operator's read
MAX_BODY_BYTES = 1 << 10  # orders have no body
JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")
ALLOWED_METHODS = (b"allow", b"GET, POST, DELETE")

RegisterRequest = Callable[[str, Change | None, float], Awaitable[ClientResponse]]


class OrderResult(Enum):
    """The result of an order."""

    IN_FORCE = "in force"
    UNKNOWN = "unknown"  # the caller has to retry the order
    ABANDONED = "abandoned"  # the caller disconnected before the change was sent; nothing was changed


class EvacuationApi:
    """Serves orders and reads of evacuations at one control member."""

    def __init__(
        self,
        zones: Collection[str],
        request: RegisterRequest,
        publish: Callable[[GossipRecord], None],
        now: Callable[[], float],
    ) -> None:
        self.zones = zones
        self.request = request
        self.publish = publish
        self.now = now

    # --- requests ------------------------------------------------------------------------------------------------

    async def serve_all(self, method: str, _rest: str, _receive: Receive, send: Send) -> None:
        """Serve `/v1/evacuations`: whether each zone is evacuated."""
        if method != "GET":
            await self._reject_method(send, (b"allow", b"GET"))
            return
        responses = await asyncio.gather(*(self._read(zone, READ_TIMEOUT_S) for zone in sorted(self.zones)))
        if any(response.outcome is not Outcome.VALUE for response in responses):
            await self._answer_unknown(send, "this member cannot determine the state of the zones now; retry")
            return
        states = {
            zone: is_evacuated(response.payload) for zone, response in zip(sorted(self.zones), responses, strict=True)
        }
        await answer(send, 200, json.dumps({"evacuated": states}).encode(), (JSON_TYPE,))

    async def serve_zone(self, method: str, zone: str, receive: Receive, send: Send) -> None:
        """Serve `/v1/evacuations/ZONE`."""
        if method not in ("GET", "POST", "DELETE"):
            await self._reject_method(send, ALLOWED_METHODS)
        elif zone not in self.zones:
            error = f"unknown zone {zone!r}; the zones are {', '.join(sorted(self.zones))}"
            await answer(send, 404, json.dumps({"error": error}).encode(), (JSON_TYPE,))
        elif method == "GET":
            await self._get_zone(zone, send)
        else:
            await read_body(receive, MAX_BODY_BYTES)
            await self._serve_order(zone, method == "POST", receive, send)

    async def _reject_method(self, send: Send, allowed: tuple[bytes, bytes]) -> None:
        await answer(send, 405, json.dumps({"error": "the method is not allowed"}).encode(), (JSON_TYPE, allowed))

    async def _answer_unknown(self, send: Send, error: str) -> None:
        await answer(send, 503, json.dumps({"error": error}).encode(), (JSON_TYPE, RETRY_AFTER))

    async def _get_zone(self, zone: str, send: Send) -> None:
        response = await self._read(zone, READ_TIMEOUT_S)
        if response.outcome is not Outcome.VALUE:
            await self._answer_unknown(send, "this member cannot determine the state of the zone now; retry")
            return
        state = {"zone": zone, "evacuated": is_evacuated(response.payload), "version": response.version}
        await answer(send, 200, json.dumps(state).encode(), (JSON_TYPE,))

    async def _serve_order(self, zone: str, should_evacuate: bool, receive: Receive, send: Send) -> None:
        disconnect = asyncio.get_running_loop().create_task(receive())  # completes when the caller disconnects
        try:
            result = await self._execute(zone, should_evacuate, disconnect)
        finally:
            disconnect.cancel()
        logger.info("evacuation ordered zone={} evacuate={} result={}", zone, should_evacuate, result.value)
        if result is OrderResult.IN_FORCE:
            await answer(send, 200, json.dumps({"zone": zone, "evacuated": should_evacuate}).encode(), (JSON_TYPE,))
        elif result is OrderResult.UNKNOWN:
            await self._answer_unknown(send, "it is unknown whether the order was applied; retry it")

    # --- registers -----------------------------------------------------------------------------------------------

    async def _read(self, zone: str, timeout_s: float) -> ClientResponse:
        return await self.request(evacuation_key(zone), None, timeout_s)

    def _acknowledge(self, zone: str, version: int, payload: bytes) -> OrderResult:
        """Publish the committed value here, since the members of the chain may run an older release that does not."""
        if version:
            self.publish(evacuation_record(evacuation_key(zone), Register(version, b"", payload)))
        return OrderResult.IN_FORCE

    async def _execute(self, zone: str, should_evacuate: bool, disconnect: asyncio.Task[Any]) -> OrderResult:
        """Set the register to the ordered value, also where it has that value already.

        The new version makes each earlier order without an answer conflict, should it arrive later.
        """
        deadline = self.now() + ORDER_TIMEOUT_S
        current = await self._read(zone, ORDER_TIMEOUT_S)
        if current.outcome is not Outcome.VALUE:
            return OrderResult.UNKNOWN
        if disconnect.done():
            return OrderResult.ABANDONED
        change = evacuation_change(zone, current.version, should_evacuate)
        changed = await self.request(change.key, change, deadline - self.now())
        if changed.outcome is Outcome.APPLIED:
            return self._acknowledge(zone, change.version, change.payload)
        if changed.outcome is not Outcome.CONFLICT:
            return OrderResult.UNKNOWN
        newest = await self._read(zone, deadline - self.now())
        if newest.outcome is Outcome.VALUE and is_evacuated(newest.payload) == should_evacuate:
            return self._acknowledge(zone, newest.version, newest.payload)
        return OrderResult.UNKNOWN
