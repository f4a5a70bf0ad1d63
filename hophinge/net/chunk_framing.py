"""Bounds the framing of a chunked body: endless chunk extensions, or very many tiny chunks."""

from __future__ import annotations

# Bytes of framing that a body may have beyond its own length; 64 KiB in chunks of one byte take 384 KiB in all.
MAX_CHUNK_FRAMING = 512 * 1024


def is_framing_too_long(received_bytes: int, body_bytes: int) -> bool:
    """Return whether a chunked body has more framing than a sound sender gives it.

    Args:
        received_bytes: bytes received of the body so far, with its framing.
        body_bytes: of these, bytes of the body itself.

    """
    return received_bytes > MAX_CHUNK_FRAMING + 2 * body_bytes
