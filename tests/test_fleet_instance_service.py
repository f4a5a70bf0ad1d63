"""The instance service of a control member, tested input by input: heartbeats, drains, quorum acknowledgements."""

from __future__ import annotations

from random import Random

from hophinge.coordination.dissemination import Dissemination, Push, GossipRecord
from hophinge.coordination.quorum_acknowledgements import (
    ACKNOWLEDGEMENT_TIMEOUT_S,
    QuorumView,
    RecordReplicated,
    ReplicateRecord,
)
from hophinge.coordination.view import Replica
from hophinge.fleet.registry.instance import DRAINING, READY, Instance, record_of
from hophinge.fleet.registry.registry import Registry
from hophinge.fleet.registry.service import InstanceService, RegistryContext

A, B, C = (Replica(name, f"10.0.0.{number}:1", "z") for number, name in enumerate("abc", 1))
HEAD = "10.0.1.1:2"
CONNECTED = RegistryContext(QuorumView(1, (A, B, C), 2, frozenset("abc")), (HEAD,), (B.address, C.address))
PARTITIONED = RegistryContext(QuorumView(1, (A, B, C), 2, frozenset("a")), (HEAD,), (B.address, C.address))


def _service() -> InstanceService:
    return InstanceService(A, Dissemination(Random(1)), Registry(1.0, 0.0))


def _instance(state: str) -> Instance:
    return Instance("i", "s", "10.9.0.1:80", "z", "v", 8, state, "", ())


def test_a_ready_heartbeat_is_published_and_refused_by_a_partitioned_member() -> None:
    service = _service()
    step = service.heartbeat(0.0, CONNECTED, 1, _instance(READY), 1)
    assert step.completed == [(1, True)]
    assert {address for address, message in step.messages if isinstance(message, Push)} == {HEAD, B.address, C.address}
    assert service.heartbeat(1.0, PARTITIONED, 2, _instance(READY), 2).completed == [(2, False)]


def test_draining_is_published_at_once_and_acknowledged_by_a_quorum() -> None:
    service = _service()
    service.heartbeat(0.0, CONNECTED, 1, _instance(READY), 1)
    step = service.heartbeat(1.0, CONNECTED, 2, _instance(DRAINING), 2)
    assert step.completed == []
    assert [address for address, message in step.messages if isinstance(message, Push)] == [HEAD]
    assert [address for address, message in step.messages if isinstance(message, ReplicateRecord)] == [
        B.address,
        C.address,
    ]
    assert service.record_replicated(1.1, CONNECTED, "b", RecordReplicated(2, 1)).completed == []
    assert service.record_replicated(1.1, CONNECTED, "c", RecordReplicated(2, 1)).completed == [(2, True)]
    assert service.heartbeat(2.0, PARTITIONED, 3, _instance(DRAINING), 3).completed == [(3, True)], (
        "a quorum already holds the record"
    )


def test_an_instance_ready_again_needs_a_new_quorum_to_drain() -> None:
    service = _service()
    service.heartbeat(1.0, CONNECTED, 1, _instance(DRAINING), 2)
    service.record_replicated(1.1, CONNECTED, "b", RecordReplicated(1, 1))
    service.record_replicated(1.1, CONNECTED, "c", RecordReplicated(1, 1))
    service.heartbeat(2.0, CONNECTED, 2, _instance(READY), 3)
    assert service.heartbeat(3.0, PARTITIONED, 3, _instance(DRAINING), 4).completed == []
    assert service.tick(3.0 + ACKNOWLEDGEMENT_TIMEOUT_S, PARTITIONED, True).completed == [(3, False)]


def test_unregistering_needs_a_quorum_and_an_older_heartbeat_reverts_nothing() -> None:
    service = _service()
    service.heartbeat(0.0, CONNECTED, 1, _instance(READY), 1)
    assert service.unregister(1.0, CONNECTED, 2, "i").completed == []
    service.record_replicated(1.1, CONNECTED, "b", RecordReplicated(2, 1))
    assert service.record_replicated(1.1, CONNECTED, "c", RecordReplicated(2, 1)).completed == [(2, True)]
    late = service.heartbeat(2.0, CONNECTED, 3, _instance(READY), 9)
    assert not late.messages
    assert "i" not in service.registry.instances
    assert service.unregister(3.0, PARTITIONED, 4, "i").completed == [(4, True)], "a repeated request to unregister"


def test_unregistering_after_acknowledged_draining_needs_its_own_quorum() -> None:
    service = _service()
    service.heartbeat(1.0, CONNECTED, 1, _instance(DRAINING), 2)
    service.record_replicated(1.1, CONNECTED, "b", RecordReplicated(1, 1))
    service.record_replicated(1.1, CONNECTED, "c", RecordReplicated(1, 1))
    assert service.unregister(2.0, PARTITIONED, 2, "i").completed == []
    assert service.tick(2.0 + ACKNOWLEDGEMENT_TIMEOUT_S, PARTITIONED, True).completed == [(2, False)]


def test_a_replicated_record_is_forwarded_before_it_is_acknowledged() -> None:
    service = _service()
    record = record_of(_instance(DRAINING), 5)
    step = service.replicate_record(0.0, CONNECTED, B.address, ReplicateRecord(9, record))
    assert [address for address, message in step.messages if isinstance(message, Push)] == [HEAD, C.address]
    assert step.messages[-1] == (B.address, RecordReplicated(9, 1))
    assert service.registry.instances["i"].state == DRAINING
    repeated = service.replicate_record(0.1, CONNECTED, B.address, ReplicateRecord(9, record))
    assert repeated.messages == [(B.address, RecordReplicated(9, 1))]


def test_an_outdated_heartbeat_is_not_acknowledged() -> None:
    service = _service()
    service.heartbeat(0.0, CONNECTED, 1, _instance(READY), 9)
    step = service.heartbeat(0.1, CONNECTED, 2, _instance(DRAINING), 5)
    assert step.completed == [(2, False)]
    assert not step.messages
    tombstone = GossipRecord("instance/other", (3, 0), b"", True)
    service.replicate_record(0.2, CONNECTED, B.address, ReplicateRecord(1, tombstone))
    assert "other" not in service.registry.instances
