"""The settings of remote write, a part of the operator's file."""

from __future__ import annotations

import msgspec


class RemoteWriteConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Where counters are pushed."""

    url: str
    interval_s: float = 15.0
    queue: int = 64
    timeout_s: float = 10.0
