"""The thread that writes a member's records and state to its disk, and its queue."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hophinge.coordination.storage.store import Damage, DurableStore

StateT = TypeVar("StateT")
RecordT = TypeVar("RecordT")
EffectT = TypeVar("EffectT")  # an effect that is released once its batch is written


@dataclass(slots=True)
class WriteBatch(Generic[StateT, RecordT, EffectT]):
    """Records to write, or instead of them the complete state, and the outputs to release afterwards."""

    records: list[RecordT]
    state: StateT | None
    outputs: list[EffectT]
    is_scrub: bool = False  # writes nothing, but reads back the data on the disk
    damages: list[Damage] = field(default_factory=list)


class DiskWriter(threading.Thread, Generic[StateT, RecordT, EffectT]):
    """The only thread that writes to its store, so that a disk that hangs blocks nothing else."""

    def __init__(
        self,
        store: DurableStore[StateT, RecordT],
        on_done: Callable[[WriteBatch[StateT, RecordT, EffectT], Exception | None], None],
    ) -> None:
        super().__init__(daemon=True, name="disk")
        self.store = store
        self.on_done = on_done
        self.batches: queue.SimpleQueue[WriteBatch[StateT, RecordT, EffectT]] = queue.SimpleQueue()

    def run(self) -> None:
        """Write batches in order, forever.

        Every error is reported with its batch: if the thread ended, nothing more would be written.
        """
        while True:
            batch = self.batches.get()
            error: Exception | None = None
            try:
                if batch.is_scrub:
                    batch.damages = self.store.scrub()
                elif batch.state is not None:
                    self.store.save(batch.state)
                else:
                    self.store.append(batch.records)
            except Exception as failure:  # broad: the event loop handles every kind of failure
                error = failure
            self.on_done(batch, error)
