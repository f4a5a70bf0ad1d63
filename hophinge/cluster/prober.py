"""Failure detection: one member is probed each period in shuffled order, indirectly too if it does not acknowledge.

SWIM with Lifeguard's local health: a process that misses acknowledgements which others receive, or finds itself late,
extends its timeouts.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from hophinge.cluster.core import Core
from hophinge.cluster.messages import ALIVE, Ack, MemberRecord, Message, Nack, Ping, PingRequest
from hophinge.cluster.send_budget import MEMBER_RANK, PROBE_RANK

NACK_DEADLINE_FRACTION = 0.8  # of the probe timeout: the member that probes indirectly reports a failure by then
REQUEST_IDS = 2**32
PINGS_PER_PROBE = 3  # within a period: the first direct alone, the others indirect too


class Probe(Struct):
    """A probe in flight."""

    name: str
    incarnation: int
    started_us: int
    is_acknowledged: bool = False
    helpers: int = 0  # members that were asked to probe indirectly
    nacks: int = 0


class IndirectProbe(Struct, frozen=True):
    """A probe on behalf of another member: where and under which id its acknowledgement is relayed."""

    address: str
    request_id: int
    name: str


class Prober:
    """The probes in flight; `on_failure` is called with the name and incarnation of a member that failed one."""

    def __init__(self, core: Core, on_failure: Callable[[str, int], None]) -> None:
        self.core = core
        self.on_failure = on_failure
        self.probe_order: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.urgent: list[str] = []  # probed before all others

    def start(self) -> None:
        """Schedule the first period."""
        self.core.call_later(self.core.rng.randrange(1, self.core.tuning.probe_interval_us), self.run_round)

    def next_target(self) -> MemberRecord | None:
        """Return the member to probe next, if there is any other."""
        live = self.core.members.live
        while self.urgent:
            name = self.urgent.pop()
            if name in live:
                return self.core.members.record(name)
        for _ in range(2):
            while self.probe_order:
                name = self.probe_order.pop()
                if name in live:
                    return self.core.members.record(name)
            self.probe_order = [name for name in live if name != self.core.members.own_name]
            self.core.rng.shuffle(self.probe_order)
        return None

    def run_round(self) -> None:
        """Probe the next member, and several at once while this one is isolated."""
        core = self.core
        period_us = core.scale_by_health(core.tuning.probe_interval_us)
        core.call_later(period_us, self.run_round)
        target = self.next_target()
        if target is None:
            return
        self.probe(target, period_us)
        if core.is_isolated:
            candidates = [
                record for record in core.members.others() if record.state == ALIVE and record.name != target.name
            ]
            for record in core.rng.sample(candidates, min(core.tuning.isolated_probes - 1, len(candidates))):
                self.probe(record, period_us)

    def probe(self, record: MemberRecord, period_us: int) -> None:
        """Probe a member within a period."""
        core = self.core
        request_id = core.rng.randrange(REQUEST_IDS)
        probe = self.probes[request_id] = Probe(record.name, record.incarnation, core.now_us)
        is_sent = self.ping(request_id, record)
        for attempt in range(1, PINGS_PER_PROBE):
            delay_us = core.scale_by_health(core.tuning.probe_timeout_us * attempt)
            core.call_later(delay_us, lambda: self._probe_indirectly(request_id, probe))
        core.call_later(period_us - 1, lambda: self._finish(request_id, probe, is_sent))

    def ping(self, request_id: int, record: MemberRecord, rank: int = PROBE_RANK) -> bool:
        """Send a ping; a suspected member is notified of the suspicion with it. Returns whether it was sent."""
        messages: list[Message] = [Ping(request_id, record.name, self.core.members.own_record)]
        if record.state:
            messages.append(record)
        return self.core.send(record.address, messages, rank)

    def verify(self, name: str, on_result: Callable[[bool], None]) -> None:
        """Ping a member twice, and report whether it has acknowledged."""
        core = self.core
        record = core.members.tracked[name].record
        request_id = core.rng.randrange(REQUEST_IDS)
        timeout_us = core.scale_by_health(core.tuning.probe_timeout_us)
        probe = self.probes[request_id] = Probe(name, record.incarnation, core.now_us)
        is_sent = self.ping(request_id, record, MEMBER_RANK)

        def retry() -> None:
            if not probe.is_acknowledged:
                self.ping(request_id, record, MEMBER_RANK)

        def finish() -> None:
            self.probes.pop(request_id, None)
            if self._is_stale(probe) and not probe.is_acknowledged and name in core.members.tracked:
                return self.verify(name, on_result)
            on_result(probe.is_acknowledged)  # if no ping could be sent, gossip is all there is to go by

        if not is_sent:
            core.count("verifications_unsent")
        core.call_later(timeout_us // 2, retry)
        core.call_later(timeout_us, finish)

    def _probe_indirectly(self, request_id: int, probe: Probe) -> None:
        """Ask other members to probe a target that has not acknowledged, and ping it once more."""
        if probe.is_acknowledged or self._is_stale(probe):
            return
        core = self.core
        record = core.members.record(probe.name)
        if record is None or not record.is_live:
            return
        helpers = [helper for helper in core.members.others() if helper.name != probe.name]
        if core.is_isolated:
            helpers = []
        for helper in core.rng.sample(helpers, min(core.tuning.indirect_probes, len(helpers))):
            if core.send(helper.address, [PingRequest(request_id, record.name, record.address)]):
                probe.helpers += 1
        self.ping(request_id, record)

    def _finish(self, request_id: int, probe: Probe, is_sent: bool) -> None:
        self.probes.pop(request_id, None)
        core = self.core
        if probe.is_acknowledged:
            core.adjust_health(-1)
        elif not self._is_stale(probe):
            # If the helpers report that the target is silent for them too, the fault is not this process's. Unlike in
            # Lifeguard a missing nack adds no point: with most members dead, no failure would ever be detected.
            core.adjust_health(0 if probe.nacks else 1)
            if is_sent:
                core.count("probes_failed")
                self.on_failure(probe.name, probe.incarnation)

    def _is_stale(self, probe: Probe) -> bool:
        """Whether this process itself has stalled meanwhile: then a missing acknowledgement proves nothing."""
        return self.core.last_stall_us >= probe.started_us

    def handle_ping(self, source: str, ping: Ping) -> None:
        """Acknowledge a ping that is for this member."""
        own = self.core.members.own_record
        if ping.target in ("", own.name):
            self.core.send(source, [Ack(ping.request_id, own.name, own.incarnation)])

    def handle_ping_request(self, source: str, request: PingRequest) -> None:
        """Probe a target on behalf of another member."""
        core = self.core
        relayed_id = core.rng.randrange(REQUEST_IDS)
        self.indirect_probes[relayed_id] = IndirectProbe(source, request.request_id, request.target)
        core.send(request.address, [Ping(relayed_id, request.target, core.members.own_record)])

        def send_nack() -> None:
            if self.indirect_probes.pop(relayed_id, None) is not None:
                core.send(source, [Nack(request.request_id)])

        core.call_later(int(core.tuning.probe_timeout_us * NACK_DEADLINE_FRACTION), send_nack)

    def handle_ack(self, sender: str, ack: Ack) -> None:
        """Record an acknowledgement of an own probe, direct or relayed, and relay that of an indirect probe."""
        probe = self.probes.get(ack.request_id)
        if probe is not None and probe.name == ack.name:
            probe.is_acknowledged = True
            tracked = self.core.members.tracked.get(ack.name)
            if tracked is not None and sender == ack.name:
                tracked.last_ack_us = self.core.now_us
        indirect = self.indirect_probes.get(ack.request_id)
        if indirect is not None and indirect.name == ack.name == sender:
            del self.indirect_probes[ack.request_id]
            self.core.send(indirect.address, [Ack(indirect.request_id, ack.name, ack.incarnation)])

    def handle_nack(self, nack: Nack) -> None:
        """Record that an indirect probe has not been acknowledged either."""
        probe = self.probes.get(nack.request_id)
        if probe is not None:
            probe.nacks += 1
