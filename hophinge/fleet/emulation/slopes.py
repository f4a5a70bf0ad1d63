"""Slopes of the fleet's parts: bytes, processor time and memory by size; `python benchmarks/fleet_capacity.py`.

Each row is measured at three sizes, fitted by least squares through them, and told with the worst deviation of a point
from the line. Times are process time on this machine.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import numpy as np

from hophinge.fleet.emulation.sizes import JOB_NUMBER, document, hint, holder, instance, placement, replicas

from hophinge.coordination.codec import decode, encode
from hophinge.coordination.dissemination import BUCKETS, Digest, Dissemination, Push, Replicas, Rows
from hophinge.coordination.leases import Grant, Leases, LeaseTable, Renew
from hophinge.coordination.messages import Heartbeat, Sync
from hophinge.coordination.registers import Change, Entry, Registers
from hophinge.coordination.view import Replica
from hophinge.fleet.configuration.document import check
from hophinge.fleet.configuration.routes import COMPRESSION, configuration_record, parse, table_of
from hophinge.fleet.placement.hints import Done, Hints, Report, Reports
from hophinge.fleet.placement.node import Cache
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import Wish
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import record_of
from hophinge.fleet.registry.registry import Liveness
from hophinge.fleet.transport.frames import LENGTH

FRAME_BYTES = LENGTH.size + 52  # a frame's length and TCP/IP headers, where it goes alone
MIN_S = 0.03  # a time is taken over repetitions that last so long at least
Measure = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line: what does not depend on the size, what each unit adds, and the worst deviation of a point."""

    name: str
    unit: str
    base: float
    each: float
    error: float
    sizes: tuple[int, ...]

    def at(self, size: int) -> float:
        """Tell the value at a size."""
        return self.base + self.each * size


def fit(name: str, unit: str, measure: Measure, sizes: tuple[int, ...]) -> Slope:
    """Measure at some sizes and fit a line."""
    values = [measure(size) for size in sizes]
    each, base = np.polyfit(sizes, values, 1)
    pairs = zip(sizes, values, strict=True)
    error = max(abs(base + each * size - value) / max(abs(value), 1e-9) for size, value in pairs)
    return Slope(name, unit, float(base), float(each), float(error), sizes)


def micros(work: Callable[[], object]) -> float:
    """Tell the processor time of one call in microseconds."""
    work()
    count = 1
    while True:
        begun = time.process_time()
        for _ in range(count):
            work()
        spent = time.process_time() - begun
        if spent >= MIN_S:
            return spent / count * 1e6
        count *= 4


def kilobytes(make: Callable[[], object]) -> float:
    """Tell the memory that something made takes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1024


def sent(message: object) -> float:
    """Tell the bytes of a message that goes alone in a frame."""
    return len(encode(message)) + FRAME_BYTES


def _choose(made: Placement, random: Random) -> Callable[[], object]:
    def work() -> object:
        prompt = Prompt(9_190, 80, ((f"{random.randrange(500):08x}", 6_300), (f"{random.random()}", 2_890)))
        plan = made.generation(Wish(0.0, (str(random.random()), 1), "service0", set(), 0.72, 0.72), prompt)
        made.outgoing_hints(0.0)
        for node in made.nodes.values():
            node.book.slots.clear()
            node.book.free = node.book.units_out = 0.0
        return plan

    return work


def _lease_memory(count: int) -> float:
    def make() -> LeaseTable:
        table = LeaseTable()
        for number in range(count):
            table.renew(0.0, holder(number))
        return table

    return kilobytes(make)


def _registers(count: int) -> Registers:
    registers = Registers()
    payload = document(100)
    for number in range(count):
        change = Change("configuration", number, number + 1, number.to_bytes(16, "big"), payload)
        registers.apply(Entry(number + 1, change))
    return registers


def _missed(count: int) -> float:
    """Tell the bytes by which two members that differ in one record of many agree again."""
    one, other = Dissemination(Random(1)), Dissemination(Random(2))
    one.replicas, other.replicas = replicas(count), replicas(count)
    other.replicas.offer(0.0, record_of(instance(count), 1))
    digest = one.digest(0.0)
    total = sent(digest)
    waiting = [("b", message) for _, message in other.handle(0.0, "a", digest).messages]
    while waiting:
        target, message = waiting.pop()
        total += sent(message)
        member, source = (one, "b") if target == "b" else (other, "a")
        waiting += [("a" if target == "b" else "b", more) for _, more in member.handle(0.0, source, message).messages]
    return total


def slopes() -> list[Slope]:
    """Measure all."""
    few, many = (10, 30, 100), (100, 300, 1000)
    marks = tuple(range(1 << 60, (1 << 60) + BUCKETS))
    me = Replica("0" * 16, "10.1.0.35:7660", "zone-1")
    random = Random(1)
    return [
        fit(
            "record of an instance, pushed",
            "B by records",
            lambda n: sent(Push(tuple(record_of(instance(one), 1) for one in range(n)))),
            few,
        ),
        fit(
            "rows of a comparison, one bucket in 16",
            "B by instances",
            lambda n: sent(Rows(1, tuple((f"instance/i-{one:010x}", (1, 0)) for one in range(n // BUCKETS)))),
            many,
        ),
        fit("two members that differ in one record", "B by instances", lambda n: _missed(n), many),
        fit("digest", "B by instances", lambda n: sent(Digest(marks)), many),
        fit("renewal of a lease", "B by instances", lambda n: sent(Renew(holder(1), marks, 1.5)), many),
        fit(
            "grant of a lease",
            "B by core members",
            lambda n: sent(Grant(3.0, 340, ("10.1.0.35:7661",) * 8, (me,) * n, True, 1.5)),
            (3, 5, 8),
        ),
        fit(
            "leases told to another core member",
            "B by leases",
            lambda n: sent(Leases(tuple(holder(one) for one in range(n)))),
            few,
        ),
        fit(
            "heartbeats told to another core member",
            "B by instances",
            lambda n: sent(Liveness(tuple((f"i-{one:010x}", 41) for one in range(n)))),
            many,
        ),
        fit(
            "heartbeat of a replica",
            "B by instances",
            lambda n: sent(Heartbeat(12, 12, 345, 345, True, True, False, bytes(8))),
            many,
        ),
        fit("hints", "B by placements", lambda n: sent(Hints(tuple(hint(one) for one in range(n)))), few),
        fit(
            "ends of reads",
            "B by ends",
            lambda n: sent(Hints((), tuple(Done(f"i-{one:010x}", JOB_NUMBER + one, 12) for one in range(n)))),
            few,
        ),
        fit(
            "reports",
            "B by engines",
            lambda n: sent(Reports(tuple(Report(f"i-{one:010x}", 1, 12, 41_000, 441_937) for one in range(n)))),
            few,
        ),
        fit("configuration as the operator sends it", "KB by routes", lambda n: len(document(n)) / 1024, many),
        fit(
            "configuration as it is spread, compressed",
            "KB by routes",
            lambda n: len(zlib.compress(document(n), COMPRESSION)) / 1024,
            many,
        ),
        fit(
            "state of a chain member, sent whole",
            "KB by changes remembered",
            lambda n: sent(Sync(1, _registers(n).snapshot())) / 1024,
            many,
        ),
        fit("checking a configuration", "us by routes", lambda n: _timed(check, document(n)), many),
        fit(
            "putting a configuration in force",
            "us by routes",
            lambda n: _timed(table_of, configuration_record(1, document(n))),
            many,
        ),
        fit("marks of all buckets", "us by instances", lambda n: _marks(replicas(n)), (300, 1000, 3000)),
        fit(
            "encoding and decoding hints",
            "us by placements",
            lambda n: _codec(Hints(tuple(hint(one) for one in range(n)))),
            few,
        ),
        fit(
            "placing a generation",
            "us by instances of its service",
            lambda n: micros(_choose(placement(n), random)),
            few,
        ),
        fit("prompt parts believed to be kept", "KB by parts", lambda n: kilobytes(lambda: _cache(n)), many),
        fit("records of instances", "KB by instances", lambda n: kilobytes(lambda: replicas(n)), many),
        fit("books of instances", "KB by instances", lambda n: kilobytes(lambda: placement(n)), many),
        fit("routes in force", "KB by routes", lambda n: _table_memory(document(n)), many),
        fit("leases", "KB by leases", _lease_memory, many),
    ]


def _cache(parts: int) -> Cache:
    cache = Cache(1 << 40)
    cache.remember(tuple((f"{number:08x}", 3_000) for number in range(parts)))
    return cache


def _timed(work: Callable[..., object], argument: object) -> float:
    return micros(lambda: work(argument))


def _marks(held: Replicas) -> float:
    return micros(lambda: held.marks(1.0))


def _codec(message: object) -> float:
    return micros(lambda: decode(encode(message)))


def _table_memory(data: bytes) -> float:
    return kilobytes(lambda: parse(data))


def main() -> None:
    """Print the table."""
    print("| what | unit | base | each | worst deviation | sizes |")
    print("| --- | --- | --- | --- | --- | --- |")
    for one in slopes():
        sizes = ", ".join(map(str, one.sizes))
        print(f"| {one.name} | {one.unit} | {one.base:.4g} | {one.each:.4g} | {one.error:.0%} | {sizes} |")
