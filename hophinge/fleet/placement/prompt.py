"""A request's prompt: its segments in order, their sizes, and the key by which it is placed."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from hophinge.fleet.numerals import parse_decimal

MAX_NAME_CHARACTERS = 32  # of a segment; a longer name is replaced by its digest, as names are kept for a long time
DIGEST_BYTES = 16

PromptSegment = tuple[str, int]  # name and tokens: a plain tuple, as placement compares many of them for each request


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a generation, as its headers describe it."""

    tokens_in: int
    tokens_out: int
    segments: tuple[PromptSegment, ...]

    @property
    def key(self) -> str:
        """The name of the last shared segment: requests with the same key also share all segments before it."""
        shared = self.segments[:-1] or self.segments
        return shared[-1][0] if shared else ""

    @property
    def shared_tokens(self) -> int:
        """The number of tokens that other requests may share: those of all segments but the last."""
        return sum(tokens for _, tokens in self.segments[:-1])


def parse_prompt(usage: str | None, prefix: str | None) -> Prompt:
    """Parse the usage and prefix headers; a malformed number counts as 0, a segment without a colon is ignored."""
    tokens_in = 0
    tokens_out = 0
    if usage:
        fields = usage.split(",")
        tokens_in = _number(fields[0])
        tokens_out = _number(fields[1]) if len(fields) > 1 else 0
    segments = []
    for field in (prefix or "").split(","):
        name, separator, tokens = field.strip().partition(":")
        if separator:
            segments.append((_short_name(name), _number(tokens)))
    return Prompt(tokens_in or sum(tokens for _, tokens in segments), tokens_out, tuple(segments))


def _short_name(name: str) -> str:
    if len(name) <= MAX_NAME_CHARACTERS:
        return name
    return blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _number(text: str) -> int:
    return parse_decimal(text) or 0
