"""Records the response to a client's request on its way to the server, for the log line of the completed request."""

from __future__ import annotations

from typing import Any

from hophinge.fleet.dataplane.exchange import Exchange
from hophinge.fleet.forwarding.completed_requests import CompletedRequest, client_name
from hophinge.fleet.forwarding.headers import REQUEST_ID, find_field
from hophinge.fleet.transport.asgi import Scope, Send


class ResponseRecorder:
    """The channel to one client, with the status that was sent on it."""

    def __init__(self, send: Send) -> None:
        self.send = send
        self.status = 0  # of the response; 0 before it begins
        self.exchange: Exchange | None = None  # None if the request is not to be sent to an instance
        self.reason = "rejected by the head"  # of a response without an exchange

    async def __call__(self, message: dict[str, Any]) -> None:
        """Send a message of the response."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
        await self.send(message)

    def completed_request(self, scope: Scope) -> CompletedRequest:
        """Return the request once it is over."""
        client = scope.get("client")
        exchange = self.exchange
        if exchange is None:
            return CompletedRequest.without_attempts(scope["headers"], client, self.status, self.reason)
        lifecycle = exchange.lifecycle
        trace = lifecycle.trace
        return CompletedRequest(
            find_field(scope["headers"], REQUEST_ID) or lifecycle.name,
            client_name(client),
            self.status,
            f"{exchange.outcome} {trace.refusal}".rstrip(),
            lifecycle.route.name,
            lifecycle.route.route_type,
            tuple(trace.attempts),
        )
