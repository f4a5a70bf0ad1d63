"""An engine in virtual time: batches, prompts read in pieces, cached parts, handles, moves of memory, stages.

What it does is what the operators' protocol page says of engines: one prompt is read at a time, the most urgent first
and none interrupted; a decode engine makes a token for each running request in each step and reads prompts between
these at half the pace and in pieces a quarter as long; memory is shared by running requests and cached parts.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from hophinge.fleet.emulation.clock import VirtualClock
from hophinge.fleet.placement.hints import EngineReport
from hophinge.fleet.placement.node import PrefixCache
from hophinge.fleet.placement.timing import DECODE, PREFILL
from hophinge.fleet.placement.prompt import Prompt

DECODE_PACE = 0.5  # of the pace at which a prefill engine reads
DECODE_PIECE = 0.25  # of the length of its pieces
QUEUE_SLOTS = 2  # times the slots that may wait; more is turned away
FAR_MOVE = 2.0  # times as long as within a zone


class Event(Enum):
    """What an engine tells of a request."""

    READ = auto()  # the prompt is read, its memory is held
    FIRST = auto()  # the first token
    DONE = auto()  # the last token
    REFUSED = auto()  # it was not run
    LOST = auto()  # the engine is gone


Listener = Callable[[Event], None]


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """The figures of a deployment's engines."""

    slots: int
    memory_tokens: int
    step_s: float  # a step of a batch without a piece of a prompt
    tokens_read_a_second: float
    piece_tokens: int
    move_s_a_token: float
    switch_s: float


@dataclass(slots=True, eq=False)
class Work:
    """One request at an engine."""

    prompt: Prompt
    priority: int
    read_only: bool
    fetched_from: str | None  # zone of the engine that holds the prompt's memory
    listener: Listener
    unread: int = 0
    tokens_left: int = 0
    begun: bool = False


class VirtualEngine:
    """One engine."""

    def __init__(self, clock: VirtualClock, profile: EngineProfile, identity: str, stage: str, zone: str) -> None:
        self.clock, self.profile, self.identity, self.stage, self.zone = clock, profile, identity, stage, zone
        self.waiting: list[Work] = []
        self.reading: Work | None = None
        self.running: list[Work] = []
        self.fetching: list[Work] = []
        self.cache = PrefixCache(profile.memory_tokens)
        self.alive = True
        self.stepping = False
        self.link_free = 0.0
        self.tokens_read = 0

    # --- requests ------------------------------------------------------------------------------------------------

    def submit(self, work: Work) -> None:
        """Take a request."""
        if not self.alive:
            work.listener(Event.LOST)
        elif not self._takes(work):
            work.listener(Event.REFUSED)
        elif work.fetched_from is not None:
            self._fetch(work)
        else:
            insort(self.waiting, work, key=lambda one: one.priority)
            self._kick()

    def _takes(self, work: Work) -> bool:
        """Tell whether it is the stage that a request asks for, and has room for it."""
        right_stage = self.stage == (PREFILL if work.read_only else DECODE)
        return right_stage and len(self.waiting) < QUEUE_SLOTS * self.profile.slots and self._fits(work)

    def _held(self) -> int:
        """Tell the tokens of memory that can't give way."""
        busy = [*self.running, *self.fetching, *([self.reading] if self.reading is not None else [])]
        return sum(work.prompt.tokens_in + work.prompt.tokens_out for work in busy)

    def _fits(self, work: Work) -> bool:
        wanted = work.prompt.tokens_in + work.prompt.tokens_out
        return work.read_only or self._held() + wanted <= self.profile.memory_tokens

    def _fetch(self, work: Work) -> None:
        """Move a prompt's memory here: moves go one after the other over the link."""
        far = FAR_MOVE if work.fetched_from != self.zone else 1.0
        began = max(self.link_free, self.clock.now)
        self.link_free = began + work.prompt.tokens_in * self.profile.move_s_a_token * far
        self.fetching.append(work)
        self.clock.at(self.link_free, lambda: self._fetched(work))

    def _fetched(self, work: Work) -> None:
        if work in self.fetching:
            self.fetching.remove(work)
            self._run(work)

    def _run(self, work: Work) -> None:
        work.tokens_left = max(1, work.prompt.tokens_out)
        self.running.append(work)
        self.cache.insert(work.prompt.segments)
        self._kick()

    def crash(self) -> None:
        """End, with all that is here."""
        lost = [*self.waiting, *self.running, *self.fetching, *([self.reading] if self.reading is not None else [])]
        self.alive, self.reading = False, None
        self.waiting, self.running, self.fetching = [], [], []
        for work in lost:
            work.listener(Event.LOST)

    def switch(self, stage: str, done: Callable[[], None]) -> None:
        """Change the stage: what waits is refused, what runs comes to its end."""
        refused, self.waiting = self.waiting, []
        self.stage = ""
        for work in refused:
            work.listener(Event.REFUSED)

        def back() -> None:
            self.stage = stage
            done()

        self.clock.after(self.profile.switch_s, back)

    def report(self) -> EngineReport:
        """Tell how full the engine is."""
        waiting = len(self.waiting) + len(self.fetching)
        return EngineReport(self.identity, waiting, len(self.running), self._held(), self.profile.memory_tokens)

    # --- steps ---------------------------------------------------------------------------------------------------

    def _kick(self) -> None:
        if not self.stepping and self.alive:
            self._step()

    def _step(self) -> None:
        """Begin a step: a piece of a prompt, and a token for each running request."""
        if self.reading is None and self.waiting and len(self.running) < self.profile.slots:
            self.reading = self.waiting.pop(0)
            self.reading.unread = max(1, self.reading.prompt.tokens_in - self.cache.cached_tokens(self.reading.prompt))
            self.tokens_read += self.reading.unread
        piece, pace = self._piece()
        lasts = piece / pace + (self.profile.step_s if self.running else 0.0)
        self.stepping = lasts > 0.0
        if self.stepping:
            batch = tuple(self.running)
            self.clock.after(lasts, lambda: self._stepped(batch, piece))

    def _piece(self) -> tuple[float, float]:
        """Tell the tokens of a prompt that the next step reads, and how many it reads a second."""
        apart = self.stage != DECODE
        pace = self.profile.tokens_read_a_second * (1.0 if apart else DECODE_PACE)
        most = self.profile.piece_tokens * (1.0 if apart else DECODE_PIECE)
        return (min(most, float(self.reading.unread)) if self.reading is not None else 0.0), pace

    def _stepped(self, batch: tuple[Work, ...], piece: float) -> None:
        """End a step."""
        if not self.alive:
            return
        for work in batch:
            self._token(work)
        reading = self.reading
        if reading is not None and piece:
            reading.unread -= int(piece)
            if reading.unread <= 0:
                self.reading = None
                self._was_read(reading)
        self._step()

    def _was_read(self, work: Work) -> None:
        self.cache.insert(work.prompt.segments)
        if work.read_only:
            work.listener(Event.READ)
        else:
            work.tokens_left = max(1, work.prompt.tokens_out)
            self.running.append(work)

    def _token(self, work: Work) -> None:
        work.tokens_left -= 1
        if not work.begun:
            work.begun = True
            work.listener(Event.FIRST)
        if work.tokens_left <= 0:
            self.running.remove(work)
            work.listener(Event.DONE)
