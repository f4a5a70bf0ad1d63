"""Keeps a member's departure records on its disk, and releases their confirmations once they are synced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.storage.store import DurableStore
from hophinge.coordination.storage.volume import FileVolume
from hophinge.fleet.controlplane.group_commit import CommitCallbacks, GroupCommit
from hophinge.fleet.registry.departures import DepartureLog, DepartureState, StoreRequest

DEPARTURE_PREFIX = "departures-"  # of the names of the files, which stand beside the replica's


class DepartureHost:
    """The departures on the disk of one member.

    A disk that takes no writes holds nothing up: its member confirms from memory, and the other members of the quorum
    from their disks.
    """

    def __init__(self, folder: Path, confirm: Callable[[StoreRequest], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.confirm = confirm
        self.log = DepartureLog()
        store = DurableStore[DepartureState, GossipRecord](FileVolume(folder), DepartureState, DEPARTURE_PREFIX)
        recovered = store.recover()
        if recovered.is_damaged:
            logger.info("departures on the disk unreadable, treated as a new disk")
        state = recovered.state if recovered.state is not None else DepartureState()
        self._recovered = self.log.restore(self.loop.time(), state, recovered.records)
        callbacks = CommitCallbacks(self._state, self._release, _unchanged)
        self.commit: GroupCommit[DepartureState, GossipRecord, StoreRequest] = GroupCommit(store, callbacks)
        if recovered.state is None:
            self.commit.write_state()

    @property
    def recovered(self) -> list[GossipRecord]:
        """The records that the disk held at the start."""
        return self._recovered

    def store(self, request: StoreRequest) -> None:
        """Sync a record, then confirm it."""
        is_new = self.log.add(self.loop.time(), request.record)
        self.commit.add([request.record] if is_new else [], request)
        if not self.commit.is_writable:
            self.confirm(request)

    def tick(self) -> None:
        """Retry a disk that failed."""
        self.commit.tick()

    def _state(self) -> DepartureState:
        return self.log.state(self.loop.time())

    def _release(self, requests: list[StoreRequest]) -> None:
        for request in requests:
            self.confirm(request)


def _unchanged(request: StoreRequest) -> StoreRequest:
    return request
