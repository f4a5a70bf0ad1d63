"""The operator API of the control service: push, status, history, rollback and resume.

Requests and responses are JSON objects.
"""

from __future__ import annotations

import asyncio
import hmac
import sqlite3
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import grpc
import msgspec

from hophinge.control.clock import now_ms
from hophinge.control.maintenance_channel import MaintenanceChannel
from hophinge.control.messages import NO_VERSION, parse_version_text, version_name
from hophinge.control.quota_shares import QuotaShares, declared_reserves
from hophinge.control.rollout import HeadStatus
from hophinge.control.rollout_runner import RolloutRunner
from hophinge.control.store import NewVersion, StoreError
from hophinge.control.tokens import bearer_token
from hophinge.routing import records
from hophinge.routing.document_reader import read_document
from hophinge.routing.records import Record

MAX_HISTORY = 1000
DEFAULT_HISTORY = 20

JsonObject = dict[str, Any]
"""A JSON object of a request or response; docs/operate/stream.md lists the keys."""

Operation = Callable[[str, JsonObject], JsonObject | Awaitable[JsonObject]]
"""An operation's function, which gets the operator's name and the request."""


class OperatorApi:
    """Operations of one control service."""

    def __init__(
        self,
        operators: Mapping[str, str],
        runner: RolloutRunner,
        shares: QuotaShares,
        maintenance: MaintenanceChannel,
        log: Callable[[str], None],
    ) -> None:
        """Create the API; `operators` gives the operator's name by token."""
        self.operators = operators
        self.runner = runner
        self.rollout = runner.rollout
        self.store = runner.store
        self.shares = shares
        self.maintenance = maintenance
        self.log = log

    def handler(self, operation: Operation) -> Callable[[bytes, Any], Awaitable[bytes]]:
        """Return the gRPC handler of an operation: it authenticates the operator and maps errors to status codes."""

        async def answer(body: bytes, context: Any) -> bytes:
            operator = self._authenticate(bearer_token(context))
            if operator is None:
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "the token is not a known operator token")
            try:
                result = operation(operator or "", msgspec.json.decode(body, type=JsonObject))
                return msgspec.json.encode(await result if asyncio.iscoroutine(result) else result)
            except sqlite3.Error as error:
                self.log(f"the store failed: {error}")
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"nothing was stored: {error}")
                raise
            except (StoreError, ValueError, KeyError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                raise

        return answer

    def _authenticate(self, token: str) -> str | None:
        for operator_token, operator in self.operators.items():
            if hmac.compare_digest(token, operator_token):
                return operator
        return None

    # --- changes

    async def push(self, operator: str, request: JsonObject) -> JsonObject:
        """Validate a document and store it as the next version; `expect`, if given, must be the newest version."""
        source = str(request["text"]).encode()
        document = read_document(source)
        name = str(request.get("name", "the document"))
        note = str(request.get("note", ""))
        if mistakes := document.mistake_lines(name):
            return {"mistakes": mistakes}
        statements = [record for record in document.records.values() if isinstance(record, records.MAINTENANCE_RECORDS)]
        if mistakes := self.maintenance.validate(statements, document.forms.get("maintenance/*"), name):
            return {"mistakes": mistakes}
        bodies = {
            key: records.encode(record)
            for key, record in document.records.items()
            if not isinstance(record, (records.RolloutRule, *records.MAINTENANCE_RECORDS))
        }
        declared = declared_reserves(bodies.values())
        await self.shares.check_reserves(
            {**self.shares.tenant_reserves(), **declared.by_tenant}, declared.head_capacity
        )
        self._check_expected(request.get("expect"))
        if not request.get("again") and self._is_newest(bodies):
            return self._store_statements(statements, operator, note)
        rule = document.records.get("rollout/*", records.RolloutRule())
        assert isinstance(rule, records.RolloutRule)
        version_id = self.runner.push(NewVersion(bodies, rule, operator, note, source, statements))
        return {"version": version_name(version_id)}

    def _newest_name(self) -> str:
        newest = self.store.newest
        return version_name(newest.id if newest is not None else NO_VERSION)

    def _check_expected(self, expected: object) -> None:
        newest = self._newest_name()
        if expected and expected != newest:
            raise StoreError(f"the newest version is {newest}, not {expected}")

    def _is_newest(self, bodies: Mapping[str, bytes]) -> bool:
        newest = self.store.newest
        return newest is not None and bodies == {name: record.body for name, record in newest.records.items()}

    def _store_statements(self, statements: Sequence[Record], operator: str, note: str) -> JsonObject:
        """Store maintenance statements without a new version, as the newest one has the same records."""
        version = self._newest_name()
        if list(statements) == self.maintenance.statements:
            return {"version": version, "unchanged": True}
        self.maintenance.store_statements(statements, operator, note)
        return {"version": version}

    def roll_back(self, operator: str, request: JsonObject) -> JsonObject:
        """Push the content of an earlier version as the next one."""
        version_id = parse_version_text(str(request["to"]))
        is_immediate = request.get("at_once")
        rule = self.runner.immediate_rule() if is_immediate else self.store.rollout_rule(version_id)
        bodies = self.store.version_records(version_id)
        version = NewVersion(bodies, rule, operator, f"rollback to {version_name(version_id)}")
        return {"version": version_name(self.runner.push(version, is_rollback=True))}

    def resume(self, operator: str, request: JsonObject) -> JsonObject:
        """Continue a paused rollout."""
        if not self.rollout.resume():
            raise StoreError("no rollout is paused")
        target = version_name(self.rollout.plan.target)
        self.store.set_rollout_plan(self.rollout.plan, operator, "resume", target, now_ms())
        return {"version": target}

    # --- queries

    def status(self, operator: str, request: JsonObject) -> JsonObject:
        """Return the version that each head runs, and the stage of the rollout."""
        plan = self.rollout.plan
        heads = sorted(self.rollout.heads.values(), key=lambda head: head.name)
        return {
            "epoch": self.store.epoch,
            "size": self.shares.head_count,
            "stable": version_name(plan.stable),
            "target": version_name(plan.target),
            "stage": plan.stage.value,
            "wave": plan.wave,
            "last_wave": self.rollout.last_wave,
            "reason": plan.reason,
            "heads": [self._head_status(head) for head in heads],
            "maintenance": self.maintenance.status(),
        }

    def _head_status(self, head: HeadStatus) -> JsonObject:
        return {
            "name": head.name,
            "connected": head.is_connected,
            "runs": version_name(head.running),
            "wanted": version_name(self.rollout.target_for(head.name)),
            "turned_down": head.reason and version_name(head.rejected),
            "reason": head.reason,
            "taken": head.requests,
            "failed": head.failed,
        }

    def history(self, operator: str, request: JsonObject) -> JsonObject:
        """Return the newest versions and audit entries."""
        limit = max(1, min(MAX_HISTORY, int(request.get("most", DEFAULT_HISTORY))))
        return {"versions": self.store.history(limit), "audit": self.store.audit_entries(limit)}
