"""A head's part in agreed maintenance: its rotation, exchange, stream and board round the deciders of `maintenance/`.

Whether all of a backend is quiet is looked at on a timer; nothing here stands in a request's way but one call where an
attempt has ended.
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

KIND, FORM = "drains", 1
CHECK_INTERVAL_S = 0.1  # between looks at what is out there
SAVE_RETRY_INTERVAL_S = 1.0  # after the disk failed; until then nothing is said to be drained


class AnswerTimes:
    """A gate that notes which backends have answered, before the gate there is."""

    __slots__ = ("gate", "last_answer_us")

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.last_answer_us: dict[str, int] = {}  # by backend: when it answered last

    def admit(self, now_us: int, ask: Arrival) -> Bounds | WaitAtGate | int:
        """Pass on."""
        return self.gate.admit(now_us, ask)

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
        """Note an answer, and pass on."""
        if result is Result.OK:
            self.last_answer_us[node] = now_us
        self.gate.ended(now_us, node, result)

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Pass on."""
        self.gate.nodes(now_us, event)


class HeadMaintenance:
    """One head's; to be made after its stream and before it starts, `begin` called before it lists any backend."""

    def __init__(
        self,
        client: StreamClient,
        rotation: ManualEjections,
        exchange: Exchange,
        holder: PermitHolder,
        zone: str,
        path: Path,
        log: Callable[[str], None],
        ready: Callable[[], bool],
        go: Callable[[GoOffline], None] | None = None,
        alone: Callable[[], bool] = lambda: True,
        board: ReplicatedEntries | None = None,
        sight: MembershipView | None = None,
        disk: files.Disk = files.DISK,
    ) -> None:
        self.client = client
        self.ejections = rotation
        self.exchange = exchange
        self.permit_holder = holder
        self.zone = zone
        self.path = path
        self.log = log
        self.ready = ready
        self.on_go_offline = go
        self.is_alone = alone
        self.entries = board
        self.membership = sight
        self.disk = disk
        assert exchange.gate is not None, "a stream's router stands there"
        self.answer_times = AnswerTimes(exchange.gate)
        exchange.gate = self.answer_times
        self.drains = HeadDrains(self._load_drains())
        self.stored_drains = self.drains.to_store()
        self.started_us = exchange.now_us()
        self.restored_at: dict[str, int] = {}  # by backend: when it was taken up again
        self.service_has_sent = False  # the service has sent a word on this stream, so it takes reports
        self.last_report: HeadReport | None = None  # as reported, with all lists whole
        self.sender = SnapshotSender()  # of this stream
        self.accepts_changes = False  # the service on this stream takes lists as changes
        self.halted: set[str] = set()  # on the board by this head
        greet, others, figures = client.initial_requests, client.followup_requests, client.collect_metrics
        client.initial_requests = lambda: self._initial_requests(greet())
        client.followup_requests = lambda beat: [*others(beat), *self._followup_requests(beat)]
        client.collect_metrics = lambda: {**figures(), MAINTENANCE_METRIC: 1.0}
        client.on_maintenance_response = self._apply_update

    # --- what a restart finds

    def _load_drains(self) -> Iterable[tuple[str, str]]:
        try:
            found = files.load(self.path, KIND, range(1, FORM + 1))
            return msgspec.json.decode(found.payload, type=dict[str, str]).items() if found is not None else ()
        except (files.StateFileError, OSError, msgspec.MsgspecError) as error:
            self.log(f"maintenance: which bricks were out is not known here any more: {error}")
            return ()

    def begin(self) -> None:
        """Take out what was out when this head ended, whoever can be reached."""
        self._carry_out(self.drains.start())

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                if (keeps := self.drains.to_store()) != self.stored_drains:
                    await asyncio.to_thread(files.save, self.path, KIND, FORM, msgspec.json.encode(keeps), self.disk)
                    self.stored_drains = keeps
                self.check_drains()
            except OSError as error:
                self.log(f"maintenance: what is out cannot be kept, so no brick is said to be drained: {error}")
                await asyncio.sleep(SAVE_RETRY_INTERVAL_S)

    # --- the stream

    def _initial_requests(self, before: list[DiscoveryRequest]) -> list[DiscoveryRequest]:
        self.service_has_sent = False
        self.last_report = None
        self.sender = SnapshotSender()
        self.accepts_changes = False
        return before

    def _apply_update(self, response: DiscoveryResponse) -> None:
        """Take a word off the stream."""
        word = decode_update(response)
        self.service_has_sent = True
        self.accepts_changes = word.accepts_list_changes
        try:
            goes = self.permit_holder.apply_update(self.exchange.now_us(), word)
        except HophingeError as error:
            return self.log(f"maintenance: {one_line(error)}")
        if self.permit_holder.update is word:
            self._carry_out(self.drains.apply_update(word.ejected, word.restored))
            self._publish_halts({HALT_KEY_PREFIX + one for one in word.halted_releases})
        for one in goes:
            self.log(
                f"maintenance: permit {one.permit} lets this head go; it is to come back with "
                f"{f'build {one.build}' if one.build else 'any build'}"
            )
            if self.on_go_offline is not None:
                self.on_go_offline(one)
        return None

    def _followup_requests(self, is_heartbeat: bool) -> list[DiscoveryRequest]:
        """Report at each beat, and as soon as something has changed."""
        if not self.service_has_sent:
            return []
        report, now = self.report(), self.exchange.now_us()
        asked = self.permit_holder.update.full_lists_request if self.permit_holder.update is not None else 0
        owes = self.accepts_changes and self.sender.is_full_due(now, asked)
        if not is_heartbeat and not owes and self.last_report is not None and _same(report, self.last_report):
            return []
        self.last_report = report
        if self.accepts_changes:
            report = self.sender.to_changes(now, report, asked)
        return [report_request(self.client.follower.head, report)]

    def report(self) -> HeadReport:
        """Return this head's report as it stands now."""
        now, listed = self.exchange.now_us(), self.ejections.listed
        settings, counts = self.exchange.settings, self.exchange.counters.counts
        avoided = set(self.exchange.scheduler.avoided(now))
        backends = {
            name: BackendListing(
                settings.zones[one.zone] if one.zone < len(settings.zones) else "",
                settings.kinds[one.kind] if one.kind < len(settings.kinds) else "",
                one.phase is Phase.ON and name not in avoided,
            )
            for name, one in listed.items()
        }
        live, gone = head_states(self.membership.members()) if self.membership is not None else ([], [])
        entries = list(self.entries.entries(Topic.DRAINS)) if self.entries is not None else []
        me = self.membership.own_name if self.membership is not None else self.client.follower.head
        said = {owner: rows for owner, rows in statements_by_owner(entries).items() if owner != me}
        return HeadReport(
            self.permit_holder.process,
            self.permit_holder.build,
            self.zone,
            self.ready() and bool(backends),
            self.permit_holder.pending_key(now),
            self.permit_holder.permit_to_begin(now, halted_releases(entries)),
            tuple(self.drains.statements()),
            said,
            backends,
            tuple(live),
            tuple(gone),
            self.membership is not None,
            counts["requests_taken"],
            counts["requests_failed"] + counts["requests_refused"],
        )

    # --- rotation and exchange

    def check_drains(self) -> None:
        """See what is out there, and say what follows."""
        if self.drains.drains:
            open_there = Counter(
                attempt.node for request in self.exchange.open.values() for attempt in request.attempts.values()
            )
            out = [one.backend for one in self.drains.drains.values() if self.ejections.is_ejected(one.backend)]
            # Another process of this head, before or after it, may still have something there.
            self._carry_out(self.drains.observe(open_there, out if self.is_alone() else (), self._warm_backends()))
        for request in self._followup_requests(False):
            self.client.outgoing.put_nowait(request)

    def _warm_backends(self) -> list[str]:
        """Return which backends have answered since they are back, for longer than they count as cold."""
        now, cold = self.exchange.now_us(), self.ejections.slow_start_us
        since = {
            one.backend: self.restored_at.get(one.backend, self.started_us)
            for one in self.drains.drains.values()
            if one.phase is DrainPhase.RESTORED
        }
        return [
            backend
            for backend, at in since.items()
            if self.answer_times.last_answer_us.get(backend, -1) > at and now - at >= cold
        ]

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Eject(backend=backend):
                    # Set also where no list names it yet: it must not come into use when one does.
                    self._set_ejected(backend, True)
                    self.log(f"maintenance: {backend} is taken out")
                case Restore(backend=backend):
                    self._set_ejected(backend, False)
                    self.restored_at[backend] = self.exchange.now_us()
                    self.log(f"maintenance: {backend} is taken up again, cold")
                case Announce(statement=statement):
                    self._publish(statement.key, encode_statement(statement))
                case Retract(statement=statement):
                    if self.entries is not None:
                        self.entries.delete(Topic.DRAINS, statement.key)

    def _set_ejected(self, backend: str, out: bool) -> None:
        last = self.ejections.ejections.get(backend)
        self.ejections.merge({backend: ManualEjection(max(self.exchange.now_us(), last.at_us + 1 if last else 0), out)})
        self.ejections.on_ejection()

    def _publish_halts(self, keys: set[str]) -> None:
        for key in self.halted - keys if self.entries is not None else ():
            self.entries.delete(Topic.DRAINS, key)  # type: ignore[union-attr]   # there, by the line before
        for key in keys - self.halted:
            self._publish(key, b"")
        self.halted = keys

    def _publish(self, key: str, body: bytes) -> None:
        try:
            if self.entries is not None:
                self.entries.put(Topic.DRAINS, key, body)
        except HophingeError as error:
            self.log(f"maintenance: peers do not hear of {key}: {one_line(error)}")


def _same(one: HeadReport, other: HeadReport) -> bool:
    """Return whether two reports differ in request counts alone, which a heartbeat carries."""
    return (
        msgspec.structs.replace(one, accepted_requests=other.accepted_requests, failed_requests=other.failed_requests)
        == other
    )
