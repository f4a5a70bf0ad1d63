"""Imports the head's main function without what a head without an operator's file never uses.

aiohttp makes a TLS context as it is imported, and reading the machine's certificates for it is a sixth of a start. A
head without an operator's file speaks plain HTTP alone, so its context holds none: it would trust nobody.
"""

from __future__ import annotations

import os
from collections.abc import Callable, MutableMapping

from hophinge.head.environment import OPERATOR_FILE

CERTIFICATES = ("SSL_CERT_FILE", "SSL_CERT_DIR")  # OpenSSL's own names


def import_main(environ: MutableMapping[str, str] = os.environ) -> Callable[[], int]:
    """Import and return the main function."""
    kept = {name: environ.get(name) for name in CERTIFICATES}
    if not environ.get(OPERATOR_FILE):
        environ.update(dict.fromkeys(CERTIFICATES, os.devnull))
    try:
        from hophinge.head.main import main
    finally:
        for name, text in kept.items():
            if text is None:
                environ.pop(name, None)
            else:
                environ[name] = text
    return main
