"""The HTTP API of the shared counters: adds to a counter, and reads its total."""

from __future__ import annotations

import json
from typing import Annotated
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, StrictInt, StrictStr, ValidationError

from hophinge.coordination.counter_events import CounterOutcome
from hophinge.coordination.counters import Increment
from hophinge.fleet.controlplane.counter_host import CounterDirectory, CounterHost
from hophinge.fleet.transport.asgi import Headers, Receive, Send, answer, read_body

COUNTERS_PATH = "/v1/tallies/"
MAX_BODY_BYTES = 4 << 10
MAX_NAME_LENGTH = 256  # of a counter's name and of an increment's identifier, in characters
MAX_AMOUNT = 1 << 63  # exclusive bound on the absolute value of an amount
JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")


class IncrementBody(BaseModel):
    """The body of an increment; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")

    identifier: Annotated[StrictStr, Field(alias="id", min_length=1, max_length=MAX_NAME_LENGTH)]
    amount: Annotated[StrictInt, Field(alias="by", gt=-MAX_AMOUNT, lt=MAX_AMOUNT)]


class CounterApi:
    """Serves requests for counters; a member without counters redirects callers to a member that stores them."""

    def __init__(self, host: CounterHost | None, directory: CounterDirectory, control_address: str) -> None:
        self.host = host
        self.directory = directory
        self.port = control_address.rsplit(":", 1)[1]  # the same on all machines

    async def handle(self, method: str, name: str, receive: Receive, send: Send) -> None:
        """Serve one request for a counter."""
        if method not in ("GET", "POST"):
            await _answer_error(send, 405, "the method is not allowed", headers=[(b"allow", b"GET, POST")])
        elif len(name) > MAX_NAME_LENGTH:
            await _answer_error(send, 400, "the counter's name is too long")
        elif self.host is None:
            await read_body(receive, MAX_BODY_BYTES)
            await self._redirect(name, send)
        elif method == "GET":
            await self._read(self.host, name, send)
        else:
            await self._add(self.host, name, receive, send)

    async def _redirect(self, name: str, send: Send) -> None:
        """Redirect the caller to a member that stores counters."""
        host = self.directory.choose_host()
        if host is None:
            await _answer_error(send, 503, "no member that stores counters is reachable now", headers=[RETRY_AFTER])
            return
        location = f"http://{host}:{self.port}{COUNTERS_PATH}{quote(name, safe='')}"
        await answer(send, 307, b"", [(b"location", location.encode())])

    async def _read(self, host: CounterHost, name: str, send: Send) -> None:
        response = await host.read(name)
        if response.outcome is CounterOutcome.TOTAL:
            await answer(send, 200, json.dumps({"total": response.total}).encode(), [JSON_TYPE])
        else:
            await _answer_error(send, 503, response.reason, headers=[RETRY_AFTER])

    async def _add(self, host: CounterHost, name: str, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            parsed = IncrementBody.model_validate_json(body)
        except ValidationError as error:
            findings = [f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}" for detail in error.errors()]
            await _answer_error(send, 400, "the increment is invalid", findings)
            return
        response = await host.add(Increment(parsed.identifier, name, parsed.amount))
        if response.outcome is CounterOutcome.ADDED:
            await answer(send, 200, b"{}", [JSON_TYPE])
        elif response.outcome is CounterOutcome.REJECTED:
            await _answer_error(send, 503, response.reason, headers=[RETRY_AFTER])
        else:
            # Not 503, which would tell the caller that nothing was stored.
            await _answer_error(send, 504, "it is unknown whether the increment is stored; retry it with the same id")


async def _answer_error(
    send: Send, status: int, text: str, findings: list[str] | None = None, headers: Headers = ()
) -> None:
    body = {"error": text} if findings is None else {"error": text, "findings": findings}
    await answer(send, status, json.dumps(body).encode(), [JSON_TYPE, *headers])
