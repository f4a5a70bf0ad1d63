"""The settings file of a process: read with findings that are collected and told with their place."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

VARIABLE = "HOPHINGE_CONFIG"
DEFAULT_PATH = "/etc/hophinge/local.json"
MAX_NUMBER = 1e12  # that a setting may be
CONTROL_PORT, DATA_PORT = 0, 1  # places in the internal port range


class SettingsError(ValueError):
    """A settings file that cannot be used; tells all findings."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the rules, in seconds and parts."""

    config_apply_s: float
    drain_s: float
    grace_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    transit_s: float
    lease_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a process is told of its machine and of the others."""

    name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    front: str | None
    ready: str | None
    control: str | None
    control_internal: str
    data_internal: str
    seeds: tuple[str, ...]  # control addresses, as the file names them
    bootstrap: bool
    votes: bool
    data_dir: Path | None
    heartbeat_s: float
    losses: int  # machines that may be lost at once
    bounds: Bounds

    def seed_members(self) -> tuple[str, ...]:
        """Tell the seeds' internal addresses: ports are alike on all machines."""
        port = self.control_internal.rsplit(":", 1)[1]
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seeds)


def _is_number(value: Any) -> bool:
    """Tell whether a value is a number that can be counted with; not a number that is none, nor one without an end."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


class Reader:
    """Reads fields of a mapping and collects what is wrong with them."""

    def __init__(self, raw: dict[str, Any], place: str, findings: list[str]) -> None:
        self.raw, self.place, self.findings = raw, place, findings

    def _take(self, name: str, kind: str, fits: Callable[[Any], bool], default: Any) -> Any:
        value = self.raw.get(name)
        if value is None and default is not None:
            return default
        if value is None or not fits(value):
            self.findings.append(f"{self.place}{name}: " + ("is missing" if value is None else f"is not {kind}"))
            return default
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string."""
        return str(self._take(name, "a string", lambda value: isinstance(value, str) and bool(value), default))

    def number(self, name: str, default: float | None = None) -> float:
        """Read a number that is not below 0."""
        return float(self._take(name, "a number from 0", _is_number, default) or 0.0)

    def flag(self, name: str, default: bool) -> bool:
        """Read true or false."""
        return bool(self._take(name, "true or false", lambda value: isinstance(value, bool), default))

    def section(self, name: str) -> Reader:
        """Read a mapping inside; one that is missing is empty."""
        value = self._take(name, "a mapping", lambda value: isinstance(value, dict), {})
        return Reader(value, f"{self.place}{name}.", self.findings)

    def items(self, name: str) -> list[Any]:
        """Read a list."""
        return list(self._take(name, "a list", lambda value: isinstance(value, list), []))

    def optional(self, name: str) -> str | None:
        """Read a string that need not be there."""
        value = self.raw.get(name)
        return value if isinstance(value, str) and value else None


def read_settings(path: str | None = None) -> Settings:
    """Read the settings file; raises SettingsError with all that is wrong with it."""
    place = path or os.environ.get(VARIABLE, DEFAULT_PATH)
    try:
        raw = json.loads(Path(place).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([f"{place}: {error}"]) from error
    if not isinstance(raw, dict):
        raise SettingsError([f"{place}: is not a mapping"])
    return parse_settings(raw)


def parse_settings(raw: dict[str, Any]) -> Settings:
    """Check the fields of a settings file; ones that are not known are ignored."""
    findings: list[str] = []
    top = Reader(raw, "", findings)
    addresses, bounds = top.section("listen-addresses"), top.section("bounds")
    ip = top.text("ip")
    ports = top.items("internal-port-range")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[1] - ports[0] < DATA_PORT:
        findings.append("internal-port-range: is not a first and a last port")
        ports = [0, 1]
    folder = top.optional("data-dir")
    settings = Settings(
        name=top.text("node-name"),
        ip=ip,
        zone=top.text("zone"),
        region=top.text("region", "-"),
        zones={str(zone): str(region) for zone, region in top.section("zones").raw.items()},
        front=addresses.optional("front"),
        ready=addresses.optional("ready"),
        control=addresses.optional("control"),
        control_internal=f"{ip}:{ports[0] + CONTROL_PORT}",
        data_internal=f"{ip}:{ports[0] + DATA_PORT}",
        seeds=tuple(str(seed) for seed in top.items("seed-nodes")),
        bootstrap=top.flag("bootstrap", False),
        votes=top.flag("counts-for-quorum", False) and folder is not None,
        data_dir=Path(folder) if folder else None,
        heartbeat_s=top.number("heartbeat-ms", 1_000) / 1_000,
        losses=int(top.section("fault-tolerance").number("machines", 0)),
        bounds=Bounds(
            bounds.number("config-apply-ms", 2_000) / 1_000,
            bounds.number("drain-ms", 2_000) / 1_000,
            bounds.number("grace-s", 8),
            bounds.number("retry-budget-ratio", 0.1),
            bounds.number("retry-budget-slack", 10),
            bounds.number("budget-window-s", 10),
            bounds.number("transit-ms", 120) / 1_000,
            bounds.number("lease-ms", 3_000) / 1_000,
        ),
    )
    if findings:
        raise SettingsError(findings)
    return settings
