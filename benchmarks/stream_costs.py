"""What a look-up of a route and a request at the router cost: a part of `benchmarks/stream.py`."""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.core.interface import Arrival, ListKind, NodeEntry, NodeList, Phase  # noqa: E402
from hophinge.core.settings import read_settings  # noqa: E402
from hophinge.routing.document_reader import read_document  # noqa: E402
from hophinge.routing.scope_index import ScopeIndex  # noqa: E402
from hophinge.routing.admitted_request import AdmittedRequest  # noqa: E402
from hophinge.routing.records import Limit, Scope  # noqa: E402
from hophinge.routing.router import Router  # noqa: E402
from hophinge.routing.routing_table import EMPTY_TABLE  # noqa: E402


def quantile(values: Iterable[float], part: float) -> float:
    """Tell a quantile: the least value that so large a part does not exceed."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(part * len(rows)))]


def look_up() -> list[str]:
    """Look routes up by the index and in a plain list."""
    rows = []
    for tenants in (10, 1000, 10_000):
        values = [(Scope(f"t{at}", "", klass), at) for at in range(tenants) for klass in ("read", "")]
        index = ScopeIndex.of(values)
        plain = sorted(
            values, key=lambda row: (bool(row[0].volume), bool(row[0].tenant), bool(row[0].klass)), reverse=True
        )
        rng = random.Random(1)
        asked = [(f"t{rng.randrange(tenants)}", "v", rng.choice(("read", "write"))) for _ in range(300)]

        def scan(tenant: str, volume: str, klass: str, plain: list[tuple[Scope, int]] = plain) -> int | None:
            for scope, value in plain:
                if scope.tenant in ("", tenant) and scope.volume in ("", volume) and scope.klass in ("", klass):
                    return value
            return None

        if [index.most_specific(*row) for row in asked] != [scan(*row) for row in asked]:
            raise AssertionError("the index and the list differ")
        times = []
        for find, turns in ((index.most_specific, 100), (scan, 1)):
            best = []
            for _ in range(5):
                since = time.perf_counter()
                for _ in range(turns):
                    for row in asked:
                        find(*row)
                best.append((time.perf_counter() - since) / turns / len(asked) * 1e6)
            times.append(quantile(best, 0.5))
        rows.append(f"| {tenants} | {times[0]:.2f} | {times[1]:.2f} | {times[1] / times[0]:.0f} |")
    return [
        "Two routes for each tenant; microseconds a look-up, the median of five turns over 300 requests.",
        "",
        "| tenants | index | plain list | ratio |",
        "| --- | --- | --- | --- |",
        *rows,
        "",
        *admission(),
    ]


def admission() -> list[str]:
    """Time what a request costs at the router: its bounds, and their return."""
    rows = []
    example = json.loads((ROOT / "examples" / "config.json").read_text())
    settings = read_settings(msgspec.json.encode(example["settings"]))
    backends = tuple(NodeEntry(f"b{at}", at % 3, at, Phase.ON, 1.0, 0) for at in range(60))
    for tenants in (10, 1000, 10_000):
        text = "(hophinge 1)(pool a (zones hall-a))(pool b (zones hall-b))" + "".join(
            f"(tenant t{at} (volumes {at:016x}))(route (tenant t{at}) (pools a b))"
            f"(limit (tenant t{at}) (rate 100000 units/s) (burst 10 s) (open 64 requests))"
            for at in range(tenants)
        )
        found = read_document(text.encode())
        if found.mistakes:
            raise AssertionError(found.mistake_lines("the document"))
        router = Router(settings)
        router.nodes(1, NodeList(ListKind.FULL, backends))
        since = time.perf_counter()
        router.activate(EMPTY_TABLE.with_changes((1, 1), found.records, {}), 1)
        taken_up = time.perf_counter() - since
        news = {"limit/t7/*/*": Limit(Scope("t7"), 99_999.0, 10_000_000, 64)}
        since = time.perf_counter()
        router.activate(router.table.with_changes((1, 2), news, found.records), 1)
        one_more = time.perf_counter() - since
        asks = [Arrival(f"r{at}", 1.0, f"{at % tenants:016x}", 0, -1, 1, "k", 1_000_000, True, 0) for at in range(2000)]
        best = []
        for turn in range(5):
            since = time.perf_counter()
            for ask in asks:
                bounds = router.admit(1_000_000 * turn + 2, ask)
                if not isinstance(bounds, AdmittedRequest):
                    raise AssertionError("a request was refused")
                router.answered(1_000_000 * turn + 3, bounds)
            best.append((time.perf_counter() - since) / len(asks) * 1e6)
        rows.append(f"| {tenants} | {quantile(best, 0.5):.1f} | {taken_up * 1000:.0f} | {one_more * 1000:.2f} |")
    return [
        "What a request costs at the router (owner, route, pool, limit, and all given back), in microseconds; and "
        "how long a whole table, and one changed record of it, take to compile and put in force, in milliseconds.",
        "",
        "| tenants | a request, us | whole table, ms | one changed record, ms |",
        "| --- | --- | --- | --- |",
        *rows,
    ]
