"""An instance's response to the prefill of a prompt."""

from __future__ import annotations

import json
import re

# Characters valid both in a header field and in a path: the handle is sent in both.
_HANDLE = re.compile(r"[A-Za-z0-9._~-]{1,256}")


def parse_handle(body: bytes) -> str | None:
    """Return the handle of the KV cache; None if the body contains no handle that can be forwarded."""
    try:
        handle = json.loads(body)["prefill-handle"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return handle if isinstance(handle, str) and _HANDLE.fullmatch(handle) else None
