"""A head's side of the stream, without I/O: versions are received, checked, prepared, put in force or turned down.

Events come in by methods with the time as argument, actions go out as a list. The follower owns what is held (a mirror
of what the service believes it holds, good or bad) and what is in force (always a whole version that passed).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from enum import Enum

from msgspec import Struct

from hophinge.control.wire import (
    VERSION_NAME, Kind, Order, Request, Response, Version, WireError, order_of, read_version, record_json,
    version_text,
)
from hophinge.routing import records
from hophinge.routing.table import EMPTY, Facts, Table, check

FIRST_PAUSE_US = 200_000        # before the next attempt to connect
LONGEST_PAUSE_US = 1_500_000    # a thousand heads then knock some 700 times a second, and are back within two
JITTER = (0.5, 1.5)             # parts of a pause: heads that lost one service do not come back at once
CONNECT_US = 3_000_000          # for a stream to give its first response
SOUND_US = 5_000_000            # a stream that ends sooner was none: pauses go on growing
COMPLETE_US = 1_000_000         # for records that come behind their version
MOST_REFUSED = 64               # versions that were turned down and are remembered
LONGEST_REASON = 2000           # characters


class State(Enum):
    """Where the newest version that was heard of stands."""

    NONE = "none"
    RECEIVED = "received"       # told, but not all of its records are here
    IN_FORCE = "in force"
    TURNED_DOWN = "turned down"


class Connect(Struct, frozen=True):
    """Open a stream to an endpoint; its first requests are given."""

    endpoint: str
    requests: tuple[Request, ...]


class Tell(Struct, frozen=True):
    """Send a request on the open stream."""

    request: Request


class Close(Struct, frozen=True):
    """Close the stream, or stop opening it; `closed` is not to be called for it."""

    reason: str


class Apply(Struct, frozen=True):
    """Put a version in force, now and in one step."""

    table: Table


class Keep(Struct, frozen=True):
    """Write the version in force where it lasts, and call `kept`."""

    version: Version


class Log(Struct, frozen=True):
    """A line for staff."""

    text: str


Action = Connect | Tell | Close | Apply | Keep | Log


class Follower:
    """The state of one head; `due_us` is when `tick` is to be called next."""

    def __init__(self, head: str, endpoints: Iterable[str], facts: Facts, seed: int, silence_us: int,
                 stale_us: int) -> None:
        self.head, self.endpoints, self.facts = head, tuple(endpoints), facts
        if not self.endpoints:
            raise ValueError("a follower needs an endpoint")
        self.random = random.Random(seed)
        self.silence_us, self.stale_us = silence_us, stale_us
        # What the service believes is held: by name the version, fingerprint and JSON of each record.
        self.held: dict[str, tuple[str, int, bytes]] = {}
        self.records: dict[str, records.Record] = {}        # the same, read
        self.unread: dict[str, str] = {}                    # names whose record cannot be read, and why
        self.sum = 0
        self.changed: dict[str, records.Record | None] = {}    # what differs from the version in force, as it is there
        self.version: Version | None = None                 # in force
        self.table = EMPTY
        self.wanted: Version | None = None                  # told, not decided yet
        self.wanted_nonce, self.wanted_until = "", 0
        self.refused: dict[tuple[Order, int], str] = {}
        self.state, self.reason = State.NONE, ""
        self.resynced: set[Order] = set()                   # versions for which all was asked for anew
        self.kept: Order = (0, 0)
        self.keep_error = ""
        self.figures: Mapping[str, float] = {}
        self.endpoint_at, self.failures = 0, 0
        self.connected = self.opening = False
        self.heard_us = 0           # last response of any stream
        self.opened_us = 0          # first response of the open one
        self.due_us = 0
        self.stale_told = False
        self.counts = dict.fromkeys(("taken_up", "turned_down", "truncated", "connects", "failovers", "replayed"), 0)

    # --- the stream's life

    def start(self, now_us: int) -> list[Action]:
        """Begin; what was kept is to be given to `restore` before."""
        self.heard_us = now_us
        return self._connect(now_us)

    def restore(self, version: Version, rows: Iterable[tuple[str, str, bytes]], now_us: int) -> list[Action]:
        """Take the last good version, unless this head cannot run it any more."""
        for name, text, body in rows:
            self._hold(name, text, body)
        reasons = self._faults()
        if version.sum != self.sum or version.count != len(self.held):
            reasons = ["its records are not those of its version"]
        if reasons:
            self._drop_all()
            return [Log(f"the last good version {_name(version.order)} is not taken: {_short(reasons)}")]
        self.kept = version.order
        return [*self._take_up(version), Log(f"version {_name(version.order)} is in force, as it was kept")]

    def _connect(self, now_us: int) -> list[Action]:
        self.opening, self.connected = True, False
        self.due_us = now_us + CONNECT_US
        self.counts["connects"] += 1
        force = {VERSION_NAME: version_text(self.version.order, self.version.sum)} if self.version else {}
        initial = {name: row[0] for name, row in self.held.items()}
        return [Connect(self.endpoints[self.endpoint_at], (
            Request(Kind.RECORD, subscribe=True, initial=initial, head=self.head, figures=self.figures),
            Request(Kind.VERSION, subscribe=True, initial=force)))]

    def closed(self, now_us: int, reason: str) -> list[Action]:
        """Take the end of a stream, or of an attempt to open one."""
        if not self.opening and not self.connected:
            return []
        lived = self.connected and now_us - self.opened_us >= SOUND_US
        self.opening = self.connected = False
        self.wanted = None      # whoever answers next tells it again
        if self.state is State.RECEIVED:
            self.state = State.IN_FORCE if self.version else State.NONE
        self.failures = 1 if lived else self.failures + 1
        self.endpoint_at = (self.endpoint_at + 1) % len(self.endpoints)
        self.counts["failovers"] += len(self.endpoints) > 1
        pause = min(LONGEST_PAUSE_US, FIRST_PAUSE_US * 2 ** min(self.failures - 1, 16))
        self.due_us = now_us + int(pause * self.random.uniform(*JITTER))
        return [Log(f"the stream ended: {reason}; next is {self.endpoints[self.endpoint_at]}")]

    def tick(self, now_us: int) -> list[Action]:
        """Do what is due."""
        actions: list[Action] = []
        if not self.stale_told and now_us - self.heard_us >= self.stale_us:
            self.stale_told = True
            actions.append(Log(f"no control service for {self.stale_us / 1e6:g} s: "
                               f"version {self.running} is stale and goes on"))
        if self.wanted is not None and now_us >= self.wanted_until:
            actions += self._truncated(self.wanted, now_us)
        elif self.connected and now_us - self.heard_us >= self.silence_us:
            actions += [Close("silence"), *self.closed(now_us, f"silent for {self.silence_us / 1e6:g} s")]
        elif self.opening and now_us >= self.due_us:
            actions += [Close("no answer"), *self.closed(now_us, f"no answer within {CONNECT_US / 1e6:g} s")]
        elif not self.opening and not self.connected and now_us >= self.due_us:
            actions += self._connect(now_us)
        return actions + self._set_due(now_us)

    def _set_due(self, now_us: int) -> list[Action]:
        if self.connected:
            self.due_us = self.heard_us + self.silence_us
            if self.wanted is not None:
                self.due_us = min(self.due_us, self.wanted_until)
        return []

    # --- what comes

    def received(self, now_us: int, response: Response) -> list[Action]:
        """Take a response; each gets its one answer, at once or when its version is decided."""
        if not self.opening and not self.connected:
            return []
        if self.opening:
            self.opened_us = now_us
        self.opening, self.connected = False, True
        self.heard_us, self.stale_told = now_us, False
        actions = (self._records if response.kind is Kind.RECORD else self._version)(now_us, response)
        return actions + self._set_due(now_us)

    def _records(self, now_us: int, response: Response) -> list[Action]:
        wrong = []
        for one in response.resources:
            try:
                body = record_json(one.body)
            except WireError as error:
                wrong.append(f"{one.name}: {error}")
                continue
            old = self.held.get(one.name)
            if old is not None and order_of(one.version) < order_of(old[0]):
                self.counts["replayed"] += 1        # of a response that was here before
                continue
            self._hold(one.name, one.version, body)
        for name in response.removed:
            self._hold(name, "", None)
        answer = Tell(Request(response.kind, response.nonce, _short(wrong), head=self.head, figures=self.figures))
        return [answer, *self._consider(now_us)]

    def _hold(self, name: str, version: str, body: bytes | None) -> None:
        old = self.held.get(name)
        if old is not None:
            if body == old[2]:
                self.held[name] = (version, old[1], old[2])
                return
            self.sum = (self.sum - old[1]) % records.SUM
        elif body is None:
            return
        if name not in self.changed:
            # Where a record was held that could not be read, the version in force cannot have had it.
            self.changed[name] = self.records.get(name)
        self.records.pop(name, None)
        self.unread.pop(name, None)
        if body is None:
            del self.held[name]
            return
        mark = records.fingerprint(name, body)
        self.held[name] = version, mark, body
        self.sum = (self.sum + mark) % records.SUM
        try:
            record = records.decode(body)
            if record.key != name:
                raise ValueError(f"it holds {record.key}")
            self.records[name] = record
        except ValueError as error:
            self.unread[name] = f"{name}: this head cannot read it: {error}"

    def _drop_all(self) -> None:
        for name in list(self.held):
            self._hold(name, "", None)

    def _version(self, now_us: int, response: Response) -> list[Action]:
        if not response.resources:
            return [Tell(Request(response.kind, response.nonce, head=self.head, figures=self.figures))]
        try:
            version = read_version(response.resources[0].body)
        except WireError as error:
            return [self._answer(response.nonce, str(error)), Log(f"a version is turned down: {error}")]
        actions: list[Action] = []
        if self.wanted is not None and self.wanted_nonce != response.nonce:
            actions.append(self._answer(self.wanted_nonce, f"version {_name(version.order)} came before it was whole"))
        self.wanted, self.wanted_nonce = version, response.nonce
        self.wanted_until = now_us + COMPLETE_US
        return actions + self._consider(now_us)

    def _answer(self, nonce: str, error: str) -> Tell:
        return Tell(Request(Kind.VERSION, nonce, error[:LONGEST_REASON], head=self.head, figures=self.figures))

    # --- what is decided

    def _consider(self, now_us: int) -> list[Action]:
        """Decide on the version that was told last, if all of it is here."""
        version, force = self.wanted, self.version
        if version is None:
            return []
        if force is not None and version.order == force.order and version.sum == force.sum:
            self.wanted = None
            self.state, self.reason = State.IN_FORCE, ""
            return [self._answer(self.wanted_nonce, "")]
        if force is not None and version.order <= force.order:
            why = "has other records than" if version.order == force.order else "is lower than"
            return self._turn_down(version, f"version {_name(version.order)} {why} {_name(force.order)} in force here; "
                                            "if the control service was restored from a backup, raise its epoch")
        if (reason := self.refused.get((version.order, version.sum))) is not None:
            return self._turn_down(version, reason)
        if self.sum != version.sum or len(self.held) != version.count:
            self.state = State.RECEIVED
            return []       # its records may come behind it; `tick` ends the wait
        if reasons := self._faults():
            return self._turn_down(version, _short(reasons))
        self.wanted = None
        return [*self._take_up(version), self._answer(self.wanted_nonce, ""),
                Log(f"version {_name(version.order)} is in force"), Keep(version)]

    def _faults(self) -> list[str]:
        """Tell why what is held cannot run here; only what differs from the version in force is looked at."""
        reasons = sorted(self.unread.values())
        return reasons or check(self.records, self.changed, self.facts)

    def _take_up(self, version: Version) -> list[Action]:
        now: dict[str, records.Record | None] = {name: self.records.get(name) for name in self.changed}
        changes = {name: record for name, record in now.items() if record is not None or self.changed[name] is not None}
        before = {name: record for name, record in self.changed.items() if record is not None}
        self.table = self.table.changed(version.order, changes, before)
        self.changed = {}
        self.version, self.state, self.reason = version, State.IN_FORCE, ""
        self.counts["taken_up"] += 1
        self.resynced.clear()
        return [Apply(self.table)]

    def _turn_down(self, version: Version, reason: str) -> list[Action]:
        self.wanted = None
        known = (version.order, version.sum) in self.refused
        while len(self.refused) >= MOST_REFUSED:
            del self.refused[next(iter(self.refused))]
        self.refused[version.order, version.sum] = reason
        self.state, self.reason = State.TURNED_DOWN, reason
        self.counts["turned_down"] += 1
        told = f"version {_name(version.order)} is turned down: {reason}; {self.running} goes on"
        line = [] if known else [Log(told)]
        return [self._answer(self.wanted_nonce, reason), *line]

    def _truncated(self, version: Version, now_us: int) -> list[Action]:
        """Ask for everything anew where records do not add up, once for each version; then turn it down."""
        self.counts["truncated"] += 1
        told = f"{version.count} records told, {len(self.held)} here"
        if version.order in self.resynced:
            return self._turn_down(version, f"its records do not add up to it, twice ({told}): truncated or mixed up")
        self.resynced.add(version.order)
        # No answer: whoever sent it must not take a loss on the way for a fault of the version.
        self._drop_all()
        self.failures = 0       # happens once for a version, so the shortest pause will do
        actions: list[Action] = [Log(f"version {_name(version.order)} does not add up ({told}); asking for all anew"),
                                 Close("records do not add up"), *self.closed(now_us, "records do not add up")]
        self.endpoint_at = (self.endpoint_at - 1) % len(self.endpoints)     # the service itself is there
        return actions

    # --- what was kept

    def keep_done(self, order: Order, error: str) -> list[Action]:
        """Note that a version is written where it lasts, or why not."""
        if error:
            first = not self.keep_error
            self.keep_error = error
            return [Log(f"version {_name(order)} is in force but could not be kept: {error}")] if first else []
        self.kept, self.keep_error = max(self.kept, order), ""
        return []

    @property
    def running(self) -> str:
        """Tell the version in force, as staff write it."""
        return _name(self.version.order) if self.version else "none"

    def status(self, now_us: int) -> dict[str, object]:
        """Tell staff what runs here."""
        return {"head": self.head, "running": self.running, "state": self.state.value, "reason": self.reason,
                "stale": self.stale_told, "connected": self.connected,
                "endpoint": self.endpoints[self.endpoint_at], "records": len(self.held),
                "kept": _name(self.kept) if any(self.kept) else "none",
                "keep_error": self.keep_error, "silent_s": round((now_us - self.heard_us) / 1e6, 1), **self.counts}


def _name(order: Order) -> str:
    return f"{order[0]}.{order[1]}"


def _short(reasons: Iterable[str]) -> str:
    rows = list(reasons)
    more = f" (and {len(rows) - 5} more)" if len(rows) > 5 else ""
    return ("; ".join(rows[:5]) + more)[:LONGEST_REASON]
