"""Maintenance on the heads' streams: passes reports to the coordinator and sends its stored decisions as updates.

An older head or service ends a stream on which it receives an unknown resource type. Therefore a head announces support
by the metric `maintenance` of its first request, which older services ignore. Only such a head is sent updates, and a
head sends reports only after it has received an update.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from hophinge.core.errors import one_line
from hophinge.control.clock import now_ms, now_us
from hophinge.control.connections import Connections, HeadStream
from hophinge.control.maintenance_store import MaintenanceStore
from hophinge.control.maintenance_wire import MAINTENANCE_METRIC, decode_report, encode_statements, encode_update
from hophinge.control.messages import DiscoveryRequest
from hophinge.control.quota_shares import QuotaShares
from hophinge.control.rollout import FORGET_HEAD_US
from hophinge.control.store import ControlStore
from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.retirement import retirement_errors, without_retired
from hophinge.maintenance.status import maintenance_status
from hophinge.routing import records
from hophinge.routing.s_expressions import Form
from hophinge.routing.records import Record

TICK_INTERVAL_US = 200_000  # unless an event causes an earlier tick
RETRY_INTERVAL_US = 500_000  # after the store failed
COORDINATED_RECORDS = (b'{"type":"pool"', b'{"type":"tenant"', b'{"type":"route"', b'{"type":"spare"')


class MaintenanceChannel:
    """The maintenance coordinator of one control service, and its messages on the heads' streams."""

    def __init__(
        self, control_store: ControlStore, connections: Connections, shares: QuotaShares, log: Callable[[str], None]
    ) -> None:
        """Restore the coordinator from the store."""
        self.control_store = control_store
        self.connections = connections
        self.shares = shares
        self.log = log
        self.store = MaintenanceStore(control_store, now_ms)
        self.statements = self.store.statements()
        forget_before_ms = now_ms() - FORGET_HEAD_US // 1000
        self.last_seen_ms = dict(control_store.known_heads())
        recent_heads = [name for name, seen_ms in self.last_seen_ms.items() if seen_ms > forget_before_ms]
        self.coordinator = PermitIssuer(
            self.store.issuer,
            self.store.fencing_token,
            self.store.permits(),
            self.store.releases(),
            self.store.zones(recent_heads),
            self.store,
            now_us(),
        )
        self.next_tick_us = 0
        self.failure = ""  # why the last step failed; empty if it succeeded
        self.returned_heads: list[str] = []  # declared retired but connected again; not stored yet
        self.on_statements(None)

    # --- the document

    def store_statements(self, statements: Sequence[Record], author: str, note: str) -> None:
        """Store new maintenance statements without a new version."""
        with self.control_store.transaction():
            self.control_store.write_maintenance(encode_statements(statements))
            detail = f"{len(statements)} forms on maintenance{': ' if note else ''}{note}"
            self.control_store.append_audit(now_ms(), author, "words", detail)
        self.on_statements(statements)

    def validate(self, statements: Sequence[Record], form: Form | None, name: str) -> list[str]:
        """Return a document's wrong statements about connected heads, as one message each.

        Args:
            statements: The document's maintenance statements.
            form: Its maintenance form, which gives the positions of mistakes.
            name: Name of the document, used in the messages.

        """
        return retirement_errors(statements, self.coordinator.observations.connected(), form, name)

    def on_statements(self, statements: Sequence[Record] | None) -> None:
        """Apply the statements of a stored document, with the pools and reserves of the newest version.

        Args:
            statements: The new statements; None keeps the current ones, when only the version has changed.

        """
        if statements is not None:
            self.statements = list(statements)
        newest = self.control_store.newest
        coordinated: list[Record] = []
        if newest is not None and self.statements:
            coordinated = [
                records.decode(record.body)
                for record in newest.records.values()
                if record.body.startswith(COORDINATED_RECORDS)
            ]
        self.coordinator.apply_configuration(self.statements, coordinated, self.shares.tenant_reserves())
        self.next_tick_us = 0

    # --- heads

    def on_head_connected(self, stream: HeadStream) -> None:
        """Begin to exchange maintenance messages on a head's stream."""
        name = stream.head
        stream.supports_maintenance = bool(stream.publisher.metrics.get(MAINTENANCE_METRIC))
        remaining = without_retired(self.statements, name)
        if remaining != self.statements:
            # Applied at once, as a connected head must not be treated as retired. The next tick stores it.
            self.returned_heads.append(name)
            self.on_statements(remaining)
            self.log(f"maintenance: {name} is connected again, so (retired {name}) no longer applies")
        self.coordinator.head_connected(name, stream.supports_maintenance, self.shares.head_count)
        self.next_tick_us = 0
        self._send_update(stream)

    def on_head_disconnected(self, name: str) -> None:
        """Record the end of a head's stream."""
        self.coordinator.head_disconnected(name)
        self.last_seen_ms[name] = now_ms()
        self._run_step(lambda: self.control_store.record_head(name, self.last_seen_ms[name]))
        self.next_tick_us = 0

    def on_report(self, stream: HeadStream, request: DiscoveryRequest) -> None:
        """Process a head's report; raises MalformedMessageError."""
        name = stream.head
        if self.connections.get(name) is not stream or not stream.supports_maintenance:
            return  # a newer stream has replaced this one, or the head has not announced support
        report = decode_report(request)
        self._run_step(lambda: self.coordinator.apply_report(name, report))
        self.next_tick_us = 0

    # --- steps

    def tick(self) -> None:
        """Let the coordinator make and store its decisions, then send updates to heads; a failed step is retried."""
        now = now_us()
        if now < self.next_tick_us:
            return
        self.next_tick_us = now + TICK_INTERVAL_US
        if self._run_step(self._store_returned_heads) and self._run_step(lambda: self.coordinator.tick(now)):
            for stream in self.connections.values():
                self._send_update(stream)
        else:
            self.next_tick_us = now + RETRY_INTERVAL_US

    def _store_returned_heads(self) -> None:
        if not self.returned_heads:
            return
        with self.control_store.transaction():
            self.control_store.write_maintenance(encode_statements(self.statements))
            for name in self.returned_heads:
                detail = f"{name} is back: (retired {name}) holds no more, take it out of the document"
                self.control_store.append_audit(now_ms(), "control service", "words", detail)
        self.returned_heads.clear()

    def _run_step(self, step: Callable[[], None]) -> bool:
        """Run a step that writes to the store; returns whether it succeeded.

        Repeated failures for the same reason are logged once. A later tick retries the step.
        """
        try:
            step()
        except Exception as error:  # a full disk, a FencedError or a bug here must not end the rollout of versions
            failure = one_line(error)
            if self.failure != failure:
                self.failure = failure
                self.log(f"maintenance is stalled: {failure}")
            return False
        self.failure = ""
        return True

    def _send_update(self, stream: HeadStream) -> None:
        if stream.supports_maintenance and (update := self.coordinator.next_update(stream.head)) is not None:
            stream.send([encode_update(update)])

    def status(self) -> dict[str, Any]:
        """Return the status for operators as a JSON object: permits, waiting requests, absent heads and releases."""
        return {
            "failing": self.failure,
            "now_ms": now_ms(),
            **maintenance_status(self.coordinator, lambda name: self.last_seen_ms.get(name, 0)),
        }
