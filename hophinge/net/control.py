"""The second address: readiness, figures, and bricks taken out and put back by hand. One call a connection."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.core.figures import Figures
from hophinge.net.listener import Listener, origin_form
from hophinge.core.rotation import Rotation

CALLERS = 16  # connections at once; clients' load has no part in them
FIRST_S = 0.8  # for a head to come
BODY_S = 0.6  # for a body to come; an answer is due within a second
BACKEND = re.compile(r"[!-~]{1,256}", re.ASCII)
CALLS = {"/ops/readiness": "GET", "/ops/stats": "GET", "/ops/bricks/down": "POST", "/ops/bricks/up": "POST"}


class Control(Listener):
    """Answers operators, with connections, bounds and timers of its own."""

    def __init__(self, counters: Counters, figures: Figures, rotation: Rotation, ready: Callable[[], bool]) -> None:
        super().__init__(counters, CALLERS, FIRST_S, FIRST_S)
        self.figures, self.rotation, self.ready = figures, rotation, ready
        self.head_s = FIRST_S
        self.tells: dict[str, Callable[[], str]] = {}  # what else is told, by path

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        status, text = await self._answer(request)
        self.counters.add("control_calls" if status < 400 else "control_denied")
        response = web.Response(status=status, text=text)
        response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> tuple[int, str]:
        path = origin_form(request.raw_path).partition("?")[0]
        tell = self.tells.get(path)
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
            return 200, self.figures.text()
        try:
            async with asyncio.timeout(BODY_S):
                node = await self._node(request)
        except TimeoutError:
            return 408, "the body does not come\n"
        except (web.RequestPayloadError, ConnectionError):
            node = None
        if node is None:
            return 400, "the body is not the id of a brick\n"
        done = self.rotation.down(node) if path.endswith("down") else self.rotation.up(node)
        return (200, "done\n") if done else (404, "no such brick\n")

    async def _node(self, request: web.BaseRequest) -> str | None:
        self.invite(request)
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > 1024:
                return None
        text = body.decode("latin-1").strip()
        return text if BACKEND.fullmatch(text) else None
