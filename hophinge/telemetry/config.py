"""Settings of remote write, a section of the operator's file."""

from __future__ import annotations

import msgspec


class RemoteWriteConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Receiver of the metrics, and how they are pushed."""

    url: str
    interval_s: float = 15.0
    queue: int = 64
    timeout_s: float = 10.0
