"""The services that a head shares with its peers; each is disabled, and not imported, without its section."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from hophinge.core.exchange import Exchange
from hophinge.head.config import Config
from hophinge.head.operator_config import OperatorConfig

if TYPE_CHECKING:
    from hophinge.head.accounts import HeadAccounts
    from hophinge.head.sections import PopularityConfig
    from hophinge.head.cluster_member import ClusterMember
    from hophinge.head.popularity import HeadPopularity
    from hophinge.head.scoring import Scoring
    from hophinge.objects.object_store import ObjectStore


class ClusterServices:
    """A head's cluster membership, its scorers and its popularity prediction."""

    def __init__(
        self,
        config: Config,
        operator: OperatorConfig,
        exchange: Exchange,
        log: Callable[[str], None],
        store: ObjectStore | None = None,
        accounts: HeadAccounts | None = None,
    ) -> None:
        """Bind the member's socket, in a running event loop.

        Raises:
            HophingeError: A setting cannot be used; the message names it.

        """
        self.member: ClusterMember | None = None
        self.scoring: Scoring | None = None
        self.popularity: HeadPopularity | None = None
        if operator.scoring is not None:
            from hophinge.head.scoring import Scoring

            self.scoring = Scoring(operator.scoring, exchange, log)
        if operator.cluster is not None:
            from hophinge.head.cluster_member import ClusterMember

            self.member = ClusterMember(operator.cluster, config.name or config.listen, log)
            if self.scoring is not None:
                self.scoring.share(self.member.membership.own_name, self.member.entries)
        if operator.popularity is not None:
            assert store is not None and accounts is not None, "operator_config.load has checked it"
            self.popularity = self._popularity(operator.popularity, store, accounts, log)
            if self.scoring is not None:
                self.scoring.use_demand(self.popularity)

    def _popularity(
        self, config: PopularityConfig, store: ObjectStore, accounts: HeadAccounts, log: Callable[[str], None]
    ) -> HeadPopularity:
        """Create the popularity prediction; a tenant that stops being active is also removed from its cache."""
        from hophinge.head.popularity import HeadPopularity

        def owner_of(volume: str) -> tuple[str, str] | None:
            bucket = accounts.accounts.volumes.get(volume)
            return (bucket.tenant, bucket.plan) if bucket is not None else None

        membership = self.member.membership if self.member is not None else None
        entries = self.member.entries if self.member is not None else None
        popularity = HeadPopularity(config, store, owner_of, log, membership, entries)
        previous_hook = accounts.tenant_ended

        def tenant_ended(tenant: str) -> None:
            previous_hook(tenant)
            popularity.cache.remove_tenant(tenant)

        accounts.tenant_ended = tenant_ended
        return popularity

    def start(self) -> list[asyncio.Task[None]]:
        """Join the cluster; returns the background tasks, which run until they are cancelled."""
        if self.member is not None:
            self.member.start()
        return [asyncio.create_task(part.run()) for part in (self.scoring, self.popularity) if part is not None]

    def reload(self) -> None:
        """Reload the cluster's keys."""
        if self.member is not None:
            self.member.reload()

    def close(self) -> None:
        """Leave the cluster and close its socket."""
        if self.member is not None:
            self.member.leave()
            self.member.endpoint.close()

    def gauges(self) -> dict[str, float]:
        """Return the metrics that alerts use."""
        return self.scoring.gauges() if self.scoring is not None else {}

    def operations_calls(self) -> dict[str, Callable[[], str]]:
        """Return the services' status calls for the operations server, by path."""
        calls: dict[str, Callable[[], str]] = {}
        member = self.member
        if member is not None:
            calls["/ops/cluster"] = lambda: msgspec.json.format(msgspec.json.encode(member.status())).decode() + "\n"
        if self.scoring is not None:
            calls["/ops/scorers"] = self.scoring.status
        popularity = self.popularity
        if popularity is not None:
            calls["/ops/popularity"] = lambda: (
                msgspec.json.format(msgspec.json.encode(popularity.status())).decode() + "\n"
            )
        return calls
