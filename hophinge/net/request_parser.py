"""Parses a client's request line and headers into what the scheduler needs and what is forwarded unchanged."""

from __future__ import annotations

import re

from aiohttp import web

from hophinge.core import interface as api
from hophinge.core.errors import HophingeError
from hophinge.net.listener import origin_form
from hophinge.net.payload import IDEMPOTENCY_KEY, idempotency_header

# Deducted from the client's remaining time, which runs from when it sent the request until it has read the answer.
ANSWER_MARGIN_US = 6_000
TRANSACTION_ID = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
TARGET = re.compile(r"/([^/?#]+)/([0-9a-fA-F]{16})/([0-9a-fA-F]{16})(?:\?[!-\"$-~]*)?", re.ASCII)
PLACEMENT = re.compile(r"units=([0-9]{1,6}(?:\.[0-9]{1,6})?),shard=(-1|[0-9]{1,6}),hosts=([0-9]{1,6})", re.ASCII)
REMAINING = re.compile(r"[0-9]{1,9}", re.ASCII)
# A header value that may be forwarded as it is: no control characters but tabs, so nothing that could end the line.
KEY_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]{0,1024}")
SINGLE_HEADERS = ("X-Txn", "X-Qos-Policy", "X-Remaining-Ms", "X-Placement", IDEMPOTENCY_KEY)


class MalformedRequestError(HophingeError):
    """A client's request is malformed; `status` is the HTTP status of its answer."""

    code = "request-malformed"
    remedy = "Have the client send the request as the platform's protocol says; the head serves others meanwhile."

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


def _reject_repeated_headers(request: web.BaseRequest) -> None:
    """Raise MalformedRequestError if a single-valued header is repeated: a backend might use the other value."""
    if any(len(request.headers.getall(name, ())) > 1 for name in SINGLE_HEADERS):
        raise MalformedRequestError(400, "a header that may occur only once is repeated")


class RequestParser:
    """Parses requests by the classes, plans and limits in the settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {klass.name: index for index, klass in enumerate(settings.classes)}
        self.plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        self.max_units = settings.max_units
        self.heads = settings.gateways

    def parse(self, request: web.BaseRequest) -> api.Arrival:
        """Parse the request line and headers; the body may not have arrived yet.

        Raises:
            MalformedRequestError: with the status to answer.

        """
        headers = request.headers
        _reject_repeated_headers(request)
        if request.method not in ("GET", "PUT"):
            raise MalformedRequestError(405, "only GET and PUT are allowed")
        target = TARGET.fullmatch(origin_form(request.raw_path))
        if target is None:
            raise MalformedRequestError(400, "the path is not /class/volume/object")
        klass = self.classes.get(target[1])
        if klass is None:
            raise MalformedRequestError(404, "unknown request class")
        plan = self.plans.get(headers.get("X-Qos-Policy", ""))
        if plan is None:
            raise MalformedRequestError(400, "X-Qos-Policy is missing or names an unknown plan")
        txn = headers.get("X-Txn", "")
        if not TRANSACTION_ID.fullmatch(txn):
            raise MalformedRequestError(400, "X-Txn is not 16 hex digits")
        placement = PLACEMENT.fullmatch(headers.get("X-Placement", ""))
        if placement is None:
            raise MalformedRequestError(400, "X-Placement is malformed")
        units = float(placement[1])
        if not 0 < units <= self.max_units:
            raise MalformedRequestError(400, "X-Placement's units are out of range")
        remaining_ms = headers.get("X-Remaining-Ms", "")
        if not REMAINING.fullmatch(remaining_ms):
            raise MalformedRequestError(400, "X-Remaining-Ms is malformed")
        return api.Arrival(
            request=txn,
            units=units,
            volume=target[2],
            klass=klass,
            shard=int(placement[2]),
            gateways=min(int(placement[3]), self.heads),
            key=target[3],
            time_left_us=max(0, int(remaining_ms) * 1000 - ANSWER_MARGIN_US),
            write=request.method == "PUT",
            plan=plan,
            keyless=IDEMPOTENCY_KEY not in headers,
        )


def parse_idempotency_key(request: web.BaseRequest) -> bytes:
    """Return the Idempotency-Key header line with the value as received; empty if there is none."""
    key = request.headers.get(IDEMPOTENCY_KEY)
    if key is None:
        return b""
    value = key.encode("utf-8", "surrogateescape")  # reverses aiohttp's decoding
    if not KEY_VALUE.fullmatch(value):
        raise MalformedRequestError(400, f"{IDEMPOTENCY_KEY} is longer than 1024 bytes or contains control characters")
    return idempotency_header(value)
