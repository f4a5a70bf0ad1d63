"""A follower, a publisher and the link between them, without sockets, for tests of the discovery stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from hophinge.control import wire
from hophinge.control.follower_actions import (
    Action,
    ApplyTable,
    CloseStream,
    OpenStream,
    PersistVersion,
    LogMessage,
    SendRequest,
)
from hophinge.control.follower import Follower
from hophinge.control.delta_cache import DeltaCache
from hophinge.control.publisher import Publisher, HeadSubscribed
from hophinge.control.snapshot import Snapshot
from hophinge.control.messages import ResourceType, VersionId, DiscoveryRequest, DiscoveryResponse
from hophinge.routing import records
from hophinge.routing.records import Limit, PlanOverride, Pool, Record, Route, Scope
from hophinge.routing.capabilities import HeadCapabilities, PlanBounds

S, MS = 1_000_000, 1000
FACTS = HeadCapabilities(
    frozenset({"hall-a"}), frozenset(), frozenset({"read"}), {"basic": PlanBounds(10.0, 2.0)}, 3, True
)
HEARTBEAT_FRAME = wire.encode_response(DiscoveryResponse(ResourceType.RECORD, "beat"))
GOOD: list[Record] = [
    Pool("a", ("hall-a",)),
    PlanOverride("basic", 5.0, 1.0),
    *(Limit(Scope(f"t{at}"), float(at + 1)) for at in range(6)),
]
BAD: list[Record] = [Pool("moon", ("moon",)), PlanOverride("basic", 99.0, 1.0), Route(Scope(klass="none"), ("a",))]


def bodies(rows: Iterable[Record]) -> dict[str, bytes]:
    return {record.key: records.encode(record) for record in rows}


def snapshot(version_id: VersionId, rows: Iterable[Record], previous: Snapshot | None = None) -> Snapshot:
    return Snapshot.create(version_id, bodies(rows), previous, 0)


def follower(seed: int = 1, endpoints: tuple[str, ...] = ("a:1", "b:2")) -> Follower:
    return Follower("n0", endpoints, FACTS, seed, 6 * S, 60 * S)


class StreamLink:
    """A follower, a publisher and the link between them, whose messages a test may lose, duplicate or reorder."""

    def __init__(self, head: Follower | None = None) -> None:
        self.head = head or follower()
        self.publisher = Publisher(DeltaCache())
        self.now = S
        self.in_transit: deque[bytes] = deque()
        self.applied: list[VersionId] = []
        self.events: list[Any] = []
        self.log: list[str] = []
        self.connect_count = self.persist_count = 0
        self.is_reachable = True
        self.perform(self.head.start(self.now))

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case OpenStream():
                    self.connect_count += 1
                    self.publisher, self.in_transit = Publisher(DeltaCache(), target=self.publisher.target), deque()
                    for request in action.requests if self.is_reachable else ():
                        self.send(request)
                case SendRequest():
                    self.send(action.request)
                case CloseStream():
                    self.in_transit.clear()
                case ApplyTable():
                    self.applied.append(action.table.version)
                case PersistVersion():
                    self.persist_count += 1
                case LogMessage():
                    self.log.append(action.text)

    def send(self, request: DiscoveryRequest) -> None:
        events, frames = self.publisher.on_request(wire.decode_request(wire.encode_request(request)))
        self.events += events
        if any(isinstance(event, HeadSubscribed) for event in events):
            self.in_transit.append(HEARTBEAT_FRAME)
        self.in_transit.extend(frames)

    def push(self, target: Snapshot) -> None:
        self.in_transit.extend(self.publisher.set_target(target))

    def deliver(self, limit: int = 1000) -> None:
        while self.in_transit and limit:
            limit -= 1
            self.perform(self.head.on_response(self.now, wire.decode_response(self.in_transit.popleft())))

    def wait(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.now < until:
            self.now = min(until, max(self.now + MS, self.head.next_tick_us), self.now + 2 * S)
            self.perform(self.head.tick(self.now))
            if self.is_reachable and self.head.is_connected:
                self.in_transit.append(HEARTBEAT_FRAME)
            self.deliver()

    def cut(self) -> None:
        self.in_transit.clear()
        self.perform(self.head.on_stream_closed(self.now, "cut"))
