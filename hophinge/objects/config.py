"""The operator's file that switches the object front on."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from hophinge.net.payload import MOST_BODY


class ObjectConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The object front's settings; see deploy/objects.toml for what they mean."""

    listen: str
    tenants: Path
    read_class: str
    write_class: str
    piece_bytes: int = MOST_BODY
    window: int = 4
    pieces_in_flight: int = 32
    requests: int = 64
    connections: int = 256
    parts: int = 1000
    idle_s: float = 30.0

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 1 <= self.piece_bytes <= MOST_BODY:
            raise ValueError(f"piece_bytes must be from 1 to {MOST_BODY}")
        if min(self.window, self.pieces_in_flight, self.requests, self.connections, self.parts) < 1 or self.idle_s <= 0:
            raise ValueError("window, pieces_in_flight, requests, connections, parts and idle_s must be above 0")


class AdminConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The administration API's own listener; its token lies in a file, not in this one."""

    listen: str
    token_file: Path


class RemoteWriteConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Where counters are pushed."""

    url: str
    interval_s: float = 15.0
    queue: int = 64
    timeout_s: float = 10.0


class OperatorConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file; a part that is absent is off."""

    objects: ObjectConfig | None = None
    admin: AdminConfig | None = None
    remote_write: RemoteWriteConfig | None = None


def _path(kind: type, value: Any) -> Path:
    if kind is not Path or not isinstance(value, str):
        raise ValueError("a path is a text")
    return Path(value)


def load(path: str) -> OperatorConfig:
    """Read the file; a path within it is taken from the file's folder."""
    config = msgspec.toml.decode(Path(path).read_bytes(), type=OperatorConfig, dec_hook=_path)
    base = Path(path).resolve().parent
    if config.objects:
        config.objects.tenants = base / config.objects.tenants
    if config.admin:
        config.admin.token_file = base / config.admin.token_file
        if config.objects is None:
            raise ValueError("[admin] needs [objects], whose tenants it keeps")
    return config
