"""Stores departure records on a member's disk, and confirms them once they are synced.

A departure record marks an instance as draining or unregistered.
"""

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

DEPARTURE_PREFIX = "departures-"  # of the file names; the files are in the same directory as the replica's files


class DepartureHost:
    """The departure records on the disk of one member.

    While the disk accepts no writes, records are confirmed from memory, so that no request is delayed; the other
    members of the quorum confirm from their disks.
    """

    def __init__(self, folder: Path, confirm: Callable[[StoreRequest], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.confirm = confirm
        self.log = DepartureLog()
        store = DurableStore[DepartureState, GossipRecord](FileVolume(folder), DepartureState, DEPARTURE_PREFIX)
        recovered = store.recover()
        if recovered.is_damaged:
            logger.info("stored departures unreadable, treating the disk as new")
        state = recovered.state if recovered.state is not None else DepartureState()
        self._recovered = self.log.restore(self.loop.time(), state, recovered.records)
        callbacks = CommitCallbacks(self._state, self._release, _unchanged)
        self.commit: GroupCommit[DepartureState, GossipRecord, StoreRequest] = GroupCommit(store, callbacks)
        if recovered.state is None:
            self.commit.write_state()

    @property
    def recovered(self) -> list[GossipRecord]:
        """The records that were on the disk at startup."""
        return self._recovered

    def store(self, request: StoreRequest) -> None:
        """Write a record, and confirm it once it is synced; immediately if the disk accepts no writes."""
        is_new = self.log.add(self.loop.time(), request.record)
        self.commit.add([request.record] if is_new else [], request)
        if not self.commit.is_writable:
            self.confirm(request)

    def tick(self) -> None:
        """Retry a failed write, and scrub the disk when scheduled."""
        self.commit.tick()

    def _state(self) -> DepartureState:
        return self.log.state(self.loop.time())

    def _release(self, requests: list[StoreRequest]) -> None:
        for request in requests:
            self.confirm(request)


def _unchanged(request: StoreRequest) -> StoreRequest:
    return request
