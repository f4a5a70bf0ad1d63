"""Maintenance in `hophinge control status`: permits, requests that wait for one, and releases."""

from __future__ import annotations

from typing import Any

from rich.table import Table

from hophinge.cli.console import out


def print_maintenance(status: dict[str, Any]) -> None:
    """Print the status of maintenance, where there is any."""
    if status.get("failing"):
        out.print(f"maintenance stands still: {status['failing']}", markup=False)
    if status["permits"] or status["waiting"]:
        out.print(f"{status['heads_up']} of {status['heads']} heads are up", markup=False)
    if status["permits"]:
        table = Table("permit", "what", "name", "zone", "for", "state", "build", "missing")
        for row in status["permits"]:
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
    for row in status["waiting"]:
        out.print(f"{row['kind']} {row['name']} waits: {row['why']}", markup=False)
    for row in status.get("absent", ()) if status["permits"] or status["waiting"] else ():
        since = f"for {(status['now_ms'] - row['since_ms']) / 1000:.0f} s" if row["since_ms"] else "never heard of"
        out.print(f"{row['name']} is away {since}: {row['word']}", markup=False)
    for row in status["releases"]:
        reason = f": {row['reason']}" if row["reason"] else ""
        out.print(
            f"release {row['name']} of build {row['build']} is {row['stage']}, wave {row['wave']}, "
            f"{row['touched']} heads touched{reason}",
            markup=False,
        )
