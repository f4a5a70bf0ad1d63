"""Maintenance on the heads' streams: reports go to the coordinator, and what it has stored goes out as updates.

An older head would end its stream over a resource type that it does not know, and so would an older service. So a head
reports `maintenance` among its first metrics, which older services ignore; only such a head is ever sent an update; and
a head sends reports only after it got one.
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

TICK_INTERVAL_US = 200_000  # where no event causes an earlier tick
RETRY_INTERVAL_US = 500_000  # after the store failed
COORDINATED_RECORDS = (b'{"type":"pool"', b'{"type":"tenant"', b'{"type":"route"', b'{"type":"spare"')


class MaintenanceChannel:
    """The coordinator of one control service, and its side of the streams."""

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
            self.store.fence,
            self.store.permits(),
            self.store.courses(),
            self.store.zones(recent_heads),
            self.store,
            now_us(),
        )
        self.next_tick_us = 0
        self.failure = ""  # why the last step failed; empty: it did not
        self.returned_heads: list[str] = []  # were stated as retired and are back, which is not stored yet
        self.on_statements(None)

    # --- the document

    def store_statements(self, statements: Sequence[Record], author: str, note: str) -> None:
        """Store new statements beside a version that stays as it is."""
        with self.control_store.transaction():
            self.control_store.write_maintenance(encode_statements(statements))
            detail = f"{len(statements)} forms on maintenance{': ' if note else ''}{note}"
            self.control_store.append_audit(now_ms(), author, "words", detail)
        self.on_statements(statements)

    def validate(self, statements: Sequence[Record], form: Form | None, name: str) -> list[str]:
        """Return what a document states wrongly about connected heads, as lines.

        Args:
            statements: The document's statements on maintenance.
            form: Its form on maintenance, for the positions of mistakes.
            name: Name of the document.

        """
        return retirement_errors(statements, self.coordinator.observations.connected(), form, name)

    def on_statements(self, statements: Sequence[Record] | None) -> None:
        """Use the statements of a document that is stored, and the pools and reserves of its version.

        Args:
            statements: None: the statements stay, the version is another one.

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
        """Begin to serve a head's stream."""
        name = stream.head
        stream.supports_maintenance = bool(stream.publisher.metrics.get(MAINTENANCE_METRIC))
        remaining = without_retired(self.statements, name)
        if remaining != self.statements:
            # In force at once: a head that is connected must not be treated as retired. Stored by the next tick.
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
            return  # of a stream that a newer one has replaced
        report = decode_report(request)
        self._run_step(lambda: self.coordinator.apply_report(name, report))
        self.next_tick_us = 0

    # --- steps

    def tick(self) -> None:
        """Let the coordinator decide and store, then send updates to heads; a step that failed is retried."""
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
        """Run a step that writes to the store; a failure is logged once in a row, and a later tick retries the step."""
        try:
            step()
        except Exception as error:  # a full disk, a fence or a fault here must not end the rollout of versions
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
        """Return the status for operators, as a JSON object: permits, what waits for one, and what is missing."""
        return {
            "failing": self.failure,
            "now_ms": now_ms(),
            **maintenance_status(self.coordinator, lambda name: self.last_seen_ms.get(name, 0)),
        }
