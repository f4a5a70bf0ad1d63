"""Creates the optional components of a head that the operator's file enables; a disabled one is not imported."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from hophinge.core.counters import Counters
from hophinge.core.exchange import Exchange
from hophinge.head.config import Config
from hophinge.head.operator_config import OperatorConfig

if TYPE_CHECKING:
    from hophinge.admin.listener import AdminListener
    from hophinge.head.accounts import HeadAccounts
    from hophinge.head.maintenance import HeadMaintenance
    from hophinge.head.service import Service
    from hophinge.head.streamed_configuration import StreamedConfiguration
    from hophinge.head.cluster_services import ClusterServices
    from hophinge.objects.config import ObjectConfig
    from hophinge.objects.front import ObjectFront
    from hophinge.net.operations_server import OperationsServer
    from hophinge.net.frontend import Frontend
    from hophinge.telemetry.remote_write import RemoteWrite


class OptionalComponents:
    """The enabled components, created before any client session, as their settings may still be rejected."""

    def __init__(
        self,
        config: Config,
        operator: OperatorConfig,
        exchange: Exchange,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        self.objects: ObjectFront | None = None
        self.admin: AdminListener | None = None
        self.accounts: HeadAccounts | None = None
        self.streamed: StreamedConfiguration | None = None
        self.cluster_services: ClusterServices | None = None
        replicates_accounts = operator.stream is not None and operator.stream.accounts
        if operator.objects is not None or replicates_accounts:
            self.accounts = _accounts(operator, replicates_accounts, counters, log)
        if operator.objects is not None and self.accounts is not None:
            self.objects = _object_front(operator.objects, self.accounts, exchange, counters, log)
            if operator.admin is not None:
                from hophinge.head.administration import administration

                self.admin = administration(self.accounts, operator.admin, exchange.settings, counters, log)
        if operator.stream is not None:
            from hophinge.head.streamed_configuration import StreamedConfiguration  # its libraries cost memory

            self.streamed = StreamedConfiguration(
                operator.stream, config.name or config.listen, exchange, int(config.seed, 16), log, self.accounts
            )
        if operator.cluster is not None or operator.scoring is not None or operator.popularity is not None:
            from hophinge.head.cluster_services import ClusterServices

            self.cluster_services = ClusterServices(
                config, operator, exchange, log, self.objects.store if self.objects is not None else None, self.accounts
            )

    def connect(self, front: Frontend, control: OperationsServer | None) -> None:
        """Apply the stream's limits to the frontends, and add the components' calls to the operations server."""
        if self.streamed is not None:
            front.rate_limit = self.streamed.throttle
            if self.objects is not None:
                self.objects.rate_limit = self.streamed.throttle
        if control is not None:
            control.reports |= self.operations_calls()

    def operations_calls(self) -> dict[str, Callable[[], str]]:
        """Return the components' status calls for the operations server, by path."""
        calls: dict[str, Callable[[], str]] = (
            self.cluster_services.operations_calls() if self.cluster_services is not None else {}
        )
        if self.streamed is not None:
            calls |= {"/ops/config": self.streamed.status, "/ops/tenants": self.streamed.tenants}
        return calls


def _accounts(
    operator: OperatorConfig, is_replica: bool, counters: Counters, log: Callable[[str], None]
) -> HeadAccounts:
    from hophinge.head.accounts import HeadAccounts  # imports SQLite, which a head without accounts does not need

    folder = operator.stream.folder if operator.stream is not None else Path()
    ledger = operator.objects.tenants.with_suffix(".db") if operator.objects else folder / "accounts.db"
    return HeadAccounts(ledger, operator.objects.tenants if operator.objects else None, is_replica, counters, log)


def _object_front(
    config: ObjectConfig,
    accounts: HeadAccounts,
    exchange: Exchange,
    counters: Counters,
    log: Callable[[str], None],
) -> ObjectFront:
    from hophinge.objects.chunk_store import ChunkStore
    from hophinge.objects.front import ObjectFront
    from hophinge.objects.object_store import ObjectStore

    store = ObjectStore(ChunkStore(exchange, config))
    store.chunk_store.on_served = accounts.count_units
    front = ObjectFront(store, accounts, config, counters, log)
    accounts.front = front
    accounts.store = store
    return front


def remote_write(
    config: Config,
    operator: OperatorConfig,
    exchange: Exchange,
    counters: Counters,
    gauges: Callable[[], dict[str, float]],
    accounts: HeadAccounts | None,
) -> RemoteWrite | None:
    """Create the remote-write sender of the head's metrics; None if it is not configured."""
    if operator.remote_write is None:
        return None
    from hophinge.telemetry.remote_write import RemoteWrite  # its libraries cost memory

    return RemoteWrite(
        operator.remote_write,
        config.name or config.listen,
        counters,
        gauges,
        exchange.now_us,
        exchange.metrics,
        accounts.series if accounts is not None else dict,
    )


def maintenance(head: Service, log: Callable[[str], None]) -> HeadMaintenance | None:
    """Create a head's part in the drains and releases of the control service; None if it is not configured.

    It must be started before the head applies any list of backends.
    """
    section, stream = head.operator.maintenance, head.operator.stream
    if section is None or stream is None or head.streamed is None:
        return None
    from hophinge.head.cluster_member import build_of_program
    from hophinge.head.maintenance import HeadMaintenance
    from hophinge.maintenance.permit_holder import PermitHolder

    name = head.config.name or head.config.listen
    member = head.cluster_services.member if head.cluster_services is not None else None
    permit_holder = PermitHolder(secrets.randbits(48) | 1, section.build or build_of_program())
    return HeadMaintenance(
        head.streamed.client,
        head.ejections,
        head.exchange,
        permit_holder,
        section.zone,
        stream.folder / f"drains-{re.sub(r'[^0-9A-Za-z-]', '_', name)}.state",
        log,
        head.is_ready,
        lambda go: head.stop(),
        lambda: head.handoff is None or not head.handoff.other_pids,
        member.entries if member is not None else None,
        member.membership if member is not None else None,
    )
