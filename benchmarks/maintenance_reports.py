"""Bytes of heads' reports on maintenance on the control stream: lists whole each time, and as changes with a digest.

`python -m benchmarks.maintenance_reports` writes `benchmarks/maintenance_reports.md`.
"""

from __future__ import annotations

import random
from pathlib import Path

import msgspec

from hophinge.control import wire
from hophinge.control.messages import DiscoveryRequest, ResourceType
from hophinge.control.maintenance_wire import REPORT_KEY, report_request
from hophinge.maintenance.statements import DRAINED, Statement
from hophinge.maintenance.snapshots import SnapshotSender
from hophinge.maintenance.messages import BackendListing, HeadReport

TABLE = Path(__file__).with_suffix(".md")
BEAT_S, BEATS = 2.0, 300
SIZES = ((40, 60), (200, 200))
CHANGES = (0, 1, 5)  # bricks whose state changes from one beat to the next
DRAINS = 2  # bricks out, for which each head has said its word, as the cluster's board tells it


def whole(report: HeadReport) -> int:
    """Tell the bytes of a report with all that it has, as every one was before and the first on a stream is."""
    fields = {
        outer_name: getattr(report, name)
        for name, outer_name in zip(HeadReport.__struct_fields__, HeadReport.__struct_encode_fields__, strict=True)
        if outer_name not in ("parts", "unsure")
    }
    return len(
        wire.encode_request(
            DiscoveryRequest(
                ResourceType.MAINTENANCE,
                head="n0017",
                initial_versions={REPORT_KEY: msgspec.json.encode(fields).decode()},
            )
        )
    )


def beats(heads: int, backends: int, changes: int, drains: int) -> tuple[int, float, int]:
    """Play beats; tells the bytes of a whole report, of one of changes on average, and of the first."""
    lots, teller = random.Random(1), SnapshotSender()
    rows = {f"brick-{at:04d}": BackendListing(f"hall-{'abc'[at % 3]}", "std-1c", True) for at in range(backends)}
    names = tuple(f"n{at:04d}" for at in range(heads))
    own = tuple(Statement(f"1000001.{at}", f"brick-{at:04d}", DRAINED) for at in range(drains))
    heard = {name: list(own) for name in names[1:]} if own else {}
    before, after = [], []
    for beat in range(BEATS):
        for name in lots.sample(sorted(rows), changes):
            rows[name] = msgspec.structs.replace(rows[name], is_up=not rows[name].is_up)
        report = HeadReport(
            0x7F3A9C21E0B4,
            "2.4.1",
            "hall-a",
            True,
            statements=own,
            peer_statements=heard,
            backends=dict(rows),
            live_heads=names,
            is_clustered=True,
            accepted_requests=1e6 + 40 * beat,
            failed_requests=12.0,
        )
        before.append(whole(report))
        after.append(len(wire.encode_request(report_request("n0017", teller.to_changes(int(2e6) * beat, report, 0)))))
    return round(sum(before) / BEATS), sum(after[1:]) / (BEATS - 1), after[0]


def main() -> None:
    """Measure and write the table."""
    lines = [
        "# Reports on maintenance, in bytes",
        "",
        f"By `python -m benchmarks.maintenance_reports`: requests as the stream carries them, {BEATS} beats of "
        f"{BEAT_S:g} s by seed 1, each head in a cluster of all. `Out`: bricks that are being drained, of which "
        "each head passes on what all others have said. `Into the service`: of all heads together.",
        "",
        "| heads | bricks | changed a beat | out | whole, bytes | changes, bytes | first on a stream | "
        "into the service, whole | as changes | times less |",
        "| --- " * 10 + "|",
    ]
    for heads, backends in SIZES:
        for changes, drains in [*((one, 0) for one in CHANGES), (1, DRAINS)]:
            before, after, first = beats(heads, backends, changes, drains)
            lines.append(
                f"| {heads} | {backends} | {changes} | {drains} | {before:,} | {after:,.0f} | {first:,} | "
                f"{heads * before / BEAT_S / 1e3:,.1f} kB/s | {heads * after / BEAT_S / 1e3:,.1f} kB/s | "
                f"{before / after:.0f} |"
            )
    TABLE.write_text("\n".join(lines) + "\n")
    print(TABLE.read_text())


if __name__ == "__main__":
    main()
