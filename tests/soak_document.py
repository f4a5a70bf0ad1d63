"""The operator's document of a soak, which changes all the time."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random
from typing import Any

from hophinge.fleet.emulation.loopback_fleet import ENGINE_SETTINGS, HOST
from tests.soak_manners import KINDS

IDLE_TIMEOUTS_MS = (1_000, 2_000, 5_000, 15_000, 60_000)
# Clients pick up connections that have rested for up to four fifths of the time that the configuration tells.
MAX_REST_S = 0.8 * min(IDLE_TIMEOUTS_MS) / 1_000
ROUTES = {
    "stream": ("streaming", "models"),
    "resumable": ("streaming", "models"),
    "unsafe": ("unsafe", "plain"),
    "safe": ("safe", "plain"),
    "passing": ("unsafe", "other"),
}


@dataclass
class Draft:
    """The operator's document, which grows and shrinks."""

    version: int = 0
    idle_ms: int = 15_000
    passing: bool = True  # the route that comes and goes is there, and its service
    extra: int = 0  # routes that nobody uses

    def data(self) -> bytes:
        """Write it."""
        kept = {kind: target for kind, target in ROUTES.items() if self.passing or kind != "passing"}
        rows = [
            {
                "name": kind,
                "host": HOST,
                "path-prefix": KINDS[kind].path,
                "route-type": route_type,
                "timeout-ms": 8_000,
                "target-latency-ms": 1_000,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
                "resumable": kind == "resumable",
            }
            for kind, (route_type, service) in kept.items()
        ]
        rows += [
            {
                "name": f"extra{number}",
                "host": HOST,
                "path-prefix": f"/extra{number}/",
                "route-type": "safe",
                "timeout-ms": 1_000,
                "service": "plain",
            }
            for number in range(self.extra)
        ]
        services: list[dict[str, Any]] = [
            {"name": "models", "max-connections": 200, "engine": ENGINE_SETTINGS},
            {"name": "plain", "max-connections": 200},
        ]
        services += [{"name": "other", "max-connections": 200}] if self.passing else []
        return json.dumps(
            {
                "version": self.version,
                "routes": rows,
                "services": services,
                "limits": {"idle-timeout-ms": self.idle_ms, "header-timeout-ms": 1_000},
            }
        ).encode()

    def change(self, random: Random) -> None:
        """Draw a change."""
        word = random.choice(("idle", "idle", "passing", "extra", "extra"))
        if word == "idle":
            self.idle_ms = random.choice(IDLE_TIMEOUTS_MS)
        elif word == "passing":
            self.passing = not self.passing
        else:
            self.extra = random.randrange(40)
        self.version += 1
