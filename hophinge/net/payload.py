"""The parts of a request that a frontend passes through the exchange to the backend client."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.net.request_body import RequestBodyStream

MAX_SHORT_BODY = 64 * 1024  # bytes; request bodies up to this length are always buffered whole
MAX_LONG_BODY = 33 * 1024 * 1024  # bytes of a request or answer body
IDEMPOTENCY_KEY = "Idempotency-Key"
MAX_BUFFERED_ANSWER = 64 * 1024  # bytes; an answer of at most this length is forwarded once it is complete


@dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that are forwarded unchanged."""

    method: str
    target: str
    txn: str
    body: bytes
    idempotency_header: bytes = b""  # the Idempotency-Key header with its line end, as the client sent it
    upload: RequestBodyStream | None = None  # in place of `body`, if that is streamed


def idempotency_header(value: bytes) -> bytes:
    """Return the Idempotency-Key header line."""
    return b"%b: %b\r\n" % (IDEMPOTENCY_KEY.encode(), value)
