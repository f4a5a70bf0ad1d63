"""A head's side of the stream, without I/O: versions are received, checked, prepared, put in force or turned down.

Events come in by methods with the time as argument, actions go out as a list. The follower owns what is held (a mirror
of what the service believes it holds, good or bad) and what is in force (always a whole version that passed).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hophinge.control.actions import (
    Action as Action,
    Apply as Apply,
    Close as Close,
    Connect as Connect,
    Keep as Keep,
    Log as Log,
    State as State,
    Tell as Tell,
)
from hophinge.control.dial import LONGEST_PAUSE_US as LONGEST_PAUSE_US, Dial
from hophinge.control.mirror import LONGEST_REASON, Mirror, short
from hophinge.control.publisher import name_of
from hophinge.control.wire import (
    VERSION_NAME,
    Kind,
    Order,
    Request,
    Response,
    Version,
    WireError,
    read_version,
    version_text,
)
from hophinge.routing.table import Facts, Table

CONNECT_US = 3_000_000  # for a stream to give its first response
SOUND_US = 5_000_000  # a stream that ends sooner was none: pauses go on growing
COMPLETE_US = 1_000_000  # for records that come behind their version
MAX_REFUSED = 64  # versions that were turned down and are remembered


class Follower:
    """The state of one head; `due_us` is when `tick` is to be called next."""

    def __init__(
        self, head: str, endpoints: Iterable[str], facts: Facts, seed: int, silence_us: int, stale_us: int
    ) -> None:
        self.head, self.dial, self.mirror = head, Dial(tuple(endpoints), seed), Mirror(facts)
        self.silence_us, self.stale_us = silence_us, stale_us
        self.version: Version | None = None  # in force
        self.wanted: Version | None = None  # told, not decided yet
        self.wanted_nonce, self.wanted_until = "", 0
        self.refused: dict[tuple[Order, int], str] = {}
        self.state, self.reason = State.NONE, ""
        self.resynced: set[Order] = set()  # versions for which all was asked for anew
        self.kept: Order = (0, 0)
        self.keep_error = ""
        self.figures: Mapping[str, float] = {}
        self.connected = self.opening = False
        self.heard_us = 0  # last response of any stream
        self.opened_us = 0  # first response of the open one
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
        if reasons := self.mirror.restored(version, rows):
            return [Log(f"the last good version {name_of(version.order)} is not taken: {short(reasons)}")]
        self.kept = version.order
        return [*self._take_up(version), Log(f"version {name_of(version.order)} is in force, as it was kept")]

    def _connect(self, now_us: int) -> list[Action]:
        self.opening, self.connected = True, False
        self.due_us = now_us + CONNECT_US
        self.counts["connects"] += 1
        force = {VERSION_NAME: version_text(self.version.order, self.version.sum)} if self.version else {}
        initial = {name: row[0] for name, row in self.mirror.held.items()}
        return [
            Connect(
                self.dial.endpoint,
                (
                    Request(Kind.RECORD, subscribe=True, initial=initial, head=self.head, figures=self.figures),
                    Request(Kind.VERSION, subscribe=True, initial=force),
                ),
            )
        ]

    def closed(self, now_us: int, reason: str) -> list[Action]:
        """Take the end of a stream, or of an attempt to open one."""
        if not self.opening and not self.connected:
            return []
        lived = self.connected and now_us - self.opened_us >= SOUND_US
        self.opening = self.connected = False
        self.wanted = None  # whoever answers next tells it again
        if self.state is State.RECEIVED:
            self.state = State.IN_FORCE if self.version else State.NONE
        self.due_us = now_us + self.dial.ended(lived)
        self.counts["failovers"] += len(self.dial.endpoints) > 1
        return [Log(f"the stream ended: {reason}; next is {self.dial.endpoint}")]

    def tick(self, now_us: int) -> list[Action]:
        """Do what is due."""
        actions: list[Action] = []
        if not self.stale_told and now_us - self.heard_us >= self.stale_us:
            self.stale_told = True
            actions.append(
                Log(f"no control service for {self.stale_us / 1e6:g} s: version {self.running} is stale and goes on")
            )
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
        wrong, replayed = self.mirror.received(response)
        self.counts["replayed"] += replayed
        answer = Tell(Request(response.kind, response.nonce, short(wrong), head=self.head, figures=self.figures))
        return [answer, *self._consider(now_us)]

    def _version(self, now_us: int, response: Response) -> list[Action]:
        if not response.resources:
            return [Tell(Request(response.kind, response.nonce, head=self.head, figures=self.figures))]
        try:
            version = read_version(response.resources[0].body)
        except WireError as error:
            return [self._answer(response.nonce, str(error)), Log(f"a version is turned down: {error}")]
        actions: list[Action] = []
        if self.wanted is not None and self.wanted_nonce != response.nonce:
            late = f"version {name_of(version.order)} came before it was whole"
            actions.append(self._answer(self.wanted_nonce, late))
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
            told = f"version {name_of(version.order)} {why} {name_of(force.order)}"
            return self._turn_down(
                version, f"{told} in force here; if the control service was restored from a backup, raise its epoch"
            )
        if (reason := self.refused.get((version.order, version.sum))) is not None:
            return self._turn_down(version, reason)
        if self.mirror.sum != version.sum or len(self.mirror.held) != version.count:
            self.state = State.RECEIVED
            return []  # its records may come behind it; `tick` ends the wait
        if reasons := self.mirror.faults():
            return self._turn_down(version, short(reasons))
        self.wanted = None
        return [
            *self._take_up(version),
            self._answer(self.wanted_nonce, ""),
            Log(f"version {name_of(version.order)} is in force"),
            Keep(version),
        ]

    def _take_up(self, version: Version) -> list[Action]:
        self.mirror.take_up(version)
        self.version, self.state, self.reason = version, State.IN_FORCE, ""
        self.counts["taken_up"] += 1
        self.resynced.clear()
        return [Apply(self.mirror.table)]

    def _turn_down(self, version: Version, reason: str) -> list[Action]:
        self.wanted = None
        known = (version.order, version.sum) in self.refused
        while len(self.refused) >= MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        self.refused[version.order, version.sum] = reason
        self.state, self.reason = State.TURNED_DOWN, reason
        self.counts["turned_down"] += 1
        told = f"version {name_of(version.order)} is turned down: {reason}; {self.running} goes on"
        line = [] if known else [Log(told)]
        return [self._answer(self.wanted_nonce, reason), *line]

    def _truncated(self, version: Version, now_us: int) -> list[Action]:
        """Ask for everything anew where records do not add up, once for each version; then turn it down."""
        self.counts["truncated"] += 1
        told = f"{version.count} records told, {len(self.mirror.held)} here"
        if version.order in self.resynced:
            return self._turn_down(version, f"its records do not add up to it, twice ({told}): truncated or mixed up")
        self.resynced.add(version.order)
        # No answer: whoever sent it must not take a loss on the way for a fault of the version.
        self.mirror.drop_all()
        self.dial.failures = 0  # happens once for a version, so the shortest pause will do
        actions: list[Action] = [
            Log(f"version {name_of(version.order)} does not add up ({told}); asking for all anew"),
            Close("records do not add up"),
            *self.closed(now_us, "records do not add up"),
        ]
        self.dial.stay()  # the service itself is there
        return actions

    # --- what was kept

    def keep_done(self, order: Order, error: str) -> list[Action]:
        """Note that a version is written where it lasts, or why not."""
        if error:
            first = not self.keep_error
            self.keep_error = error
            return [Log(f"version {name_of(order)} is in force but could not be kept: {error}")] if first else []
        self.kept, self.keep_error = max(self.kept, order), ""
        return []

    @property
    def held(self) -> Mapping[str, tuple[str, int, bytes]]:
        """Tell what is held, by name: version, fingerprint and JSON."""
        return self.mirror.held

    @property
    def running(self) -> str:
        """Tell the version in force, as staff write it."""
        return name_of(self.version.order) if self.version else "none"

    @property
    def table(self) -> Table:
        """Tell the version in force as a table."""
        return self.mirror.table

    def status(self, now_us: int) -> dict[str, object]:
        """Tell staff what runs here."""
        return {
            "head": self.head,
            "running": self.running,
            "state": self.state.value,
            "reason": self.reason,
            "stale": self.stale_told,
            "connected": self.connected,
            "endpoint": self.dial.endpoint,
            "records": len(self.mirror.held),
            "kept": name_of(self.kept),
            "keep_error": self.keep_error,
            "silent_s": round((now_us - self.heard_us) / 1e6, 1),
            **self.counts,
        }
