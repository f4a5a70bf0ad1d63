"""A head's part in maintenance: connects its backends, requests, stream and peers with the rules of `maintenance/`.

Whether a backend is drained is checked on a timer. Requests are affected by a single call only, when an attempt ends.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from hophinge.cluster.interface import MembershipView, ReplicatedEntries, Topic
from hophinge.control.messages import DiscoveryRequest, DiscoveryResponse
from hophinge.control.stream_client import StreamClient
from hophinge.control.maintenance_wire import MAINTENANCE_METRIC, decode_update, report_request
from hophinge.core.errors import HophingeError, one_line
from hophinge.core.exchange import Exchange, Gate
from hophinge.core.interface import Arrival, Bounds, NodeList, Phase, Result, WaitAtGate
from hophinge.core.manual_ejections import ManualEjection, ManualEjections
from hophinge.maintenance.drain_verdicts import head_states
from hophinge.maintenance.head_drains import (
    Action,
    HeadDrains,
    DrainPhase,
    Announce,
    Eject,
    Restore,
    Retract,
)
from hophinge.maintenance.statements import statements_by_owner, encode_statement
from hophinge.maintenance.permit_holder import HALT_KEY_PREFIX, GoOffline, PermitHolder, halted_releases
from hophinge.maintenance.snapshots import SnapshotSender
from hophinge.maintenance.messages import BackendListing, HeadReport
from hophinge.state import files

FILE_KIND, FORMAT_VERSION = "drains", 1
CHECK_INTERVAL_S = 0.1  # between checks of the requests in flight at ejected backends
SAVE_RETRY_INTERVAL_S = 1.0  # after a disk error; until a save succeeds, no backend is stated as drained


class AnswerTimes:
    """A gate that records when backends answered, and passes all calls on to the wrapped gate."""

    __slots__ = ("gate", "last_answer_us")

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.last_answer_us: dict[str, int] = {}  # by backend

    def admit(self, now_us: int, arrival: Arrival) -> Bounds | WaitAtGate | int:
        """Pass on."""
        return self.gate.admit(now_us, arrival)

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Pass on."""
        return self.gate.release(now_us)

    @property
    def next_release_us(self) -> int:
        """Pass on."""
        return self.gate.next_release_us

    def answered(self, now_us: int, bounds: Bounds) -> None:
        """Pass on."""
        self.gate.answered(now_us, bounds)

    def ended(self, now_us: int, node: str, result: Result) -> None:
        """Record a response, and pass on."""
        if result is Result.OK:
            self.last_answer_us[node] = now_us
        self.gate.ended(now_us, node, result)

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Pass on."""
        self.gate.nodes(now_us, event)


class HeadMaintenance:
    """The maintenance of one head, created before its stream starts; `begin` is called before any backend is listed."""

    def __init__(
        self,
        client: StreamClient,
        ejections: ManualEjections,
        exchange: Exchange,
        permit_holder: PermitHolder,
        zone: str,
        path: Path,
        log: Callable[[str], None],
        is_ready: Callable[[], bool],
        on_go_offline: Callable[[GoOffline], None] | None = None,
        is_alone: Callable[[], bool] = lambda: True,
        entries: ReplicatedEntries | None = None,
        membership: MembershipView | None = None,
        disk: files.Disk = files.DISK,
    ) -> None:
        self.client = client
        self.ejections = ejections
        self.exchange = exchange
        self.permit_holder = permit_holder
        self.zone = zone
        self.path = path
        self.log = log
        self.is_ready = is_ready
        self.on_go_offline = on_go_offline
        self.is_alone = is_alone  # whether this head has no other process, before or after it in an upgrade
        self.entries = entries
        self.membership = membership
        self.disk = disk
        assert exchange.gate is not None, "the streamed configuration sets a router as the gate"
        self.answer_times = AnswerTimes(exchange.gate)
        exchange.gate = self.answer_times
        self.drains = HeadDrains(self._load_drains())
        self.stored_drains = self.drains.to_store()
        self.started_us = exchange.now_us()
        self.restored_at: dict[str, int] = {}  # by backend: when it was put back into rotation
        self.service_has_sent = False  # the service has sent an update on this stream, so that it accepts reports
        self.last_report: HeadReport | None = None  # with complete lists, also where changes were sent
        self.sender = SnapshotSender()  # of this stream
        self.accepts_changes = False  # the service on this stream accepts lists as changes
        self.published_halts: set[str] = set()  # keys of this head's entries
        initial, followup, metrics = client.initial_requests, client.followup_requests, client.collect_metrics
        client.initial_requests = lambda: self._initial_requests(initial())
        client.followup_requests = lambda is_heartbeat: [
            *followup(is_heartbeat),
            *self._followup_requests(is_heartbeat),
        ]
        client.collect_metrics = lambda: {**metrics(), MAINTENANCE_METRIC: 1.0}
        client.on_maintenance_response = self._apply_update

    # --- drains across restarts

    def _load_drains(self) -> Iterable[tuple[str, str]]:
        try:
            stored = files.load(self.path, FILE_KIND, range(1, FORMAT_VERSION + 1))
            return msgspec.json.decode(stored.payload, type=dict[str, str]).items() if stored is not None else ()
        except (files.StateFileError, OSError, msgspec.MsgspecError) as error:
            self.log(f"maintenance: cannot read which backends were ejected before the restart: {error}")
            return ()

    def begin(self) -> None:
        """Eject the backends that were ejected when this head ended, even if the control service is unreachable."""
        self._carry_out(self.drains.start())

    async def run(self) -> None:
        """Save and check the drains until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                if (current := self.drains.to_store()) != self.stored_drains:
                    await asyncio.to_thread(
                        files.save, self.path, FILE_KIND, FORMAT_VERSION, msgspec.json.encode(current), self.disk
                    )
                    self.stored_drains = current
                self.check_drains()
            except OSError as error:
                self.log(f"maintenance: cannot save the ejections, so no backend is stated as drained: {error}")
                await asyncio.sleep(SAVE_RETRY_INTERVAL_S)

    # --- the stream

    def _initial_requests(self, requests: list[DiscoveryRequest]) -> list[DiscoveryRequest]:
        """Reset the state of the previous stream; the other users' requests are returned unchanged."""
        self.service_has_sent = False
        self.last_report = None
        self.sender = SnapshotSender()
        self.accepts_changes = False
        return requests

    def _apply_update(self, response: DiscoveryResponse) -> None:
        """Apply an update that the control service sent on the stream."""
        update = decode_update(response)
        self.service_has_sent = True
        self.accepts_changes = update.accepts_list_changes
        try:
            departures = self.permit_holder.apply_update(self.exchange.now_us(), update)
        except HophingeError as error:
            return self.log(f"maintenance: {one_line(error)}")
        if self.permit_holder.update is update:
            self._carry_out(self.drains.apply_update(update.ejected, update.restored))
            self._publish_halts({HALT_KEY_PREFIX + release for release in update.halted_releases})
        for departure in departures:
            self.log(
                f"maintenance: permit {departure.permit} allows this head to go offline; it is to come back with "
                f"{f'build {departure.build}' if departure.build else 'any build'}"
            )
            if self.on_go_offline is not None:
                self.on_go_offline(departure)
        return None

    def _followup_requests(self, is_heartbeat: bool) -> list[DiscoveryRequest]:
        """Return a report at each heartbeat and after each change; nothing otherwise."""
        if not self.service_has_sent:
            return []
        report, now = self.report(), self.exchange.now_us()
        full_lists_request = (
            self.permit_holder.update.full_lists_request if self.permit_holder.update is not None else 0
        )
        is_full_due = self.accepts_changes and self.sender.is_full_due(now, full_lists_request)
        if not is_heartbeat and not is_full_due and self.last_report is not None and _is_same(report, self.last_report):
            return []
        self.last_report = report
        if self.accepts_changes:
            report = self.sender.to_changes(now, report, full_lists_request)
        return [report_request(self.client.follower.head, report)]

    def report(self) -> HeadReport:
        """Return this head's current report."""
        now, listed = self.exchange.now_us(), self.ejections.listed
        settings, counts = self.exchange.settings, self.exchange.counters.counts
        avoided = set(self.exchange.scheduler.avoided(now))
        backends = {
            name: BackendListing(
                settings.zones[entry.zone] if entry.zone < len(settings.zones) else "",
                settings.kinds[entry.kind] if entry.kind < len(settings.kinds) else "",
                entry.phase is Phase.ON and name not in avoided,
            )
            for name, entry in listed.items()
        }
        live, gone = head_states(self.membership.members()) if self.membership is not None else ([], [])
        entries = list(self.entries.entries(Topic.DRAINS)) if self.entries is not None else []
        own_name = self.membership.own_name if self.membership is not None else self.client.follower.head
        peer_statements = {owner: rows for owner, rows in statements_by_owner(entries).items() if owner != own_name}
        return HeadReport(
            self.permit_holder.process,
            self.permit_holder.build,
            self.zone,
            self.is_ready() and bool(backends),
            self.permit_holder.pending_key(now),
            self.permit_holder.permit_to_begin(now, halted_releases(entries)),
            tuple(self.drains.statements()),
            peer_statements,
            backends,
            tuple(live),
            tuple(gone),
            self.membership is not None,
            counts["requests_taken"],
            counts["requests_failed"] + counts["requests_refused"],
        )

    # --- backends

    def check_drains(self) -> None:
        """Check the requests in flight at ejected backends, act on the result, and report changes."""
        if self.drains.drains:
            in_flight = Counter(
                attempt.node for request in self.exchange.open.values() for attempt in request.attempts.values()
            )
            ejected = [
                drain.backend for drain in self.drains.drains.values() if self.ejections.is_ejected(drain.backend)
            ]
            # Another process of this head, before or after it in an upgrade, may still have requests in flight there.
            self._carry_out(self.drains.observe(in_flight, ejected if self.is_alone() else (), self._warm_backends()))
        for request in self._followup_requests(False):
            self.client.outgoing.put_nowait(request)

    def _warm_backends(self) -> list[str]:
        """Return the restored backends that have answered since, and were restored so long ago that they are warm."""
        now, slow_start_us = self.exchange.now_us(), self.ejections.slow_start_us
        restored_at = {
            drain.backend: self.restored_at.get(drain.backend, self.started_us)
            for drain in self.drains.drains.values()
            if drain.phase is DrainPhase.RESTORED
        }
        return [
            backend
            for backend, at_us in restored_at.items()
            if self.answer_times.last_answer_us.get(backend, -1) > at_us and now - at_us >= slow_start_us
        ]

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Eject(backend=backend):
                    # Also for a backend that no list names yet: it must not be used when one does.
                    self._set_ejected(backend, True)
                    self.log(f"maintenance: {backend} is ejected")
                case Restore(backend=backend):
                    self._set_ejected(backend, False)
                    self.restored_at[backend] = self.exchange.now_us()
                    self.log(f"maintenance: {backend} is back in rotation, cold")
                case Announce(statement=statement):
                    self._publish(statement.key, encode_statement(statement))
                case Retract(statement=statement):
                    if self.entries is not None:
                        self.entries.delete(Topic.DRAINS, statement.key)

    def _set_ejected(self, backend: str, is_ejected: bool) -> None:
        last = self.ejections.ejections.get(backend)
        self.ejections.merge(
            {backend: ManualEjection(max(self.exchange.now_us(), last.at_us + 1 if last else 0), is_ejected)}
        )
        self.ejections.on_ejection()

    def _publish_halts(self, keys: set[str]) -> None:
        for key in self.published_halts - keys if self.entries is not None else ():
            self.entries.delete(Topic.DRAINS, key)  # type: ignore[union-attr]   # not None: see the line before
        for key in keys - self.published_halts:
            self._publish(key, b"")
        self.published_halts = keys

    def _publish(self, key: str, body: bytes) -> None:
        try:
            if self.entries is not None:
                self.entries.put(Topic.DRAINS, key, body)
        except HophingeError as error:
            self.log(f"maintenance: cannot publish {key} to peers: {one_line(error)}")


def _is_same(report: HeadReport, other: HeadReport) -> bool:
    """Return whether two reports differ at most in request counts, which are sent with heartbeats."""
    return (
        msgspec.structs.replace(
            report, accepted_requests=other.accepted_requests, failed_requests=other.failed_requests
        )
        == other
    )
