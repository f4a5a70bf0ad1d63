"""The issuer of permits: processes the configuration and the reports of heads, and makes the updates for heads.

Nothing is sent before it is stored: each step passes its rows to the store first, and applies them only after the store
has returned. All updates are made from the current table, so an issuer that ends in between sends them after its
restart, and a step that failed is repeated by the next `tick`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from hophinge.maintenance.drain_verdicts import DrainStatements, DrainVerdict, required_heads
from hophinge.maintenance.messages import HeadReport, PermitUpdate
from hophinge.maintenance.observations import Observations, ObservedHead, backend_floors, head_floor
from hophinge.maintenance.permit_store import PermitStore
from hophinge.maintenance.permits import (
    Availability,
    CapacityFloor,
    Permit,
    PermitDecision,
    PermitKind,
    PermitRequest,
    PermitState,
    PermitTable,
)
from hophinge.maintenance.releases import ReleaseDecision, ReleaseProgress, Releases, ReleaseStage
from hophinge.maintenance.snapshots import SnapshotReceiver
from hophinge.maintenance.wave_monitor import DISCONNECT_TIMEOUT_US, HeadStatus
from hophinge.routing.maintenance_records import MaintenanceRule, Outage, Release
from hophinge.routing.records import Record

# Prefixes of the requester of a permit.
RELEASE = "release "
OUTAGE = "outage "
HEAD = "head "


class PermitIssuer:
    """The issuer of one installation.

    Args:
        issuer: The id of the store, which identifies the issuer to heads.
        fencing_token: Greater than that of every process that used this store before.
        permits: The stored permits.
        releases: The stored releases.
        zones: The zones of known heads, by name.
        store: Where permits and releases are stored.
        now_us: The current time.

    """

    def __init__(
        self,
        issuer: str,
        fencing_token: int,
        permits: Iterable[Permit],
        releases: Iterable[ReleaseProgress],
        zones: Mapping[str, str],
        store: PermitStore,
        now_us: int,
    ) -> None:
        self.issuer = issuer
        self.fencing_token = fencing_token
        self.store = store
        self.permits = PermitTable(permits, fencing_token, now_us)
        self.releases = Releases(releases)
        self.drain_statements = DrainStatements()
        self.observations = Observations(zones)
        self.started_us = now_us
        self.policy = MaintenanceRule()
        self.outages: dict[str, Outage] = {}
        self.configured_releases: dict[str, Release] = {}
        self.records: tuple[Record, ...] = ()  # of pools, routes and tenants
        self.reserves: dict[str, float] = {}  # of tenants that have an account
        self.waiting_reasons: dict[tuple[PermitKind, str], str] = {}  # why requests were rejected, by kind and name
        self.last_updates: dict[str, PermitUpdate] = {}  # by head
        self.last_sequence = 0  # of the updates to all heads
        self.backend_availability: Availability | None = None  # cached until a report arrives or time advances

    # --- input

    def apply_configuration(
        self, maintenance_records: Iterable[Record], records: Iterable[Record], reserves: Mapping[str, float]
    ) -> None:
        """Apply the maintenance records, and the records and reserves that determine the required capacity."""
        rows = list(maintenance_records)
        self.policy = next((row for row in rows if isinstance(row, MaintenanceRule)), MaintenanceRule())
        self.outages = {row.name: row for row in rows if isinstance(row, Outage)}
        self.configured_releases = {row.name: row for row in rows if isinstance(row, Release)}
        self.records = tuple(records)
        self.reserves = dict(reserves)

    def head_connected(self, name: str, supports_permits: bool, head_count: int) -> None:
        """Record the stream of a head; `head_count` is the number of heads in the installation, 0: unknown."""
        head = self.observations.heads.setdefault(name, ObservedHead())
        head.is_connected = True
        head.was_connected = True
        head.supports_permits = supports_permits
        head.report = None
        head.receiver = SnapshotReceiver()
        self.backend_availability = None
        self.observations.head_count = head_count
        self.last_updates.pop(name, None)

    def head_disconnected(self, name: str) -> None:
        """Record the end of a head's stream."""
        head = self.observations.heads.get(name)
        if head is not None:
            head.is_connected = False
            head.report = None
            self.backend_availability = None

    def apply_report(self, name: str, report: HeadReport) -> None:
        """Apply the report of a head, which replaces its last one; a stale report has no effect."""
        head = self.observations.heads[name]
        full_report = head.receiver.to_full(report)
        if full_report is None:
            return
        if full_report.zone and full_report.zone != head.zone:
            self.store.store_zone(name, full_report.zone)
            head.zone = full_report.zone
        head.report = full_report
        self.backend_availability = None
        self.drain_statements.record_statements(name, full_report.statements, True, self.permits.active)
        for other, statements in full_report.peer_statements.items():
            # A connected head reports for itself: statements that others relay may be of an earlier process.
            known = self.observations.heads.get(other)
            if known is None or not known.is_connected:
                self.drain_statements.record_statements(other, statements, False, self.permits.active)

    # --- evaluation

    def tick(self, now_us: int) -> None:
        """Update permits and releases by the current observations; after an error of the store, call it again."""
        self.backend_availability = None
        self._store(now_us, self.permits.expired(now_us))
        for permit_id in self.policy.released_permits:
            if permit_id in self.permits.active:
                self._store(now_us, self.permits.transition(permit_id, PermitState.FREE))
        self._apply_evidence(now_us)
        self.drain_statements.retain(self.permits.active)
        self.waiting_reasons = {}
        self._request_outages(now_us)
        self._advance_releases(now_us)
        self._handle_head_requests(now_us)

    def _store(self, now_us: int, rows: Sequence[Permit], releases: Sequence[ReleaseProgress] = ()) -> None:
        if rows or releases:
            self.store.save(rows, releases)
            self.permits.apply(now_us, rows)
            self.releases.apply(releases)

    def _apply_evidence(self, now_us: int) -> None:
        """Store the transitions that follow from streams, reports and statements."""
        for permit in list(self.permits.active.values()):
            if permit.kind is PermitKind.HEAD:
                state = self._head_permit_state(permit, now_us)
            else:
                state = self._backend_permit_state(permit)
            if state is not None:
                self._store(now_us, self.permits.transition(permit.id, state))

    def _head_permit_state(self, permit: Permit, now_us: int) -> PermitState | None:
        """Return the next state of a head's permit by its stream and report, None if there is no evidence for one."""
        head = self.observations.heads.get(permit.name)
        if permit.state is PermitState.GRANTED or head is None:
            return None
        if not head.is_connected:
            # After its own start the issuer has to give heads time to connect before absence is evidence.
            is_evidence = head.was_connected or now_us - self.started_us >= DISCONNECT_TIMEOUT_US
            return PermitState.OUT if is_evidence and permit.state in (PermitState.BEGUN, PermitState.BACK) else None
        is_requested = self._is_still_requested(permit)
        report = head.report
        if report is not None:
            is_restarted = report.process != permit.process
        else:
            is_restarted = not head.supports_permits and permit.state is PermitState.OUT
        if permit.state in (PermitState.BEGUN, PermitState.OUT):
            return PermitState.BACK if is_restarted or not is_requested else None
        has_build = report is None or not permit.build or report.build == permit.build
        is_in_outage = permit.requester.startswith(OUTAGE) and is_requested
        return PermitState.FREE if head.is_up and has_build and not is_in_outage else None

    def _backend_permit_state(self, permit: Permit) -> PermitState | None:
        """Return the next state of a backend's permit by heads' statements, None if there is no evidence for one."""
        if permit.state is PermitState.BACK:
            head_count = self.observations.head_availability(self.policy.retired_heads).total
            required_count = max(1, min(self.policy.min_serving_heads, head_count))
            return PermitState.FREE if self.drain_statements.served_count(permit.id) >= required_count else None
        if not self._is_still_requested(permit):
            return PermitState.BACK
        return PermitState.OUT if permit.state is PermitState.BEGUN and self.verdict(permit).is_complete else None

    def _is_still_requested(self, permit: Permit) -> bool:
        """Whether the outage that a permit was requested for is still configured; true for other requesters."""
        if not permit.requester.startswith(OUTAGE):
            return True
        outage = self.outages.get(permit.requester.removeprefix(OUTAGE))
        if outage is None:
            return False
        return permit.name in (outage.heads if permit.kind is PermitKind.HEAD else outage.backends)

    def verdict(self, permit: Permit) -> DrainVerdict:
        """Return the heads whose statements that the backend is drained are missing."""
        outage = self.outages.get(permit.requester.removeprefix(OUTAGE))
        connected = self.observations.connected()
        known = [name for name in self.observations.heads if name not in self.policy.retired_heads]
        exempt = {
            *(outage.ignored_heads if outage is not None else ()),
            *(set(self.policy.retired_heads) - connected),
        }
        required = required_heads(
            known,
            connected,
            self.observations.reported_live(),
            self.observations.reported_departed(),
            exempt,
        )
        return self.drain_statements.verdict(permit.id, required)

    # --- requests

    def _floors(self, kind: PermitKind) -> list[CapacityFloor]:
        if kind is PermitKind.HEAD:
            return [head_floor(self.records, self.reserves)]
        listings = {name: listed.listing for name, listed in self.observations.listed_backends.items()}
        return backend_floors(self.records, listings, self.policy.backend_capacity, self.reserves)

    def _request(self, now_us: int, request: PermitRequest) -> None:
        if request.kind is PermitKind.HEAD:
            availability = self.observations.head_availability(self.policy.retired_heads)
            limit = self.policy.heads
        else:
            self.backend_availability = self.backend_availability or self.observations.backend_availability(now_us)
            availability = self.backend_availability
            limit = self.policy.backends
        decision = self.permits.decide(now_us, request, availability, limit, self._floors(request.kind))
        self._apply_decision(now_us, request.kind, request.name, decision)

    def _apply_decision(self, now_us: int, kind: PermitKind, name: str, decision: PermitDecision) -> None:
        self._store(now_us, decision.rows)
        if decision.reason:
            self.waiting_reasons[kind, name] = decision.reason

    def _request_outages(self, now_us: int) -> None:
        for outage in self.outages.values():
            requester = OUTAGE + outage.name
            for kind, names in ((PermitKind.BACKEND, outage.backends), (PermitKind.HEAD, outage.heads)):
                for name in names:
                    current = self.permits.for_target(kind, name)
                    if current is None or current.requester != requester:
                        process = self._process_of(name) if kind is PermitKind.HEAD else 0
                        request = PermitRequest(kind, name, requester, outage.name, "", True, process)
                        self._request(now_us, request)

    def _process_of(self, head_name: str) -> int:
        """Return the process id that a head has reported, 0 if it has not reported one."""
        head = self.observations.heads.get(head_name)
        return head.report.process if head is not None and head.report is not None else 0

    def _advance_releases(self, now_us: int) -> None:
        self._store(now_us, (), self.releases.reconcile(self.configured_releases))
        decision = self.releases.decide(now_us, self.configured_releases, self.head_statuses())
        rows = [
            msgspec.structs.replace(permit, state=PermitState.FREE)
            for permit in self.permits.active.values()
            if permit.state is PermitState.GRANTED and permit.requester.removeprefix(RELEASE) in decision.withdrawn
        ]
        for permit_id, build in decision.rebuilt:
            rows += self.permits.transition(permit_id, self.permits.active[permit_id].state, build)
        self._store(now_us, rows, decision.progress)  # previous builds are stored before any head is asked to restart
        self._request_restarts(now_us, decision)

    def _request_restarts(self, now_us: int, decision: ReleaseDecision) -> None:
        for restart in decision.requests:
            if not self.observations.heads[restart.head].supports_permits:
                reason = "its build does not support permits; restart it under an (outage ...)"
                self.waiting_reasons[PermitKind.HEAD, restart.head] = reason
                continue
            requester = RELEASE + restart.release
            request = PermitRequest(PermitKind.HEAD, restart.head, requester, restart.request_key, restart.build)
            self._request(now_us, request)

    def _handle_head_requests(self, now_us: int) -> None:
        for name, head in self.observations.heads.items():
            if head.report is not None:
                self._handle_head_request(now_us, name, head.report)

    def _handle_head_request(self, now_us: int, name: str, report: HeadReport) -> None:
        """Handle a head's own request, and its begin of a permit that was granted."""
        requester = HEAD + name
        current = self.permits.for_target(PermitKind.HEAD, name)
        if (
            current is not None
            and current.state is PermitState.GRANTED
            and current.requester == requester
            and current.request_key != report.requested_key
        ):
            self._store(now_us, self.permits.transition(current.id, PermitState.FREE))  # the request was withdrawn
        if report.requested_key and self.permits.for_target(PermitKind.HEAD, name) is None:
            self._request(now_us, PermitRequest(PermitKind.HEAD, name, requester, report.requested_key))
        current = self.permits.for_target(PermitKind.HEAD, name)
        if current is not None and report.permit_to_begin == current.id:
            decision = self.permits.begin(
                now_us,
                current.id,
                report.process,
                self.observations.head_availability(self.policy.retired_heads),
                self.policy.heads,
                self._floors(PermitKind.HEAD),
            )
            self._apply_decision(now_us, PermitKind.HEAD, name, decision)

    def head_statuses(self) -> dict[str, HeadStatus]:
        """Return the state of the heads that releases need, by name."""
        statuses = {}
        for name, head in self.observations.heads.items():
            if head.is_connected or name not in self.policy.retired_heads:
                report = head.report or HeadReport(0)
                statuses[name] = HeadStatus(
                    head.is_connected,
                    head.is_up,
                    report.build,
                    report.process,
                    self.permits.for_target(PermitKind.HEAD, name),
                    report.accepted_requests,
                    report.failed_requests,
                    head.report is not None or not head.supports_permits,
                )
        return statuses

    # --- output

    def next_update(self, name: str) -> PermitUpdate | None:
        """Return the update for a head, None if it equals the last one."""
        backends = self.permits.of_kind(PermitKind.BACKEND)
        releases = self.releases.progress.values()
        head = self.observations.heads.get(name)
        last_update = self.last_updates.get(name)
        update = PermitUpdate(
            self.issuer,
            self.fencing_token,
            last_update.sequence if last_update is not None else 0,
            ejected={row.id: row.name for row in backends if row.state in (PermitState.BEGUN, PermitState.OUT)},
            restored={row.id: row.name for row in backends if row.state is PermitState.BACK},
            own_permit=self.permits.for_target(PermitKind.HEAD, name),
            waiting_reason=self.waiting_reasons.get((PermitKind.HEAD, name), ""),
            halted_releases=tuple(f"{row.name}/{row.attempt}" for row in releases if row.stage is ReleaseStage.HALTED),
            accepts_list_changes=True,
            full_lists_request=head.receiver.full_lists_request if head is not None else 0,
        )
        if update == last_update:
            return None
        self.last_sequence += 1
        self.last_updates[name] = msgspec.structs.replace(update, sequence=self.last_sequence)
        return self.last_updates[name]
