"""Makes what a head does together with other processes; each part is off, and not imported, without its section."""

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
    from hophinge.head.cluster_member import ClusterMember
    from hophinge.head.popularity import HeadPopularity
    from hophinge.head.scoring import Scoring
    from hophinge.objects.object_store import ObjectStore


class ClusterServices:
    """A head's place among its peers, its scorers and what it knows of popularity."""

    def __init__(
        self,
        config: Config,
        operator: OperatorConfig,
        exchange: Exchange,
        log: Callable[[str], None],
        store: ObjectStore | None = None,
        accounts: HeadAccounts | None = None,
    ) -> None:
        """Take the member's socket; raises a HophingeError that names the setting. Needs a running loop."""
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
            assert store is not None and accounts is not None, "the operator's file is checked"
            from hophinge.head.popularity import HeadPopularity

            def owner_of(volume: str) -> tuple[str, str] | None:
                held = accounts.accounts.volumes.get(volume)
                return (held.tenant, held.plan) if held is not None else None

            sight, board = (self.member.membership, self.member.entries) if self.member is not None else (None, None)
            self.popularity = popularity = HeadPopularity(operator.popularity, store, owner_of, log, sight, board)
            before = accounts.tenant_ended

            def tenant_ended(tenant: str) -> None:
                before(tenant)
                popularity.cache.remove_tenant(tenant)

            accounts.tenant_ended = tenant_ended
            if self.scoring is not None:
                self.scoring.expect(self.popularity)

    def start(self) -> list[asyncio.Task[None]]:
        """Reach others, and tell what runs on until it is cancelled."""
        if self.member is not None:
            self.member.start()
        return [asyncio.create_task(part.run()) for part in (self.scoring, self.popularity) if part is not None]

    def reload(self) -> None:
        """Read the keys of the cluster again."""
        if self.member is not None:
            self.member.reload()

    def close(self) -> None:
        """Leave."""
        if self.member is not None:
            self.member.leave()
            self.member.endpoint.close()

    def gauges(self) -> dict[str, float]:
        """Tell what alerts look at."""
        return self.scoring.gauges() if self.scoring is not None else {}

    def operations_calls(self) -> dict[str, Callable[[], str]]:
        """Tell what staff may ask of it at the second address."""
        found: dict[str, Callable[[], str]] = {}
        member = self.member
        if member is not None:
            found["/ops/cluster"] = lambda: msgspec.json.format(msgspec.json.encode(member.status())).decode() + "\n"
        if self.scoring is not None:
            found["/ops/scorers"] = self.scoring.status
        popularity = self.popularity
        if popularity is not None:
            found["/ops/popularity"] = lambda: (
                msgspec.json.format(msgspec.json.encode(popularity.status())).decode() + "\n"
            )
        return found
