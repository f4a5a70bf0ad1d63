"""The issuer of permits as a whole: reports and the document come in, what was stored goes out as words to heads.

Nothing is told that is not stored: each step hands its rows to the keeper first and takes them only when that has
returned. All that is told is made of the table as it stands, so whoever ends between the two tells it when it starts
again, and a step that failed is made again by the next `tick`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from hophinge.maintenance.drains import DrainStatements, DrainVerdict, required_heads
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
from hophinge.routing.bounds import Maintenance, Outage, Release
from hophinge.routing.records import Record

RELEASE, OUTAGE, HEAD = "release ", "outage ", "head "


class PermitIssuer:
    """One installation's; `fence` is above that of every process that had this store before."""

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
        self.issuer, self.fencing_token, self.store = issuer, fencing_token, store
        self.permits, self.releases, self.drain_statements = (
            PermitTable(permits, fencing_token, now_us),
            Releases(releases),
            DrainStatements(),
        )
        self.observations = Observations(zones)
        self.started_us = now_us
        self.policy = Maintenance()
        self.outages: dict[str, Outage] = {}
        self.configured_releases: dict[str, Release] = {}
        self.records: tuple[Record, ...] = ()
        self.reserves: dict[str, float] = {}  # of tenants that have an account
        self.waiting_reasons: dict[tuple[PermitKind, str], str] = {}  # why who wants to go out has to wait
        self.last_updates: dict[str, PermitUpdate] = {}
        self.last_sequence = 0  # of the last word
        self.backend_availability: Availability | None = None  # until something is heard, or time goes on

    # --- what comes in

    def apply_configuration(
        self, maintenance_records: Iterable[Record], records: Iterable[Record], reserves: Mapping[str, float]
    ) -> None:
        """Take the forms on maintenance, and those that tell what pools must carry."""
        rows = list(maintenance_records)
        self.policy = next((one for one in rows if isinstance(one, Maintenance)), Maintenance())
        self.outages = {one.name: one for one in rows if isinstance(one, Outage)}
        self.configured_releases = {one.name: one for one in rows if isinstance(one, Release)}
        self.records, self.reserves = tuple(records), dict(reserves)

    def head_connected(self, name: str, supports_permits: bool, head_count: int) -> None:
        """Note a head's stream; `size` is how many heads the installation counts, 0: nobody has told."""
        head = self.observations.heads.setdefault(name, ObservedHead())
        head.is_connected, head.was_connected, head.supports_permits, head.report, self.backend_availability = (
            True,
            True,
            supports_permits,
            None,
            None,
        )
        head.receiver = SnapshotReceiver()
        self.observations.head_count = head_count
        self.last_updates.pop(name, None)

    def head_disconnected(self, name: str) -> None:
        """Note the end of a head's stream."""
        if (head := self.observations.heads.get(name)) is not None:
            head.is_connected, head.report, self.backend_availability = False, None, None

    def apply_report(self, name: str, report: HeadReport) -> None:
        """Take what a head says; what it says replaces what it said, and lists follow what has changed."""
        head = self.observations.heads[name]
        if (whole := head.receiver.to_full(report)) is None:
            return
        report = whole
        if report.zone and report.zone != head.zone:
            self.store.store_zone(name, report.zone)
            head.zone = report.zone
        head.report, self.backend_availability = report, None
        self.drain_statements.record_statements(name, report.statements, True, self.permits.active)
        for other, statements in report.peer_statements.items():
            # A head that has a line to here speaks for itself: what others have heard of it may be of a former process.
            if (known := self.observations.heads.get(other)) is None or not known.is_connected:
                self.drain_statements.record_statements(other, statements, False, self.permits.active)

    # --- what follows

    def tick(self, now_us: int) -> None:
        """Do all that follows from what is known; raises what the keeper raises, and is then to be called again."""
        self.backend_availability = None
        self._store(now_us, self.permits.expired(now_us))
        for permit in self.policy.free:
            if permit in self.permits.active:
                self._store(now_us, self.permits.transition(permit, PermitState.FREE))
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
        for one in list(self.permits.active.values()):
            state = (
                self._head_permit_state(one, now_us) if one.kind is PermitKind.HEAD else self._backend_permit_state(one)
            )
            if state is not None:
                self._store(now_us, self.permits.transition(one.id, state))

    def _head_permit_state(self, permit: Permit, now_us: int) -> PermitState | None:
        """Tell what a head's stream and report make of its permit."""
        head = self.observations.heads.get(permit.name)
        if permit.state is PermitState.GRANTED or head is None:
            return None
        standing = self._is_still_requested(permit)
        if not head.is_connected:
            # To an issuer that has just started all heads are away; that tells nothing until they had time to come.
            told = head.was_connected or now_us - self.started_us >= DISCONNECT_TIMEOUT_US
            return PermitState.OUT if told and permit.state in (PermitState.BEGUN, PermitState.BACK) else None
        report = head.report
        another = (report is not None and report.process != permit.process) or (
            report is None and not head.supports_permits and permit.state is PermitState.OUT
        )
        if permit.state in (PermitState.BEGUN, PermitState.OUT):
            return PermitState.BACK if another or not standing else None
        wanted = report is None or not permit.build or report.build == permit.build
        return (
            PermitState.FREE
            if head.is_up and wanted and not (permit.requester.startswith(OUTAGE) and standing)
            else None
        )

    def _backend_permit_state(self, permit: Permit) -> PermitState | None:
        """Tell what the heads' statements make of a brick's permit."""
        if permit.state is PermitState.BACK:
            heads = self.observations.head_availability(self.policy.retired).total
            return (
                PermitState.FREE
                if self.drain_statements.served_count(permit.id) >= max(1, min(self.policy.served, heads))
                else None
            )
        if not self._is_still_requested(permit):
            return PermitState.BACK
        return PermitState.OUT if permit.state is PermitState.BEGUN and self.verdict(permit).is_complete else None

    def _is_still_requested(self, permit: Permit) -> bool:
        """Tell whether the form that a permit is for still wants it; whoever asked otherwise has no form."""
        if not permit.requester.startswith(OUTAGE):
            return True
        form = self.outages.get(permit.requester.removeprefix(OUTAGE))
        return form is not None and permit.name in (form.heads if permit.kind is PermitKind.HEAD else form.backends)

    def verdict(self, permit: Permit) -> DrainVerdict:
        """Tell whose word that a brick is drained is missing."""
        form = self.outages.get(permit.requester.removeprefix(OUTAGE))
        known = [name for name in self.observations.heads if name not in self.policy.retired]
        return self.drain_statements.verdict(
            permit.id,
            required_heads(
                known,
                self.observations.connected(),
                self.observations.reported_live(),
                self.observations.reported_departed(),
                {
                    *(form.without if form is not None else ()),
                    *(set(self.policy.retired) - self.observations.connected()),
                },
            ),
        )

    # --- who wants to go out

    def _floors(self, kind: PermitKind) -> list[CapacityFloor]:
        if kind is PermitKind.HEAD:
            return [head_floor(self.records, self.reserves)]
        listed = {name: one for name, (one, _) in self.observations.listed_backends.items()}
        return backend_floors(self.records, listed, self.policy.capacity, self.reserves)

    def _request(self, now_us: int, request: PermitRequest) -> None:
        if request.kind is PermitKind.HEAD:
            sight, most = self.observations.head_availability(self.policy.retired), self.policy.heads
        else:
            self.backend_availability = self.backend_availability or self.observations.backend_availability(now_us)
            sight, most = self.backend_availability, self.policy.backends
        self._apply_decision(
            now_us,
            request.kind,
            request.name,
            self.permits.decide(now_us, request, sight, most, self._floors(request.kind)),
        )

    def _apply_decision(self, now_us: int, kind: PermitKind, name: str, decision: PermitDecision) -> None:
        self._store(now_us, decision.rows)
        if decision.reason:
            self.waiting_reasons[kind, name] = decision.reason

    def _request_outages(self, now_us: int) -> None:
        for form in self.outages.values():
            for kind, names in ((PermitKind.BACKEND, form.backends), (PermitKind.HEAD, form.heads)):
                for name in names:
                    held = self.permits.for_target(kind, name)
                    if held is None or held.requester != OUTAGE + form.name:
                        head = self.observations.heads.get(name) if kind is PermitKind.HEAD else None
                        process = head.report.process if head is not None and head.report is not None else 0
                        self._request(
                            now_us, PermitRequest(kind, name, OUTAGE + form.name, form.name, "", True, process)
                        )

    def _advance_releases(self, now_us: int) -> None:
        self._store(now_us, (), self.releases.reconcile(self.configured_releases))
        outcome = self.releases.decide(now_us, self.configured_releases, self.head_statuses())
        rows = [
            msgspec.structs.replace(one, state=PermitState.FREE)
            for one in self.permits.active.values()
            if one.state is PermitState.GRANTED and one.requester.removeprefix(RELEASE) in outcome.withdrawn
        ]
        rows += [
            row
            for permit, build in outcome.rebuilt
            for row in self.permits.transition(permit, self.permits.active[permit].state, build)
        ]
        self._store(now_us, rows, outcome.progress)  # the way back is stored before anybody is asked to go
        self._request_restarts(now_us, outcome)

    def _request_restarts(self, now_us: int, decision: ReleaseDecision) -> None:
        for want in decision.requests:
            if not self.observations.heads[want.head].supports_permits:
                self.waiting_reasons[PermitKind.HEAD, want.head] = (
                    "it does not speak of permits; restart it under an (outage ...)"
                )
            else:
                self._request(
                    now_us,
                    PermitRequest(PermitKind.HEAD, want.head, RELEASE + want.release, want.request_key, want.build),
                )

    def _handle_head_requests(self, now_us: int) -> None:
        for name, head in self.observations.heads.items():
            report = head.report
            if report is None:
                continue
            held = self.permits.for_target(PermitKind.HEAD, name)
            if (
                held is not None
                and held.state is PermitState.GRANTED
                and held.requester == HEAD + name
                and held.request_key != report.requested_key
            ):
                self._store(
                    now_us, self.permits.transition(held.id, PermitState.FREE)
                )  # whoever asked wants it no more
            if report.requested_key and self.permits.for_target(PermitKind.HEAD, name) is None:
                self._request(now_us, PermitRequest(PermitKind.HEAD, name, HEAD + name, report.requested_key))
            held = self.permits.for_target(PermitKind.HEAD, name)
            if held is not None and report.permit_to_begin == held.id:
                self._apply_decision(
                    now_us,
                    PermitKind.HEAD,
                    name,
                    self.permits.begin(
                        now_us,
                        held.id,
                        report.process,
                        self.observations.head_availability(self.policy.retired),
                        self.policy.heads,
                        self._floors(PermitKind.HEAD),
                    ),
                )

    def head_statuses(self) -> dict[str, HeadStatus]:
        """Tell the heads as releases see them."""
        found = {}
        for name, head in self.observations.heads.items():
            if head.is_connected or name not in self.policy.retired:
                report = head.report or HeadReport(0)
                found[name] = HeadStatus(
                    head.is_connected,
                    head.is_up,
                    report.build,
                    report.process,
                    self.permits.for_target(PermitKind.HEAD, name),
                    report.accepted_requests,
                    report.failed_requests,
                    head.report is not None or not head.supports_permits,
                )
        return found

    # --- what is told

    def next_update(self, name: str) -> PermitUpdate | None:
        """Tell what is new for a head since it was last told, or nothing."""
        backends = self.permits.of_kind(PermitKind.BACKEND)
        before = self.last_updates.get(name)
        word = PermitUpdate(
            self.issuer,
            self.fencing_token,
            before.sequence if before is not None else 0,
            {one.id: one.name for one in backends if one.state in (PermitState.BEGUN, PermitState.OUT)},
            {one.id: one.name for one in backends if one.state is PermitState.BACK},
            self.permits.for_target(PermitKind.HEAD, name),
            self.waiting_reasons.get((PermitKind.HEAD, name), ""),
            tuple(
                f"{one.name}/{one.attempt}"
                for one in self.releases.progress.values()
                if one.stage is ReleaseStage.HALTED
            ),
            True,
            self.observations.heads[name].receiver.full_lists_request if name in self.observations.heads else 0,
        )
        if word == before:
            return None
        self.last_sequence += 1
        self.last_updates[name] = msgspec.structs.replace(word, sequence=self.last_sequence)
        return self.last_updates[name]
