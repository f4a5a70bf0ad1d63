"""The operators' HTTP server: readiness, metrics and manual ejection of backends, with one call per connection."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.core.request_metrics import RequestMetrics
from hophinge.net.listener import Listener, origin_form
from hophinge.core.manual_ejections import ManualEjections

MAX_CALLERS = 16  # connections at once, not counting those of clients
HEAD_TIMEOUT_S = 0.8  # for receiving a head; also for an idle connection
BODY_TIMEOUT_S = 0.6  # for receiving a body; a call must be answered within a second
BACKEND_ID = re.compile(r"[!-~]{1,256}", re.ASCII)
CALLS = {"/ops/readiness": "GET", "/ops/stats": "GET", "/ops/bricks/down": "POST", "/ops/bricks/up": "POST"}


class OperationsServer(Listener):
    """Answers operators' calls, with connections, limits and time-outs separate from those of clients."""

    def __init__(
        self, counters: Counters, metrics: RequestMetrics, ejections: ManualEjections, ready: Callable[[], bool]
    ) -> None:
        super().__init__(counters, MAX_CALLERS, HEAD_TIMEOUT_S, HEAD_TIMEOUT_S)
        self.metrics = metrics
        self.ejections = ejections
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
        report = self.reports.get(path)
        method = "GET" if report is not None else CALLS.get(path)
        if method is None:
            return 404, "unknown path\n"
        if request.method != method:
            return 405, f"only {method} is allowed on this path\n"
        if report is not None:
            return 200, report()
        if path == "/ops/readiness":
            return (200, "ready\n") if self.ready() else (503, "not ready\n")
        if path == "/ops/stats":
            return 200, self.metrics.text()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                node = await self._read_backend_id(request)
        except TimeoutError:
            return 408, "timed out waiting for the request body\n"
        except (web.RequestPayloadError, ConnectionError):
            node = None
        if node is None:
            return 400, "the body is not the id of a brick\n"
        done = self.ejections.eject(node) if path.endswith("down") else self.ejections.restore(node)
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
