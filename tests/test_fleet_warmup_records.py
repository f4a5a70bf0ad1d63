"""The warmup records that control members publish, tested input by input."""

from __future__ import annotations

from random import Random

from hophinge.coordination.dissemination import Dissemination, GossipRecord, Push
from hophinge.coordination.quorum_acknowledgements import QuorumView
from hophinge.coordination.view import Replica
from hophinge.fleet.registry.instance import DRAINING, READY, Instance
from hophinge.fleet.registry.registry import MAX_MISSED_HEARTBEATS, SILENT_RETENTION_S, Registry
from hophinge.fleet.registry.service import InstanceService, RegistryContext, ServiceStep
from hophinge.fleet.registry.warmup import UNCONFIRMED_MS, Warmup, warmup_of

HEARTBEAT_S = 1.0
A, B = Replica("a", "10.0.0.1:1", "z"), Replica("b", "10.0.0.2:1", "z")
HEAD = "10.0.1.1:2"
CONTEXT = RegistryContext(QuorumView(1, (A, B), 2, frozenset("ab")), (HEAD,), (B.address,))
KEYS = ["warmup/i", "instance/i"]


def _service() -> InstanceService:
    return InstanceService(A, Dissemination(Random(1)), Registry(HEARTBEAT_S, 0.0))


def _instance(state: str = READY) -> Instance:
    return Instance("i", "s", "10.9.0.1:80", "z", "v", 8, state, "decode", ())


def _heartbeat(service: InstanceService, now: float, sequence: int, cold_s: float, state: str = READY) -> ServiceStep:
    return service.heartbeat(now, CONTEXT, sequence, _instance(state), sequence, cold_s)


def _pushed(step: ServiceStep, address: str = HEAD) -> list[GossipRecord]:
    pushes = [message for target, message in step.messages if target == address and isinstance(message, Push)]
    return [record for push in pushes for record in push.records]


def _warmups(step: ServiceStep, address: str = HEAD) -> list[Warmup | None]:
    return [warmup_of(record) for record in _pushed(step, address) if record.key == "warmup/i"]


def test_a_head_learns_that_an_instance_is_cold_in_one_message_and_before_it_learns_of_the_instance() -> None:
    step = _heartbeat(_service(), 0.0, 1, 3.0)
    pushes = [message for address, message in step.messages if address == HEAD]
    assert len(pushes) == 1
    assert [record.key for record in _pushed(step)] == KEYS
    assert _warmups(step) == [Warmup(3_000)]


def test_the_record_of_a_warm_instance_is_published_only_when_it_is_new() -> None:
    service = _service()
    assert _warmups(_heartbeat(service, 0.0, 1, 0.0)) == [Warmup(0)]
    assert not _heartbeat(service, 1.0, 2, 0.0).messages


def test_only_the_start_an_extension_and_the_end_of_a_cold_phase_are_published() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 0.0)
    assert _warmups(_heartbeat(service, 1.0, 2, 3.0)) == [Warmup(3_000)]
    assert not _heartbeat(service, 2.0, 3, 2.1).messages, "the end time has not changed"
    assert _warmups(_heartbeat(service, 3.0, 4, 3.0)) == [Warmup(3_000)]
    assert not _heartbeat(service, 4.0, 5, 0.5).messages
    assert _warmups(_heartbeat(service, 5.0, 6, 0.0)) == [Warmup(0)]
    assert not _heartbeat(service, 6.0, 7, 0.0).messages


def test_an_older_heartbeat_does_not_change_the_remaining_cold_time() -> None:
    service = _service()
    _heartbeat(service, 0.0, 5, 0.0)
    assert not _heartbeat(service, 0.1, 4, 3.0).messages
    assert not _heartbeat(service, 0.2, 5, 3.0).messages
    assert not _heartbeat(service, 0.3, 6, 0.0).messages


def test_a_suspected_instance_is_unconfirmed_until_its_next_heartbeat_even_if_nothing_changed() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 0.0)
    assert _warmups(service.suspect(0.5, CONTEXT, ("i", "unknown"))) == [Warmup(UNCONFIRMED_MS)]
    assert not service.suspect(0.6, CONTEXT, ("i",)).messages, "the instance is already unconfirmed"
    assert _warmups(_heartbeat(service, 1.0, 2, 0.0)) == [Warmup(0)]
    assert not _heartbeat(service, 2.0, 3, 0.0).messages


def test_the_instances_of_a_zone_are_unconfirmed_after_its_evacuation() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 0.0)
    assert not service.suspect_zone(0.5, CONTEXT, "another").messages
    assert _warmups(service.suspect_zone(0.5, CONTEXT, "z")) == [Warmup(UNCONFIRMED_MS)]
    assert _warmups(_heartbeat(service, 1.0, 2, 2.5)) == [Warmup(2_500)]


def test_the_warmup_record_of_a_lost_instance_is_published_before_the_instance_is_ready() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 0.0)
    steps = [service.tick(0.25 * tick, CONTEXT, True) for tick in range(int(4 * MAX_MISSED_HEARTBEATS) + 3)]
    lost = next(step for step in steps if step.messages)
    assert [record.key for record in _pushed(lost)] == KEYS
    assert _warmups(lost) == [Warmup(UNCONFIRMED_MS)]
    returned = _heartbeat(service, 6.0, 2, 0.0)
    assert [record.key for record in _pushed(returned)] == KEYS
    assert _warmups(returned) == [Warmup(0)]


def test_records_of_another_member_apply_and_a_heartbeat_here_ends_its_suspicion() -> None:
    here, there = _service(), _service()
    first, suspected = _heartbeat(here, 0.0, 1, 3.0), here.suspect(0.5, CONTEXT, ("i",))
    for step in (first, suspected):
        there.receive(0.6, A.address, Push(tuple(_pushed(step, B.address))), (), ServiceStep())
    assert not there.suspect(0.7, CONTEXT, ("i",)).messages
    assert _warmups(_heartbeat(there, 1.0, 2, 2.0)) == [Warmup(2_000)]
    late_step = ServiceStep()
    there.receive(1.1, A.address, Push(tuple(_pushed(suspected, B.address))), (), late_step)
    assert not late_step.messages, "the record is older than the heartbeat"
    assert not _heartbeat(there, 2.0, 3, 1.0).messages


def test_the_record_ends_with_the_instance() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 3.0)
    assert _warmups(service.unregister(1.0, CONTEXT, 2, "i")) == [None]
    assert not _warmups(_heartbeat(service, 2.0, 9, 3.0))
    assert not service.suspect(3.0, CONTEXT, ("i",)).messages


def test_the_record_of_an_instance_removed_after_silence_is_a_tombstone_until_it_returns() -> None:
    service = _service()
    _heartbeat(service, 0.0, 1, 0.0)
    _heartbeat(service, 0.5, 2, 0.0, DRAINING)
    assert None in _warmups(service.purge(SILENT_RETENTION_S + 1, CONTEXT))
    assert _warmups(_heartbeat(service, SILENT_RETENTION_S + 2, 3, 3.0)) == [Warmup(3_000)]
