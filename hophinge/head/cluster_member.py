"""A cluster member configured by the `[cluster]` section: its endpoint, its subscribers and its status."""

from __future__ import annotations

import importlib.metadata
from collections.abc import Callable
from typing import Any

from hophinge.cluster.interface import ReplicatedEntries, Subscriber, Role, MembershipView
from hophinge.cluster.tuning import Limits, Tuning
from hophinge.core.errors import HophingeError, one_line
from hophinge.head.sections import ClusterConfig
from hophinge.peers.endpoint import MemberEndpoint


def build_of_program() -> str:
    """Return this program's version as members publish it; `source` if it is not installed."""
    try:
        return importlib.metadata.version("hophinge")
    except importlib.metadata.PackageNotFoundError:
        return "source"  # run from a checkout


class ClusterMember:
    """The cluster membership of this process."""

    def __init__(
        self,
        config: ClusterConfig,
        name: str,
        log: Callable[[str], None],
        *,
        role: Role = Role.HEAD,
        build: str = "",
        tuning: Tuning | None = None,
    ) -> None:
        """Bind the socket and read the keys, in a running event loop; raises HophingeError with the setting's name."""
        self.log = log
        self.endpoint = MemberEndpoint(
            config.name or name,
            config.listen,
            config.seeds,
            config.key_file,
            advertise=config.advertise,
            zone=config.zone,
            role=role,
            build=build or build_of_program(),
            tuning=tuning,
            log=log,
            limits=Limits(config.bytes_s, config.members, config.entries, config.entry_bytes),
        )

    @property
    def membership(self) -> MembershipView:
        """The members that this process knows, with their states."""
        return self.endpoint.machine

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated entries."""
        return self.endpoint.machine

    def subscribe(self, subscriber: Subscriber) -> None:
        """Notify a subscriber of all changes from now on."""
        self.endpoint.subscribers.append(subscriber)

    def start(self) -> None:
        """Join the cluster; if no peer can be reached, the process runs alone."""
        self.endpoint.start()
        self.log(f"{self.membership.own_name} is a member at {self.endpoint.address}")

    def reload(self) -> None:
        """Reload the keys, at SIGHUP; an unusable file is logged and changes nothing."""
        try:
            self.endpoint.reload()
        except HophingeError as error:
            self.log(f"cannot reload the cluster's keys, the former ones stay in use: {one_line(error)}")

    def leave(self) -> None:
        """Announce that this process leaves."""
        self.endpoint.leave()

    def status(self) -> dict[str, Any]:
        """Return members and counters, for `/ops/cluster`."""
        core = self.endpoint.machine.core
        conflict = self.endpoint.conflict
        return {
            "name": self.membership.own_name,
            "address": self.endpoint.address,
            "health": core.health,
            "stepped_back": conflict.one_line() if conflict is not None else "",
            "members": [
                {
                    "name": member.name,
                    "address": member.address,
                    "standing": member.state.value,
                    "incarnation": member.incarnation,
                    "zone": member.zone,
                    "role": member.role.value,
                    "build": member.build,
                }
                for member in self.membership.members()
            ],
            "counters": dict(sorted(core.counters.items())),
        }
