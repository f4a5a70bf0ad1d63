"""A cluster member made from the `[cluster]` section: its endpoint, its subscribers and its status."""

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
    """Return this program's version as members publish it."""
    try:
        return importlib.metadata.version("hophinge")
    except importlib.metadata.PackageNotFoundError:
        return "source"  # run from a checkout that was never installed


class ClusterMember:
    """One process among its peers."""

    def __init__(
        self,
        config: ClusterConfig,
        name: str,
        say: Callable[[str], None],
        *,
        role: Role = Role.HEAD,
        build: str = "",
        tuning: Tuning | None = None,
    ) -> None:
        """Bind the socket and read the keys, in a running event loop; raises HophingeError naming the setting."""
        self.say = say
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
            log=say,
            limits=Limits(config.bytes_s, config.members, config.entries, config.entry_bytes),
        )

    @property
    def membership(self) -> MembershipView:
        """The members as this process knows them."""
        return self.endpoint.machine

    @property
    def entries(self) -> ReplicatedEntries:
        """The replicated entries."""
        return self.endpoint.machine

    def subscribe(self, hearer: Subscriber) -> None:
        """Notify a subscriber of all changes from now on."""
        self.endpoint.subscribers.append(hearer)

    def start(self) -> None:
        """Join the cluster; without peers the process runs alone."""
        self.endpoint.start()
        self.say(f"{self.membership.own_name} is a member at {self.endpoint.address}")

    def reload(self) -> None:
        """Reload the keys, at SIGHUP; an unusable file is logged and changes nothing."""
        try:
            self.endpoint.reload()
        except HophingeError as error:
            self.say(f"the cluster's keys are kept as they were: {one_line(error)}")

    def leave(self) -> None:
        """Announce that this process leaves."""
        self.endpoint.leave()

    def status(self) -> dict[str, Any]:
        """Return members and counters, for `/ops/cluster`."""
        core = self.endpoint.machine.core
        failed = self.endpoint.conflict
        return {
            "name": self.membership.own_name,
            "address": self.endpoint.address,
            "health": core.health,
            "stepped_back": failed.one_line() if failed is not None else "",
            "members": [
                {
                    "name": one.name,
                    "address": one.address,
                    "standing": one.state.value,
                    "incarnation": one.incarnation,
                    "zone": one.zone,
                    "role": one.role.value,
                    "build": one.build,
                }
                for one in self.membership.members()
            ],
            "counters": dict(sorted(core.counters.items())),
        }
