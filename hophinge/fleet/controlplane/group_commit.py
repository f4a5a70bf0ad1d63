"""Group commit of records to a disk.

Records that are added during a write are written together by the next one, and their effects are released once the
records are synced.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from loguru import logger

from hophinge.coordination.storage.store import Damage, DurableStore
from hophinge.fleet.controlplane.disk_writer import DiskWriter, WriteBatch

DISK_RETRY_INTERVAL_S = 0.25  # between attempts to write to a disk after a failed write
SCRUB_INTERVAL_S = 60.0  # between reads of all live data on the disk
WRITE_TIMEOUT_S = 0.4  # a disk whose write takes longer counts as not writable

StateT = TypeVar("StateT")
RecordT = TypeVar("RecordT")
EffectT = TypeVar("EffectT")  # an effect that is released once the records before it are synced


@dataclass(frozen=True, slots=True)
class CommitCallbacks(Generic[StateT, EffectT]):
    """The callbacks by which a group commit uses its owner.

    Attributes:
        state: returns the complete state, which covers all records added so far.
        release: releases effects in order; all records before them are synced.
        drop_outdated: returns an effect that a failed write delayed, without those parts that are no longer valid.

    """

    state: Callable[[], StateT]
    release: Callable[[list[EffectT]], None]
    drop_outdated: Callable[[EffectT], EffectT]


@dataclass(frozen=True, slots=True)
class PendingCommit(Generic[RecordT, EffectT]):
    """Records to write, and the effect to release once they are synced."""

    records: list[RecordT]
    effect: EffectT


class GroupCommit(Generic[StateT, RecordT, EffectT]):
    """Writes the records of one durable state in order; after a failed write, it writes the complete state instead."""

    def __init__(self, store: DurableStore[StateT, RecordT], callbacks: CommitCallbacks[StateT, EffectT]) -> None:
        self.loop = asyncio.get_running_loop()
        self.store = store
        self.callbacks = callbacks
        self.pending: list[PendingCommit[RecordT, EffectT]] = []  # during a write, or after a failed one
        self.writing_since: float | None = None
        self.failed_at: float | None = None
        self.last_scrub_at = self.loop.time()
        self.writer: DiskWriter[StateT, RecordT, EffectT] = DiskWriter(store, self._on_write_done)
        self.writer.start()

    def add(self, records: list[RecordT], effect: EffectT) -> None:
        """Write records and then release an effect.

        The write begins at once unless another one is in progress or the disk has failed.
        """
        self.pending.append(PendingCommit(records, effect))
        if self.writing_since is None and self.failed_at is None:
            self._flush()

    def tick(self) -> None:
        """Retry a failed write with the complete state, and scrub the disk when scheduled."""
        now = self.loop.time()
        if self.failed_at is not None and now - self.failed_at >= DISK_RETRY_INTERVAL_S and self.writing_since is None:
            self.write_state()
        if now - self.last_scrub_at >= SCRUB_INTERVAL_S and self._is_idle():
            self.last_scrub_at = now
            self._write(WriteBatch([], None, [], is_scrub=True))

    @property
    def is_writable(self) -> bool:
        """Whether the disk accepts writes: the last one did not fail, and none has exceeded `WRITE_TIMEOUT_S`."""
        is_hung = self.writing_since is not None and self.loop.time() - self.writing_since > WRITE_TIMEOUT_S
        return not is_hung and self.failed_at is None

    def _is_idle(self) -> bool:
        """Return whether no write is in progress, failed or pending."""
        return self.writing_since is None and self.failed_at is None and not self.pending

    def _flush(self) -> None:
        """Write the pending records, or the state if the log is full; without records, release the effects at once."""
        pending = self.pending
        self.pending = []
        records = [record for commit in pending for record in commit.records]
        effects = [commit.effect for commit in pending]
        if not records:
            self.callbacks.release(effects)
        elif self.store.is_log_full:
            self._write(WriteBatch([], self.callbacks.state(), effects))
        else:
            self._write(WriteBatch(records, None, effects))

    def write_state(self) -> None:
        """Write the complete state, which covers all records added so far; if that fails, `tick` retries it."""
        effects = [self.callbacks.drop_outdated(commit.effect) for commit in self.pending]
        self.pending = []
        self._write(WriteBatch([], self.callbacks.state(), effects))

    def _write(self, batch: WriteBatch[StateT, RecordT, EffectT]) -> None:
        self.writing_since = self.loop.time()
        self.writer.batches.put(batch)

    def _repair(self, damages: list[Damage]) -> None:
        """Rewrite the complete state from memory after a scrub found damaged data on the disk."""
        for damage in damages:
            logger.info("scrub found damage, rewriting the state damage={}", damage)
        self.write_state()

    def _on_write_done(self, batch: WriteBatch[StateT, RecordT, EffectT], error: Exception | None) -> None:
        self.loop.call_soon_threadsafe(self._complete_write, batch, error)

    def _complete_write(self, batch: WriteBatch[StateT, RecordT, EffectT], error: Exception | None) -> None:
        """Release a write's effects; after a failed write, keep them until `tick` has written the complete state."""
        self.writing_since = None
        if error is not None:
            if self.failed_at is None:
                logger.info("disk write failed error={!r}", error)
            self.failed_at = self.loop.time()
            without_records: list[RecordT] = []  # the complete state covers them
            unreleased = [PendingCommit(without_records, effect) for effect in batch.outputs]
            self.pending = unreleased + self.pending
            return
        self.failed_at = None
        self.callbacks.release(batch.outputs)
        if batch.damages:
            self._repair(batch.damages)
        if self.pending and self.writing_since is None:
            self._flush()
