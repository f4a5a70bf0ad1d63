"""HTTP listener of the administration API, and the operator's token."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qsl

from aiohttp import web

from hophinge.admin.api import MAX_BODY_BYTES, AdminApi, ApiRequest, ApiResponse, body_too_large, internal_error
from hophinge.core.counters import Counters
from hophinge.net.listener import Listener

MAX_CONNECTIONS = 16
IDLE_TIMEOUT_S = 30.0
MIN_TOKEN_CHARS = 16
SINGLE_HEADERS = ("authorization", "idempotency-key", "if-match")  # that a request may bear once only
DUPLICATE_HEADER = ApiResponse(
    400,
    b'{"type":"urn:hophinge:problem:status-400","title":"The call is malformed","status":400,'
    b'"detail":"a header came twice"}',
    {"Content-Type": "application/problem+json"},
)


def read_token(path: Path) -> str:
    """Read the operator's token; raises ValueError where it is too short, OSError where the file cannot be read."""
    token = path.read_text().strip()
    if len(token) < MIN_TOKEN_CHARS:
        raise ValueError(f"the token in {path.name} has under {MIN_TOKEN_CHARS} characters")
    return token


class AdminListener(Listener):
    """Serves the API over HTTP. A call's write to disk is short and rare, so it is done within the event loop."""

    def __init__(self, api: AdminApi, counters: Counters, log: Callable[[str], None]) -> None:
        super().__init__(counters, MAX_CONNECTIONS, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S)
        self.api = api
        self.log = log

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.counters.add("admin_requests")
        response = await self._answer(request)
        if response.status in (401, 429):
            self.counters.add("admin_denied")
        headers = {"Content-Type": "application/json", "Cache-Control": "no-store", **response.headers}
        if not response.body:
            del headers["Content-Type"]
        return web.Response(status=response.status, body=response.body or None, headers=headers)

    async def _answer(self, request: web.BaseRequest) -> ApiResponse:
        if any(len(request.headers.getall(name, [])) > 1 for name in SINGLE_HEADERS):
            return DUPLICATE_HEADER
        try:
            body = await _read_body(request)
            return self.api.answer(_api_request(request, body)) if body is not None else body_too_large()
        except ConnectionError:
            raise
        except Exception:  # a fault of this program is answered with 500, and its trace is logged
            self.counters.add("admin_faults")
            self.log(traceback.format_exc())
            return internal_error()


async def _read_body(request: web.BaseRequest) -> bytes | None:
    """Read a request's body; None where it is too large."""
    if (request.content_length or 0) > MAX_BODY_BYTES:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return None
    return bytes(body)


def _api_request(request: web.BaseRequest, body: bytes) -> ApiRequest:
    path, _, query = request.raw_path.partition("?")
    headers = {name.lower(): text for name, text in request.headers.items()}
    peer = request.transport.get_extra_info("peername") if request.transport is not None else None
    address = str(peer[0]) if isinstance(peer, tuple) else ""
    return ApiRequest(request.method, path, dict(parse_qsl(query)), headers, body, address)
