"""Requests with `Upgrade`: a server may ignore it (RFC 9110, 7.8), and then has to send a response.

The parser treats the body of such a request as data of the other protocol, so the header is rewritten without the
upgrade and parsed again.
"""

from __future__ import annotations

from collections.abc import Iterable

UPGRADE, CONNECTION = b"upgrade", b"connection"


def without_upgrade(method: bytes, target: bytes, version: str, fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return a request's header without its upgrade; field names are in lower case."""
    lines = [b"%s %s HTTP/%s" % (method, target, version.encode())]
    for name, value in fields:
        if name == CONNECTION:
            tokens = [token.strip() for token in value.split(b",")]
            value = b", ".join(token for token in tokens if token.lower() != UPGRADE)
        if name != UPGRADE:
            lines.append(name + b": " + value)
    return b"\r\n".join([*lines, b"", b""])
