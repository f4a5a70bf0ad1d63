"""What scorers cost a choice, a request, and a head once a second; part of `python benchmarks/scoring.py`."""

from __future__ import annotations

import gc
import random
import statistics
import time
from collections.abc import Callable, Sequence
from functools import partial

import scoring_model as model
from hophinge.cluster.interface import Entry, EntryVersion, Topic
from hophinge.core import interface as api
from hophinge.core.choice import Scheduler
from hophinge.core.choice.node_state import NodeState
from hophinge.head.scoring import usage
from hophinge.scoring import encoding
from hophinge.scoring.engine import ScoringEngine
from hophinge.scoring.interface import Surroundings

TURNS = 15  # pairs, in turn; the table tells their median and how far the middle half spreads
T0 = 50_000_000
ASK = api.Arrival("r", 1.0, "v", 0, -1, 1, "key", 1_000_000, True, 0)


def engine(number: int, names: Sequence[str]) -> ScoringEngine | None:
    """Make a head's scorers, with a history of ends at each brick."""
    made = dict(list(model.scorers().items())[:number])
    if not made:
        return None
    head = ScoringEngine(
        made,
        {name: model.VERSIONS[name] for name in made},
        75_000.0,
        1e6,
        time.perf_counter_ns,
        print,
        Surroundings(10_000_000),
        usage=usage,
    )
    head.surroundings.drains, head.surroundings.demand = frozenset(names[:1]), lambda key: 5.0
    rng = random.Random(1)
    for node in names:
        for _ in range(10):
            failed = rng.random() < 0.05
            head.heard(T0, node, api.Result.ERROR if failed else api.Result.OK, int(rng.expovariate(1 / 10_000)))
    head.tick(T0 + 1, frozenset(names))
    return head


def spread(values: Sequence[float]) -> str:
    """Tell the median, and from where to where the middle half lies."""
    low, middle, high = statistics.quantiles(values, n=4)
    return f"{middle:.1f} ({low:.1f} to {high:.1f})"


def timed(times: int, call: Callable[[], object]) -> float:
    """Tell microseconds a call."""
    gc.collect()
    gc.disable()
    since = time.perf_counter_ns()
    for _ in range(times):
        call()
    took = time.perf_counter_ns() - since
    gc.enable()
    return took / times / 1000


def choices() -> list[str]:
    """Time the choice among candidates: the order by earliest free time, with scorers' times added."""
    rows = []
    for size in (10, 100, 1000):
        names = [f"brick-{number:04d}" for number in range(size)]
        books = [
            NodeState(api.NodeEntry(name, 0, number, api.Phase.ON, 1.0, T0 - 5_000_000))
            for number, name in enumerate(names)
        ]
        for number, book in enumerate(books):
            book.free_at = T0 + number * 37 % 1000

        def choose(head: ScoringEngine | None, books: list[NodeState] = books) -> list[NodeState]:
            now = T0 + 2
            added = head.added_us(now, ASK, books) if head is not None else {}
            return sorted(
                books, key=lambda one: (one.failures > 0, max(one.free_at, now) + added.get(one.entry.node, 0.0))
            )

        heads = {number: engine(number, names) for number in (0, 1, 3)}
        found: dict[int, list[float]] = {number: [] for number in heads}
        for _ in range(TURNS):
            for number, head in heads.items():
                found[number].append(timed(max(20, 40_000 // size // (1 + number)), partial(choose, head)))
        more = [[with_ - none for none, with_ in zip(found[0], found[number], strict=True)] for number in (1, 3)]
        rows.append(
            f"| {size} | {spread(found[0])} | {spread(found[1])} | {spread(found[3])} | "
            f"{statistics.median(more[0]):.1f} | {statistics.median(more[1]):.1f} |"
        )
    return [
        "| candidates | none, us | one, us | three, us | one adds | three add |",
        "| --- | --- | --- | --- | --- | --- |",
        *rows,
    ]


def requests() -> list[str]:
    """Time a whole request through the module: arrival, choice, end, with what scorers hear of the end."""
    found: dict[int, list[float]] = {0: [], 1: [], 3: []}
    count = 0
    heads = {}
    for number in found:
        head, module = engine(number, model.NAMES), Scheduler(model.SETTINGS, 1)
        module.scorers = head
        module.handle(T0, [model.LIST])
        heads[number] = head, module

    def request(head: ScoringEngine | None, module: Scheduler) -> None:
        nonlocal count
        count += 1
        now, name = T0 + count * 1000, f"r{count}"
        for action in module.handle(now, [api.Arrival(name, 1.0, "v", 0, -1, 10, name, 2_000_000, False, 0)]):
            if isinstance(action, api.Send):
                if head is not None:
                    head.heard(now + 900, action.node, api.Result.OK, 900)
                module.handle(now + 900, [api.Outcome(name, 0, action.node, api.Result.OK, 900, True, 0, 0.0, {})])

    for _ in range(TURNS):
        for number, (head, module) in heads.items():
            found[number].append(timed(1000, partial(request, head, module)))
    more = {number: [with_ - none for none, with_ in zip(found[0], found[number], strict=True)] for number in (1, 3)}
    return [
        "| scorers | a request, us | more than none |",
        "| --- | --- | --- |",
        *(
            f"| {number} | {spread(found[number])} | {statistics.median(more[number]) if number else 0.0:.1f} |"
            for number in found
        ),
    ]


def slices(head: ScoringEngine, now_us: int, names: Sequence[str], entries: Sequence[Entry]) -> list[float]:
    """Tell the milliseconds of CPU time of each slice of a tick: what a slice waits for its core is not its own."""
    gc.collect()
    gc.disable()
    found, since = [], time.thread_time_ns()
    for _ in head.slices(now_us, frozenset(names), entries, []):
        found.append((time.thread_time_ns() - since) / 1e6)
        since = time.thread_time_ns()
    found.append((time.thread_time_ns() - since) / 1e6)
    gc.enable()
    return found


def ticks() -> list[str]:
    """Time the tick of once a second: all peers' entries read, judged and merged, own ones made."""
    rows = []
    for peers, backends in ((10, 24), (40, 100), (1000, 1000)):
        names = [f"brick-{number:04d}" for number in range(backends)]
        rng, count = random.Random(2), 0
        for label, told in (("one brick in fifty", max(1, backends // 50)), ("each brick", backends)):
            head = engine(3, names)
            assert head is not None
            head.share_as("me")
            entries = []
            for number in range(peers):
                for scorer in ("latency", "suspicion"):
                    words = {names[at]: rng.random() for at in range(told)}
                    for chunk, value in encoding.encode(model.VERSIONS[scorer], 1, words)[0].items():
                        count += 1
                        key = encoding.entry_key(scorer, chunk)
                        entries.append(Entry(f"p{number}", Topic.WEIGHTS, key, EntryVersion(1, count), value))
            since = T0 + 1_000_000
            first = slices(head, since, names, entries)
            while head.reader is not None and len(head.reader.entries_read) < len(entries):  # some are read later
                slices(head, since, names, entries)
            again = [slices(head, since + at * 1_000_000, names, entries) for at in range(1, 12)]
            rows.append(
                f"| {peers} | {backends} | {label} | {len(entries)} | {sum(first):.1f} | "
                f"{statistics.median(map(sum, again)):.1f} | {max(first):.1f} | "
                f"{spread(list(map(max, again)))} |"
            )
    return [
        "| peers | bricks | each peer accuses | entries | first tick, ms | each further one, ms "
        "| longest slice of the first, ms | of a further one, ms |",
        "| --- " * 8 + "|",
        *rows,
    ]
