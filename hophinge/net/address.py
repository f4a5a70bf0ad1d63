"""Addresses of the form host:port."""

from __future__ import annotations


def split(text: str) -> tuple[str, int]:
    """Split host:port into the host and the port; raises `ValueError` if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form host:port")
    return host, int(port)
