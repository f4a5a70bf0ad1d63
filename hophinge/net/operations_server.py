"""The operators' HTTP server: readiness, metrics, and manual ejection of backends. One call a connection."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.core.request_metrics import RequestMetrics
from hophinge.net.listener import Listener, origin_form
from hophinge.core.manual_ejections import ManualEjections

MAX_CALLERS = 16  # connections at once, apart from those of clients
HEAD_TIMEOUT_S = 0.8  # for a head to come
BODY_TIMEOUT_S = 0.6  # for a body to come; an answer is due within a second
BACKEND_ID = re.compile(r"[!-~]{1,256}", re.ASCII)
CALLS = {"/ops/readiness": "GET", "/ops/stats": "GET", "/ops/bricks/down": "POST", "/ops/bricks/up": "POST"}


class OperationsServer(Listener):
    """Answers operators' calls, with connections, bounds and timers of its own."""

    def __init__(
        self, counters: Counters, metrics: RequestMetrics, rotation: ManualEjections, ready: Callable[[], bool]
    ) -> None:
        super().__init__(counters, MAX_CALLERS, HEAD_TIMEOUT_S, HEAD_TIMEOUT_S)
        self.metrics = metrics
        self.rotation = rotation
        self.ready = ready
        self.head_s = HEAD_TIMEOUT_S
        self.reports: dict[str, Callable[[], str]] = {}  # further GET calls, by path

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        status, text = await self._answer(request)
        self.counters.add("control_calls" if status < 400 else "control_denied")
        response = web.Response(status=status, text=text)
        response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> tuple[int, str]:
        path = origin_form(request.raw_path).partition("?")[0]
        tell = self.reports.get(path)
        method = "GET" if tell is not None else CALLS.get(path)
        if method is None:
            return 404, "no such call\n"
        if request.method != method:
            return 405, f"only {method} is served here\n"
        if tell is not None:
            return 200, tell()
        if path == "/ops/readiness":
            return (200, "ready\n") if self.ready() else (503, "not ready\n")
        if path == "/ops/stats":
            return 200, self.metrics.text()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                node = await self._read_backend_id(request)
        except TimeoutError:
            return 408, "the body does not come\n"
        except (web.RequestPayloadError, ConnectionError):
            node = None
        if node is None:
            return 400, "the body is not the id of a brick\n"
        done = self.rotation.eject(node) if path.endswith("down") else self.rotation.restore(node)
        return (200, "done\n") if done else (404, "no such brick\n")

    async def _read_backend_id(self, request: web.BaseRequest) -> str | None:
        self.send_continue(request)
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > 1024:
                return None
        text = body.decode("latin-1").strip()
        return text if BACKEND_ID.fullmatch(text) else None
