"""Streamed configuration at a head: the router before its module, and the stream that tells it what to do."""

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
from hophinge.head.operator import StreamConfig
from hophinge.routing.router import Router
from hophinge.routing.capabilities import HeadCapabilities
from hophinge.routing.routing_table import RoutingTable
from hophinge.tenancy.concurrency_quota import ConcurrencyQuota
from hophinge.tenancy.account_replication import AccountChunk, AccountReceiver
from hophinge.tenancy.share_leases import ShareLeaseHolder, ShareLease

if TYPE_CHECKING:
    from hophinge.head.accounts import HeadAccounts

MIN_TOKEN = 16  # characters
MAX_SHOWN = 100  # tenants in what staff are told; the rest is summed
MAX_TOLD = 500  # tenants whose demand one ask tells


class Streamed:
    """What one head has of it."""

    def __init__(
        self,
        config: StreamConfig,
        name: str,
        exchange: Exchange,
        seed: int,
        log: Callable[[str], None],
        accounts: HeadAccounts | None,
    ) -> None:
        token = config.token_file.read_text().strip()
        if len(token) < MIN_TOKEN or not token.isascii():
            raise ValueError(f"{config.token_file}: a token has {MIN_TOKEN} ASCII characters or more")
        self.exchange = exchange
        self.router = Router(exchange.settings)
        self.forms = Forms(self.router, exchange.counters)
        self.accounts = accounts
        self.copied: Copied | None = None
        if accounts is not None:
            self.router.find_owner = accounts.accounts.owner
            self.router.find_account = accounts.accounts.tenants.get
            accounts.forms = self.forms
            accounts.tenant_ended = self.tenant_ended
            self.copied = Copied(accounts, name) if accounts.copy else None
        exchange.gate = self.router
        self.follower = Follower(
            name,
            config.endpoints,
            HeadCapabilities.from_settings(exchange.settings),
            seed,
            int(config.silence_s * 1e6),
            int(config.stale_s * 1e6),
        )
        self.holder = ShareLeaseHolder(exchange.settings.gateways, secrets.randbits(48), exchange.now_us())
        self.demand_since = exchange.now_us()
        path = config.folder / f"last-good-{re.sub(r'[^0-9A-Za-z-]', '_', name)}.state"
        self.client = StreamClient(
            self.follower,
            token,
            path,
            self.apply,
            exchange.now_us,
            lambda text: log(f"configuration: {text}"),
            self.figures,
        )
        self._set_hooks()

    def _set_hooks(self) -> None:
        """Let accounts, leases and the router's shares use the stream."""
        if self.copied is not None:
            self.client.initial_requests = self.copied.greet
            self.client.on_account_response = self.copied.take
            self.client.followup_requests = self.copied.others
        self.client.lease_request_metrics = self.ask_lease
        self.client.on_lease = self.take_lease
        self.router.reserve_share = self.part

    async def pace(self, volume: str, klass: str, way: int, size: int) -> None:
        """Pause for as long as the limits that fit want, after bytes of a long body have moved."""
        pause_us = self.router.pacing_delay_us(self.exchange.now_us(), volume, klass, way, size)
        if pause_us:
            await asyncio.sleep(pause_us / 1e6)

    def tenant_ended(self, tenant: str) -> None:
        """Turn away at once what waits of a tenant that is served no more."""
        if self.router.evict_tenant(tenant):
            self.exchange.gate_changed()

    def _leases(self) -> bool:
        spare = self.router.table.spare
        return spare is not None and spare.uses_leases

    def part(self, tenant: str) -> float:
        """Tell this head's part of a tenant's reserve."""
        return self.holder.share(tenant, self.exchange.now_us()) if self._leases() else self.holder.even_share

    def ask_lease(self) -> dict[str, float]:
        """Tell the figures of an ask for shares; none where the version in force has no leases."""
        if not self._leases() or self.router.admission is None:
            return {}
        now = self.exchange.now_us()
        asked, held = self.holder.next_request(now)
        span_s, self.demand_since = max(0.1, (now - self.demand_since) / 1e6), now
        # The largest are told; for the others the even part will do.
        largest = sorted(self.router.admission.take_demand().items(), key=lambda row: -row[1])[:MAX_TOLD]
        return {
            "heads": self.exchange.settings.gateways,
            "process": self.holder.process,
            "asked": asked,
            "held": held,
            "span_s": span_s,
            **{DEMAND_PREFIX + tenant: units for tenant, units in largest if tenant},
        }

    def take_lease(self, json: bytes) -> None:
        """Take a lease off the stream."""
        self.holder.accept(self.exchange.now_us(), msgspec.json.decode(json, type=ShareLease))

    def apply(self, table: RoutingTable) -> None:
        """Put a version in force: one step between two turns of the loop."""
        self.exchange.scheduler.replan(self.router.activate(table, self.exchange.now_us()))

    def figures(self) -> dict[str, float]:
        """Tell the control service what the rollout is judged by."""
        counts = self.exchange.counters.counts
        # What a limit or a share refuses is meant; what finds no brick, or no time, may be the version's fault.
        meant = self.router.rejected_by_limit + self.router.rejected_beyond_share
        return {
            "taken": counts["requests_taken"],
            "failed": counts["requests_failed"] + counts["requests_refused"] - meant,
            "heads": self.exchange.settings.gateways,
        }

    def gauges(self) -> dict[str, float]:
        """Tell what alerts look at."""
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
        """Tell staff what tenants get here, as JSON."""
        rows = {
            "leases": self._leases(),
            "serial": self.holder.serial,
            **self.router.tenant_usage(MAX_SHOWN, self.exchange.now_us()),
        }
        return msgspec.json.format(msgspec.json.encode(rows), indent=1).decode() + "\n"

    def status(self) -> str:
        """Tell staff what runs here, as JSON."""
        rows = {**self.follower.status(self.exchange.now_us()), "routing": self.router.status()}
        return msgspec.json.format(msgspec.json.encode(rows), indent=1).decode() + "\n"


class Forms:
    """Tenants of the service document at the platform's front: a bound on connections of each."""

    def __init__(self, router: Router, counters: Counters) -> None:
        self.router = router
        self.counters = counters
        self.held = ConcurrencyQuota()

    def owner(self, volume: str) -> str:
        """Tell the tenant of a volume, or nothing."""
        return self.router.table.tenant_by_volume.get(volume.lower(), "")

    def admits(self, connection: object, volume: str) -> bool:
        """Tell whether a request of a volume may come over a connection."""
        form = self.router.table.tenants.get(self.owner(volume))
        if form is None or self.held.acquire(form.name, connection, form.max_connections):
            return True
        self.counters.add("tenants_bounded")
        return False

    def answered(self, ask: Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Note an answer: without accounts there is nobody to tell usage to."""

    def dropped(self, holder: object) -> None:
        """Note the end of a connection."""
        self.held.release(holder)


class Copied:
    """Accounts as the control service tells them, and usage as this head tells it."""

    def __init__(self, accounts: HeadAccounts, name: str) -> None:
        self.accounts = accounts
        self.name = name
        self.taker = AccountReceiver(accounts.ledger.epoch, accounts.ledger.seq)
        self.owed: AccountChunk | None = None  # taken off the stream, and not written yet
        self.ack: list[DiscoveryRequest] = []

    def greet(self) -> list[DiscoveryRequest]:
        """Say what is held; whatever was on its way comes anew."""
        self.owed = None
        self.ack = []
        self.taker.discard_staged()
        self.accounts.reports.retry_unacknowledged()
        return [
            DiscoveryRequest(
                ResourceType.ACCOUNT,
                subscribe=True,
                head=self.name,
                metrics={"epoch": self.taker.epoch, "seq": self.taker.seq},
            )
        ]

    def take(self, response: DiscoveryResponse) -> None:
        """Take a part of the accounts, or the acknowledgement of a report."""
        if response.resource_type is ResourceType.USAGE:
            self.accounts.reports.acknowledge(int(response.nonce))
        else:
            self.owed = decode_account_chunk(response)

    def others(self, beat: bool) -> list[DiscoveryRequest]:
        """Write what is owed and tell what to say; a ledger that is busy or full is tried again at the next beat."""
        part = self.owed
        if part is not None and self.accounts.copied(self.taker, part):
            self.owed = None
            self.ack.append(DiscoveryRequest(ResourceType.ACCOUNT, f"{part.epoch}.{part.seq}", head=self.name))
        said, self.ack = self.ack, []
        if beat and self.accounts.reports.unreported:
            number, totals = self.accounts.report(MAX_TOLD)
            said.append(
                DiscoveryRequest(
                    ResourceType.USAGE,
                    str(number),
                    head=self.name,
                    metrics={
                        f"{self.accounts.ledger.store_id}/{'/'.join(place)}": total for place, total in totals.items()
                    },
                )
            )
        return said
