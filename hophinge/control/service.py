"""The control service: combines the rollout, quota shares, maintenance, the heads' streams and the operator API."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import grpc
import grpc.aio

from hophinge.control.clock import now_ms, now_us
from hophinge.control.connections import Connections
from hophinge.control.head_streams import MAX_STREAMS, HeadStreamHandler
from hophinge.control.maintenance_channel import MaintenanceChannel
from hophinge.control.messages import MAX_MESSAGE_BYTES, METHOD, OPERATOR_SERVICE, SERVICE
from hophinge.control.operator_api import Operation, OperatorApi
from hophinge.control.quota_shares import QuotaShares
from hophinge.control.rollout import RolloutController
from hophinge.control.rollout_runner import RolloutRunner
from hophinge.control.store import ControlStore
from hophinge.state.ledger import Ledger
from hophinge.tenancy.accounts import Accounts

SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
)
MAX_OPERATOR_CALLS = 64  # served concurrently, in addition to the streams
STOP_GRACE_S = 0.5
Log = Callable[[str], None]


class ControlService:
    """Streams versions to heads and serves the operator API."""

    def __init__(
        self,
        store: ControlStore,
        head_tokens: frozenset[str],
        operators: Mapping[str, str],
        log: Log,
        ledger: Ledger | None = None,
        accounts: Accounts | None = None,
    ) -> None:
        """Create a service that does not listen yet.

        Args:
            store: The service's store, which `stop` closes.
            head_tokens: Tokens of heads.
            operators: The operator's name by token.
            log: Called with log lines for operators.
            ledger: The ledger of accounts that heads replicate; None if this service does not own it.
            accounts: The same accounts in memory.

        """
        self.store = store
        self.connections: Connections = {}
        self.rollout = _restored_rollout(store)
        self.shares = QuotaShares(
            store,
            accounts,
            lambda: store.snapshots.get(self.rollout.plan.target),
            self.connections.keys,
            now_us,
            log,
        )
        self.maintenance = MaintenanceChannel(store, self.connections, self.shares, log)
        self.runner = RolloutRunner(store, self.rollout, self.connections, self.maintenance, log)
        self.streams = HeadStreamHandler(
            head_tokens, self.connections, self.runner, self.shares, self.maintenance, ledger, log
        )
        self.operator_api = OperatorApi(operators, self.runner, self.shares, self.maintenance, log)
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.run_task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Listen on `host:port`; raises OSError."""
        self.server = grpc.aio.server(options=SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_STREAMS + MAX_OPERATOR_CALLS)
        api = self.operator_api
        operations: dict[str, Operation] = {
            "Push": api.push,
            "Status": api.status,
            "History": api.history,
            "Rollback": api.roll_back,
            "Resume": api.resume,
        }
        calls = {
            name: grpc.unary_unary_rpc_method_handler(api.handler(operation)) for name, operation in operations.items()
        }
        stream = grpc.stream_stream_rpc_method_handler(self.streams.serve)
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(SERVICE, {METHOD: stream}),
                grpc.method_handlers_generic_handler(OPERATOR_SERVICE, calls),
            )
        )
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address}: {error}") from error
        await self.server.start()
        self.run_task = asyncio.create_task(self.runner.run())

    async def stop(self) -> None:
        """End all streams and close the store."""
        if self.run_task is not None:
            self.run_task.cancel()
            await asyncio.gather(self.run_task, return_exceptions=True)
        for stream in self.connections.values():
            stream.close()
        if self.server is not None:
            await self.server.stop(STOP_GRACE_S)
        self.store.close()


def _restored_rollout(store: ControlStore) -> RolloutController:
    plan = store.rollout_plan()
    started_ms = now_ms()
    known_heads = [(head.name, (head.last_seen_ms - started_ms) * 1000) for head in store.known_heads()]
    return RolloutController(plan, store.rollout_rule(plan.target), known_heads)
