"""Streamed configuration of a head: the router in front of the scheduler, and the stream that configures it."""

from __future__ import annotations

import asyncio
import re
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from hophinge.control.messages import DEMAND_PREFIX, DiscoveryRequest, DiscoveryResponse, ResourceType
from hophinge.control.account_wire import decode_account_chunk
from hophinge.control.stream_client import StreamClient
from hophinge.control.follower import Follower
from hophinge.control.follower_actions import FollowerState
from hophinge.core.counters import Counters
from hophinge.core.exchange import Exchange
from hophinge.core.interface import Arrival
from hophinge.head.operator_config import StreamConfig
from hophinge.routing.router import Router
from hophinge.routing.capabilities import HeadCapabilities
from hophinge.routing.routing_table import RoutingTable
from hophinge.tenancy.concurrency_quota import ConcurrencyQuota
from hophinge.tenancy.account_replication import AccountChunk, AccountReceiver
from hophinge.tenancy.share_leases import ShareLeaseHolder, ShareLease

if TYPE_CHECKING:
    from hophinge.head.accounts import HeadAccounts

MIN_TOKEN_CHARS = 16
MAX_REPORTED_TENANTS = 100  # listed for operators; the others are summed up
MAX_DEMAND_ROWS = 500  # of one lease request, each a tenant's demand, and of one usage report


def _read_token(config: StreamConfig) -> str:
    token = config.token_file.read_text().strip()
    if len(token) < MIN_TOKEN_CHARS or not token.isascii():
        raise ValueError(f"{config.token_file}: a token must have at least {MIN_TOKEN_CHARS} ASCII characters")
    return token


class StreamedConfiguration:
    """The router, the stream's client and the lease holder of one head."""

    def __init__(
        self,
        config: StreamConfig,
        name: str,
        exchange: Exchange,
        seed: int,
        log: Callable[[str], None],
        accounts: HeadAccounts | None,
    ) -> None:
        token = _read_token(config)
        self.exchange = exchange
        self.router = Router(exchange.settings)
        self.document_tenants = DocumentTenants(self.router, exchange.counters)
        self.accounts = accounts
        self.replicated_accounts: ReplicatedAccounts | None = None
        if accounts is not None:
            self.router.find_owner = accounts.accounts.owner
            self.router.find_account = accounts.accounts.tenants.get
            accounts.document_tenants = self.document_tenants
            accounts.tenant_ended = self.tenant_ended
            self.replicated_accounts = ReplicatedAccounts(accounts, name) if accounts.is_replica else None
        exchange.gate = self.router
        self.follower = Follower(
            name,
            config.endpoints,
            HeadCapabilities.from_settings(exchange.settings),
            seed,
            int(config.silence_s * 1e6),
            int(config.stale_s * 1e6),
        )
        self.lease_holder = ShareLeaseHolder(exchange.settings.gateways, secrets.randbits(48), exchange.now_us())
        self.demand_since = exchange.now_us()
        path = config.folder / f"last-good-{re.sub(r'[^0-9A-Za-z-]', '_', name)}.state"
        self.client = StreamClient(
            self.follower,
            token,
            path,
            self.apply,
            exchange.now_us,
            lambda text: log(f"configuration: {text}"),
            self.rollout_metrics,
        )
        self._set_hooks()

    def _set_hooks(self) -> None:
        """Connect the accounts and the leases to the stream, and the router to the leases."""
        if self.replicated_accounts is not None:
            self.client.initial_requests = self.replicated_accounts.initial_requests
            self.client.on_account_response = self.replicated_accounts.receive
            self.client.followup_requests = self.replicated_accounts.followup_requests
        self.client.lease_request_metrics = self.lease_request
        self.client.on_lease = self.take_lease
        self.router.reserve_share = self.quota_share

    async def throttle(self, volume: str, klass: str, direction: int, size: int) -> None:
        """Count transferred bytes of a long body, and wait as long as the rate limits require."""
        delay_us = self.router.pacing_delay_us(self.exchange.now_us(), volume, klass, direction, size)
        if delay_us:
            await asyncio.sleep(delay_us / 1e6)

    def tenant_ended(self, tenant: str) -> None:
        """Reject the queued requests of a tenant that is not active any more."""
        if self.router.evict_tenant(tenant):
            self.exchange.gate_changed()

    def _has_leases(self) -> bool:
        spare = self.router.table.spare
        return spare is not None and spare.uses_leases

    def quota_share(self, tenant: str) -> float:
        """Return this head's share of a tenant's reserve, from 0 to 1."""
        return (
            self.lease_holder.share(tenant, self.exchange.now_us())
            if self._has_leases()
            else self.lease_holder.even_share
        )

    def lease_request(self) -> dict[str, float]:
        """Return the metrics of a lease request; empty if the active version has no leases."""
        if not self._has_leases() or self.router.admission is None:
            return {}
        now = self.exchange.now_us()
        request_number, current_serial = self.lease_holder.next_request(now)
        span_s, self.demand_since = max(0.1, (now - self.demand_since) / 1e6), now
        # Only the largest demands are sent; the other tenants get the even share.
        largest = sorted(self.router.admission.take_demand().items(), key=lambda row: -row[1])[:MAX_DEMAND_ROWS]
        return {
            "heads": self.exchange.settings.gateways,
            "process": self.lease_holder.process,
            "asked": request_number,
            "held": current_serial,
            "span_s": span_s,
            **{DEMAND_PREFIX + tenant: units for tenant, units in largest if tenant},
        }

    def take_lease(self, json: bytes) -> None:
        """Apply a lease, given as JSON."""
        self.lease_holder.accept(self.exchange.now_us(), msgspec.json.decode(json, type=ShareLease))

    def apply(self, table: RoutingTable) -> None:
        """Activate a version, in one step within an iteration of the event loop."""
        self.exchange.scheduler.replan(self.router.activate(table, self.exchange.now_us()))

    def rollout_metrics(self) -> dict[str, float]:
        """Return the metrics by which the control service judges a rollout."""
        counts = self.exchange.counters.counts
        # Rejections by a limit or a share are intended; others, for lack of a backend or of time, may be the version's
        # fault.
        intended = self.router.rejected_by_limit + self.router.rejected_beyond_share
        return {
            "taken": counts["requests_taken"],
            "failed": counts["requests_failed"] + counts["requests_refused"] - intended,
            "heads": self.exchange.settings.gateways,
        }

    def gauges(self) -> dict[str, float]:
        """Return the metrics that alerts use."""
        follower = self.follower
        return {
            "config_stale": follower.is_stale,
            "config_turned_down": follower.state is FollowerState.REJECTED,
            "config_connected": follower.is_connected,
            "config_not_kept": bool(follower.persist_error),
            "config_version": follower.active_version.id[1] if follower.active_version else 0,
            "bricks_resting": len(self.router.outlier_detector.ejected_until),
            "limits_refused_total": self.router.rejected_by_limit,
            "pools_refused_total": self.router.rejected_without_backend,
        }

    def tenants(self) -> str:
        """Return the tenants' quotas and their usage at this head, as JSON for operators."""
        rows = {
            "leases": self._has_leases(),
            "serial": self.lease_holder.serial,
            **self.router.tenant_usage(MAX_REPORTED_TENANTS, self.exchange.now_us()),
        }
        return msgspec.json.format(msgspec.json.encode(rows), indent=1).decode() + "\n"

    def status(self) -> str:
        """Return the active version and the stream's state, as JSON for operators."""
        rows = {**self.follower.status(self.exchange.now_us()), "routing": self.router.status()}
        return msgspec.json.format(msgspec.json.encode(rows), indent=1).decode() + "\n"


class DocumentTenants:
    """The tenants of the service document at the platform's frontend, each with a limit on its connections."""

    def __init__(self, router: Router, counters: Counters) -> None:
        self.router = router
        self.counters = counters
        self.connections = ConcurrencyQuota()

    def owner(self, volume: str) -> str:
        """Return the tenant of a volume; empty if there is none."""
        return self.router.table.tenant_by_volume.get(volume.lower(), "")

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a connection may carry a request for a volume."""
        tenant = self.router.table.tenants.get(self.owner(volume))
        if tenant is None or self.connections.acquire(tenant.name, connection, tenant.max_connections):
            return True
        self.counters.add("tenants_bounded")
        return False

    def answered(self, arrival: Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Ignore an answer: without accounts, usage is not recorded."""

    def dropped(self, holder: object) -> None:
        """Record that a connection has closed."""
        self.connections.release(holder)


class ReplicatedAccounts:
    """Replication of accounts from the control service, and of this head's usage to it."""

    def __init__(self, accounts: HeadAccounts, name: str) -> None:
        self.accounts = accounts
        self.name = name
        self.receiver = AccountReceiver(accounts.ledger.epoch, accounts.ledger.seq)
        self.pending_chunk: AccountChunk | None = None  # received, and not stored yet
        self.pending_acknowledgements: list[DiscoveryRequest] = []

    def initial_requests(self) -> list[DiscoveryRequest]:
        """Return the subscription with this replica's position, from which chunks are sent again."""
        self.pending_chunk = None
        self.pending_acknowledgements = []
        self.receiver.discard_staged()
        self.accounts.reports.retry_unacknowledged()
        return [
            DiscoveryRequest(
                ResourceType.ACCOUNT,
                subscribe=True,
                head=self.name,
                metrics={"epoch": self.receiver.epoch, "seq": self.receiver.seq},
            )
        ]

    def receive(self, response: DiscoveryResponse) -> None:
        """Record a chunk of the accounts, or the acknowledgement of a usage report."""
        if response.resource_type is ResourceType.USAGE:
            self.accounts.reports.acknowledge(int(response.nonce))
        else:
            self.pending_chunk = decode_account_chunk(response)

    def followup_requests(self, is_heartbeat: bool) -> list[DiscoveryRequest]:
        """Store the pending chunk and return the requests to send; a failed store is retried at the next call."""
        chunk = self.pending_chunk
        if chunk is not None and self.accounts.replicate(self.receiver, chunk):
            self.pending_chunk = None
            self.pending_acknowledgements.append(
                DiscoveryRequest(ResourceType.ACCOUNT, f"{chunk.epoch}.{chunk.seq}", head=self.name)
            )
        requests, self.pending_acknowledgements = self.pending_acknowledgements, []
        if is_heartbeat and self.accounts.reports.unreported:
            number, totals = self.accounts.next_usage_report(MAX_DEMAND_ROWS)
            requests.append(
                DiscoveryRequest(
                    ResourceType.USAGE,
                    str(number),
                    head=self.name,
                    metrics={
                        f"{self.accounts.ledger.store_id}/{'/'.join(key)}": total for key, total in totals.items()
                    },
                )
            )
        return requests
