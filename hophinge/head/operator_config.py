"""The operator's file, which enables a head's optional components; it names their addresses and paths."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from hophinge.head.sections import ClusterConfig, MaintenanceConfig, PopularityConfig, ScoringConfig
from hophinge.objects.config import AdminConfig, ObjectConfig
from hophinge.telemetry.config import RemoteWriteConfig


class StreamConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[stream]`: the control service that configures the head; deploy/stream.toml documents the settings."""

    endpoints: list[str]
    token_file: Path
    folder: Path
    silence_s: float = 6.0
    stale_s: float = 300.0
    accounts: bool = False  # the control service owns the tenants' accounts

    def __post_init__(self) -> None:
        """Check ranges."""
        if not self.endpoints or any(":" not in endpoint for endpoint in self.endpoints):
            raise ValueError("endpoints must be a list of one or more host:port")
        if not 3.0 <= self.silence_s <= 3600 or not 1.0 <= self.stale_s <= 30 * 24 * 3600:
            raise ValueError("silence_s must be from 3 to 3600, stale_s from 1 to 2592000")


class OperatorConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's file; a component without a section is disabled."""

    objects: ObjectConfig | None = None
    admin: AdminConfig | None = None
    remote_write: RemoteWriteConfig | None = None
    stream: StreamConfig | None = None
    cluster: ClusterConfig | None = None
    scoring: ScoringConfig | None = None
    popularity: PopularityConfig | None = None
    maintenance: MaintenanceConfig | None = None


def _path(kind: type, value: Any) -> Path:
    if kind is not Path or not isinstance(value, str):
        raise ValueError("a path must be a string")
    return Path(value)


def load(path: str) -> OperatorConfig:
    """Read and check the file; paths in it are relative to its folder."""
    config = msgspec.toml.decode(Path(path).read_bytes(), type=OperatorConfig, dec_hook=_path)
    base = Path(path).resolve().parent
    if config.objects:
        config.objects.tenants = base / config.objects.tenants
    if config.stream:
        config.stream.token_file = base / config.stream.token_file
        config.stream.folder = base / config.stream.folder
    if config.cluster:
        config.cluster.key_file = base / config.cluster.key_file
    if config.popularity:
        config.popularity.secret_file = base / config.popularity.secret_file
    if config.maintenance and config.stream is None:
        raise ValueError("[maintenance] needs [stream], whose control service coordinates it")
    if config.popularity and config.objects is None:
        raise ValueError("[popularity] needs [objects], as it counts reads of objects")
    if config.admin:
        config.admin.token_file = base / config.admin.token_file
        if config.objects is None:
            raise ValueError("[admin] needs [objects], whose tenants it administers")
        if config.stream is not None and config.stream.accounts:
            raise ValueError(
                "[admin] cannot be combined with [stream] accounts = true; use the control service's administration API"
            )
    return config
