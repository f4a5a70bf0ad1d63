"""The settings file of a process. All errors in it are collected and reported with the paths of their fields."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SETTINGS_VARIABLE = "HOPHINGE_CONFIG"
DEFAULT_SETTINGS_PATH = "/etc/hophinge/local.json"
MIB = 1 << 20
DEFAULT_MEMORY_MB = 300
MAX_NUMBER = 1e12  # the largest number accepted in a setting
# Offsets into the internal port range:
CONTROL_PORT_OFFSET = 0
DATA_PORT_OFFSET = 1


class SettingsError(ValueError):
    """The settings file is invalid; `findings` lists every error in it."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings))
        self.findings = findings


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits set by the operators; times are in seconds, ratios are fractions."""

    config_apply_s: float
    drain_s: float
    grace_s: float
    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    transit_s: float
    lease_s: float
    evacuation_s: float
    merge_s: float
    cold_overshoot: float
    cold_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a process: its machine, its addresses and the other members."""

    name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    front_address: str | None
    ready_address: str | None
    control_address: str | None
    internal_control_address: str
    internal_data_address: str
    seeds: tuple[str, ...]  # control addresses, as written in the file
    bootstrap: bool
    can_vote: bool
    data_dir: Path | None
    heartbeat_s: float
    max_machine_losses: int  # the number of simultaneous machine losses to tolerate
    memory_bytes: int  # that this process may use
    max_descriptors: int  # that this process may open; 0 where the file does not say
    bounds: Bounds

    def seed_members(self) -> tuple[str, ...]:
        """Return the seeds' internal control addresses; the port is the same on all machines."""
        port = self.internal_control_address.rsplit(":", 1)[1]
        return tuple(f"{seed.rsplit(':', 1)[0]}:{port}" for seed in self.seeds)


def _is_number(value: Any) -> bool:
    """Return whether a value is a number from 0 to `MAX_NUMBER`; this excludes NaN and infinity."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


class SettingsReader:
    """Reads the fields of a JSON object and collects their errors."""

    def __init__(self, raw: dict[str, Any], path: str, findings: list[str]) -> None:
        self.raw = raw
        self.path = path  # of the object, followed by a dot; empty for the outermost object
        self.findings = findings

    def _read(self, name: str, kind: str, is_valid: Callable[[Any], bool], default: Any) -> Any:
        value = self.raw.get(name)
        if value is None and default is not None:
            return default
        if value is None or not is_valid(value):
            self.findings.append(f"{self.path}{name}: " + ("is missing" if value is None else f"is not {kind}"))
            return default
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string."""
        return str(self._read(name, "a string", lambda value: isinstance(value, str) and bool(value), default))

    def number(self, name: str, default: float | None = None) -> float:
        """Read a non-negative number; return 0 where it is invalid and there is no default."""
        return float(self._read(name, "a non-negative number", _is_number, default) or 0.0)

    def flag(self, name: str, default: bool) -> bool:
        """Read a Boolean."""
        return bool(self._read(name, "true or false", lambda value: isinstance(value, bool), default))

    def section(self, name: str) -> SettingsReader:
        """Return a reader of a nested object; a missing object is read as empty."""
        value = self._read(name, "an object", lambda value: isinstance(value, dict), {})
        return SettingsReader(value, f"{self.path}{name}.", self.findings)

    def items(self, name: str) -> list[Any]:
        """Read a list; a missing list is read as empty."""
        return list(self._read(name, "a list", lambda value: isinstance(value, list), []))

    def optional(self, name: str) -> str | None:
        """Read an optional string; return None where it is missing, empty or not a string."""
        value = self.raw.get(name)
        return value if isinstance(value, str) and value else None


def read_settings(path: str | None = None) -> Settings:
    """Read the settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid; the exception lists every error in it.

    """
    file = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    try:
        raw = json.loads(Path(file).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError([f"{file}: {error}"]) from error
    if not isinstance(raw, dict):
        raise SettingsError([f"{file}: is not a JSON object"])
    return parse_settings(raw)


def parse_settings(raw: dict[str, Any]) -> Settings:
    """Validate the fields of a settings file; unknown fields are ignored.

    Raises:
        SettingsError: Fields are missing or invalid; the exception lists every error.

    """
    findings: list[str] = []
    top = SettingsReader(raw, "", findings)
    addresses = top.section("listen-addresses")
    bounds = top.section("bounds")
    limits = top.section("limits")
    ip = top.text("ip")
    first_port = _parse_first_port(top)
    folder = top.optional("data-dir")
    settings = Settings(
        name=top.text("node-name"),
        ip=ip,
        zone=top.text("zone"),
        region=top.text("region", "-"),
        zones={str(zone): str(region) for zone, region in top.section("zones").raw.items()},
        front_address=addresses.optional("front"),
        ready_address=addresses.optional("ready"),
        control_address=addresses.optional("control"),
        internal_control_address=f"{ip}:{first_port + CONTROL_PORT_OFFSET}",
        internal_data_address=f"{ip}:{first_port + DATA_PORT_OFFSET}",
        seeds=tuple(str(seed) for seed in top.items("seed-nodes")),
        bootstrap=top.flag("bootstrap", False),
        can_vote=top.flag("counts-for-quorum", False) and folder is not None,
        data_dir=Path(folder) if folder else None,
        heartbeat_s=top.number("heartbeat-ms", 1_000) / 1_000,
        max_machine_losses=int(top.section("fault-tolerance").number("machines", 0)),
        memory_bytes=int(limits.number("memory-mb", DEFAULT_MEMORY_MB) * MIB),
        max_descriptors=int(limits.number("max-fds", 0)),
        bounds=_parse_bounds(bounds),
    )
    if findings:
        raise SettingsError(findings)
    return settings


def _parse_first_port(top: SettingsReader) -> int:
    """Return the first port of the internal range; record an error and return 0 if the range is invalid."""
    ports = top.items("internal-port-range")
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[1] - ports[0] < DATA_PORT_OFFSET:
        top.findings.append("internal-port-range: is not a list of the first and the last port")
        return 0
    first_port: int = ports[0]
    return first_port


def _parse_bounds(bounds: SettingsReader) -> Bounds:
    return Bounds(
        bounds.number("config-apply-ms", 2_000) / 1_000,
        bounds.number("drain-ms", 2_000) / 1_000,
        bounds.number("grace-s", 8),
        bounds.number("retry-budget-ratio", 0.1),
        bounds.number("retry-budget-slack", 10),
        bounds.number("budget-window-s", 10),
        bounds.number("transit-ms", 120) / 1_000,
        bounds.number("lease-ms", 3_000) / 1_000,
        bounds.number("evacuation-ms", 5_000) / 1_000,
        bounds.number("merge-ms", 3_000) / 1_000,
        bounds.number("cold-overshoot", 1.5),
        bounds.number("cold-slack", 5),
    )
