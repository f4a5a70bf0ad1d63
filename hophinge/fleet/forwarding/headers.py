"""Header fields in transit: hop-by-hop fields are dropped (RFC 9110, 7.6.1); which fields each attempt sets itself."""

from __future__ import annotations

from collections.abc import Iterable

from hophinge.fleet.numerals import parse_decimal

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
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

Fields = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    {b"connection", KEEP_ALIVE, b"proxy-connection", b"te", b"trailer", TRANSFER_ENCODING, b"upgrade", b"expect"}
)
_SET_PER_ATTEMPT = frozenset({CONTENT_LENGTH, DEADLINE, EXPECTED_INSTANCE, SERVING_STAGE, KV_FROM, PRIORITY})


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """Return the first value of a field, whose `name` is in lower case; None where there is none."""
    for field, value in fields:
        if field.lower() == name:
            return value.decode("latin-1")
    return None


def is_close_delimited(method: bytes, fields: Fields) -> bool:
    """Return whether the body of the response to a method ends with the connection (RFC 9112, 6.3).

    The kernel closes the connections of a process that was killed in the ordinary way, so such an end proves nothing.
    """
    states_length = any(find_field(fields, name) is not None for name in (CONTENT_LENGTH, TRANSFER_ENCODING))
    return method != b"HEAD" and not states_length


def host_name(host: str) -> str:
    """Return the name or address in a `Host` field, without its port (RFC 9110, 7.2)."""
    if host.startswith("["):
        return host[: host.find("]") + 1]
    return host.partition(":")[0]


def keep_alive_timeout_s(fields: Fields) -> float | None:
    """Return the seconds for which an idle connection is kept, by `Keep-Alive: timeout=N`; None where not given."""
    for parameter in (find_field(fields, KEEP_ALIVE) or "").split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = parse_decimal(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return float(seconds)
    return None


def _connection_options(fields: Fields) -> set[bytes]:
    """Return the connection options, which are the names of further hop-by-hop fields."""
    named: set[bytes] = set()
    for name, value in fields:
        if name.lower() == b"connection":
            named |= {option.strip().lower() for option in value.split(b",")}
    return named


def forwarded_fields(fields: Fields) -> Fields:
    """Return the fields of a request that are forwarded to an instance, without those that each attempt sets itself."""
    dropped = _HOP_BY_HOP | _SET_PER_ATTEMPT | _connection_options(fields)
    return [(name, value) for name, value in fields if name.lower() not in dropped]


def returned_fields(fields: Fields) -> Fields:
    """Return the fields of an instance's response that are forwarded to the client."""
    dropped = _HOP_BY_HOP | _connection_options(fields)
    return [(name, value) for name, value in fields if name.lower() not in dropped]
