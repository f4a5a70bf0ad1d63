"""Imports the head's main function, without loading TLS certificates if the head does not use TLS.

aiohttp creates a TLS context when it is imported, and loading the system's certificates for it takes a sixth of the
start-up time. A head without an operator's file uses plain HTTP only, so none are loaded: its TLS context trusts no
certificate.
"""

from __future__ import annotations

import os
from collections.abc import Callable, MutableMapping

from hophinge.head.environment import OPERATOR_FILE

CERTIFICATES = ("SSL_CERT_FILE", "SSL_CERT_DIR")  # read by OpenSSL


def import_main(environ: MutableMapping[str, str] = os.environ) -> Callable[[], int]:
    """Import and return the main function."""
    previous = {name: environ.get(name) for name in CERTIFICATES}
    if not environ.get(OPERATOR_FILE):
        environ.update(dict.fromkeys(CERTIFICATES, os.devnull))
    try:
        from hophinge.head.main import main
    finally:
        for name, text in previous.items():
            if text is None:
                environ.pop(name, None)
            else:
                environ[name] = text
    return main
