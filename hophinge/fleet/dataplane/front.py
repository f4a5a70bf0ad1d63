"""The ASGI application of a data plane: clients' requests, and whether it is ready for them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from random import Random

from loguru import logger

from hophinge.fleet.configuration.routes import Limits, Route
from hophinge.fleet.dataplane import request_log
from hophinge.fleet.dataplane.client import carried
from hophinge.fleet.dataplane.cut_log import CutLog
from hophinge.fleet.dataplane.exchange import BrokenOffError, Exchange, Inbound
from hophinge.fleet.dataplane.knowledge import Knowledge
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.cuts import Side
from hophinge.fleet.forwarding.figures import RequestFigures
from hophinge.fleet.forwarding.headers import (
    DEADLINE,
    HOST,
    PROMPT_PREFIX,
    REQUEST_ID,
    TOKEN_USAGE,
    Fields,
    find,
    forwarded,
)
from hophinge.fleet.forwarding.life import Life
from hophinge.fleet.forwarding.split import SplitDraws
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import parse_prompt
from hophinge.fleet.settings import Settings
from hophinge.fleet.transport.asgi import (
    BodyMemory,
    BodyTooLargeError,
    ClientGoneError,
    NoRoomError,
    Receive,
    Scope,
    Send,
    answer,
    read_body,
)
from hophinge.fleet.transport.connection_context import connection_of
from hophinge.fleet.transport.connection_state import ConnectionState

READY_PATH = "/v1/ready"
MEMBER_PATH = "/v1/member"  # for operators: how this head stands
MILLISECONDS = 1_000
MARGIN_S = 0.03  # an answer leaves so long before the deadline
COME_BACK = (b"retry-after", b"0.6")  # from a head without routes: it has just started, and soon has them
CLOSE = (b"connection", b"close")
MAX_BODIES = 64 << 20  # bytes of the bodies of all requests under way: a fifth of the memory of a machine


class Front:
    """Serves clients and the platform's question whether this head is ready."""

    def __init__(self, settings: Settings, knowledge: Knowledge, placement: Placement, upstream: Upstream) -> None:
        self.settings, self.knowledge, self.placement, self.upstream = settings, knowledge, placement, upstream
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.random = Random()
        self.split = SplitDraws(self.random)
        self.budgets: dict[str, RetryBudget] = {}
        self.bodies = BodyMemory(MAX_BODIES)
        self.figures = RequestFigures()
        self.cuts = CutLog(knowledge, placement, upstream)
        self.ready_port = int(settings.ready.rsplit(":", 1)[1]) if settings.ready else 0
        self.ending = False
        self.connection_ends: Mapping[str, int] = {}  # of the server in front, where something had been left open

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        server = scope.get("server")
        if server is not None and server[1] == self.ready_port:
            await self._ready(scope, send)
            return
        try:
            await self._serve(scope, receive, send)
        except ClientGoneError:
            pass
        except BodyTooLargeError:
            await answer(send, 413, b"", [CLOSE])
        except NoRoomError:
            await answer(send, 503, b"", [COME_BACK, CLOSE])
        except BrokenOffError:
            pass  # told of by then; the server closes the connection behind what has gone
        except Exception:
            logger.exception("request handling failed")
            raise

    async def _ready(self, scope: Scope, send: Send) -> None:
        if scope["path"] == MEMBER_PATH:
            await answer(send, 200, json.dumps(self.status()).encode(), [(b"content-type", b"application/json")])
            return
        known = scope["path"] == READY_PATH
        ready = known and self.knowledge.informed and not self.ending
        await answer(send, 200 if ready else 503 if known else 404)

    def status(self) -> dict[str, object]:
        """Tell how this head stands."""
        knowledge, now = self.knowledge, self.loop.time()
        table, renewal = knowledge.table, knowledge.renewal
        return {
            "program": "data-plane",
            "identity": knowledge.me.identity,
            "address": knowledge.me.address,
            "ready": knowledge.informed and not self.ending,
            "ending": self.ending,
            "configuration": table.version if table is not None else None,
            "lease-holds": renewal.holds_lease(now),
            "granter": renewal.granter,
            "heads": renewal.holder_count,
            "heads-for-budgets": knowledge.heads(now),
            "instances": {
                identity: {
                    "service": node.instance.service,
                    "stage": node.instance.stage,
                    "state": node.instance.state,
                    "out": node.outstanding,
                    "rests": node.is_ejected(now),
                }
                for identity, node in sorted(self.placement.nodes.items())
            },
            "requests": self.figures.told(),
            "cuts": dict(sorted(self.cuts.counts.items())),
            "connection-ends": dict(sorted(self.connection_ends.items())),
            "digest": [f"{mark:016x}" for mark in knowledge.dissemination.store.fingerprints(now)],
        }

    def budget(self, service: str) -> RetryBudget:
        """Tell this head's part of a service's retry budget."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s, self.started)
            self.budgets[service] = budget
        return budget

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrived = self.loop.time()
        fields: Fields = scope["headers"]
        table = self.knowledge.table
        limits = table.limits if table is not None else Limits()
        if sum(len(name) + len(value) + 4 for name, value in fields) > limits.header_bytes:
            await answer(send, 431, b"", [CLOSE])
            return
        with self.bodies.share() as share:
            body = await read_body(receive, limits.body_bytes, share)
            await self._route(arrived, scope, receive, send, body)

    async def _route(self, arrived: float, scope: Scope, receive: Receive, send: Send, body: bytes) -> None:
        """Find a request's route, and carry it by the configuration in force once it was read whole."""
        fields: Fields = scope["headers"]
        closing = [CLOSE] if self.ending else []
        table = self.knowledge.table
        if table is None:
            await answer(send, 503, b"", [COME_BACK, *closing])
            return
        path = scope["raw_path"].decode("latin-1")
        route = table.find((find(fields, HOST) or "").rsplit(":", 1)[0], path)
        if route is None:
            await answer(send, 404, b"", closing)
            return
        target = scope["raw_path"] + (b"?" + scope["query_string"] if scope["query_string"] else b"")
        inbound = Inbound(scope["method"].encode(), target, forwarded(fields), body, find(fields, REQUEST_ID))
        life = self._life(arrived, route, fields, inbound)
        await self._carry(Exchange(inbound, life, self.upstream, send, self.ending), receive, connection_of(scope))

    def _life(self, arrived: float, route: Route, fields: Fields, inbound: Inbound) -> Life:
        table = self.knowledge.table
        assert table is not None
        service = self.split.service(route)
        engine = table.services[service].engine
        usage = find(fields, TOKEN_USAGE)
        prompt = parse_prompt(usage, find(fields, PROMPT_PREFIX)) if engine is not None and usage else None
        text = (find(fields, DEADLINE) or "").strip()
        wanted = float(text) / MILLISECONDS if text.isdigit() else route.timeout_s
        deadline = arrived + min(wanted, route.timeout_s) - MARGIN_S
        budget = self.budget(service)
        budget.requested(arrived)
        name = inbound.request_id or str(self.random.getrandbits(64))
        heads = self.knowledge.heads(arrived)
        trace = RequestTrace(route.name, arrived, route.target_s)
        return Life(
            name,
            route,
            service,
            prompt,
            engine is not None,
            arrived + route.target_s,
            deadline,
            self.placement,
            budget,
            heads,
            trace,
            min(deadline, arrived + route.client_timeout_s),
        )

    async def _carry(self, exchange: Exchange, receive: Receive, connection: ConnectionState) -> None:
        """Carry a request; where its client leaves, the instance's work is given up with the connection."""
        work = self.loop.create_task(exchange.run())
        try:
            if not await carried(work, receive, lambda: exchange.answered):
                self.cuts.note(exchange, Side.CLIENT, connection.ending.value if connection.ending else "")
        except BrokenOffError:
            failure = exchange.failure
            self.cuts.note(exchange, failure.side if failure else Side.HEAD, failure.error if failure else "")
            raise
        except Exception as error:
            self.cuts.note(exchange, Side.HEAD, f"{type(error).__name__}({error})")
            raise
        except asyncio.CancelledError:
            if not exchange.answered:
                self.cuts.note(exchange, Side.PROCESS)
            raise
        finally:
            self.figures.take(exchange.life.trace)
            if self.placement.policy.trace:
                request_log.write(exchange.life.trace, exchange.life.prompt, self.settings.zone)
