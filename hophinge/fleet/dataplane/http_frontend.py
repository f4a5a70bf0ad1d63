"""The ASGI application of a data plane: clients' requests, and the platform's readiness check."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from random import Random

from loguru import logger

from hophinge.fleet.configuration.routes import Limits, Route, RouteTable
from hophinge.fleet.dataplane import request_log
from hophinge.fleet.dataplane.client import run_until_disconnect
from hophinge.fleet.dataplane.abort_log import AbortLog
from hophinge.fleet.dataplane.exchange import ResponseAbortedError, Exchange, Inbound
from hophinge.fleet.dataplane.cluster_state import ClusterState
from hophinge.fleet.dataplane.response_recorder import ResponseRecorder
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.aborted_responses import AbortSide
from hophinge.fleet.forwarding.request_metrics import RequestMetrics
from hophinge.fleet.forwarding.headers import (
    DEADLINE,
    HOST,
    PROMPT_PREFIX,
    REQUEST_ID,
    TOKEN_USAGE,
    Fields,
    find_field,
    forwarded_fields,
    host_name,
)
from hophinge.fleet.forwarding.request_lifecycle import RequestLifecycle
from hophinge.fleet.forwarding.split import TrafficSplit
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.numerals import parse_decimal
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import parse_prompt
from hophinge.fleet.settings import Settings
from hophinge.fleet.transport.asgi import (
    CLOSE,
    BodyTooLargeError,
    ClientGoneError,
    Receive,
    Scope,
    Send,
    answer,
    counted,
    read_body,
)
from hophinge.fleet.transport.client_memory import BodyMemoryFullError, MemoryReservation
from hophinge.fleet.transport.connection_context import connection_of, memory_of
from hophinge.fleet.transport.connection_state import ConnectionState

READY_PATH = "/v1/ready"
MEMBER_PATH = "/v1/member"  # for operators: this head's status
MILLISECONDS = 1_000
DEADLINE_MARGIN_S = 0.03  # a response is sent this long before the deadline
RETRY_AFTER = (b"retry-after", b"0.6")  # in seconds; a head that has just started soon has its routes


class HttpFrontend:
    """Serves clients and the platform's readiness check."""

    def __init__(
        self, settings: Settings, cluster_state: ClusterState, placement: Placement, upstream: Upstream
    ) -> None:
        self.settings = settings
        self.cluster_state = cluster_state
        self.placement = placement
        self.upstream = upstream
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.random = Random()
        self.traffic_split = TrafficSplit(self.random)
        self.budgets: dict[str, RetryBudget] = {}
        self.metrics = RequestMetrics()
        self.abort_log = AbortLog(cluster_state, placement, upstream)
        self.ready_port = int(settings.ready_address.rsplit(":", 1)[1]) if settings.ready_address else 0
        self.is_shutting_down = False
        self.connection_outcomes: Mapping[str, int] = {}  # the server's counts of close reasons

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        server = scope.get("server")
        if server is not None and server[1] == self.ready_port:
            await self._serve_platform(scope, send)
            return
        recorder = ResponseRecorder(send)
        try:
            await self._serve(scope, receive, recorder)
        except ClientGoneError:
            recorder.reason = "client left before the request was complete"
        except BodyMemoryFullError:
            recorder.reason = "no memory"
            await answer(recorder, 503, b"", [RETRY_AFTER, CLOSE])
        except ResponseAbortedError:
            pass  # already logged; the server closes the connection after the incomplete response
        finally:
            logger.info("{}", recorder.completed_request(scope).event())

    async def _serve_platform(self, scope: Scope, send: Send) -> None:
        if scope["path"] == MEMBER_PATH:
            await answer(send, 200, json.dumps(self.status()).encode(), [(b"content-type", b"application/json")])
            return
        is_ready_path = scope["path"] == READY_PATH
        is_ready = is_ready_path and self.cluster_state.is_ready and not self.is_shutting_down
        await answer(send, 200 if is_ready else 503 if is_ready_path else 404)

    def status(self) -> dict[str, object]:
        """Return the JSON object of this head's status; its keys are read by operators' tools and tests."""
        cluster_state = self.cluster_state
        now = self.loop.time()
        table = cluster_state.route_table
        renewal = cluster_state.renewal
        return {
            "program": "data-plane",
            "identity": cluster_state.me.identity,
            "address": cluster_state.me.address,
            "ready": cluster_state.is_ready and not self.is_shutting_down,
            "ending": self.is_shutting_down,
            "configuration": table.version if table is not None else None,
            "unapplied": sorted(cluster_state.unapplied),
            "evacuated-zones": sorted(self.placement.admission.evacuated_zones),
            "lease-holds": renewal.holds_lease(now),
            "granter": renewal.granter,
            "heads": renewal.holder_count,
            "heads-for-budgets": cluster_state.head_count(now),
            "instances": {
                identity: {
                    "service": node.instance.service,
                    "stage": node.instance.stage,
                    "state": node.instance.state,
                    "out": node.outstanding,
                    "rests": node.is_ejected(now),
                    "surplus": self.upstream.surplus_responses(identity),
                }
                for identity, node in sorted(self.placement.nodes.items())
            },
            "requests": self.metrics.snapshot(),
            "cuts": dict(sorted(self.abort_log.counts.items())),
            "connection-ends": dict(sorted(self.connection_outcomes.items())),
            "digest": [f"{fingerprint:016x}" for fingerprint in cluster_state.dissemination.store.fingerprints(now)],
        }

    def budget(self, service: str) -> RetryBudget:
        """Return this head's share of a service's retry budget."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(bounds.budget_ratio, bounds.budget_slack, bounds.budget_window_s, self.started_at)
            self.budgets[service] = budget
        return budget

    async def _serve(self, scope: Scope, receive: Receive, send: ResponseRecorder) -> None:
        arrived = self.loop.time()
        fields: Fields = scope["headers"]
        table = self.cluster_state.route_table
        limits = table.limits if table is not None else Limits()
        if sum(len(name) + len(value) + 4 for name, value in fields) > limits.header_bytes:
            await self._reject_size(send, 431, table)
            return
        with MemoryReservation(memory_of(scope)) as reservation:
            try:
                body = await read_body(counted(receive, reservation), limits.body_bytes)
            except BodyTooLargeError:
                await self._reject_size(send, 413, table)
                return
            await self._route(arrived, scope, receive, send, body, reservation)

    async def _reject_size(self, send: Send, status: int, table: RouteTable | None) -> None:
        """Reject a request that exceeds the limits; without a configuration these are defaults, and 503 is sent."""
        if table is None:
            await answer(send, 503, b"", [RETRY_AFTER, CLOSE])
        else:
            await answer(send, status, b"", [CLOSE])

    async def _route(
        self,
        arrived: float,
        scope: Scope,
        receive: Receive,
        send: ResponseRecorder,
        body: bytes,
        reservation: MemoryReservation,
    ) -> None:
        """Find the route of a completely read request in the configuration applied by now, and run the request."""
        fields: Fields = scope["headers"]
        close_fields = [CLOSE] if self.is_shutting_down else []
        table = self.cluster_state.route_table
        if table is None:
            send.reason = "no configuration"
            await answer(send, 503, b"", [RETRY_AFTER, *close_fields])
            return
        host = host_name(find_field(fields, HOST) or "")
        path = scope["raw_path"].decode("latin-1")
        route = table.find(host, path)
        if route is None:
            send.reason = "no route"
            await answer(send, 404, b"", close_fields)
            return
        if not route.is_available:
            send.reason = "route not available"
            await answer(send, 503, b"", [RETRY_AFTER, *close_fields])
            return
        target = scope["raw_path"] + (b"?" + scope["query_string"] if scope["query_string"] else b"")
        inbound = Inbound(
            scope["method"].encode(), target, forwarded_fields(fields), body, find_field(fields, REQUEST_ID)
        )
        lifecycle = self._begin_lifecycle(arrived, route, fields, inbound, lambda: self._current_route(host, path))
        exchange = Exchange(inbound, lifecycle, self.upstream, send, self.is_shutting_down, reservation)
        send.exchange = exchange
        await self._run_exchange(exchange, receive, connection_of(scope))

    def _current_route(self, host: str, path: str) -> Route | None:
        """Return the route in the configuration applied by now."""
        table = self.cluster_state.route_table
        return table.find(host, path) if table is not None else None

    def _begin_lifecycle(
        self,
        arrived: float,
        route: Route,
        fields: Fields,
        inbound: Inbound,
        current_route: Callable[[], Route | None],
    ) -> RequestLifecycle:
        table = self.cluster_state.route_table
        assert table is not None
        service = self.traffic_split.choose_service(route)
        engine = table.services[service].engine
        usage = find_field(fields, TOKEN_USAGE)
        prompt = parse_prompt(usage, find_field(fields, PROMPT_PREFIX)) if engine is not None and usage else None
        requested_ms = parse_decimal(find_field(fields, DEADLINE) or "")
        requested_s = requested_ms / MILLISECONDS if requested_ms is not None else route.timeout_s
        deadline = arrived + min(requested_s, route.timeout_s) - DEADLINE_MARGIN_S
        budget = self.budget(service)
        budget.record_request(arrived)
        name = inbound.request_id or str(self.random.getrandbits(64))
        heads = self.cluster_state.head_count(arrived)
        trace = RequestTrace(route.name, arrived, route.target_s)
        return RequestLifecycle(
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
            current_route,
        )

    async def _run_exchange(self, exchange: Exchange, receive: Receive, connection: ConnectionState) -> None:
        """Run a request; if its client disconnects, cancel it and close its connection to the instance."""
        work = self.loop.create_task(exchange.run())
        try:
            if not await run_until_disconnect(work, receive, lambda: exchange.is_response_complete):
                self.abort_log.record(
                    exchange, AbortSide.CLIENT, connection.close_reason.value if connection.close_reason else ""
                )
        except ResponseAbortedError:
            failure = exchange.failure
            self.abort_log.record(
                exchange, failure.side if failure else AbortSide.HEAD, failure.error if failure else ""
            )
            raise
        except Exception as error:
            self.abort_log.record(exchange, AbortSide.HEAD, f"{type(error).__name__}({error})")
            raise
        except asyncio.CancelledError:
            if not exchange.is_response_complete:
                self.abort_log.record(exchange, AbortSide.PROCESS)
            raise
        finally:
            self.metrics.record(exchange.lifecycle.trace)
            self.metrics.record_surplus(exchange.context.surplus.responses)
            if self.placement.policy.trace:
                request_log.log_request(exchange.lifecycle.trace, exchange.lifecycle.prompt, self.settings.zone)
