"""The operator's file, which switches on what the platform does not have; it names addresses and paths."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from hophinge.objects.config import AdminConfig, ObjectConfig
from hophinge.telemetry.config import RemoteWriteConfig


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
