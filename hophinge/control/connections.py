"""State of the head streams that are open at a control service."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from hophinge.control.delta_cache import DeltaCache
from hophinge.control.publisher import Publisher
from hophinge.tenancy.account_replication import AccountSender


class HeadStream:
    """One head's stream, with a queue of encoded responses to write; None in the queue ends the stream."""

    def __init__(self, deltas: DeltaCache) -> None:
        self.publisher = Publisher(deltas)
        self.account_sender: AccountSender | None = None  # set once the head has subscribed to accounts
        self.supports_maintenance = False  # as reported by the head; without it no maintenance updates are sent
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    @property
    def head(self) -> str:
        """Name of the head; empty until it has subscribed."""
        return self.publisher.head

    def send(self, frames: Iterable[bytes]) -> None:
        """Queue encoded responses; only one version is in flight at a time, which bounds the queue."""
        for frame in frames:
            self.queue.put_nowait(frame)

    def close(self) -> None:
        """End the stream once the queued frames are written."""
        self.queue.put_nowait(None)


Connections = dict[str, HeadStream]
"""The newest stream of each connected head, by the head's name."""
