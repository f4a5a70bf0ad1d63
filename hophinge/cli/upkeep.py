"""What `hophinge control status` tells of maintenance: permits, who waits for one, and releases."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from hophinge.cli.console import out


def show(told: dict[str, Any]) -> None:
    """Print it, where there is any."""
    if told.get("failing"):
        out.print(f"maintenance stands still: {told['failing']}", markup=False)
    if told["permits"] or told["waiting"]:
        out.print(f"{told['heads_up']} of {told['heads']} heads are up", markup=False)
    if told["permits"]:
        table = Table("permit", "what", "name", "zone", "for", "state", "build", "missing")
        for row in told["permits"]:
            named = ", ".join(row["missing"]) + (" ..." if row["missing_count"] > len(row["missing"]) else "")
            table.add_row(
                row["id"],
                row["kind"],
                row["name"],
                row["zone"],
                row["by"],
                row["state"],
                row["build"],
                f"{row['missing_count']}: {named}" if row["missing_count"] else "",
            )
        out.print(table)
    for row in told["waiting"]:
        out.print(f"{row['kind']} {row['name']} waits: {row['why']}", markup=False)
    for row in told.get("absent", ()) if told["permits"] or told["waiting"] else ():
        since = f"for {(told['now_ms'] - row['since_ms']) / 1000:.0f} s" if row["since_ms"] else "never heard of"
        out.print(f"{row['name']} is away {since}: {row['word']}", markup=False)
    for row in told["releases"]:
        reason = f": {row['reason']}" if row["reason"] else ""
        out.print(
            f"release {row['name']} of build {row['build']} is {row['stage']}, wave {row['wave']}, "
            f"{row['touched']} heads touched{reason}",
            markup=False,
        )
