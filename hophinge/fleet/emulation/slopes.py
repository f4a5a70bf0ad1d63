"""Cost of the fleet by its size: bytes, processor time and memory; run by `python benchmarks/fleet_capacity.py`.

Each row is measured at three sizes, fitted by least squares, and printed with the worst deviation of a point from the
line. Times are process time on this machine.
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

from hophinge.fleet.emulation.samples import (
    SAMPLE_JOB_ID,
    configuration_document,
    hint,
    lease_holder,
    instance,
    placement,
    gossip_store,
)

from hophinge.coordination.codec import decode, encode
from hophinge.coordination.dissemination import BUCKET_COUNT, Digest, Dissemination, Push, GossipStore, DigestEntries
from hophinge.coordination.leases import LeaseGrant, GrantedLeases, LeaseTable, RenewLease
from hophinge.coordination.messages import Heartbeat, Sync
from hophinge.coordination.registers import Change, HistoryEntry, Registers
from hophinge.coordination.view import Replica
from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.configuration.record import COMPRESSION_LEVEL, configuration_record, read_configuration_record
from hophinge.fleet.configuration.route_table_reader import read_route_table
from hophinge.fleet.placement.hints import PrefillDone, PlacementHints, EngineReport, EngineReports
from hophinge.fleet.placement.node import PrefixCache
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import PlacementRequest
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import record_of
from hophinge.fleet.registry.registry import Liveness
from hophinge.fleet.transport.frames import LENGTH_PREFIX

FRAME_BYTES = LENGTH_PREFIX.size + 52  # a frame's length and TCP/IP headers, where it goes alone
MIN_S = 0.03  # a time is taken over repetitions that last so long at least
FEW = (10, 30, 100)  # sizes at which messages about a few units are measured
MANY = (100, 300, 1000)  # the same for units of which a fleet has many
Measure = Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line: a base, what each unit adds, and the worst relative deviation of a point."""

    name: str
    unit: str
    base: float
    each: float
    error: float
    sizes: tuple[int, ...]

    def at(self, size: int) -> float:
        """Return the value at a size."""
        return self.base + self.each * size


def fit(name: str, unit: str, measure: Measure, sizes: tuple[int, ...]) -> Slope:
    """Measure at some sizes, and fit a line by least squares."""
    values = [measure(size) for size in sizes]
    each, base = np.polyfit(sizes, values, 1)
    pairs = zip(sizes, values, strict=True)
    error = max(abs(base + each * size - value) / max(abs(value), 1e-9) for size, value in pairs)
    return Slope(name, unit, float(base), float(each), float(error), sizes)


def micros(work: Callable[[], object]) -> float:
    """Return the processor time of one call, in microseconds."""
    work()
    count = 1
    while True:
        started_at = time.process_time()
        for _ in range(count):
            work()
        spent = time.process_time() - started_at
        if spent >= MIN_S:
            return spent / count * 1e6
        count *= 4


def kilobytes(make: Callable[[], object]) -> float:
    """Return the memory that a new object takes."""
    gc.collect()
    tracemalloc.start()
    value = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size / 1024


def sent(message: object) -> float:
    """Return the bytes of a message that is sent alone in a frame."""
    return len(encode(message)) + FRAME_BYTES


def _choose(placement: Placement, random: Random) -> Callable[[], object]:
    def work() -> object:
        prompt = Prompt(9_190, 80, ((f"{random.randrange(500):08x}", 6_300), (f"{random.random()}", 2_890)))
        plan = placement.place_generation(
            PlacementRequest(0.0, (str(random.random()), 1), "service0", set(), 0.72, 0.72), prompt
        )
        placement.exchange.outgoing_hints(0.0)
        for node in placement.nodes.values():
            node.in_flight.reservations.clear()
            node.in_flight.free_at = 0.0
            node.in_flight.units_out = 0.0
        return plan

    return work


def _lease_memory(count: int) -> float:
    def make() -> LeaseTable:
        table = LeaseTable()
        for number in range(count):
            table.renew(0.0, lease_holder(number))
        return table

    return kilobytes(make)


def _registers(count: int) -> Registers:
    registers = Registers()
    payload = configuration_document(100)
    for number in range(count):
        change = Change("configuration", number, number + 1, number.to_bytes(16, "big"), payload)
        registers.apply(HistoryEntry(number + 1, change))
    return registers


def _anti_entropy_bytes(count: int) -> float:
    """Return the bytes after which two members that differ in one record agree again."""
    first = Dissemination(Random(1))
    first.store = gossip_store(count)
    second = Dissemination(Random(2))
    second.store = gossip_store(count)
    second.store.store_if_newer(0.0, record_of(instance(count), 1))
    digest = first.digest(0.0)
    total = sent(digest)
    in_flight = [("first", message) for _, message in second.handle(0.0, "first", digest).messages]
    while in_flight:
        recipient, message = in_flight.pop()
        total += sent(message)
        member, source = (first, "second") if recipient == "first" else (second, "first")
        in_flight += [(source, reply) for _, reply in member.handle(0.0, source, message).messages]
    return total


def _dissemination_slopes() -> list[Slope]:
    """Measure the bytes that dissemination and its comparisons send."""
    fingerprints = tuple(range(1 << 60, (1 << 60) + BUCKET_COUNT))
    return [
        fit(
            "record of an instance, pushed",
            "B by records",
            lambda n: sent(Push(tuple(record_of(instance(number), 1) for number in range(n)))),
            FEW,
        ),
        fit(
            "rows of a comparison, one bucket in 16",
            "B by instances",
            lambda n: sent(
                DigestEntries(1, tuple((f"instance/i-{number:010x}", (1, 0)) for number in range(n // BUCKET_COUNT)))
            ),
            MANY,
        ),
        fit("two members that differ in one record", "B by instances", lambda n: _anti_entropy_bytes(n), MANY),
        fit("digest", "B by instances", lambda n: sent(Digest(fingerprints)), MANY),
    ]


def _membership_slopes() -> list[Slope]:
    """Measure the bytes of leases and of heartbeats."""
    fingerprints = tuple(range(1 << 60, (1 << 60) + BUCKET_COUNT))
    me = Replica("0" * 16, "10.1.0.35:7660", "zone-1")
    return [
        fit(
            "renewal of a lease", "B by instances", lambda n: sent(RenewLease(lease_holder(1), fingerprints, 1.5)), MANY
        ),
        fit(
            "grant of a lease",
            "B by core members",
            lambda n: sent(LeaseGrant(3.0, 340, ("10.1.0.35:7661",) * 8, (me,) * n, True, 1.5)),
            (3, 5, 8),
        ),
        fit(
            "leases told to another core member",
            "B by leases",
            lambda n: sent(GrantedLeases(tuple(lease_holder(number) for number in range(n)))),
            FEW,
        ),
        fit(
            "heartbeats told to another core member",
            "B by instances",
            lambda n: sent(Liveness(tuple((f"i-{number:010x}", 41) for number in range(n)))),
            MANY,
        ),
        fit(
            "heartbeat of a replica",
            "B by instances",
            lambda n: sent(Heartbeat(12, 12, 345, 345, True, True, False, bytes(8))),
            MANY,
        ),
    ]


def _load_report_slopes() -> list[Slope]:
    """Measure the bytes of what heads and engines report of their load."""
    return [
        fit(
            "hints", "B by placements", lambda n: sent(PlacementHints(tuple(hint(number) for number in range(n)))), FEW
        ),
        fit(
            "ends of reads",
            "B by ends",
            lambda n: sent(
                PlacementHints(
                    (), tuple(PrefillDone(f"i-{number:010x}", SAMPLE_JOB_ID + number, 12) for number in range(n))
                )
            ),
            FEW,
        ),
        fit(
            "reports",
            "B by engines",
            lambda n: sent(
                EngineReports(tuple(EngineReport(f"i-{number:010x}", 1, 12, 41_000, 441_937) for number in range(n)))
            ),
            FEW,
        ),
    ]


def _configuration_slopes() -> list[Slope]:
    """Measure the bytes of a configuration and the time to check and apply it."""
    return [
        fit(
            "configuration as the operator sends it",
            "KB by routes",
            lambda n: len(configuration_document(n)) / 1024,
            MANY,
        ),
        fit(
            "configuration as it is spread, compressed",
            "KB by routes",
            lambda n: len(zlib.compress(configuration_document(n), COMPRESSION_LEVEL)) / 1024,
            MANY,
        ),
        fit(
            "state of a chain member, sent whole",
            "KB by changes remembered",
            lambda n: sent(Sync(1, _registers(n).snapshot())) / 1024,
            MANY,
        ),
        fit(
            "checking a configuration",
            "us by routes",
            lambda n: _timed(validate_document, configuration_document(n)),
            MANY,
        ),
        fit(
            "putting a configuration in force",
            "us by routes",
            lambda n: _timed(read_configuration_record, configuration_record(1, configuration_document(n))),
            MANY,
        ),
    ]


def _computation_slopes() -> list[Slope]:
    """Measure the time of what is computed for each message or generation."""
    random = Random(1)
    return [
        fit("marks of all buckets", "us by instances", lambda n: _fingerprint_time(gossip_store(n)), (300, 1000, 3000)),
        fit(
            "encoding and decoding hints",
            "us by placements",
            lambda n: _codec(PlacementHints(tuple(hint(number) for number in range(n)))),
            FEW,
        ),
        fit(
            "placing a generation",
            "us by instances of its service",
            lambda n: micros(_choose(placement(n), random)),
            FEW,
        ),
    ]


def _memory_slopes() -> list[Slope]:
    """Measure the memory of what each member stores."""
    return [
        fit("prompt parts believed to be kept", "KB by parts", lambda n: kilobytes(lambda: _cache(n)), MANY),
        fit("records of instances", "KB by instances", lambda n: kilobytes(lambda: gossip_store(n)), MANY),
        fit("books of instances", "KB by instances", lambda n: kilobytes(lambda: placement(n)), MANY),
        fit("routes in force", "KB by routes", lambda n: _table_memory(configuration_document(n)), MANY),
        fit("leases", "KB by leases", _lease_memory, MANY),
    ]


def slopes() -> list[Slope]:
    """Measure all slopes, in the order of the report."""
    return [
        *_dissemination_slopes(),
        *_membership_slopes(),
        *_load_report_slopes(),
        *_configuration_slopes(),
        *_computation_slopes(),
        *_memory_slopes(),
    ]


def _cache(segment_count: int) -> PrefixCache:
    cache = PrefixCache(1 << 40)
    cache.insert(tuple((f"{number:08x}", 3_000) for number in range(segment_count)))
    return cache


def _timed(work: Callable[..., object], argument: object) -> float:
    return micros(lambda: work(argument))


def _fingerprint_time(store: GossipStore) -> float:
    return micros(lambda: store.fingerprints(1.0))


def _codec(message: object) -> float:
    return micros(lambda: decode(encode(message)))


def _table_memory(data: bytes) -> float:
    return kilobytes(lambda: read_route_table(data).table)


def main() -> None:
    """Print the table."""
    print("| what | unit | base | each | worst deviation | sizes |")
    print("| --- | --- | --- | --- | --- | --- |")
    for slope in slopes():
        sizes = ", ".join(map(str, slope.sizes))
        print(f"| {slope.name} | {slope.unit} | {slope.base:.4g} | {slope.each:.4g} | {slope.error:.0%} | {sizes} |")
