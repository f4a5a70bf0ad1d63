"""A data plane's replicated view of the fleet: routes and instances, received through dissemination, and its lease."""

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
from hophinge.fleet.configuration.record import RECORD_KEY, read_configuration_record
from hophinge.fleet.configuration.routes import RouteTable
from hophinge.fleet.registry.instance import INSTANCE_PREFIX, Instance, instance_of
from hophinge.fleet.settings import Settings

MILLISECONDS = 1_000
CLUSTER_STATE_TICK_S = 0.25
DIGEST_INTERVAL_S = 1.5  # between comparisons of digests with another data plane
APPLY_RETRY_INTERVAL_S = 1.0  # between attempts to apply records that could not be applied
STABILIZATION_S = 0.4  # after the first lease, for records that differ to arrive
InstanceListener = Callable[[str, Instance | None], None]
RecordListener = Callable[[str, GossipRecord], None]  # the key without its prefix, and the record


class ClusterState:
    """One data plane's view of the fleet."""

    def __init__(
        self,
        settings: Settings,
        send: Callable[[str, object], None],
        on_instance: InstanceListener,
        on_configuration: Callable[[RouteTable], None],
        on_first_lease: Callable[[], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.send = send
        self.on_instance = on_instance
        self.on_configuration = on_configuration
        self.on_first_lease = on_first_lease
        self.listeners: dict[str, RecordListener] = {}  # by key prefix, of records of other kinds
        identity = secrets.token_hex(8)
        self.me = Replica(identity, settings.internal_data_address, settings.zone)
        self.lease_holder = LeaseHolder(identity, settings.name, settings.internal_data_address, settings.zone)
        self.random = Random()
        self.dissemination = Dissemination(self.random)
        self.renewal = LeaseRenewal(settings.zone, settings.seed_members(), self.random)
        self.route_table: RouteTable | None = None
        self.route_table_since = self.loop.time()
        self.first_granted_at: float | None = None
        self.first_connected_at: float | None = None  # when a granter in contact with a majority granted the lease
        self.last_digest_at = self.loop.time()
        self.unapplied: dict[str, GossipRecord] = {}  # by key: stored and forwarded, but not applied here
        self.last_apply_retry_at = self.loop.time()

    def listen(self, prefix: str, listener: RecordListener) -> None:
        """Call a listener with each new record whose key begins with a prefix."""
        self.listeners[prefix] = listener

    @property
    def is_ready(self) -> bool:
        """Whether the known routes and instances are complete enough to serve."""
        is_stable = self.first_granted_at is not None and self.loop.time() - self.first_granted_at >= STABILIZATION_S
        return self.route_table is not None and is_stable

    def head_count(self, now: float) -> int:
        """Return the largest number of heads known at once; 0 while heads that started with this one may be missing."""
        is_known = self.first_granted_at is not None and now - self.first_granted_at >= LEASE_DURATION_S
        return self.renewal.max_holder_count if is_known else 0

    def connected_head_count(self, now: float) -> int:
        """Return the largest number of heads known at once, if a granter in contact with a majority has counted them.

        It is 0 until a lease duration after such a granter's first grant: heads on the other side of a partition, or
        heads that just started, may be missing until then.
        """
        since = self.first_connected_at
        return self.renewal.max_holder_count if since is not None and now - since >= LEASE_DURATION_S else 0

    def receive(self, source: str, message: object) -> None:
        """Handle another member's message."""
        now = self.loop.time()
        match message:
            case LeaseGrant():
                self._apply_grant(now, source, message)
            case Digest() | DigestEntries() | PullRequest() | Push():
                self._apply_step(self.dissemination.handle(now, source, message))

    def _apply_grant(self, now: float, source: str, grant: LeaseGrant) -> None:
        self.renewal.handle_grant(now, source, grant)
        self.dissemination.neighbours = grant.neighbours
        if grant.is_connected and self.first_connected_at is None:
            self.first_connected_at = now
        if self.first_granted_at is None:
            self.first_granted_at = now
            self.on_first_lease()

    def _apply_step(self, step: DisseminationStep) -> None:
        for record in step.updates:
            self._try_to_apply(record)
        for address, message in step.messages:
            self.send(address, message)

    def _try_to_apply(self, record: GossipRecord) -> None:
        """Apply a record; one that fails is kept for another attempt, and does not stop the others.

        The store already holds the record, so no other member sends it again.
        """
        try:
            self._apply_record(record)
        except Exception:  # broad: whatever is wrong with one record must not keep the others from being applied
            logger.exception("record not applied key={} stamp={}", record.key, record.stamp)
            self.unapplied[record.key] = record
        else:
            self.unapplied.pop(record.key, None)

    def _retry_unapplied(self, now: float) -> None:
        self.last_apply_retry_at = now
        for record in list(self.unapplied.values()):
            self._try_to_apply(record)

    def _apply_configuration(self, record: GossipRecord) -> None:
        """Apply a configuration; parts that cannot be read are logged, and the rest is applied."""
        began = self.loop.time()
        table, findings = read_configuration_record(record)
        read_at = self.loop.time()
        for finding in findings:
            logger.warning("configuration only partly readable version={} finding={}", table.version, finding)
        self.on_configuration(table)
        self.route_table = table
        self.route_table_since = self.loop.time()
        logger.info(
            "configuration applied version={} findings={} read_ms={:.1f} applied_ms={:.1f}",
            table.version,
            len(findings),
            (read_at - began) * MILLISECONDS,
            (self.route_table_since - read_at) * MILLISECONDS,
        )

    def _apply_record(self, record: GossipRecord) -> None:
        if record.key == RECORD_KEY:
            self._apply_configuration(record)
        elif record.key.startswith(INSTANCE_PREFIX):
            self.on_instance(record.key.removeprefix(INSTANCE_PREFIX), instance_of(record))
        else:
            for prefix, listener in self.listeners.items():
                if record.key.startswith(prefix):
                    listener(record.key.removeprefix(prefix), record)

    def tick(self) -> None:
        """Renew the lease, exchange digests with another data plane and retry failed records, each when it is due."""
        now = self.loop.time()
        if self.unapplied and now - self.last_apply_retry_at >= APPLY_RETRY_INTERVAL_S:
            self._retry_unapplied(now)
        granter = self.renewal.granter_to_contact(now)
        if granter is not None:
            self.send(granter, RenewLease(self.lease_holder, self.dissemination.store.fingerprints(now), now))
        neighbours = self.dissemination.neighbours
        if now - self.last_digest_at >= DIGEST_INTERVAL_S and neighbours:
            self.last_digest_at = now
            self.send(self.random.choice(neighbours), self.dissemination.digest(now))
            self.dissemination.store.remove_expired_tombstones(now)
