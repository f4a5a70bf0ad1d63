"""Reads the JSON settings of an instance or a head into the types of `hophinge.core.interface`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from hophinge.core import interface as api
from hophinge.core.errors import HophingeError

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "rate",
    "fail_rate": "errors",
}

Value = TypeVar("Value")


class SettingsError(HophingeError, ValueError):
    """The settings do not have the documented form."""

    code = "settings-unreadable"
    remedy = (
        "Correct the named value in the settings of the configuration; the running process keeps its current settings."
    )


class Table:
    """A JSON object of the settings; a missing or null value reads as 0, false or empty.

    A value of another type raises SettingsError with the path of its key.
    """

    def __init__(self, rows: Mapping[str, Any], name: str) -> None:
        self.rows = rows
        self.name = name

    def get(self, key: str, kind: type[Value], default: Value) -> Value:
        """Read a value of a type; the default if it is missing or null."""
        value = self.rows.get(key)
        try:
            return default if value is None else msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{self.name}{key}: {error}") from error

    def integer(self, key: str) -> int:
        """Read an integer; decimal places are truncated."""
        return int(self.get(key, float, 0.0))

    def number(self, key: str) -> float:
        """Read a number."""
        return self.get(key, float, 0.0)

    def boolean(self, key: str) -> bool:
        """Read a boolean."""
        return self.get(key, bool, False)

    def string(self, key: str, default: str = "") -> str:
        """Read a string; an empty one counts as missing."""
        return self.get(key, str, "") or default

    def strings(self, key: str) -> tuple[str, ...]:
        """Read a list of strings."""
        return tuple(self.get(key, list[str], []))

    def table(self, key: str) -> Table:
        """Read an object."""
        return Table(self.get(key, dict[str, Any], {}), f"{self.name}{key}.")

    def tables(self, key: str) -> list[Table]:
        """Read a list of objects."""
        rows = self.get(key, list[dict[str, Any]], [])
        return [Table(row, f"{self.name}{key}[{at}].") for at, row in enumerate(rows)]


def read_settings(text: str | bytes) -> api.Settings:
    """Read the settings from JSON; raises SettingsError."""
    try:
        rows = msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise SettingsError(f"the settings: {error}") from error
    return from_table(Table(rows, ""))


def from_table(setup: Table) -> api.Settings:
    """Convert the JSON object of the settings."""
    rules, caps, domain, load = (setup.table(name) for name in ("Rules", "Caps", "Domain", "Report"))
    try:
        return api.Settings(
            me=setup.integer("Me"),
            gateways=setup.integer("Balancers"),
            tick_us=setup.integer("PeriodUs"),
            classes=tuple(map(request_class, setup.tables("RequestClasses"))),
            plans=tuple(map(plan, setup.tables("Grades"))),
            rules=api.Rules(
                answer_grace_us=rules.integer("GraceToAnswerUs"),
                drain_grace_us=rules.integer("DrainGraceUs"),
                overload_multiple=rules.number("FallMultiple"),
                overload_window_us=rules.integer("FallUs"),
                slow_start_share=rules.number("ColdShare"),
                slow_start_us=rules.integer("ColdUs"),
                slow_start_units=domain.number("YoungLimit"),
                budget_free=rules.number("SpareAttempts"),
                budget_share=rules.number("ResendRatio"),
                budget_us=rules.integer("LookBackUs"),
                key_block_us=rules.integer("TurnGapUs"),
                watch_within_us=rules.integer("AskWithinUs"),
            ),
            allowed=api.Allowed(
                attempts=caps.integer("MaxAttempts"),
                hedging=caps.boolean("SecondCopies"),
                cancel=caps.boolean("Cancel"),
                probes=caps.boolean("Probing"),
                retry_after_us=caps.integer("MaxRetryAfterUs") if caps.boolean("RetryAfter") else 0,
                connect_timeout_us=caps.integer("ConnectTimeoutUs"),
                conn_idle_us=caps.integer("ConnIdleUs"),
            ),
            discovery=api.Discovery(setup.string("Discovery", "pushed")),
            mean_units=domain.number("MeanUnits"),
            max_units=domain.number("Largest"),
            share_value=domain.number("WithinShare"),
            spare_value=domain.number("BeyondShare"),
            meter_us=domain.integer("MeterPeriodUs"),
            tells_elsewhere=domain.boolean("SaysOthers"),
            report_fields=tuple(REPORT_FIELDS.get(name, name) for name in load.strings("Fields")),
            report_in_answers=load.string("Source") == "answers",
            probe_price=setup.table("Penalties").number("Probe"),
            zones=setup.strings("Zones"),
            kinds=setup.strings("Skus"),
            shards=domain.integer("NShards"),
        )
    except (KeyError, ValueError) as error:
        raise error if isinstance(error, SettingsError) else SettingsError(f"the settings: {error}") from error


def request_class(row: Table) -> api.RequestClass:
    """Convert one request class."""
    return api.RequestClass(
        target_latency_us=row.integer("GoalTimeUs"),
        deadline_us=row.integer("DeadlineUs"),
        effect=EFFECTS[row.string("Effect", "side_effect")],
        scope=api.DedupScope(row.string("Group", "cell")),
        dedup_window_us=row.integer("DedupWindowUs"),
        value=row.number("Importance"),
        late_value=row.number("LateWorth"),
        in_order=row.boolean("Sequential"),
        stream=row.boolean("Stream"),
        name=row.string("Name"),
    )


def plan(row: Table) -> api.Plan:
    """Convert one plan."""
    return api.Plan(
        rate=row.number("BaseRate"),
        reserve=row.number("Reserve"),
        weight=row.number("Proportion"),
        price=row.number("Price"),
        limit=row.number("Limit"),
        limit_burst=row.number("CapDepth"),
        limit_slack=row.number("LimitSlack"),
        name=row.string("Name"),
    )
