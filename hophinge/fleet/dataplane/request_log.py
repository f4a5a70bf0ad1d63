"""Logs one line of JSON for each request, in trials only; `benchmarks/losses.py` reads these lines."""

from __future__ import annotations

import json
from dataclasses import asdict

from loguru import logger

from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.prompt import Prompt

EVENT_PREFIX = "request "  # of such a line


def log_request(trace: RequestTrace, prompt: Prompt | None, zone: str) -> None:
    """Log the trace of a request; the fields of RequestTrace are keys of the JSON."""
    raw = asdict(trace)
    raw["zone"] = zone
    if prompt is not None:
        raw["tokens-in"] = prompt.tokens_in
        raw["tokens-out"] = prompt.tokens_out
        raw["parts"] = prompt.segments
    logger.info("{}", EVENT_PREFIX + json.dumps(raw, separators=(",", ":")))
