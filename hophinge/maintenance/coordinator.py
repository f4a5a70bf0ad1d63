"""The issuer of permits as a whole: reports and the document come in, what was stored goes out as words to heads.

Nothing is told that is not stored: each step hands its rows to the keeper first and takes them only when that has
returned. All that is told is made of the table as it stands, so whoever ends between the two tells it when it starts
again, and a step that failed is made again by the next `tick`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from hophinge.maintenance.drains import Drains, Verdict, owing
from hophinge.maintenance.keeper import Keeper
from hophinge.maintenance.listing import Listener
from hophinge.maintenance.messages import Report, Word
from hophinge.maintenance.observations import Head, Observations, backend_floors, head_floor
from hophinge.maintenance.permits import Answer, Ask, Floor, Kind, Permit, Permits, Sighting, State
from hophinge.maintenance.releases import Course, Outcome, Releases, Stage
from hophinge.maintenance.watch import AWAY_US, HeadView
from hophinge.routing.bounds import Maintenance, Outage, Release
from hophinge.routing.records import Record

RELEASE, OUTAGE, HEAD = "release ", "outage ", "head "


class Coordinator:
    """One installation's; `fence` is above that of every process that had this store before."""

    def __init__(
        self,
        issuer: str,
        fence: int,
        permits: Iterable[Permit],
        courses: Iterable[Course],
        zones: Mapping[str, str],
        keeper: Keeper,
        now_us: int,
    ) -> None:
        self.issuer, self.fence, self.keeper = issuer, fence, keeper
        self.permits, self.releases, self.drains = Permits(permits, fence, now_us), Releases(courses), Drains()
        self.observations = Observations(zones)
        self.began_us = now_us
        self.rule = Maintenance()
        self.outages: dict[str, Outage] = {}
        self.forms: dict[str, Release] = {}
        self.records: tuple[Record, ...] = ()
        self.reserves: dict[str, float] = {}  # of tenants that have an account
        self.reasons: dict[tuple[Kind, str], str] = {}  # why who wants to go out has to wait
        self.told: dict[str, Word] = {}
        self.number = 0  # of the last word
        self.backends: Sighting | None = None  # until something is heard, or time goes on

    # --- what comes in

    def document(self, upkeep: Iterable[Record], records: Iterable[Record], reserves: Mapping[str, float]) -> None:
        """Take the forms on maintenance, and those that tell what pools must carry."""
        rows = list(upkeep)
        self.rule = next((one for one in rows if isinstance(one, Maintenance)), Maintenance())
        self.outages = {one.name: one for one in rows if isinstance(one, Outage)}
        self.forms = {one.name: one for one in rows if isinstance(one, Release)}
        self.records, self.reserves = tuple(records), dict(reserves)

    def connected(self, name: str, speaks: bool, size: int) -> None:
        """Note a head's stream; `size` is how many heads the installation counts, 0: nobody has told."""
        head = self.observations.heads.setdefault(name, Head())
        head.connected, head.heard, head.speaks, head.report, self.backends = True, True, speaks, None, None
        head.listener = Listener()
        self.observations.size = size
        self.told.pop(name, None)

    def gone(self, name: str) -> None:
        """Note the end of a head's stream."""
        if (head := self.observations.heads.get(name)) is not None:
            head.connected, head.report, self.backends = False, None, None

    def report(self, name: str, report: Report) -> None:
        """Take what a head says; what it says replaces what it said, and lists follow what has changed."""
        head = self.observations.heads[name]
        if (whole := head.listener.take(report)) is None:
            return
        report = whole
        if report.zone and report.zone != head.zone:
            self.keeper.zone(name, report.zone)
            head.zone = report.zone
        head.report, self.backends = report, None
        self.drains.take(name, report.statements, True, self.permits.held)
        for other, statements in report.heard.items():
            # A head that has a line to here speaks for itself: what others have heard of it may be of a former process.
            if (known := self.observations.heads.get(other)) is None or not known.connected:
                self.drains.take(other, statements, False, self.permits.held)

    # --- what follows

    def tick(self, now_us: int) -> None:
        """Do all that follows from what is known; raises what the keeper raises, and is then to be called again."""
        self.backends = None
        self._keep(now_us, self.permits.lapsed(now_us))
        for permit in self.rule.free:
            if permit in self.permits.held:
                self._keep(now_us, self.permits.step(permit, State.FREE))
        self._evidence(now_us)
        self.drains.forget(self.permits.held)
        self.reasons = {}
        self._outages(now_us)
        self._releases(now_us)
        self._wishes(now_us)

    def _keep(self, now_us: int, rows: Sequence[Permit], courses: Sequence[Course] = ()) -> None:
        if rows or courses:
            self.keeper.keep(rows, courses)
            self.permits.take(now_us, rows)
            self.releases.take(courses)

    def _evidence(self, now_us: int) -> None:
        for one in list(self.permits.held.values()):
            state = self._of_head(one, now_us) if one.kind is Kind.HEAD else self._of_backend(one)
            if state is not None:
                self._keep(now_us, self.permits.step(one.id, state))

    def _of_head(self, one: Permit, now_us: int) -> State | None:
        """Tell what a head's stream and report make of its permit."""
        head = self.observations.heads.get(one.name)
        if one.state is State.GRANTED or head is None:
            return None
        standing = self._stands(one)
        if not head.connected:
            # To an issuer that has just started all heads are away; that tells nothing until they had time to come.
            told = head.heard or now_us - self.began_us >= AWAY_US
            return State.OUT if told and one.state in (State.BEGUN, State.BACK) else None
        report = head.report
        another = (report is not None and report.process != one.process) or (
            report is None and not head.speaks and one.state is State.OUT
        )
        if one.state in (State.BEGUN, State.OUT):
            return State.BACK if another or not standing else None
        wanted = report is None or not one.build or report.build == one.build
        return State.FREE if head.up and wanted and not (one.by.startswith(OUTAGE) and standing) else None

    def _of_backend(self, one: Permit) -> State | None:
        """Tell what the heads' statements make of a brick's permit."""
        if one.state is State.BACK:
            heads = self.observations.of_heads(self.rule.retired).total
            return State.FREE if self.drains.served(one.id) >= max(1, min(self.rule.served, heads)) else None
        if not self._stands(one):
            return State.BACK
        return State.OUT if one.state is State.BEGUN and self.verdict(one).done else None

    def _stands(self, one: Permit) -> bool:
        """Tell whether the form that a permit is for still wants it; whoever asked otherwise has no form."""
        if not one.by.startswith(OUTAGE):
            return True
        form = self.outages.get(one.by.removeprefix(OUTAGE))
        return form is not None and one.name in (form.heads if one.kind is Kind.HEAD else form.backends)

    def verdict(self, one: Permit) -> Verdict:
        """Tell whose word that a brick is drained is missing."""
        form = self.outages.get(one.by.removeprefix(OUTAGE))
        known = [name for name in self.observations.heads if name not in self.rule.retired]
        return self.drains.verdict(
            one.id,
            owing(
                known,
                self.observations.connected(),
                self.observations.told("live"),
                self.observations.told("gone"),
                {
                    *(form.without if form is not None else ()),
                    *(set(self.rule.retired) - self.observations.connected()),
                },
            ),
        )

    # --- who wants to go out

    def _floors(self, kind: Kind) -> list[Floor]:
        if kind is Kind.HEAD:
            return [head_floor(self.records, self.reserves)]
        listed = {name: one for name, (one, _) in self.observations.seen.items()}
        return backend_floors(self.records, listed, self.rule.capacity, self.reserves)

    def _ask(self, now_us: int, ask: Ask) -> None:
        if ask.kind is Kind.HEAD:
            sight, most = self.observations.of_heads(self.rule.retired), self.rule.heads
        else:
            self.backends = self.backends or self.observations.of_backends(now_us)
            sight, most = self.backends, self.rule.backends
        self._answered(now_us, ask.kind, ask.name, self.permits.ask(now_us, ask, sight, most, self._floors(ask.kind)))

    def _answered(self, now_us: int, kind: Kind, name: str, answer: Answer) -> None:
        self._keep(now_us, answer.rows)
        if answer.reason:
            self.reasons[kind, name] = answer.reason

    def _outages(self, now_us: int) -> None:
        for form in self.outages.values():
            for kind, names in ((Kind.BACKEND, form.backends), (Kind.HEAD, form.heads)):
                for name in names:
                    held = self.permits.of(kind, name)
                    if held is None or held.by != OUTAGE + form.name:
                        head = self.observations.heads.get(name) if kind is Kind.HEAD else None
                        process = head.report.process if head is not None and head.report is not None else 0
                        self._ask(now_us, Ask(kind, name, OUTAGE + form.name, form.name, "", True, process))

    def _releases(self, now_us: int) -> None:
        self._keep(now_us, (), self.releases.listed(self.forms))
        outcome = self.releases.look(now_us, self.forms, self.views())
        rows = [
            msgspec.structs.replace(one, state=State.FREE)
            for one in self.permits.held.values()
            if one.state is State.GRANTED and one.by.removeprefix(RELEASE) in outcome.withdrawn
        ]
        rows += [
            row
            for permit, build in outcome.rebuilt
            for row in self.permits.step(permit, self.permits.held[permit].state, build)
        ]
        self._keep(now_us, rows, outcome.courses)  # the way back is stored before anybody is asked to go
        self._wanted(now_us, outcome)

    def _wanted(self, now_us: int, outcome: Outcome) -> None:
        for want in outcome.wants:
            if not self.observations.heads[want.head].speaks:
                self.reasons[Kind.HEAD, want.head] = "it does not speak of permits; restart it under an (outage ...)"
            else:
                self._ask(now_us, Ask(Kind.HEAD, want.head, RELEASE + want.release, want.key, want.build))

    def _wishes(self, now_us: int) -> None:
        for name, head in self.observations.heads.items():
            report = head.report
            if report is None:
                continue
            held = self.permits.of(Kind.HEAD, name)
            if held is not None and held.state is State.GRANTED and held.by == HEAD + name and held.key != report.ask:
                self._keep(now_us, self.permits.step(held.id, State.FREE))  # whoever asked wants it no more
            if report.ask and self.permits.of(Kind.HEAD, name) is None:
                self._ask(now_us, Ask(Kind.HEAD, name, HEAD + name, report.ask))
            held = self.permits.of(Kind.HEAD, name)
            if held is not None and report.begin == held.id:
                self._answered(
                    now_us,
                    Kind.HEAD,
                    name,
                    self.permits.begin(
                        now_us,
                        held.id,
                        report.process,
                        self.observations.of_heads(self.rule.retired),
                        self.rule.heads,
                        self._floors(Kind.HEAD),
                    ),
                )

    def views(self) -> dict[str, HeadView]:
        """Tell the heads as releases see them."""
        found = {}
        for name, head in self.observations.heads.items():
            if head.connected or name not in self.rule.retired:
                report = head.report or Report(0)
                found[name] = HeadView(
                    head.connected,
                    head.up,
                    report.build,
                    report.process,
                    self.permits.of(Kind.HEAD, name),
                    report.taken,
                    report.failed,
                    head.report is not None or not head.speaks,
                )
        return found

    # --- what is told

    def word(self, name: str) -> Word | None:
        """Tell what is new for a head since it was last told, or nothing."""
        backends = self.permits.all(Kind.BACKEND)
        before = self.told.get(name)
        word = Word(
            self.issuer,
            self.fence,
            before.number if before is not None else 0,
            {one.id: one.name for one in backends if one.state in (State.BEGUN, State.OUT)},
            {one.id: one.name for one in backends if one.state is State.BACK},
            self.permits.of(Kind.HEAD, name),
            self.reasons.get((Kind.HEAD, name), ""),
            tuple(f"{one.name}/{one.again}" for one in self.releases.courses.values() if one.stage is Stage.HALTED),
            True,
            self.observations.heads[name].listener.asks if name in self.observations.heads else 0,
        )
        if word == before:
            return None
        self.number += 1
        self.told[name] = msgspec.structs.replace(word, number=self.number)
        return self.told[name]
