"""An engine in virtual time: continuous batching, chunked prefill, prefix cache, KV transfers, switches of stage.

It follows the operators' protocol page: one prompt is read at a time, by priority and without preemption; a decode
engine generates a token for each running request in each step and reads prompts between these at half the rate and in
chunks a quarter as long; memory is shared by running requests and cached segments.
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

DECODE_PREFILL_RATE = 0.5  # of the rate of a prefill engine
DECODE_CHUNK_FRACTION = 0.25  # of its chunk
MAX_QUEUED_PER_SLOT = 2  # more requests are rejected
CROSS_ZONE_TRANSFER_FACTOR = 2.0  # of the duration within a zone


class EngineEvent(Enum):
    """An event of a request at an engine."""

    PREFILLED = auto()  # the prompt is read, its KV cache is stored
    FIRST_TOKEN = auto()  # the first token
    COMPLETED = auto()  # the last token
    REJECTED = auto()  # it was not executed
    LOST = auto()  # the engine crashed


Listener = Callable[[EngineEvent], None]


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """The parameters of a deployment's engines."""

    slots: int
    memory_tokens: int
    step_s: float  # a step of a batch without a chunk of a prompt
    prefill_tokens_per_s: float
    chunk_tokens: int
    transfer_s_per_token: float
    switch_s: float


@dataclass(slots=True, eq=False)
class EngineRequest:
    """One request at an engine."""

    prompt: Prompt
    priority: int
    is_prefill_only: bool
    kv_cache_zone: str | None  # zone of the engine that stores the prompt's KV cache
    listener: Listener
    unread_tokens: int = 0
    tokens_left: int = 0
    has_started: bool = False


class VirtualEngine:
    """One engine."""

    def __init__(self, clock: VirtualClock, profile: EngineProfile, identity: str, stage: str, zone: str) -> None:
        self.clock = clock
        self.profile = profile
        self.identity = identity
        self.stage = stage
        self.zone = zone
        self.queued: list[EngineRequest] = []
        self.prefilling: EngineRequest | None = None
        self.running: list[EngineRequest] = []
        self.transferring: list[EngineRequest] = []
        self.cache = PrefixCache(profile.memory_tokens)
        self.is_alive = True
        self.is_stepping = False
        self.link_free_at = 0.0
        self.prefilled_tokens = 0

    # --- requests ------------------------------------------------------------------------------------------------

    def submit(self, request: EngineRequest) -> None:
        """Submit a request; its listener receives its events."""
        if not self.is_alive:
            request.listener(EngineEvent.LOST)
        elif not self._accepts(request):
            request.listener(EngineEvent.REJECTED)
        elif request.kv_cache_zone is not None:
            self._transfer_kv_cache(request)
        else:
            insort(self.queued, request, key=lambda queued: queued.priority)
            self._wake()

    def _accepts(self, request: EngineRequest) -> bool:
        """Return whether the engine is of the stage that a request needs, and has capacity for it."""
        is_right_stage = self.stage == (PREFILL if request.is_prefill_only else DECODE)
        return is_right_stage and len(self.queued) < MAX_QUEUED_PER_SLOT * self.profile.slots and self._fits(request)

    def _pinned_tokens(self) -> int:
        """Return the tokens of memory that cannot be evicted."""
        busy = [*self.running, *self.transferring, *([self.prefilling] if self.prefilling is not None else [])]
        return sum(request.prompt.tokens_in + request.prompt.tokens_out for request in busy)

    def _fits(self, request: EngineRequest) -> bool:
        """Return whether there is memory for a request; a prefill may wait for it, unless it is larger than all."""
        required_tokens = request.prompt.tokens_in + request.prompt.tokens_out
        pinned_tokens = 0 if request.is_prefill_only else self._pinned_tokens()
        return pinned_tokens + required_tokens <= self.profile.memory_tokens

    def _transfer_kv_cache(self, request: EngineRequest) -> None:
        """Transfer a prompt's KV cache here; transfers share the link one after another."""
        zone_factor = CROSS_ZONE_TRANSFER_FACTOR if request.kv_cache_zone != self.zone else 1.0
        start_at = max(self.link_free_at, self.clock.now)
        self.link_free_at = start_at + request.prompt.tokens_in * self.profile.transfer_s_per_token * zone_factor
        self.transferring.append(request)
        self.clock.at(self.link_free_at, lambda: self._finish_transfer(request))

    def _finish_transfer(self, request: EngineRequest) -> None:
        if request in self.transferring:
            self.transferring.remove(request)
            self._start_decode(request)

    def _start_decode(self, request: EngineRequest) -> None:
        request.tokens_left = max(1, request.prompt.tokens_out)
        self.running.append(request)
        self.cache.insert(request.prompt.segments)
        self._wake()

    def crash(self) -> None:
        """Crash, and lose all requests."""
        lost = [
            *self.queued,
            *self.running,
            *self.transferring,
            *([self.prefilling] if self.prefilling is not None else []),
        ]
        self.is_alive = False
        self.prefilling = None
        self.queued = []
        self.running = []
        self.transferring = []
        for request in lost:
            request.listener(EngineEvent.LOST)

    def switch(self, stage: str, on_switched: Callable[[], None]) -> None:
        """Switch the stage: queued requests are rejected, running ones are completed."""
        rejected = self.queued
        self.queued = []
        self.stage = ""
        for request in rejected:
            request.listener(EngineEvent.REJECTED)

        def finish() -> None:
            self.stage = stage
            on_switched()

        self.clock.after(self.profile.switch_s, finish)

    def report(self) -> EngineReport:
        """Return the engine's load report."""
        queued_count = len(self.queued) + len(self.transferring)
        return EngineReport(
            self.identity, queued_count, len(self.running), self._pinned_tokens(), self.profile.memory_tokens
        )

    # --- steps ---------------------------------------------------------------------------------------------------

    def _wake(self) -> None:
        if not self.is_stepping and self.is_alive:
            self._step()

    def _step(self) -> None:
        """Start a step: a chunk of a prompt, and a token for each running request."""
        if self.prefilling is None and self.queued and len(self.running) < self.profile.slots:
            self.prefilling = self.queued.pop(0)
            self.prefilling.unread_tokens = max(
                1, self.prefilling.prompt.tokens_in - self.cache.cached_tokens(self.prefilling.prompt)
            )
            self.prefilled_tokens += self.prefilling.unread_tokens
        chunk_tokens = self._chunk_tokens()
        chunk_s = chunk_tokens / self._prefill_rate()
        duration_s = chunk_s + (self.profile.step_s if self.running else 0.0)
        self.is_stepping = duration_s > 0.0
        if self.is_stepping:
            batch = tuple(self.running)
            self.clock.after(duration_s, lambda: self._finish_step(batch, chunk_tokens))

    def _prefill_rate(self) -> float:
        """Return the rate of the engine's stage, in tokens a second."""
        return self.profile.prefill_tokens_per_s * (1.0 if self.stage != DECODE else DECODE_PREFILL_RATE)

    def _chunk_tokens(self) -> float:
        """Return the number of prompt tokens that the next step reads."""
        if self.prefilling is None:
            return 0.0
        max_tokens = self.profile.chunk_tokens * (1.0 if self.stage != DECODE else DECODE_CHUNK_FRACTION)
        return min(max_tokens, float(self.prefilling.unread_tokens))

    def _finish_step(self, batch: tuple[EngineRequest, ...], chunk_tokens: float) -> None:
        """Finish a step."""
        if not self.is_alive:
            return
        for request in batch:
            self._emit_token(request)
        prefilling = self.prefilling
        if prefilling is not None and chunk_tokens:
            prefilling.unread_tokens -= int(chunk_tokens)
            if prefilling.unread_tokens <= 0:
                self.prefilling = None
                self._finish_prefill(prefilling)
        self._step()

    def _finish_prefill(self, request: EngineRequest) -> None:
        self.cache.insert(request.prompt.segments)
        if request.is_prefill_only:
            request.listener(EngineEvent.PREFILLED)
        else:
            request.tokens_left = max(1, request.prompt.tokens_out)
            self.running.append(request)

    def _emit_token(self, request: EngineRequest) -> None:
        request.tokens_left -= 1
        if not request.has_started:
            request.has_started = True
            request.listener(EngineEvent.FIRST_TOKEN)
        if request.tokens_left <= 0:
            self.running.remove(request)
            request.listener(EngineEvent.COMPLETED)
