"""Maintenance on heads' streams: reports go to the coordinator, what it has stored goes out as words.

An older head would end its stream over a kind that it does not know, and so would an older service. So a head says
`maintenance` among its first figures, which older services pass over; only to such a head is a word ever sent; and a
head reports only after a word has come.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from hophinge.control import wire
from hophinge.control.promises import Promises
from hophinge.control.rollout import FORGET_US
from hophinge.control.wire import Kind, Request, Resource, Response
from hophinge.core.errors import told
from hophinge.maintenance.coordinator import Coordinator
from hophinge.maintenance.naming import refused, taken_back
from hophinge.maintenance.shown import shown
from hophinge.maintenance.messages import Report, Word
from hophinge.routing import records
from hophinge.routing.document import Form
from hophinge.routing.records import Record

if TYPE_CHECKING:
    from hophinge.control.service import ControlService
    from hophinge.control.streams import Stream

SPEAKS = "maintenance"  # the figure of a head that takes words and tells reports
REPORT = "report"  # the name under which a request bears one
LOOK_US = 200_000  # between looks where nothing came
AGAIN_US = 500_000  # after the store failed


class Upkeep:
    """The coordinator of one control service, and its streams."""

    def __init__(self, service: ControlService) -> None:
        self.service = service
        self.promises = Promises(service.store, service.now_ms)
        self.forms = self.promises.upkeep()
        since = service.now_ms() - FORGET_US // 1000
        self.seen = dict(service.store.heads())  # when each head was here last, in milliseconds since 1970
        zones = self.promises.zones([name for name, seen in self.seen.items() if seen > since])
        self.coordinator = Coordinator(
            self.promises.issuer,
            self.promises.fence,
            self.promises.permits(),
            self.promises.courses(),
            zones,
            self.promises,
            service.now_us(),
        )
        self.due_us = 0
        self.failing = ""
        self.returned: list[str] = []  # named as gone and back, and not stored yet
        self.pushed(None)

    # --- the document

    def put(self, forms: Sequence[Record], who: str, note: str) -> None:
        """Store new words on maintenance beside a version that stays as it is."""
        store = self.service.store
        with store.transaction():
            store.set_upkeep(body_of(forms))
            store.note(
                self.service.now_ms(), who, "words", f"{len(forms)} forms on maintenance{': ' if note else ''}{note}"
            )
        self.pushed(forms)

    def refused(self, forms: Sequence[Record], place: Form | None, name: str) -> list[str]:
        """Tell what a document gets wrong about heads that are here, as lines; `place`: its form on maintenance."""
        return refused(forms, self.coordinator.observations.connected(), place, name)

    def pushed(self, forms: Sequence[Record] | None) -> None:
        """Take the forms of a document that is stored, and what pools and reserves its version states."""
        if forms is not None:
            self.forms = list(forms)
        newest = self.service.store.newest
        rows = (
            [
                records.decode(row[2])
                for row in newest.rows.values()
                if row[2].startswith((b'{"type":"pool"', b'{"type":"tenant"', b'{"type":"route"', b'{"type":"spare"'))
            ]
            if newest is not None and self.forms
            else []
        )
        self.coordinator.document(self.forms, rows, self.service.shares.reserved())
        self.due_us = 0

    # --- heads

    def connected(self, stream: Stream) -> None:
        """Take a head's stream."""
        stream.speaks, name = bool(stream.publisher.figures.get(SPEAKS)), stream.publisher.head
        if (forms := taken_back(self.forms, name)) != self.forms:
            # In force at once, as a head that is here can only be missed by it; stored by the next look.
            self.returned.append(name)
            self.pushed(forms)
            self.service.log(f"maintenance: {name} is back, so it is not (retired {name}) any more")
        self.coordinator.connected(name, stream.speaks, self.service.shares.size)
        self.due_us = 0
        self._tell(stream)

    def gone(self, name: str) -> None:
        """Take the end of a head's stream."""
        self.coordinator.gone(name)
        self.seen[name] = self.service.now_ms()
        self._careful(lambda: self.service.store.saw(name, self.seen[name]))
        self.due_us = 0

    def heard(self, stream: Stream, request: Request) -> None:
        """Take a head's report; raises WireError for what is none."""
        name = stream.publisher.head
        if self.service.streams.get(name) is not stream or not stream.speaks:
            return  # a stream that a newer one has followed
        try:
            report = msgspec.json.decode(request.initial.get(REPORT, ""), type=Report)
        except msgspec.MsgspecError as error:
            raise wire.WireError(f"a report that cannot be read: {error}") from error
        self._careful(lambda: self.coordinator.report(name, report))
        self.due_us = 0

    # --- what follows

    def tick(self) -> None:
        """Decide what is due, have it stored, then tell heads."""
        now = self.service.now_us()
        if now < self.due_us:
            return
        self.due_us = now + LOOK_US
        if self._careful(self._returns) and self._careful(lambda: self.coordinator.tick(now)):
            for stream in self.service.streams.values():
                self._tell(stream)
        else:
            self.due_us = now + AGAIN_US

    def _returns(self) -> None:
        if self.returned:
            store = self.service.store
            with store.transaction():
                store.set_upkeep(body_of(self.forms))
                for name in self.returned:
                    store.note(
                        self.service.now_ms(),
                        "control service",
                        "words",
                        f"{name} is back: (retired {name}) holds no more, take it out of the document",
                    )
            self.returned.clear()

    def _careful(self, step: Any) -> bool:
        """Make a step that stores; what fails is told once, and made again later."""
        try:
            step()
        except Exception as error:  # a full disk, a fence, a fault of ours: none may end the rollout of versions
            if self.failing != (what := told(error)):
                self.failing = what
                self.service.log(f"maintenance stands still: {what}")
            return False
        self.failing = ""
        return True

    def _tell(self, stream: Stream) -> None:
        if stream.speaks and (word := self.coordinator.word(stream.publisher.head)) is not None:
            stream.send([encode_word(word)])

    def status(self) -> dict[str, Any]:
        """Tell staff what is out, what wants to be, and what is missing."""
        return {
            "failing": self.failing,
            "now_ms": self.service.now_ms(),
            **shown(self.coordinator, lambda name: self.seen.get(name, 0)),
        }


def body_of(forms: Sequence[Record]) -> bytes:
    """Write forms as the store has them."""
    return msgspec.json.encode([msgspec.Raw(records.encode(one)) for one in forms])


def encode_word(word: Word) -> bytes:
    """Write a word as a response."""
    nonce = f"{word.fence}.{word.number}"
    body = wire.record_body(msgspec.json.encode(word))
    return wire.encode_response(Response(Kind.MAINTENANCE, nonce, (Resource(SPEAKS, nonce, body),)))


def read_word(response: Response) -> Word:
    """Read a word; raises WireError."""
    try:
        return msgspec.json.decode(wire.record_json(response.resources[0].body), type=Word)
    except (IndexError, msgspec.MsgspecError) as error:
        raise wire.WireError(f"a word on maintenance that cannot be read: {error}") from error


def report_request(head: str, report: Report) -> Request:
    """Write a report as a request."""
    return Request(Kind.MAINTENANCE, head=head, initial={REPORT: msgspec.json.encode(report).decode()})
