"""What a data plane knows of the fleet: routes, instances, its lease; all of it comes by dissemination."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from random import Random

from loguru import logger

from hophinge.coordination.dissemination import (
    Digest,
    Dissemination,
    Push,
    GossipRecord,
    DigestEntries,
    DisseminationStep,
    PullRequest,
)
from hophinge.coordination.leases import LEASE_DURATION_S, LeaseGrant, LeaseHolder, RenewLease, LeaseRenewal
from hophinge.coordination.view import Replica
from hophinge.fleet.configuration.routes import RECORD_KEY, RouteTable, route_table_of
from hophinge.fleet.registry.instance import INSTANCE_PREFIX, Instance, instance_of
from hophinge.fleet.settings import Settings

KNOWLEDGE_TICK_S = 0.25
COMPARE_S = 1.5  # between comparisons of digests with another data plane
SETTLE_S = 0.4  # after the first lease, for what differs to arrive
Watcher = Callable[[str, Instance | None], None]


class Knowledge:
    """One data plane's view of the fleet."""

    def __init__(
        self,
        settings: Settings,
        send: Callable[[str, object], None],
        watcher: Watcher,
        configured: Callable[[RouteTable], None],
        first_granted: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings, self.send, self.watcher, self.configured = settings, send, watcher, configured
        self.first_granted = first_granted
        identity = secrets.token_hex(8)
        self.me = Replica(identity, settings.data_internal, settings.zone)
        self.holder = LeaseHolder(identity, settings.name, settings.data_internal, settings.zone)
        self.random = Random()
        self.dissemination = Dissemination(self.random)
        self.renewal = LeaseRenewal(settings.zone, settings.seed_members(), self.random)
        self.table: RouteTable | None = None
        self.table_since = self.loop.time()
        self.first_grant: float | None = None
        self.compared = self.loop.time()

    @property
    def informed(self) -> bool:
        """Tell whether routes and instances are known well enough to serve."""
        settled = self.first_grant is not None and self.loop.time() - self.first_grant >= SETTLE_S
        return self.table is not None and settled

    def heads(self, now: float) -> int:
        """Tell how many heads have been known at once; 0 while those that started with this one are still coming."""
        known = self.first_grant is not None and now - self.first_grant >= LEASE_DURATION_S
        return self.renewal.max_holder_count if known else 0

    def received(self, source: str, message: object) -> None:
        """Take another member's message."""
        now = self.loop.time()
        match message:
            case LeaseGrant():
                self._granted(now, source, message)
            case Digest() | DigestEntries() | PullRequest() | Push():
                self._let_go(self.dissemination.handle(now, source, message))

    def _granted(self, now: float, source: str, grant: LeaseGrant) -> None:
        self.renewal.handle_grant(now, source, grant)
        self.dissemination.neighbours = grant.neighbours
        if self.first_grant is None:
            self.first_grant = now
            self.first_granted()

    def _let_go(self, spread: DisseminationStep) -> None:
        for record in spread.updates:
            self._learn(record)
        for address, message in spread.messages:
            self.send(address, message)

    def _learn(self, record: GossipRecord) -> None:
        if record.key == RECORD_KEY:
            self.table, self.table_since = route_table_of(record), self.loop.time()
            self.configured(self.table)
            logger.info("configuration applied version={}", self.table.version)
        elif record.key.startswith(INSTANCE_PREFIX):
            self.watcher(record.key.removeprefix(INSTANCE_PREFIX), instance_of(record))

    def tick(self) -> None:
        """Renew the lease, and compare with another data plane now and then."""
        now = self.loop.time()
        granter = self.renewal.granter_to_contact(now)
        if granter is not None:
            self.send(granter, RenewLease(self.holder, self.dissemination.store.fingerprints(now), now))
        neighbours = self.dissemination.neighbours
        if now - self.compared >= COMPARE_S and neighbours:
            self.compared = now
            self.send(self.random.choice(neighbours), self.dissemination.digest(now))
            self.dissemination.store.remove_expired_tombstones(now)
