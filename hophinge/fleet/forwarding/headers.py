"""Header fields on their way through: what concerns one connection stays there, what the system sets is its own."""

from __future__ import annotations

from collections.abc import Iterable

REQUEST_ID = b"hophinge-request-id"
DEADLINE = b"hophinge-deadline-ms"
EXPECTED_INSTANCE = b"hophinge-expected-instance"
NOT_EXECUTED = b"hophinge-not-executed"
SIGNATURE = b"hophinge-server-signature"
SERVER_LOAD = b"hophinge-server-load"
SERVING_STAGE = b"hophinge-serving-stage"
TOKEN_USAGE = b"hophinge-token-usage"
PROMPT_PREFIX = b"hophinge-prompt-prefix"
KV_FROM = b"kv-from"
LAST_EVENT_ID = b"last-event-id"
PRIORITY = b"priority"
HOST = b"host"
KEEP_ALIVE = b"keep-alive"

Fields = list[tuple[bytes, bytes]]

_CONNECTION = frozenset(
    {b"connection", KEEP_ALIVE, b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade", b"expect"}
)
_OWN = frozenset({b"content-length", DEADLINE, EXPECTED_INSTANCE, SERVING_STAGE, KV_FROM, PRIORITY})


def find(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Tell the first value of a field; names are compared in lower case."""
    for field, value in fields:
        if field.lower() == name:
            return value.decode("latin-1")
    return None


def resting_time(fields: Fields) -> float | None:
    """Tell for how many seconds a resting connection is kept, as `Keep-Alive: timeout=N` says; None where unsaid."""
    for parameter in (find(fields, KEEP_ALIVE) or "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None


def _named(fields: Fields) -> set[bytes]:
    """Tell the fields that `Connection` names: they concern this connection only."""
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named |= {one.strip().lower() for one in value.split(b",")}
    return named


def forwarded(fields: Fields) -> Fields:
    """Tell what of a request's fields goes on to an instance; the rest is set for each attempt."""
    dropped = _CONNECTION | _OWN | _named(fields)
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def returned(fields: Fields) -> Fields:
    """Tell what of an instance's fields goes back to the client."""
    dropped = _CONNECTION | _named(fields)
    return [(name, value) for name, value in fields if name.lower() not in dropped]
