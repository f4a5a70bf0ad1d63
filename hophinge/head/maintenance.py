"""A head's part in agreed maintenance: its rotation, exchange, stream and board round the deciders of `maintenance/`.

Whether all of a brick is quiet is looked at on a timer; nothing here stands in a request's way but one call where an
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
LOOK_S = 0.1  # between looks at what is out there
SAVE_RETRY_INTERVAL_S = 1.0  # after the disk failed; until then nothing is said to be drained


class Answers:
    """A gate that notes which bricks have answered, before the gate there is."""

    __slots__ = ("gate", "good")

    def __init__(self, gate: Gate) -> None:
        self.gate = gate
        self.good: dict[str, int] = {}  # by brick: when it answered last

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
            self.good[node] = now_us
        self.gate.ended(now_us, node, result)

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Pass on."""
        self.gate.nodes(now_us, event)


class HeadMaintenance:
    """One head's; to be made after its stream and before it starts, `begin` called before it lists any brick."""

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
        self.rotation = rotation
        self.exchange = exchange
        self.holder = holder
        self.zone = zone
        self.path = path
        self.log = log
        self.ready = ready
        self.go = go
        self.alone = alone
        self.board = board
        self.sight = sight
        self.disk = disk
        assert exchange.gate is not None, "a stream's router stands there"
        self.answers = Answers(exchange.gate)
        exchange.gate = self.answers
        self.drains = HeadDrains(self._kept())
        self.saved = self.drains.to_store()
        self.born_us = exchange.now_us()
        self.up_at: dict[str, int] = {}  # by brick: when it was taken up again
        self.spoken = False  # the service has sent a word on this stream, so it takes reports
        self.last: HeadReport | None = None  # as reported, with all lists whole
        self.teller = SnapshotSender()  # of this stream
        self.parts = False  # the service on this stream takes lists as changes
        self.halted: set[str] = set()  # on the board by this head
        greet, others, figures = client.initial_requests, client.followup_requests, client.collect_metrics
        client.initial_requests = lambda: self._greet(greet())
        client.followup_requests = lambda beat: [*others(beat), *self._due(beat)]
        client.collect_metrics = lambda: {**figures(), MAINTENANCE_METRIC: 1.0}
        client.on_maintenance_response = self._word

    # --- what a restart finds

    def _kept(self) -> Iterable[tuple[str, str]]:
        try:
            found = files.load(self.path, KIND, range(1, FORM + 1))
            return msgspec.json.decode(found.payload, type=dict[str, str]).items() if found is not None else ()
        except (files.StateFileError, OSError, msgspec.MsgspecError) as error:
            self.log(f"maintenance: which bricks were out is not known here any more: {error}")
            return ()

    def begin(self) -> None:
        """Take out what was out when this head ended, whoever can be reached."""
        self._do(self.drains.start())

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                if (keeps := self.drains.to_store()) != self.saved:
                    await asyncio.to_thread(files.save, self.path, KIND, FORM, msgspec.json.encode(keeps), self.disk)
                    self.saved = keeps
                self.look()
            except OSError as error:
                self.log(f"maintenance: what is out cannot be kept, so no brick is said to be drained: {error}")
                await asyncio.sleep(SAVE_RETRY_INTERVAL_S)

    # --- the stream

    def _greet(self, before: list[DiscoveryRequest]) -> list[DiscoveryRequest]:
        self.spoken = False
        self.last = None
        self.teller = SnapshotSender()
        self.parts = False
        return before

    def _word(self, response: DiscoveryResponse) -> None:
        """Take a word off the stream."""
        word = decode_update(response)
        self.spoken = True
        self.parts = word.accepts_list_changes
        try:
            goes = self.holder.apply_update(self.exchange.now_us(), word)
        except HophingeError as error:
            return self.log(f"maintenance: {one_line(error)}")
        if self.holder.update is word:
            self._do(self.drains.apply_update(word.ejected, word.restored))
            self._tell_halts({HALT_KEY_PREFIX + one for one in word.halted_releases})
        for one in goes:
            self.log(
                f"maintenance: permit {one.permit} lets this head go; it is to come back with "
                f"{f'build {one.build}' if one.build else 'any build'}"
            )
            if self.go is not None:
                self.go(one)
        return None

    def _due(self, beat: bool) -> list[DiscoveryRequest]:
        """Report at each beat, and as soon as something has changed."""
        if not self.spoken:
            return []
        report, now = self.report(), self.exchange.now_us()
        asked = self.holder.update.full_lists_request if self.holder.update is not None else 0
        owes = self.parts and self.teller.is_full_due(now, asked)
        if not beat and not owes and self.last is not None and _same(report, self.last):
            return []
        self.last = report
        if self.parts:
            report = self.teller.to_changes(now, report, asked)
        return [report_request(self.client.follower.head, report)]

    def report(self) -> HeadReport:
        """Tell all that this head says now."""
        now, listed = self.exchange.now_us(), self.rotation.listed
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
        live, gone = head_states(self.sight.members()) if self.sight is not None else ([], [])
        entries = list(self.board.entries(Topic.DRAINS)) if self.board is not None else []
        me = self.sight.own_name if self.sight is not None else self.client.follower.head
        said = {owner: rows for owner, rows in statements_by_owner(entries).items() if owner != me}
        return HeadReport(
            self.holder.process,
            self.holder.build,
            self.zone,
            self.ready() and bool(backends),
            self.holder.pending_key(now),
            self.holder.permit_to_begin(now, halted_releases(entries)),
            tuple(self.drains.statements()),
            said,
            backends,
            tuple(live),
            tuple(gone),
            self.sight is not None,
            counts["requests_taken"],
            counts["requests_failed"] + counts["requests_refused"],
        )

    # --- rotation and exchange

    def look(self) -> None:
        """See what is out there, and say what follows."""
        if self.drains.drains:
            open_there = Counter(
                attempt.node for request in self.exchange.open.values() for attempt in request.attempts.values()
            )
            out = [one.backend for one in self.drains.drains.values() if self.rotation.is_ejected(one.backend)]
            # Another process of this head, before or after it, may still have something there.
            self._do(self.drains.observe(open_there, out if self.alone() else (), self._warm()))
        for request in self._due(False):
            self.client.outgoing.put_nowait(request)

    def _warm(self) -> list[str]:
        """Tell which bricks have answered since they are back, for longer than they count as cold."""
        now, cold = self.exchange.now_us(), self.rotation.slow_start_us
        since = {
            one.backend: self.up_at.get(one.backend, self.born_us)
            for one in self.drains.drains.values()
            if one.phase is DrainPhase.RESTORED
        }
        return [
            backend for backend, at in since.items() if self.answers.good.get(backend, -1) > at and now - at >= cold
        ]

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Eject(backend=backend):
                    # Set also where no list names it yet: it must not come into use when one does.
                    self._mark(backend, True)
                    self.log(f"maintenance: {backend} is taken out")
                case Restore(backend=backend):
                    self._mark(backend, False)
                    self.up_at[backend] = self.exchange.now_us()
                    self.log(f"maintenance: {backend} is taken up again, cold")
                case Announce(statement=statement):
                    self._put(statement.key, encode_statement(statement))
                case Retract(statement=statement):
                    if self.board is not None:
                        self.board.delete(Topic.DRAINS, statement.key)

    def _mark(self, backend: str, out: bool) -> None:
        last = self.rotation.ejections.get(backend)
        self.rotation.merge({backend: ManualEjection(max(self.exchange.now_us(), last.at_us + 1 if last else 0), out)})
        self.rotation.on_ejection()

    def _tell_halts(self, keys: set[str]) -> None:
        for key in self.halted - keys if self.board is not None else ():
            self.board.delete(Topic.DRAINS, key)  # type: ignore[union-attr]   # there, by the line before
        for key in keys - self.halted:
            self._put(key, b"")
        self.halted = keys

    def _put(self, key: str, body: bytes) -> None:
        try:
            if self.board is not None:
                self.board.put(Topic.DRAINS, key, body)
        except HophingeError as error:
            self.log(f"maintenance: peers do not hear of {key}: {one_line(error)}")


def _same(one: HeadReport, other: HeadReport) -> bool:
    """Tell whether two reports differ in counts of requests alone, which a beat brings."""
    return (
        msgspec.structs.replace(one, accepted_requests=other.accepted_requests, failed_requests=other.failed_requests)
        == other
    )
