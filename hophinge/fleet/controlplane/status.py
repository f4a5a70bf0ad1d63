"""The status of a control member for operators: view, chain, replication lag, leases, digests and instances."""

from __future__ import annotations

from typing import Any

from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.fleet.configuration.evacuations import evacuated_zones
from hophinge.fleet.configuration.record import RECORD_KEY
from hophinge.fleet.controlplane.soft_state import SoftState


def member_status(machine: ReplicaStateMachine, soft_state: SoftState, now: float) -> dict[str, Any]:
    """Return the member's status as a JSON object; operators' tools and tests depend on its keys."""
    view, chain = machine.view, machine.chain
    peers = machine.peers.known.values()
    record = soft_state.dissemination.store.get(RECORD_KEY)
    return {
        "program": "control-plane",
        "identity": machine.me.identity,
        "address": machine.me.address,
        "votes": machine.can_vote,
        "disk-writable": machine.is_writable,
        "connected": machine.is_connected(now),
        "view": view.number if view is not None else None,
        "voters": [voter.address for voter in view.voters] if view is not None else [],
        "chain": [link.identity for link in view.chain] if view is not None else [],
        "serving": chain.is_serving,
        "sequence": chain.registers.sequence,
        "committed": chain.committed_sequence,
        "peers": [
            {
                "address": peer.replica.address,
                "heard-s-ago": round(now - peer.last_heartbeat_at, 2),
                "lag": chain.registers.sequence - peer.heartbeat.sequence,
            }
            for peer in peers
        ],
        "configuration": chain.registers.current(RECORD_KEY).version,
        "configuration-record": list(record.stamp) if record is not None else None,
        "evacuated-zones": sorted(evacuated_zones(soft_state.dissemination.store)),
        "leases": len(soft_state.leases.holders()),
        "leases-here": len(soft_state.leases.local_holders()),
        "instances": {
            identity: f"{instance.service} {instance.stage} {instance.state}".replace("  ", " ")
            for identity, instance in sorted(soft_state.registry.instances.items())
        },
        "digest": [f"{fingerprint:016x}" for fingerprint in soft_state.dissemination.store.fingerprints(now)],
    }
