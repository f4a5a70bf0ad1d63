"""One line of JSON in the log for each request, in trials alone: `benchmarks/losses.py` reads it."""

from __future__ import annotations

import json
from dataclasses import asdict

from loguru import logger

from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.prompt import Prompt

MARK = "request "  # that such a line begins with


def write(trace: RequestTrace, prompt: Prompt | None, zone: str) -> None:
    """Write what became of a request."""
    raw = asdict(trace)
    raw["zone"] = zone
    if prompt is not None:
        raw["tokens-in"], raw["tokens-out"], raw["parts"] = prompt.tokens_in, prompt.tokens_out, prompt.segments
    logger.info("{}", MARK + json.dumps(raw, separators=(",", ":")))
