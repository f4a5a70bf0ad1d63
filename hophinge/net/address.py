"""Addresses of the form host:port."""

from __future__ import annotations


def split(text: str) -> tuple[str, int]:
    """Split host:port; raises `ValueError` where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)
