"""A follower, a publisher and the way between them, without sockets, for tests of the stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from hophinge.control import wire
from hophinge.control.follower import Action, Apply, Close, Connect, Follower, Keep, Log, Tell
from hophinge.control.publisher import Parts, Publisher, Snapshot, Subscribed
from hophinge.control.wire import Kind, Order, Request, Response
from hophinge.routing import records
from hophinge.routing.records import Limit, Plan, Pool, Record, Route, Scope
from hophinge.routing.table import Facts

S, MS = 1_000_000, 1000
FACTS = Facts(frozenset({"hall-a"}), frozenset(), frozenset({"read"}), {"basic": (10.0, 2.0)}, 3, True)
BEAT = wire.encode_response(Response(Kind.RECORD, "beat"))
GOOD: list[Record] = [
    Pool("a", ("hall-a",)),
    Plan("basic", 5.0, 1.0),
    *(Limit(Scope(f"t{at}"), float(at + 1)) for at in range(6)),
]
BAD: list[Record] = [Pool("moon", ("moon",)), Plan("basic", 99.0, 1.0), Route(Scope(klass="none"), ("a",))]


def bodies(rows: Iterable[Record]) -> dict[str, bytes]:
    return {record.key: records.encode(record) for record in rows}


def snapshot(order: Order, rows: Iterable[Record], before: Snapshot | None = None) -> Snapshot:
    return Snapshot.made(order, bodies(rows), before, 0)


def follower(seed: int = 1, endpoints: tuple[str, ...] = ("a:1", "b:2")) -> Follower:
    return Follower("n0", endpoints, FACTS, seed, 6 * S, 60 * S)


class Line:
    """A follower, a publisher and the way between them, which a test may lose, cut, double or reorder."""

    def __init__(self, head: Follower | None = None) -> None:
        self.head = head or follower()
        self.publisher = Publisher(Parts())
        self.now = S
        self.down: deque[bytes] = deque()
        self.applied: list[Order] = []
        self.events: list[Any] = []
        self.log: list[str] = []
        self.connects = self.keeps = 0
        self.up = True
        self.do(self.head.start(self.now))

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self.connects += 1
                    self.publisher, self.down = Publisher(Parts(), target=self.publisher.target), deque()
                    for request in action.requests if self.up else ():
                        self.tell(request)
                case Tell():
                    self.tell(action.request)
                case Close():
                    self.down.clear()
                case Apply():
                    self.applied.append(action.table.version)
                case Keep():
                    self.keeps += 1
                case Log():
                    self.log.append(action.text)

    def tell(self, request: Request) -> None:
        events, frames = self.publisher.heard(wire.decode_request(wire.encode_request(request)))
        self.events += events
        if any(isinstance(event, Subscribed) for event in events):
            self.down.append(BEAT)
        self.down.extend(frames)

    def push(self, target: Snapshot) -> None:
        self.down.extend(self.publisher.aim(target))

    def deliver(self, most: int = 1000) -> None:
        while self.down and most:
            most -= 1
            self.do(self.head.received(self.now, wire.decode_response(self.down.popleft())))

    def wait(self, span: int) -> None:
        until = self.now + span
        while self.now < until:
            self.now = min(until, max(self.now + MS, self.head.due_us), self.now + 2 * S)
            self.do(self.head.tick(self.now))
            if self.up and self.head.connected:
                self.down.append(BEAT)
            self.deliver()

    def cut(self) -> None:
        self.down.clear()
        self.do(self.head.closed(self.now, "cut"))
