"""The settings of the object front and of the administration API, parts of the operator's file."""

from __future__ import annotations

from pathlib import Path

import msgspec

from hophinge.net.payload import MAX_SHORT_BODY


class ObjectConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The object front's settings; see deploy/objects.toml for what they mean."""

    listen: str
    tenants: Path
    read_class: str
    write_class: str
    piece_bytes: int = MAX_SHORT_BODY
    window: int = 4
    pieces_in_flight: int = 32
    requests: int = 64
    connections: int = 256
    parts: int = 1000
    idle_s: float = 30.0

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 1 <= self.piece_bytes <= MAX_SHORT_BODY:
            raise ValueError(f"piece_bytes must be from 1 to {MAX_SHORT_BODY}")
        if min(self.window, self.pieces_in_flight, self.requests, self.connections, self.parts) < 1 or self.idle_s <= 0:
            raise ValueError("window, pieces_in_flight, requests, connections, parts and idle_s must be above 0")


class AdminConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The administration API's own listener; its token lies in a file, not in this one."""

    listen: str
    token_file: Path
    calls_s: float = 20.0  # of each caller

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0.1 <= self.calls_s <= 10_000:
            raise ValueError("calls_s must be from 0.1 to 10000")
